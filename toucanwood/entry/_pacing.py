"""Pacing of downloads over the links between regions."""

import asyncio
from collections.abc import Callable
from typing import Any

# The first bytes of each response are not paced, so that small ones never wait.
UNPACED_BYTES = 64 * 1024
# A link that was unused may send this much time's worth of bytes at once.
MAX_BURST_S = 0.02
BYTES_PER_MBIT = 125_000


class ByteBucket:
    """Schedule bytes at a rate in bytes/s, first come, first served."""

    def __init__(self) -> None:
        self._free_at = 0.0
        self.total_bytes = 0

    def reserve(self, size: int, rate: float, now: float) -> float:
        """Return the seconds to wait before sending `size` bytes."""
        start = max(self._free_at, now - MAX_BURST_S)
        self._free_at = start + size / rate
        self.total_bytes += size
        return max(0.0, self._free_at - now)


class LinkPacer:
    """Hold one bucket for each link from this entry's region.

    `count_entries` gives the number of entries in the region, which share the link's
    bulk capacity in equal parts.
    """

    def __init__(self, *, region: str, count_entries: Callable[[], int]) -> None:
        self._region = region
        self._count_entries = count_entries
        self._buckets: dict[str, ByteBucket] = {}

    def compute_rate(self, declaration: Any, region: str) -> float | None:
        """Return this entry's part of a link in bytes/s; None if it is not paced."""
        if region == self._region:
            return None
        link_regions = {self._region, region}
        for link in declaration.links:
            if set(link.regions) == link_regions:
                bulk_rate = link.capacity_mbit * BYTES_PER_MBIT * link.bulk_share
                return bulk_rate / max(1, self._count_entries())
        return None

    async def acquire(self, declaration: Any, region: str, size: int) -> None:
        """Wait until `size` more bytes may cross the link to a region."""
        rate = self.compute_rate(declaration, region)
        if rate is None:
            return
        bucket = self._buckets.setdefault(region, ByteBucket())
        wait = bucket.reserve(size, rate, asyncio.get_running_loop().time())
        if wait > 0:
            await asyncio.sleep(wait)

    def dump(self) -> dict[str, int]:
        """Return the paced bytes by region."""
        return {region: bucket.total_bytes for region, bucket in self._buckets.items()}
