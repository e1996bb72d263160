"""One request's search for a slot over the owners of a region."""

import asyncio
import contextlib
from collections.abc import Iterable

import attrs
from returns.result import Failure, Result, Success

from toucanwood.dispatch._decisions import Status
from toucanwood.dispatch._directory import Directory
from toucanwood.dispatch._holder import LeaseHolder, SlotLease
from toucanwood.dispatch._messages import AcquireSlot, ReleaseSlot, SlotReply
from toucanwood.dispatch._service import MAX_WAIT_S, SlotService
from toucanwood.dispatch._target import Outcome
from toucanwood.peering import PeerUnavailable, Transport
from toucanwood.verdicts import Verdict, refuse

CALL_TIMEOUT_S = 0.3
MAX_IMMEDIATE_TRIES = 3
PARALLEL_QUEUES = 2
# Fallback in s for what the directory does not report, such as a declared drain.
RECHECK_S = 1.0
RETRY_PAUSE_S = 0.1


@attrs.frozen
class Ask:
    """Describe the slot that a request needs."""

    service: str
    organisation: str
    region: str
    deadline: float
    exclude: frozenset[str]


@attrs.define(kw_only=True)
class Acquisition:
    """Try owners with free slots first, then queue at the least loaded ones."""

    ask: Ask
    service: SlotService
    holder: LeaseHolder
    directory: Directory
    transport: Transport
    _refused_numbers: set[int] = attrs.field(factory=set)
    _queued: dict[asyncio.Task[SlotLease | None], str] = attrs.field(factory=dict)
    _wake: asyncio.Event = attrs.field(factory=asyncio.Event)
    _unreachable: set[str] = attrs.field(factory=set)
    _refused: set[str] = attrs.field(factory=set)
    _retry_after: float = 1.0

    async def run(self) -> Result[SlotLease, Verdict]:
        """Return a lease or a refusal by the request's deadline."""
        if not self._rank():
            return Failure(self._refuse("no reachable target"))
        lease = await self._try_free()
        if lease is None:
            lease = await self._queue()
        if lease is None:
            return Failure(self._refuse("no free slot before the deadline"))
        return Success(lease)

    async def _try_free(self) -> SlotLease | None:
        owners = [owner for owner, free in self._rank() if free > 0]
        for owner in owners[:MAX_IMMEDIATE_TRIES]:
            lease = await self._ask_once(owner)
            if lease is not None or self._remaining() <= 0:
                return lease
        return None

    async def _queue(self) -> SlotLease | None:
        place = self.ask.service, self.ask.region
        self.directory.watch(*place, self._wake)
        try:
            while self._remaining() > 0:
                self._open_queues()
                if not self._queued and not await self._pause_for_unreachable():
                    return None
                if not self._queued:
                    continue
                lease = await self._wait_for_queues()
                if lease is not None:
                    return lease
            return None
        finally:
            self.directory.unwatch(*place, self._wake)
            self._abandon(self._queued)

    def _open_queues(self) -> None:
        ranked = self._rank()
        for owner, free in ranked:
            if owner in self._queued.values():
                continue
            if owner in self._refused or owner in self._unreachable:
                continue
            # A slot that becomes free elsewhere is worth a further place in a queue.
            if len(self._queued) < PARALLEL_QUEUES or free > 0:
                task = asyncio.create_task(self._queue_at(owner))
                task.add_done_callback(self._note_done)
                self._queued[task] = owner

    async def _pause_for_unreachable(self) -> bool:
        """Wait before unreachable owners are tried again; return False if none is."""
        if not self._unreachable:
            return False
        self._unreachable.clear()
        await asyncio.sleep(min(RETRY_PAUSE_S, self._remaining()))
        return True

    async def _wait_for_queues(self) -> SlotLease | None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(min(RECHECK_S, self._remaining())):
                await self._wake.wait()
        self._wake.clear()
        leases = []
        for task in [task for task in self._queued if task.done()]:
            owner = self._queued.pop(task)
            lease = task.result()
            if lease is None and owner not in self._unreachable:
                self._refused.add(owner)
            if lease is not None:
                leases.append(lease)
        self._release(leases[1:])
        return leases[0] if leases else None

    def _note_done(self, task: asyncio.Task[SlotLease | None]) -> None:
        self._wake.set()

    async def _ask_once(self, owner: str) -> SlotLease | None:
        number = self.holder.open_ticket(owner)
        lease = None
        try:
            reply, sent_at = await self._call(owner, number, wait=0.0)
            lease = self._take(owner, number, reply, sent_at)
            return lease
        finally:
            if lease is None:
                self._withdraw(owner, number)

    async def _queue_at(self, owner: str) -> SlotLease | None:
        number = self.holder.open_ticket(owner)
        lease = None
        try:
            while self._remaining() > 0:
                wait = min(MAX_WAIT_S, self._remaining())
                reply, sent_at = await self._call(owner, number, wait=wait)
                if reply is None or reply.status != Status.WAITING.value:
                    lease = self._take(owner, number, reply, sent_at)
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
            service=self.ask.service,
            organisation=self.ask.organisation,
            region=self.ask.region,
            remaining=self.ask.deadline - sent_at,
            wait=wait,
            exclude=sorted(self.ask.exclude),
        )
        reply: SlotReply | None
        if owner == self.transport.instance_id:
            reply = await self.service.handle_acquire(owner, body)
        else:
            reply = await self._call_peer(owner, body)
        if reply is not None:
            self.directory.set_free(owner, self.ask.service, reply.free)
        return reply, sent_at

    async def _call_peer(self, owner: str, body: AcquireSlot) -> SlotReply | None:
        timeout = min(body.wait + CALL_TIMEOUT_S, body.remaining)
        try:
            reply = await self.transport.call(owner, body, timeout=timeout)
        except PeerUnavailable:
            self.directory.suspect(owner, _now())
            self._unreachable.add(owner)
            return None
        return reply if isinstance(reply, SlotReply) else None

    def _take(
        self, owner: str, number: int, reply: SlotReply | None, sent_at: float
    ) -> SlotLease | None:
        if reply is None or reply.status != Status.GRANTED.value:
            self._note_refusal(number, reply)
            return None
        lease = SlotLease(
            number=number,
            service=self.ask.service,
            organisation=self.ask.organisation,
            region=self.ask.region,
            target_id=reply.target_id,
            address=reply.address,
            owner=owner,
            deadline=self.ask.deadline,
            start_by=sent_at + reply.valid_for,
            granted_at=_now(),
            confirmed_at=sent_at,
        )
        is_usable = self.holder.accept(lease, reply.owner_incarnation, _now())
        return lease if is_usable else None

    def _note_refusal(self, number: int, reply: SlotReply | None) -> None:
        if reply is None or reply.status == Status.WAITING.value:
            return
        self._refused_numbers.add(number)
        self._retry_after = max(reply.retry_after, 1.0)

    def _abandon(self, tasks: Iterable[asyncio.Task[SlotLease | None]]) -> None:
        for task in tasks:
            if task.done() and not task.cancelled():
                self._release([task.result()])
            task.cancel()

    def _release(self, leases: Iterable[SlotLease | None]) -> None:
        for lease in leases:
            if lease is not None:
                self._withdraw(lease.owner, lease.number)

    def _withdraw(self, owner: str, number: int) -> None:
        if number in self._refused_numbers:
            self.holder.forget(number)
            return
        self.holder.end(number, owner)
        outcome = Outcome.CANCELLED.value
        body = ReleaseSlot(self.holder.incarnation, number, outcome, 0.0)
        if owner == self.transport.instance_id:
            self.service.release(owner, body)
        else:
            self.transport.send(owner, body)

    def _rank(self) -> list[tuple[str, int]]:
        return self.directory.rank(self.ask.service, self.ask.region, _now())

    def _remaining(self) -> float:
        return self.ask.deadline - _now()

    def _refuse(self, reason: str) -> Verdict:
        text = f"service {self.ask.service!r} in region {self.ask.region!r}: {reason}"
        return refuse("no_capacity", text, status=503, retry_after=self._retry_after)


def _now() -> float:
    return asyncio.get_running_loop().time()
