"""The dispatcher of one instance: target registry, slot owner and lease holder."""

import asyncio
import random
from collections.abc import Callable, Collection
from typing import Any

import attrs
import structlog
from returns.result import Failure, Result, Success

from toucanwood.dispatch._acquisition import Acquisition, SlotRequest
from toucanwood.dispatch._claims import Claimant
from toucanwood.dispatch._holder import LeaseHolder, SlotLease
from toucanwood.dispatch._messages import (
    DirectoryDelta,
    HoldReply,
    LeaveReply,
    LeaveTarget,
    ReleaseSlot,
)
from toucanwood.dispatch._owner import SlotOwner
from toucanwood.dispatch._selector import Selector
from toucanwood.dispatch._service import SlotService
from toucanwood.dispatch._slot_directory import DeltaBuilder, SlotDirectory
from toucanwood.dispatch._target import TARGET_LEASE_S, Announcement, Outcome
from toucanwood.peering import PeerUnavailable, Transport
from toucanwood.utils import TaskGroup
from toucanwood.verdicts import Verdict, refuse

TICK_S = 0.05
LEASE_REPORT_INTERVAL_S = 1.0
LEASE_REPORT_TIMEOUT_S = 1.0
LEAVE_TIMEOUT_S = 0.5
LEAVE_ATTEMPTS = 4
RENEWAL_INTERVAL_S = 1.0
MIN_DELTA_INTERVAL_S = 0.1
# Assumed encoded size of a delta. A delta with three services and four organisations
# each has 197 bytes.
DELTA_SIZE_BYTES = 200
DELTA_BUDGET_BYTES_PER_S = 10_000

log = structlog.get_logger()


@attrs.frozen
class TargetLease:
    """Validity of an announcement and time until its renewal, in seconds."""

    seconds: float = TARGET_LEASE_S
    renew_after: float = RENEWAL_INTERVAL_S


