"""The health of a target as seen by one entry, from outcomes and probes."""

from enum import Enum
from typing import Any

import attrs


class Outcome(Enum):
    """Outcome of one attempt to send a request to a target."""

    OK = "ok"
    # The target answered with a server error.
    ERROR = "error"
    # The target stated that it did not run the request.
    SHED = "shed"
    # The connection failed, or the response was incomplete or not valid.
    BROKEN = "broken"
    UNREACHABLE = "unreachable"
    TIMED_OUT = "timed_out"
    # Another target has the address now.
    REPLACED = "replaced"
    CANCELLED = "cancelled"


# Strikes by outcome; an outcome that is not listed adds none. An unreachable or
# replaced target is ejected at once. Slow or broken responses may be due to the
# request, so several without a success in between are needed.
_STRIKES = {
    Outcome.UNREACHABLE: 3.0,
    Outcome.REPLACED: 3.0,
    Outcome.BROKEN: 1.0,
    Outcome.TIMED_OUT: 1.0,
    Outcome.ERROR: 0.5,
}
# Number of strikes without a success in between at which a target is ejected.
EJECTION_STRIKES = 3.0
# Bounds of the time from an ejection, or a failed probe, to the next probe.
MIN_EJECTION_S = 0.5
MAX_EJECTION_S = 5.0
# Weight of the latest outcome in the moving average of the success rate.
SUCCESS_RATE_WEIGHT = 0.1


@attrs.define
class Health:
    """Track the health of one target.

    An ejected target gets no requests until a probe has succeeded.
    """

    strikes: float = 0.0
    is_ejected: bool = False
    # Earliest time of the next probe.
    probe_at: float = 0.0
    success_rate: float = 1.0
    _ejection_s: float = MIN_EJECTION_S

    def record(self, outcome: Outcome, now: float) -> bool:
        """Record an outcome; return whether it ejects the target."""
        if outcome is Outcome.CANCELLED:
            return False
        is_success = outcome is Outcome.OK
        self.success_rate += SUCCESS_RATE_WEIGHT * (
            float(is_success) - self.success_rate
        )
        if is_success:
            self.strikes = 0.0
            return False
        self.strikes += _STRIKES.get(outcome, 0.0)
        if self.is_ejected or self.strikes < EJECTION_STRIKES:
            return False
        self.eject(now)
        return True

    def eject(self, now: float) -> None:
        """Eject the target until a probe succeeds; double the next probe delay."""
        self.is_ejected = True
        self.probe_at = now + self._ejection_s
        self._ejection_s = min(self._ejection_s * 2, MAX_EJECTION_S)

    def record_probe(self, *, is_healthy: bool, now: float) -> None:
        """Readmit the target after a successful probe, else eject it again."""
        if not is_healthy:
            self.eject(now)
            return
        self.is_ejected = False
        self.strikes = 0.0
        self.success_rate = max(self.success_rate, 0.5)

    def reset_ejection_time(self) -> None:
        """Reset the probe delay to its minimum, after a period of successes."""
        self._ejection_s = MIN_EJECTION_S

    def dump(self) -> dict[str, Any]:
        """Return a JSON-serialisable description."""
        return {
            "ejected": self.is_ejected,
            "strikes": self.strikes,
            "success_rate": round(self.success_rate, 3),
        }
