"""Acquisition of a slot for one request from the owners of a region."""

import asyncio
import contextlib
from collections.abc import Iterable

import attrs
from returns.result import Failure, Result, Success

from toucanwood.dispatch._holder import LeaseHolder, SlotLease
from toucanwood.dispatch._messages import AcquireSlot, ReleaseSlot, SlotReply
from toucanwood.dispatch._service import MAX_WAIT_S, SlotService
from toucanwood.dispatch._slot_decisions import Status
from toucanwood.dispatch._slot_directory import SlotDirectory
from toucanwood.dispatch._target import Outcome
from toucanwood.peering import PeerUnavailable, Transport
from toucanwood.verdicts import Verdict, refuse

CALL_TIMEOUT_S = 0.3
MAX_IMMEDIATE_ATTEMPTS = 3
# Number of owners at which a request queues at the same time, unless more have a free
# slot.
PARALLEL_QUEUES = 2
# Longest time in s until a waiting request ranks the owners again. The directory does
# not notify it of some changes, such as a declared drain.
RECHECK_INTERVAL_S = 1.0
RETRY_DELAY_S = 0.1


@attrs.frozen
class SlotRequest:
    """Request for a slot; `exclude` holds the ids of targets not to use."""

    service: str
    organisation: str
    region: str
    deadline: float
    exclude: frozenset[str]


