"""Pacing and scheduling of large responses on the link of an entry."""

import asyncio
import heapq
import itertools

import attrs

# Fraction of the link that all large responses together may use. Data in excess of the
# link rate would queue on the link and delay every small request. Requests, small
# responses and the traffic between instances use about 0.15.
STREAM_FRACTION = 0.7
# Size of one paced write of a large response.
PIECE_BYTES = 4096
# Maximum time by which a write may precede its scheduled time, so that fast links need
# no timers.
MAX_EARLY_S = 0.005


@attrs.define(order=True)
class _PendingWrite:
    """A write that waits for the link; the smallest one in this order is next."""

    is_late: bool
    due_at: float
    sequence_number: int
    size: int = attrs.field(order=False)
    granted: "asyncio.Future[None]" = attrs.field(order=False)


@attrs.define
class StreamPacer:
    """Schedule the large responses to an entry on a fraction of its link.

    Responses are sent earliest due time first, and those that are already late come
    last. With equal shares of the link, a burst of large responses to one entry would
    make all of them late.
    """

    bytes_per_s: float
    _link_free_at: float = 0.0
    _pending: list[_PendingWrite] = attrs.field(factory=list)
    _sequence_numbers: "itertools.count[int]" = attrs.field(factory=itertools.count)
    _timer: asyncio.TimerHandle | None = None

    @classmethod
    def from_link(cls, link_bytes_per_s: float) -> "StreamPacer":
        """Build a pacer for a link of this total rate."""
        return cls(link_bytes_per_s * STREAM_FRACTION)

    async def acquire(self, size: int, due_at: float) -> None:
        """Wait until `size` more bytes of a response may be written."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        if not self._pending and self._link_free_at - MAX_EARLY_S <= now:
            self._reserve(size, now)
            return
        granted: asyncio.Future[None] = loop.create_future()
        write = _PendingWrite(
            now > due_at, due_at, next(self._sequence_numbers), size, granted
        )
        heapq.heappush(self._pending, write)
        if self._timer is None:
            self._schedule(loop)
        await granted

    def _reserve(self, size: int, now: float) -> None:
        self._link_free_at = max(self._link_free_at, now) + size / self.bytes_per_s

    def _schedule(self, loop: asyncio.AbstractEventLoop) -> None:
        self._timer = loop.call_at(self._link_free_at - MAX_EARLY_S, self._grant, loop)

    def _grant(self, loop: asyncio.AbstractEventLoop) -> None:
        """Grant the pending writes whose scheduled time has come."""
        self._timer = None
        now = loop.time()
        while self._pending and self._link_free_at - MAX_EARLY_S <= now:
            write = heapq.heappop(self._pending)
            if not write.granted.done():
                self._reserve(write.size, now)
                write.granted.set_result(None)
        if self._pending:
            self._schedule(loop)
