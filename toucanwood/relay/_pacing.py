"""The pace and the order of large responses on the entry's own link."""

import asyncio
import heapq
import itertools

import attrs

# Part of the link that large responses may use together. What they write beyond the
# link's rate would queue there, and every small request would wait behind it; requests,
# small answers and the traffic between instances take about 0.15.
STREAM_PART = 0.7
# Large responses are written in pieces of this size.
PIECE_BYTES = 4096
# A piece may leave this much early, so that fast links need no timers.
EARLY_S = 0.005


@attrs.define(order=True)
class _Piece:
    """Hold a piece that waits for the link; the lowest one is next."""

    is_late: bool
    due_at: float
    number: int
    size: int = attrs.field(order=False)
    granted: "asyncio.Future[None]" = attrs.field(order=False)


@attrs.define
class StreamPacer:
    """Let the large responses of an entry share a part of its link.

    The response that is due first gets the link first, and those that are late already
    come last: in a burst of large responses to one entry, equal shares would make all
    of them late.
    """

    bytes_per_s: float
    _free_at: float = 0.0
    _waiting: list[_Piece] = attrs.field(factory=list)
    _numbers: "itertools.count[int]" = attrs.field(factory=itertools.count)
    _timer: asyncio.TimerHandle | None = None

    @classmethod
    def from_link(cls, link_bytes_per_s: float) -> "StreamPacer":
        """Build a pacer for a link."""
        return cls(link_bytes_per_s * STREAM_PART)

    async def acquire(self, size: int, due_at: float) -> None:
        """Wait until `size` more bytes of a response may be written."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        if not self._waiting and self._free_at - EARLY_S <= now:
            self._reserve(size, now)
            return
        granted: asyncio.Future[None] = loop.create_future()
        piece = _Piece(now > due_at, due_at, next(self._numbers), size, granted)
        heapq.heappush(self._waiting, piece)
        if self._timer is None:
            self._schedule(loop)
        await granted

    def _reserve(self, size: int, now: float) -> None:
        self._free_at = max(self._free_at, now) + size / self.bytes_per_s

    def _schedule(self, loop: asyncio.AbstractEventLoop) -> None:
        self._timer = loop.call_at(self._free_at - EARLY_S, self._grant, loop)

    def _grant(self, loop: asyncio.AbstractEventLoop) -> None:
        """Let the pieces go that the link has room for."""
        self._timer = None
        now = loop.time()
        while self._waiting and self._free_at - EARLY_S <= now:
            piece = heapq.heappop(self._waiting)
            if not piece.granted.done():
                self._reserve(piece.size, now)
                piece.granted.set_result(None)
        if self._waiting:
            self._schedule(loop)