@attrs.define(kw_only=True)
class Acquisition:
    """Try the owners with free slots, then queue at the least loaded owners."""

    request: SlotRequest
    service: SlotService
    holder: LeaseHolder
    directory: SlotDirectory
    transport: Transport
    _refused_numbers: set[int] = attrs.field(factory=set)
    _owner_by_task: dict[asyncio.Task[SlotLease | None], str] = attrs.field(
        factory=dict
    )
    _wake: asyncio.Event = attrs.field(factory=asyncio.Event)
    _unreachable: set[str] = attrs.field(factory=set)
    _refused_by: set[str] = attrs.field(factory=set)
    _retry_after: float = 1.0

    async def run(self) -> Result[SlotLease, Verdict]:
        """Return a lease or a refusal by the request's deadline."""
        if not self._rank_owners():
            return Failure(self._build_refusal("no reachable target"))
        lease = await self._try_free_owners()
        if lease is None:
            lease = await self._wait_in_queues()
        if lease is None:
            return Failure(self._build_refusal("no free slot before the deadline"))
        return Success(lease)

    async def _try_free_owners(self) -> SlotLease | None:
        owners = [owner for owner, free in self._rank_owners() if free > 0]
        for owner in owners[:MAX_IMMEDIATE_ATTEMPTS]:
            lease = await self._request_once(owner)
            if lease is not None or self._remaining_time() <= 0:
                return lease
        return None

    async def _wait_in_queues(self) -> SlotLease | None:
        pool_key = self.request.service, self.request.region
        self.directory.watch(*pool_key, self._wake)
        try:
            while self._remaining_time() > 0:
                self._join_queues()
                if not self._owner_by_task and not await self._pause_before_retry():
                    return None
                if not self._owner_by_task:
                    continue
                lease = await self._wait_for_lease()
                if lease is not None:
                    return lease
            return None
        finally:
            self.directory.unwatch(*pool_key, self._wake)
            self._cancel_tasks(self._owner_by_task)

    def _join_queues(self) -> None:
        ranked = self._rank_owners()
        for owner, free in ranked:
            if owner in self._owner_by_task.values():
                continue
            if owner in self._refused_by or owner in self._unreachable:
                continue
            # An owner with a free slot justifies more queues than `PARALLEL_QUEUES`.
            if len(self._owner_by_task) < PARALLEL_QUEUES or free > 0:
                task = asyncio.create_task(self._wait_in_queue(owner))
                task.add_done_callback(self._wake_on_done)
                self._owner_by_task[task] = owner

    async def _pause_before_retry(self) -> bool:
        """Wait before trying unreachable owners again.

        Return False at once if no owner is unreachable.
        """
        if not self._unreachable:
            return False
        self._unreachable.clear()
        await asyncio.sleep(min(RETRY_DELAY_S, self._remaining_time()))
        return True

    async def _wait_for_lease(self) -> SlotLease | None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(min(RECHECK_INTERVAL_S, self._remaining_time())):
                await self._wake.wait()
        self._wake.clear()
        leases = []
        for task in [task for task in self._owner_by_task if task.done()]:
            owner = self._owner_by_task.pop(task)
            lease = task.result()
            if lease is None and owner not in self._unreachable:
                self._refused_by.add(owner)
            if lease is not None:
                leases.append(lease)
        self._release_leases(leases[1:])
        return leases[0] if leases else None

    def _wake_on_done(self, task: asyncio.Task[SlotLease | None]) -> None:
        self._wake.set()

    async def _request_once(self, owner: str) -> SlotLease | None:
        number = self.holder.allocate_number(owner)
        lease = None
        try:
            reply, sent_at = await self._call(owner, number, wait=0.0)
            lease = self._accept_reply(owner, number, reply, sent_at)
            return lease
        finally:
            if lease is None:
                self._withdraw(owner, number)

    async def _wait_in_queue(self, owner: str) -> SlotLease | None:
        number = self.holder.allocate_number(owner)
        lease = None
        try:
            while self._remaining_time() > 0:
                wait = min(MAX_WAIT_S, self._remaining_time())
                reply, sent_at = await self._call(owner, number, wait=wait)
                if reply is None or reply.status != Status.WAITING.value:
                    lease = self._accept_reply(owner, number, reply, sent_at)
                    return lease
            return None
        finally:
            if lease is None:
                self._withdraw(owner, number)

    async def _call(
        self, owner: str, number: int, *, wait: float
    ) -> tuple[SlotReply | None, float]:
        sent_at = _now()
        body = AcquireSlot(
            incarnation=self.holder.incarnation,
            number=number,
            service=self.request.service,
            organisation=self.request.organisation,
            region=self.request.region,
            remaining=self.request.deadline - sent_at,
            wait=wait,
            exclude=sorted(self.request.exclude),
        )
        reply: SlotReply | None
        if owner == self.transport.instance_id:
            reply = await self.service.handle_acquire(owner, body)
        else:
            reply = await self._call_peer(owner, body)
        if reply is not None:
            self.directory.set_free_slots(owner, self.request.service, reply.free)
        return reply, sent_at

    async def _call_peer(self, owner: str, body: AcquireSlot) -> SlotReply | None:
        timeout = min(body.wait + CALL_TIMEOUT_S, body.remaining)
        try:
            reply = await self.transport.call(owner, body, timeout=timeout)
        except PeerUnavailable:
            self.directory.mark_suspect(owner, _now())
            self._unreachable.add(owner)
            return None
        return reply if isinstance(reply, SlotReply) else None

    def _accept_reply(
        self, owner: str, number: int, reply: SlotReply | None, sent_at: float
    ) -> SlotLease | None:
        if reply is None or reply.status != Status.GRANTED.value:
            self._record_refusal(number, reply)
            return None
        lease = SlotLease(
            number=number,
            service=self.request.service,
            organisation=self.request.organisation,
            region=self.request.region,
            target_id=reply.target_id,
            address=reply.address,
            owner=owner,
            deadline=self.request.deadline,
            start_by=sent_at + reply.valid_for,
            granted_at=_now(),
            confirmed_at=sent_at,
        )
        is_usable = self.holder.accept(lease, reply.owner_incarnation, _now())
        return lease if is_usable else None

    def _record_refusal(self, number: int, reply: SlotReply | None) -> None:
        if reply is None or reply.status == Status.WAITING.value:
            return
        self._refused_numbers.add(number)
        self._retry_after = max(reply.retry_after, 1.0)

    def _cancel_tasks(self, tasks: Iterable[asyncio.Task[SlotLease | None]]) -> None:
        for task in tasks:
            if task.done() and not task.cancelled():
                self._release_leases([task.result()])
            task.cancel()

    def _release_leases(self, leases: Iterable[SlotLease | None]) -> None:
        for lease in leases:
            if lease is not None:
                self._withdraw(lease.owner, lease.number)

    def _withdraw(self, owner: str, number: int) -> None:
        if number in self._refused_numbers:
            self.holder.discard_pending(number)
            return
        self.holder.record_end(number, owner)
        outcome = Outcome.CANCELLED.value
        body = ReleaseSlot(self.holder.incarnation, number, outcome, 0.0)
        if owner == self.transport.instance_id:
            self.service.release(owner, body)
        else:
            self.transport.send(owner, body)

    def _rank_owners(self) -> list[tuple[str, int]]:
        return self.directory.rank(self.request.service, self.request.region, _now())

    def _remaining_time(self) -> float:
        return self.request.deadline - _now()

    def _build_refusal(self, reason: str) -> Verdict:
        text = (
            f"service {self.request.service!r} in region {self.request.region!r}: "
            f"{reason}"
        )
        return refuse("no_capacity", text, status=503, retry_after=self._retry_after)


def _now() -> float:
    return asyncio.get_running_loop().time()
