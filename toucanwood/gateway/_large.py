"""How large responses come over the link of an entry, by a relay or by plan."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

from toucanwood.gateway._context import Refusal, RequestContext
from toucanwood.placement import LinkSchedule
from toucanwood.relay import RelaySelector
from toucanwood.routing import Route, RouteKind
from toucanwood.verdicts import refuse

# Large responses that an entry with a slow link waits for at once. The plan of the link
# goes by usual times; responses that come earlier or later than planned meet there.
MAX_LARGE_ASKED = 2


class LargeResponses:
    """Let a relay take a large response in, or ask for it when the link is free."""

    def __init__(self, *, schedule: LinkSchedule, relays: RelaySelector) -> None:
        self._schedule = schedule
        self._relays = relays
        self._asks = asyncio.Semaphore(MAX_LARGE_ASKED)

    @contextlib.asynccontextmanager
    async def admit(
        self, context: RequestContext, estimate_work: Callable[[], float]
    ) -> AsyncIterator[None]:
        """Wait until the request may be sent; raise Refusal where that is too late.

        `estimate_work` returns for how many seconds a target usually works on it.
        """
        if not self._is_large(context.route):
            yield
            return
        now = asyncio.get_running_loop().time()
        if self._relays.choose(now) is not None and not context.body:
            context.relays = self._relays
            context.notes["relayed"] = True
            yield
            return
        work_s = estimate_work()
        context.transfer = self._schedule.reserve(context.route.name, work_s, now)
        try:
            await self._wait_for_link(context, work_s, now)
            yield
        finally:
            self.release_ask(context)
            self._settle(context, None)

    async def take_ask(self, context: RequestContext) -> None:
        """Wait until few large responses are asked for and have not begun."""
        if context.transfer is not None and not context.holds_ask:
            await self._asks.acquire()
            context.holds_ask = True

    def release_ask(self, context: RequestContext) -> None:
        """Let the next request go once the response has begun, or did not come."""
        if context.holds_ask:
            context.holds_ask = False
            self._asks.release()

    def note_length(self, context: RequestContext, length: str | None) -> None:
        """Correct the plan by the declared length of a response."""
        if length is not None:
            self._settle(context, int(length))

    def note_size(self, context: RequestContext, size: int) -> None:
        """Learn from the size of a whole response."""
        self._schedule.record_size(context.route.name, size)
        self._settle(context, size)

    def _is_large(self, route: Route) -> bool:
        if route.kind is RouteKind.DOWNLOAD:
            self._schedule.assume_large(route.name)
        return self._schedule.is_large(route.name)

    async def _wait_for_link(
        self, context: RequestContext, work_s: float, now: float
    ) -> None:
        assert context.transfer is not None
        wait_s = context.transfer.starts_at - work_s - now
        if context.transfer.starts_at >= context.deadline_at:
            message = "the link has no room for the response before the deadline"
            raise Refusal(
                refuse("link_full", message, status=503, retry_after=wait_s / 2)
            )
        if wait_s > 0:
            context.notes["link_wait_ms"] = round(wait_s * 1000)
            await asyncio.sleep(wait_s)

    def _settle(self, context: RequestContext, size: int | None) -> None:
        if context.transfer is not None:
            now = asyncio.get_running_loop().time()
            self._schedule.complete(context.transfer, size, now)
