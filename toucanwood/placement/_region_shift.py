"""The cap on how fast requests move between regions."""

from collections import deque

import attrs

# Windows with fewer requests say nothing about shares.
MIN_REQUESTS = 20


@attrs.define
class RegionShiftLimiter:
    """Bound the change of each region's part of the requests between windows.

    The part of a region in the running window may differ from its part in the window
    before by at most `fraction`. Every entry of a home region keeps to it, so the sum
    over these entries does too.
    """

    fraction: float
    window_s: float
    _sent: deque[tuple[float, str]] = attrs.field(factory=deque)

    def record_request(self, region: str, now: float) -> None:
        """Count a request that is sent to a region."""
        self._sent.append((now, region))
        self._expire(now)

    def list_capped_regions(self, now: float) -> frozenset[str]:
        """Return the regions whose part may not grow any further now."""
        self._expire(now)
        recent: dict[str, int] = {}
        earlier: dict[str, int] = {}
        border = now - self.window_s
        for at, region in self._sent:
            counts = recent if at >= border else earlier
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
        while self._sent and self._sent[0][0] < oldest:
            self._sent.popleft()
