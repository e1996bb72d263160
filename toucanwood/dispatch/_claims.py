"""Transfer of a target to a new owner without exceeding the target's slots."""

import asyncio
from collections.abc import Callable, Collection

import attrs
import structlog

from toucanwood.dispatch._holder import LeaseHolder, OwnershipClaim
from toucanwood.dispatch._messages import ClaimReply, ClaimTarget
from toucanwood.dispatch._owner import HOLDER_TIMEOUT_S, SlotOwner
from toucanwood.dispatch._target import TARGET_LEASE_S, LeaseKey, OwnedLease
from toucanwood.peering import PeerUnavailable, Transport
from toucanwood.utils import TaskGroup

# Time in s to wait for a previous owner that does not answer: it grants slots until the
# announcement that the target made to it expires.
PREVIOUS_OWNER_WAIT_S = TARGET_LEASE_S + 0.5
# Time in s to wait for a holder that does not answer. By then the holder has given up
# its leases, because their owner has not confirmed them since the target last renewed
# its announcement.
SILENT_HOLDER_WAIT_S = TARGET_LEASE_S + HOLDER_TIMEOUT_S + 0.5
CLAIM_TIMEOUT_S = 0.5
CLAIM_INTERVAL_S = 0.25

log = structlog.get_logger()


@attrs.define
class ClaimProgress:
    """Track the answers of other instances to one claim."""

    started_at: float
    answered: set[str] = attrs.field(factory=set)
    has_previous_owner_given_up: bool = False


class Claimant:
    """Collect the leases on a new target from all instances, then open the target.

    `has_slots` returns whether any owner has slots of a service in a region.
    """

    def __init__(
        self,
        *,
        transport: Transport,
        owner: SlotOwner,
        holder: LeaseHolder,
        members: Callable[[], Collection[str]],
        has_slots: Callable[[str, str], bool],
    ) -> None:
        self._transport = transport
        self._owner = owner
        self._holder = holder
        self._members = members
        self._has_slots = has_slots
        self._tasks = TaskGroup()
        self._last_seen_at: dict[str, float] = {}
        transport.register(ClaimTarget, self._handle_claim)

    def start(self, target_id: str) -> None:
        """Start to claim a target in the background."""
        self._tasks.start(self._claim(target_id), name=f"claim-{target_id}")

    def record_members(self, now: float) -> None:
        """Record the members, because a member that is lost may still hold leases."""
        for member in self._members():
            self._last_seen_at[member] = now
        for member, seen_at in list(self._last_seen_at.items()):
            if now >= seen_at + SILENT_HOLDER_WAIT_S:
                del self._last_seen_at[member]

    def remove_member(self, member: str) -> None:
        """Stop waiting for the answer of an instance that has left permanently."""
        self._last_seen_at.pop(member, None)

    async def stop(self) -> None:
        """Cancel the running claims."""
        await self._tasks.stop()

    async def _claim(self, target_id: str) -> None:
        target = self._owner.get_target(target_id)
        progress = ClaimProgress(started_at=_now())
        self._adopt_own_leases(target_id)
        while self._owner.get_target(target_id) is target:
            await self._query_unanswered_peers(target_id, progress)
            if self._can_open(progress):
                break
            await asyncio.sleep(CLAIM_INTERVAL_S)
        if target is None or self._owner.get_target(target_id) is not target:
            return
        # If the service has no other target, a ramp-up would only cause refusals.
        ramp_up = self._has_slots(target.announcement.service, target.region)
        self._owner.open(target_id, ramp_up=ramp_up, now=_now())
        log.info("target_opened", target=target_id, waited=_now() - progress.started_at)

    def _adopt_own_leases(self, target_id: str) -> None:
        leases = self._list_held_leases(target_id, self._transport.instance_id)
        self._adopt_leases(target_id, leases)

    async def _query_unanswered_peers(
        self, target_id: str, progress: ClaimProgress
    ) -> None:
        peers = sorted(self._list_possible_holders() - progress.answered)
        replies = await asyncio.gather(
            *(self._send_claim(peer, target_id) for peer in peers)
        )
        for peer, reply in zip(peers, replies, strict=True):
            if reply is None:
                continue
            progress.answered.add(peer)
            progress.has_previous_owner_given_up |= reply.gave_up
            self._adopt_leases(target_id, reply.leases)

    def _can_open(self, progress: ClaimProgress) -> bool:
        elapsed = _now() - progress.started_at
        if elapsed >= SILENT_HOLDER_WAIT_S:
            return True
        if not self._list_possible_holders() <= progress.answered:
            return False
        return progress.has_previous_owner_given_up or elapsed >= PREVIOUS_OWNER_WAIT_S

    def _list_possible_holders(self) -> set[str]:
        self.record_members(_now())
        return set(self._last_seen_at) - {self._transport.instance_id}

    async def _send_claim(self, peer: str, target_id: str) -> ClaimReply | None:
        body = ClaimTarget(target_id, self._holder.incarnation)
        try:
            reply = await self._transport.call(peer, body, timeout=CLAIM_TIMEOUT_S)
        except PeerUnavailable:
            return None
        return reply if isinstance(reply, ClaimReply) else None

    def _adopt_leases(self, target_id: str, items: list[list]) -> None:
        now = _now()
        leases = [
            OwnedLease(
                key=LeaseKey(holder, incarnation, number),
                organisation=organisation,
                deadline=now + remaining,
                granted_at=now,
                reported_at=now,
            )
            for holder, incarnation, number, organisation, remaining in items
        ]
        self._owner.adopt_leases(target_id, leases, now)

    async def _handle_claim(self, sender: str, body: ClaimTarget) -> ClaimReply:
        now = _now()
        target = self._owner.get_target(body.target_id)
        # An owner that has not finished its own claim may not know all leases.
        was_open = target is not None and target.is_open
        granted = self._owner.give_up(body.target_id)
        claim = OwnershipClaim(sender, body.owner_incarnation, now)
        held = self._list_held_leases(body.target_id, sender, claim)
        items = [
            [
                lease.key.holder,
                lease.key.incarnation,
                lease.key.number,
                lease.organisation,
                lease.deadline - now,
            ]
            for lease in granted or ()
        ]
        return ClaimReply(was_open, items + held)

    def _list_held_leases(
        self, target_id: str, owner: str, claim: OwnershipClaim | None = None
    ) -> list[list]:
        now = _now()
        claim = claim or OwnershipClaim(owner, self._holder.incarnation, now)
        return [
            [
                self._holder.instance_id,
                self._holder.incarnation,
                lease.number,
                lease.organisation,
                lease.deadline - now,
            ]
            for lease in self._holder.transfer_leases(target_id, claim)
        ]


def _now() -> float:
    return asyncio.get_running_loop().time()
