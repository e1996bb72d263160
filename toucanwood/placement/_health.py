"""What an entry believes of a target's health, from outcomes and probes."""

from enum import Enum
from typing import Any

import attrs


class Outcome(Enum):
    """Tell how an attempt at a target ended."""

    OK = "ok"
    # The target answered with a failure of its own.
    ERROR = "error"
    # The target stated that it did not run the request.
    SHED = "shed"
    # The connection failed, or the response was not whole.
    BROKEN = "broken"
    UNREACHABLE = "unreachable"
    TIMED_OUT = "timed_out"
    # Another target has the address now.
    REPLACED = "replaced"
    CANCELLED = "cancelled"


# A target without a connection is avoided at once; slow or broken answers may be due
# to the request, so several in a row are needed.
_WEIGHTS = {
    Outcome.UNREACHABLE: 3.0,
    Outcome.REPLACED: 3.0,
    Outcome.BROKEN: 1.0,
    Outcome.TIMED_OUT: 1.0,
    Outcome.ERROR: 0.5,
}
EJECT_AT = 3.0
MIN_EJECTION_S = 0.5
MAX_EJECTION_S = 5.0
# Weight of the last outcome in the success rate.
SUCCESS_WEIGHT = 0.1


@attrs.define
class Health:
    """Follow the outcomes of one target.

    An ejected target gets no request before a probe has succeeded.
    """

    strikes: float = 0.0
    is_ejected: bool = False
    probe_at: float = 0.0
    success_rate: float = 1.0
    _ejection_s: float = MIN_EJECTION_S

    def record(self, outcome: Outcome, now: float) -> bool:
        """Count an outcome; return whether the target is ejected by it."""
        if outcome is Outcome.CANCELLED:
            return False
        is_good = outcome is Outcome.OK
        self.success_rate += SUCCESS_WEIGHT * (float(is_good) - self.success_rate)
        if is_good:
            self.strikes = 0.0
            return False
        self.strikes += _WEIGHTS.get(outcome, 0.0)
        if self.is_ejected or self.strikes < EJECT_AT:
            return False
        self.eject(now)
        return True

    def eject(self, now: float) -> None:
        """Stop using the target until a probe succeeds."""
        self.is_ejected = True
        self.probe_at = now + self._ejection_s
        self._ejection_s = min(self._ejection_s * 2, MAX_EJECTION_S)

    def record_probe(self, *, is_healthy: bool, now: float) -> None:
        """Readmit the target, or wait longer for the next probe."""
        if not is_healthy:
            self.eject(now)
            return
        self.is_ejected = False
        self.strikes = 0.0
        self.success_rate = max(self.success_rate, 0.5)

    def reset_ejection_time(self) -> None:
        """Let the next ejection be short again, after a time of good answers."""
        self._ejection_s = MIN_EJECTION_S

    def dump(self) -> dict[str, Any]:
        """Return a JSON-serialisable description."""
        return {
            "ejected": self.is_ejected,
            "strikes": self.strikes,
            "success_rate": round(self.success_rate, 3),
        }
