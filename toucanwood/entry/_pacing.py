"""Pacing of response bodies on the links between regions."""

import asyncio
from collections.abc import Callable
from typing import Any

# Number of bytes at the start of each response that are not paced, so that small
# responses are never delayed.
UNPACED_BYTES = 64 * 1024
# Maximum burst after an idle period, in seconds of transfer at the paced rate.
MAX_BURST_S = 0.02
BYTES_PER_MBIT = 125_000


class ByteBucket:
    """First-come, first-served schedule of bytes at a given rate in bytes/s."""

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
    """Pacer for the links from this entry's region, with one bucket per link.

    `count_entries` returns the number of entries in the region, which share the bulk
    capacity of each link equally.
    """

    def __init__(self, *, region: str, count_entries: Callable[[], int]) -> None:
        self._region = region
        self._count_entries = count_entries
        self._buckets: dict[str, ByteBucket] = {}

    def compute_rate(self, declaration: Any, region: str) -> float | None:
        """Return this entry's rate on a link in bytes/s, or None for no pacing."""
        if region == self._region:
            return None
        link_regions = {self._region, region}
        for link in declaration.links:
            if set(link.regions) == link_regions:
                bulk_rate = link.capacity_mbit * BYTES_PER_MBIT * link.bulk_share
                return bulk_rate / max(1, self._count_entries())
        return None

    async def acquire(self, declaration: Any, region: str, size: int) -> None:
        """Wait until `size` more bytes may be sent over the link to a region."""
        rate = self.compute_rate(declaration, region)
        if rate is None:
            return
        bucket = self._buckets.setdefault(region, ByteBucket())
        wait = bucket.reserve(size, rate, asyncio.get_running_loop().time())
        if wait > 0:
            await asyncio.sleep(wait)

    def dump(self) -> dict[str, int]:
        """Return the number of paced bytes by region."""
        return {region: bucket.total_bytes for region, bucket in self._buckets.items()}