class Dispatcher:
    """Own the slots of targets that announce here and acquire slots from all owners.

    `members` returns the ids of the known instances, `find_region` the region of a data
    centre. `incarnation` must increase with each start of the instance. Targets in a
    data centre for which `is_drained` is true get requests only if the service has no
    other targets in the region.
    """

    def __init__(
        self,
        *,
        transport: Transport,
        data_centre: str,
        incarnation: int,
        members: Callable[[], Collection[str]],
        find_region: Callable[[str], str | None],
        random: random.Random,
        is_drained: Callable[[str], bool] = lambda data_centre: False,
        selector: Selector | None = None,
    ) -> None:
        self._transport = transport
        self._id = transport.instance_id
        self._incarnation = incarnation
        self._members = members
        self._find_region = find_region
        self._tasks = TaskGroup()
        self._directory = SlotDirectory(
            instance_id=self._id,
            data_centre=data_centre,
            find_region=find_region,
            random=random,
            is_drained=is_drained,
        )
        self._service = SlotService(
            transport=transport,
            incarnation=incarnation,
            fleet=self._directory,
            is_isolated=self._is_isolated,
            is_drained=is_drained,
            selector=selector,
        )
        self._owner: SlotOwner = self._service.owner
        self._holder = LeaseHolder(instance_id=self._id, incarnation=incarnation)
        self._deltas = DeltaBuilder(incarnation=incarnation)
        self._claimant = Claimant(
            transport=transport,
            owner=self._owner,
            holder=self._holder,
            members=members,
            has_slots=self._has_slots,
        )
        self._last_delta_at = -1.0
        transport.register(DirectoryDelta, self._handle_delta)
        transport.register(LeaveTarget, self._handle_leave)

    async def start(self) -> None:
        """Start the periodic work."""
        self._tasks.start(self._run_ticks(), name="dispatch-ticks")
        self._tasks.start(self._run_lease_reports(), name="dispatch-holds")

    async def stop(self) -> None:
        """Stop the periodic work; leases still held expire at their owners."""
        await self._claimant.stop()
        await self._tasks.stop()

    async def acquire(
        self,
        service: str,
        organisation: str,
        region: str,
        *,
        deadline: float,
        exclude: Collection[str] = (),
    ) -> Result[SlotLease, Verdict]:
        """Get a slot in a region before `deadline`, on the loop's clock in seconds.

        `exclude` lists the ids of targets not to use. A refusal always means that the
        request has not run.
        """
        request = SlotRequest(
            service, organisation, region, deadline, frozenset(exclude)
        )
        acquisition = Acquisition(
            request=request,
            service=self._service,
            holder=self._holder,
            directory=self._directory,
            transport=self._transport,
        )
        return await acquisition.run()

    def release(self, lease: SlotLease, outcome: Outcome) -> None:
        """End a lease; the end is reported until the owner has confirmed it."""
        if not self._holder.is_held(lease):
            return
        self._holder.record_end(lease.number, lease.owner)
        duration = _now() - lease.granted_at
        body = ReleaseSlot(self._incarnation, lease.number, outcome.value, duration)
        if lease.owner == self._id:
            self._service.release(self._id, body)
        else:
            self._transport.send(lease.owner, body)

    async def announce(
        self, announcement: Announcement
    ) -> Result[TargetLease, Verdict]:
        """Add or renew a target.

        A new target gets requests once all leases on it are known or have expired.
        """
        region = self._find_region(announcement.data_centre)
        if region is None:
            text = f"data centre {announcement.data_centre!r} is not declared"
            return Failure(refuse("unknown_data_centre", text, status=400))
        now = _now()
        if self._owner.has_recently_left(announcement.id, now):
            text = f"target {announcement.id!r} has just left"
            verdict = refuse("target_left", text, status=409, retry_after=2.0)
            return Failure(verdict)
        if self._owner.announce(announcement, region, now):
            self._claimant.start(announcement.id)
        return Success(TargetLease())

    async def leave(self, target_id: str) -> Result[None, Verdict]:
        """Stop new requests to a target, whichever instance owns the target."""
        if self._owner.leave(target_id, _now()):
            return Success(None)
        for _ in range(LEAVE_ATTEMPTS):
            peers = [peer for peer in self._members() if peer != self._id]
            replies = await asyncio.gather(
                *(self._call_leave(peer, target_id) for peer in peers)
            )
            if any(replies):
                return Success(None)
        text = f"no owner of target {target_id!r} answered"
        return Failure(refuse("unknown_target", text, status=404))

    def remove_instance(self, instance_id: str) -> None:
        """Free the slots held by an instance that has left permanently."""
        self._owner.remove_holder(instance_id, _now())
        self._claimant.remove_member(instance_id)
        self._holder.remove_owner(instance_id)

    def is_reachable(self, service: str, region: str) -> bool:
        """Return whether any owner offers slots of a service in a region."""
        return self._directory.count_slots(service, region) > 0

    def count_slots(self, service: str, region: str) -> int:
        """Return the known number of slots of a service in a region."""
        return self._directory.count_slots(service, region)

    def count_free(self, service: str, region: str) -> int:
        """Return the known number of free slots of a service in a region."""
        return self._directory.count_free(service, region)

    def dump(self) -> dict[str, Any]:
        """Return the state of the slot owner, the lease holder and the directory."""
        now = _now()
        return {
            "owner": self._owner.dump(now),
            "holder": self._holder.dump(now),
            "directory": self._directory.dump(now),
        }

    # Periodic work

    async def _run_ticks(self) -> None:
        while True:
            now = _now()
            self._owner.advance(now)
            self._holder.advance(now)
            self._directory.advance(now)
            self._claimant.record_members(now)
            shares = self._owner.list_shares(now)
            self._directory.set_own_shares(shares, now)
            self._send_deltas(shares, now)
            await asyncio.sleep(TICK_S)

    def _send_deltas(self, shares: list[Any], now: float) -> None:
        peers = [peer for peer in self._members() if peer != self._id]
        budget_interval = len(peers) * DELTA_SIZE_BYTES / DELTA_BUDGET_BYTES_PER_S
        if now < self._last_delta_at + max(MIN_DELTA_INTERVAL_S, budget_interval):
            return
        self._last_delta_at = now
        delta = self._deltas.build(shares, now)
        if delta is None:
            return
        for peer in peers:
            self._transport.send(peer, delta)

    async def _run_lease_reports(self) -> None:
        while True:
            owners = self._holder.list_owners_to_notify()
            for owner in owners:
                self._tasks.start(
                    self._report_leases(owner), name=f"dispatch-hold-{owner}"
                )
            await asyncio.sleep(LEASE_REPORT_INTERVAL_S)

    async def _report_leases(self, owner: str) -> None:
        body = self._holder.build_hold_leases()
        sent_at = _now()
        if owner == self._id:
            reply = await self._service.handle_hold(self._id, body)
        else:
            try:
                reply = await self._transport.call(
                    owner, body, timeout=LEASE_REPORT_TIMEOUT_S
                )
            except PeerUnavailable:
                self._remove_if_not_member(owner)
                return
        if isinstance(reply, HoldReply):
            self._holder.apply_hold_reply(owner, body, reply.numbers, sent_at)

    def _remove_if_not_member(self, owner: str) -> None:
        if owner not in self._members():
            self._holder.remove_owner(owner)

    # Messages

    async def _handle_delta(self, sender: str, body: DirectoryDelta) -> None:
        self._directory.apply(sender, body, _now())

    async def _handle_leave(self, sender: str, body: LeaveTarget) -> LeaveReply:
        return LeaveReply(self._owner.leave(body.target_id, _now()))

    async def _call_leave(self, peer: str, target_id: str) -> bool:
        try:
            body = LeaveTarget(target_id)
            reply = await self._transport.call(peer, body, timeout=LEAVE_TIMEOUT_S)
        except PeerUnavailable:
            return False
        return isinstance(reply, LeaveReply) and reply.is_owner

    def _is_isolated(self) -> bool:
        others = {peer for peer in self._members() if peer != self._id}
        return not others <= self._transport.connected_peers()

    def _has_slots(self, service: str, region: str) -> bool:
        return self._directory.count_slots(service, region) > 0


def _now() -> float:
    return asyncio.get_running_loop().time()
