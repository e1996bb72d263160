"""How busy an entry is, as it tells the controllers."""

import math

import attrs

# Processor time of one request at an entry with 0.43 of a core: about 2.5 ms of a core.
REQUEST_COST_S = 0.006
# A burst of a second must not move callers, one of some seconds must.
LOAD_TIME_CONSTANT_S = 1.5


@attrs.define
class LoadMeter:
    """Measure the part of an entry's time that its requests and responses take.

    The link and the processor work side by side; their sum orders entries well enough,
    and it grows with either.
    """

    link_bytes_per_s: float
    _load: float = 0.0
    _updated_at: float = 0.0

    def add_request(self, now: float) -> None:
        """Count a request."""
        self._add(REQUEST_COST_S, now)

    def add_bytes(self, size: int, now: float) -> None:
        """Count bytes of a response."""
        self._add(size / self.link_bytes_per_s, now)

    def measure(self, now: float) -> float:
        """Return the load; 1 is an entry that is busy all the time."""
        elapsed = max(now - self._updated_at, 0.0)
        return self._load * math.exp(-elapsed / LOAD_TIME_CONSTANT_S)

    def _add(self, seconds: float, now: float) -> None:
        self._load = self.measure(now) + seconds / LOAD_TIME_CONSTANT_S
        self._updated_at = now
