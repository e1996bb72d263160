"""The pace of large responses on the entry's own link."""

import asyncio

import attrs

# Part of the link that large responses may use together. What they write beyond the
# link's rate would queue there, and every small request would wait behind it.
STREAM_PART = 0.6
# Large responses are written in pieces of this size.
PIECE_BYTES = 4096
# A piece may leave this much early, so that fast links need no timers.
EARLY_S = 0.005


@attrs.define
class StreamPacer:
    """Let the large responses of an entry share a part of its link."""

    bytes_per_s: float
    _free_at: float = 0.0

    @classmethod
    def from_link(cls, link_bytes_per_s: float) -> "StreamPacer":
        """Build a pacer for a link."""
        return cls(link_bytes_per_s * STREAM_PART)

    async def take(self, size: int) -> None:
        """Wait until `size` more bytes may be written."""
        delay = self.reserve(size, asyncio.get_running_loop().time())
        if delay > 0:
            await asyncio.sleep(delay)

    def reserve(self, size: int, now: float) -> float:
        """Count bytes and return for how many seconds they must wait."""
        starts_at = max(self._free_at, now)
        self._free_at = starts_at + size / self.bytes_per_s
        delay = starts_at - now - EARLY_S
        return max(delay, 0.0)
