"""Message handlers of the slot owner."""

import asyncio
from collections.abc import Callable

from toucanwood.dispatch._messages import (
    AcquireSlot,
    HoldLeases,
    HoldReply,
    ReleaseSlot,
    SlotReply,
)
from toucanwood.dispatch._owner import SlotOwner
from toucanwood.dispatch._queue import Waiter
from toucanwood.dispatch._selector import Selector
from toucanwood.dispatch._slot_decisions import FleetUsage, SlotDecision, Status
from toucanwood.dispatch._target import LeaseKey, Outcome
from toucanwood.peering import Transport

# Longest time in s that the owner delays a reply to a queued request.
MAX_WAIT_S = 1.0


class SlotService:
    """Answer slot requests of this instance and of other instances.

    `is_isolated` returns whether some known instance is not connected.
    """

    def __init__(
        self,
        *,
        transport: Transport,
        incarnation: int,
        fleet: FleetUsage,
        is_isolated: Callable[[], bool],
        is_drained: Callable[[str], bool],
        selector: Selector | None,
    ) -> None:
        self.owner = SlotOwner(
            fleet=fleet,
            on_decision=self._resolve_decision,
            selector=selector,
            is_drained=is_drained,
        )
        self._incarnation = incarnation
        self._is_isolated = is_isolated
        self._futures: dict[LeaseKey, asyncio.Future[SlotDecision]] = {}
        transport.register(AcquireSlot, self.handle_acquire)
        transport.register(ReleaseSlot, self._handle_release)
        transport.register(HoldLeases, self.handle_hold)

    async def handle_acquire(self, sender: str, body: AcquireSlot) -> SlotReply:
        """Answer a slot request, after at most `body.wait` seconds in the queue."""
        now = _now()
        wait = min(body.wait, MAX_WAIT_S)
        waiter = Waiter(
            key=LeaseKey(sender, body.incarnation, body.number),
            service=body.service,
            organisation=body.organisation,
            region=body.region,
            deadline=now + body.remaining,
            poll_until=now + wait,
            exclude=frozenset(body.exclude),
        )
        decision = self.owner.request(waiter, wait=wait, now=now)
        if decision is None:
            decision = await self._wait_for_decision(waiter.key, wait)
        return self._build_reply(body, decision)

    def release(self, sender: str, body: ReleaseSlot) -> None:
        """End a lease, or remove its request from the queue."""
        key = LeaseKey(sender, body.incarnation, body.number)
        outcome = Outcome(body.outcome)
        duration = None if outcome is Outcome.CANCELLED else body.duration
        self.owner.release(key, outcome, duration, _now())

    async def handle_hold(self, sender: str, body: HoldLeases) -> HoldReply:
        """Confirm the leases that the sender lists and end those that it omits."""
        confirmed = self.owner.reconcile_leases(
            sender,
            body.incarnation,
            body.last_number,
            body.numbers,
            _now(),
            is_isolated=self._is_isolated(),
        )
        return HoldReply(confirmed)

    async def _handle_release(self, sender: str, body: ReleaseSlot) -> None:
        self.release(sender, body)

    async def _wait_for_decision(self, key: LeaseKey, wait: float) -> SlotDecision:
        future = self._futures.get(key)
        if future is None:
            future = asyncio.get_running_loop().create_future()
            self._futures[key] = future
        try:
            return await asyncio.wait_for(asyncio.shield(future), wait)
        except TimeoutError:
            return SlotDecision(Status.WAITING)

    def _resolve_decision(self, key: LeaseKey, decision: SlotDecision) -> None:
        future = self._futures.pop(key, None)
        if future is not None and not future.done():
            future.set_result(decision)

    def _build_reply(self, body: AcquireSlot, decision: SlotDecision) -> SlotReply:
        free = self.owner.count_free(body.service, body.region, _now())
        return SlotReply(
            status=decision.status.value,
            target_id=decision.target_id,
            address=decision.address,
            valid_for=decision.valid_for,
            owner_incarnation=self._incarnation,
            free=free,
            retry_after=decision.retry_after,
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
