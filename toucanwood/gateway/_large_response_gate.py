"""Flow control of large responses on the link of an entry."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

from toucanwood.gateway._request_context import RequestContext, RequestError
from toucanwood.placement import LinkSchedule
from toucanwood.relay import RelaySelector
from toucanwood.routing import Route, RouteKind
from toucanwood.verdicts import refuse

# Maximum number of requests for large responses that wait for their response to begin,
# at an entry with a slow link. The link schedule uses typical times; without a limit,
# responses that begin earlier or later than scheduled would collide on the link.
MAX_PENDING_LARGE_REQUESTS = 2


class LargeResponseGate:
    """Receive large responses through a relay, or request them when the link is free.

    A permit is held from the request for a large response until the response begins.
    """

    def __init__(self, *, schedule: LinkSchedule, relays: RelaySelector) -> None:
        self._schedule = schedule
        self._relays = relays
        self._permits = asyncio.Semaphore(MAX_PENDING_LARGE_REQUESTS)

    @contextlib.asynccontextmanager
    async def admit(
        self, context: RequestContext, estimate_processing_time: Callable[[], float]
    ) -> AsyncIterator[None]:
        """Wait until the request may be sent; raise RequestError if the link is full.

        The link is full if the response could not begin before the deadline.
        `estimate_processing_time` returns how many seconds a target usually takes for
        such a request.
        """
        if not self._is_large(context.route):
            yield
            return
        now = asyncio.get_running_loop().time()
        if self._relays.choose(now) is not None and not context.body:
            context.relays = self._relays
            context.log_fields["relayed"] = True
            yield
            return
        processing_s = estimate_processing_time()
        context.transfer = self._schedule.reserve(context.route.name, processing_s, now)
        try:
            await self._wait_until_link_is_free(context, processing_s, now)
            yield
        finally:
            self.release_permit(context)
            self._update_schedule(context, None)

    async def acquire_permit(self, context: RequestContext) -> None:
        """Wait for a permit to request a large response, if it has a reservation."""
        if context.transfer is not None and not context.holds_permit:
            await self._permits.acquire()
            context.holds_permit = True

    def release_permit(self, context: RequestContext) -> None:
        """Release the permit once the response has begun or the attempt has failed."""
        if context.holds_permit:
            context.holds_permit = False
            self._permits.release()

    def record_declared_length(
        self, context: RequestContext, length: str | None
    ) -> None:
        """Adjust the link schedule to the declared length of a response."""
        if length is not None:
            self._update_schedule(context, int(length))

    def record_response_size(self, context: RequestContext, size: int) -> None:
        """Record the size of a complete response for later reservations."""
        self._schedule.record_size(context.route.name, size)
        self._update_schedule(context, size)

    def _is_large(self, route: Route) -> bool:
        if route.kind is RouteKind.DOWNLOAD:
            self._schedule.assume_large(route.name)
        return self._schedule.is_large(route.name)

    async def _wait_until_link_is_free(
        self, context: RequestContext, processing_s: float, now: float
    ) -> None:
        assert context.transfer is not None
        wait_s = context.transfer.starts_at - processing_s - now
        if context.transfer.starts_at >= context.deadline_at:
            message = "the link has no capacity for the response before the deadline"
            raise RequestError(
                refuse("link_full", message, status=503, retry_after=wait_s / 2)
            )
        if wait_s > 0:
            context.log_fields["link_wait_ms"] = round(wait_s * 1000)
            await asyncio.sleep(wait_s)

    def _update_schedule(self, context: RequestContext, size: int | None) -> None:
        if context.transfer is not None:
            now = asyncio.get_running_loop().time()
            self._schedule.complete(context.transfer, size, now)
