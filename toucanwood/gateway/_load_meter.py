"""The load that an entry reports to the controllers."""

import math

import attrs

# Time that an entry with 0.43 of a core takes for one request, which uses about 2.5 ms
# of a whole core.
REQUEST_COST_S = 0.006
# Time constant of the exponential decay of the load. A burst of one second must not
# make callers move to other entries; a burst of several seconds must.
LOAD_TIME_CONSTANT_S = 1.5


@attrs.define
class LoadMeter:
    """Measure the fraction of time that an entry is busy with requests and responses.

    The time of the link and of the processor are added although both work in parallel:
    the sum grows with either and is good enough to rank entries by load.
    """

    link_bytes_per_s: float
    _load: float = 0.0
    _updated_at: float = 0.0

    def add_request(self, now: float) -> None:
        """Count a request."""
        self._add_busy_time(REQUEST_COST_S, now)

    def add_bytes(self, size: int, now: float) -> None:
        """Count bytes of a response on the link."""
        self._add_busy_time(size / self.link_bytes_per_s, now)

    def measure(self, now: float) -> float:
        """Return the load; 1 means that the entry is busy all the time."""
        elapsed = max(now - self._updated_at, 0.0)
        return self._load * math.exp(-elapsed / LOAD_TIME_CONSTANT_S)

    def _add_busy_time(self, seconds: float, now: float) -> None:
        self._load = self.measure(now) + seconds / LOAD_TIME_CONSTANT_S
        self._updated_at = now
