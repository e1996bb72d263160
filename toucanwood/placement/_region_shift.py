"""The limit on how fast requests shift between regions."""

from collections import deque

import attrs

# Minimum number of requests in a window. The fractions of smaller windows are too
# uncertain to be compared.
MIN_REQUESTS = 20


@attrs.define
class RegionShiftLimiter:
    """Limit the growth of each region's fraction of the requests between windows.

    The fraction of the requests that go to a region in the current window may exceed
    the one in the previous window by at most `fraction`. Every entry of a home region
    keeps this limit, so the sum over these entries keeps it too.
    """

    fraction: float
    window_s: float
    _requests: deque[tuple[float, str]] = attrs.field(factory=deque)

    def record_request(self, region: str, now: float) -> None:
        """Count a request that is sent to a region."""
        self._requests.append((now, region))
        self._expire(now)

    def list_capped_regions(self, now: float) -> frozenset[str]:
        """Return the regions that may not get another request now."""
        self._expire(now)
        recent: dict[str, int] = {}
        earlier: dict[str, int] = {}
        window_start = now - self.window_s
        for sent_at, region in self._requests:
            counts = recent if sent_at >= window_start else earlier
            counts[region] = counts.get(region, 0) + 1
        recent_total = sum(recent.values())
        earlier_total = sum(earlier.values())
        if earlier_total < MIN_REQUESTS or recent_total < MIN_REQUESTS:
            return frozenset()
        return frozenset(
            region
            for region, count in recent.items()
            if (count + 1) / (recent_total + 1)
            > earlier.get(region, 0) / earlier_total + self.fraction
        )

    def _expire(self, now: float) -> None:
        oldest = now - 2 * self.window_s
        while self._requests and self._requests[0][0] < oldest:
            self._requests.popleft()
