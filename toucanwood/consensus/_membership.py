"""Membership changes, one at a time, and the repair of voters with a lost disk."""

import asyncio
from typing import Any

import structlog
from returns.result import Failure, Result

from toucanwood.consensus._core import (
    CALL_TIMEOUT_S,
    HEARTBEAT_INTERVAL_S,
    LEASE_S,
    PendingProposal,
    RaftCore,
)
from toucanwood.consensus._leadership import Leadership
from toucanwood.consensus._log import EntryKind
from toucanwood.consensus._members import Member, MemberRole, Members
from toucanwood.consensus._messages import Identify, Identity
from toucanwood.peering import PeerUnavailable
from toucanwood.verdicts import Verdict, build_uncertain_verdict, refuse

log = structlog.get_logger()

# Highest number of missing entries with which a learner is promoted; it catches up
# within one batch.
MAX_PROMOTION_LAG_ENTRIES = 100
CHANGE_TIMEOUT_S = 5.0
RETRY_AFTER_S = 1.0


class MembershipManager:
    """Change the members of the group through the log."""

    def __init__(self, core: RaftCore, leadership: Leadership) -> None:
        self._core = core
        self._leadership = leadership

    async def add_learner(self, instance_id: str) -> Result[Any, Verdict]:
        """Add a member that receives the log but does not vote."""
        incarnation = await self._identify(instance_id)
        if incarnation is None:
            message = f"instance {instance_id} did not answer"
            return Failure(_refuse("peer_unavailable", message, status=503))
        known = self._core.members.by_id.get(instance_id)
        if known is not None and known.incarnation == incarnation:
            message = f"instance {instance_id} is already a member"
            return Failure(_refuse("already_member", message, status=409))
        if known is not None and known.role is MemberRole.VOTER:
            message = f"instance {instance_id} is a voter and is repaired automatically"
            return Failure(_refuse("already_member", message, status=409))
        member = Member(incarnation, MemberRole.LEARNER)
        return await self._submit_members(
            self._core.members.with_member(instance_id, member)
        )

    async def promote(self, instance_id: str) -> Result[Any, Verdict]:
        """Turn a learner into a voter; refused until the learner has caught up."""
        known = self._core.members.by_id.get(instance_id)
        if known is None or known.role is MemberRole.VOTER:
            message = f"instance {instance_id} is not a learner"
            return Failure(_refuse("not_learner", message, status=409))
        if self._leadership.is_leader() and not self._has_caught_up(instance_id):
            message = f"learner {instance_id} has not caught up"
            verdict = _refuse("not_caught_up", message, status=409, retry=True)
            return Failure(verdict)
        member = Member(known.incarnation, MemberRole.VOTER)
        return await self._submit_members(
            self._core.members.with_member(instance_id, member)
        )

    async def remove(self, instance_id: str) -> Result[Any, Verdict]:
        """Remove a member; a leader transfers the leadership before its own removal."""
        core = self._core
        if instance_id not in core.members.by_id:
            message = f"instance {instance_id} is not a member"
            return Failure(_refuse("not_member", message, status=404))
        if core.members.voters == [instance_id]:
            message = f"instance {instance_id} is the last voter"
            return Failure(_refuse("last_voter", message, status=409))
        if instance_id == core.id and self._leadership.is_leader():
            await self._leadership.transfer()
        return await self._submit_members(core.members.without_member(instance_id))

    async def run(self) -> None:
        """Repair members with a lost disk while this replica leads."""
        while not self._core.is_closed:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            if self._leadership.is_leader() and self._is_membership_committed():
                await self._repair_one()

    async def _repair_one(self) -> None:
        """Handle at most one member that lost its disk.

        A member with a new disk is added again under the new incarnation; a voter
        becomes a REPAIRING learner. A REPAIRING learner that has caught up is promoted.
        """
        core = self._core
        for peer in list(self._leadership.peers.values()):
            role = peer.member.role
            if peer.new_incarnation is not None:
                if role is MemberRole.VOTER:
                    role = MemberRole.REPAIRING
                log.warning(
                    "disk_lost", replica=peer.id, incarnation=peer.new_incarnation
                )
                member = Member(peer.new_incarnation, role)
                await self._submit_members(core.members.with_member(peer.id, member))
                return
            if role is MemberRole.REPAIRING and self._has_caught_up(peer.id):
                await self.promote(peer.id)
                return

    async def _submit_members(self, members: Members) -> Result[Any, Verdict]:
        core = self._core
        if not (self._leadership.is_active and self._leadership.is_leader()):
            message = f"the leader is {core.leader_id}"
            return Failure(_refuse("not_leader", message, status=503, retry=True))
        if not self._is_membership_committed():
            message = "the previous membership change is not committed yet"
            verdict = _refuse("change_in_progress", message, status=409, retry=True)
            return Failure(verdict)
        return await submit_entry(
            core,
            self._leadership,
            EntryKind.MEMBERS,
            members.pack(),
            timeout=CHANGE_TIMEOUT_S,
        )

    def _is_membership_committed(self) -> bool:
        """Return whether the members in effect are committed."""
        return self._core.members_index <= self._core.commit_index

    def _has_caught_up(self, instance_id: str) -> bool:
        core = self._core
        peer = self._leadership.peers.get(instance_id)
        if peer is None or peer.new_incarnation is not None:
            return False
        lag = core.storage.log.last_index - peer.match_index
        is_reachable = core.now() - peer.acked_sent_at < LEASE_S
        return is_reachable and lag <= MAX_PROMOTION_LAG_ENTRIES

    async def _identify(self, instance_id: str) -> str | None:
        call = self._core.transport.call
        try:
            reply = await call(instance_id, Identify(), timeout=CALL_TIMEOUT_S)
        except PeerUnavailable:
            return None
        return reply.incarnation if isinstance(reply, Identity) else None


async def submit_entry(
    core: RaftCore,
    leadership: Leadership,
    kind: EntryKind,
    data: bytes,
    *,
    timeout: float,
) -> Result[Any, Verdict]:
    """Append an entry on the leader and wait until it is applied."""
    future = asyncio.get_running_loop().create_future()
    # No await may come between these two lines, or the entry could be applied before
    # its proposal is registered.
    index = leadership.append(kind, data)
    core.pending[index] = PendingProposal(core.term, future)
    try:
        return await asyncio.wait_for(future, timeout)
    except TimeoutError:
        message = f"entry {index} was not committed within {timeout:.3f} s"
        return Failure(build_uncertain_verdict("commit_unknown", message, status=504))


def _refuse(code: str, message: str, *, status: int, retry: bool = False) -> Verdict:
    retry_after = RETRY_AFTER_S if retry else None
    return refuse(code, message, status=status, retry_after=retry_after)
