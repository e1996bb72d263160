"""The tasks of a leader: replication, commit, lease and leadership transfer."""

import asyncio
import math

import attrs
import structlog

from toucanwood.consensus._core import (
    CALL_TIMEOUT_S,
    HEARTBEAT_INTERVAL_S,
    LEASE_S,
    RaftCore,
    RaftRole,
)
from toucanwood.consensus._log import Entry, EntryKind
from toucanwood.consensus._members import Member, MemberRole, find_majority_value
from toucanwood.consensus._messages import (
    AppendEntries,
    AppendReply,
    Confirmation,
    ConfirmCurrent,
    InstallSnapshot,
    TimeoutNow,
)
from toucanwood.consensus._records import StorageError
from toucanwood.consensus._storage import Snapshot
from toucanwood.peering import PeerUnavailable
from toucanwood.verdicts import Execution

log = structlog.get_logger()

MAX_BATCH_BYTES = 1024 * 1024
SNAPSHOT_CHUNK_BYTES = 256 * 1024
# Timeout of the last chunk, which is answered after the whole snapshot was synced.
LAST_CHUNK_TIMEOUT_S = 2.0
TRANSFER_TIMEOUT_S = 1.0


@attrs.define(eq=False)
class Peer:
    """The replication state of one other member, as known to the leader."""

    id: str
    member: Member
    next_index: int
    match_index: int = 0
    # Send time of the latest request that the member has answered.
    acked_sent_at: float = -math.inf
    # Incarnation of the member's new disk, once a reply shows that the old one is lost.
    new_incarnation: str | None = None
    wake_event: asyncio.Event = attrs.field(factory=asyncio.Event)


class Leadership:
    """Lead the group in one term: replicate the log to the peers and commit."""

    def __init__(self, core: RaftCore) -> None:
        self._core = core
        self._peers: dict[str, Peer] = {}
        self._term = 0
        self._elected_at = -math.inf
        self._first_index_of_term = 0
        self._is_transferring = False
        core.transport.register(ConfirmCurrent, self._handle_confirm_current)

    @property
    def peers(self) -> dict[str, Peer]:
        """Return the other members by id."""
        return self._peers

    @property
    def is_active(self) -> bool:
        """Return whether this replica leads and accepts proposals."""
        return self._core.role is RaftRole.LEADER and not self._is_transferring

    def is_leader(self) -> bool:
        """Return whether this replica leads with a valid lease and an up-to-date state.

        The state is up to date once the first entry of the term has been applied.
        """
        core = self._core
        if (
            core.role is not RaftRole.LEADER
            or core.applied_index < self._first_index_of_term
        ):
            return False
        return core.now() - self.majority_acked_sent_at() < LEASE_S

    def majority_acked_sent_at(self) -> float:
        """Return the latest send time that a majority has acknowledged.

        A voter counts with the send time of its last answered request, this replica
        with the current time.
        """
        core = self._core
        times = [
            core.now() if voter == core.id else self._peers[voter].acked_sent_at
            for voter in core.members.voters
            if voter == core.id or voter in self._peers
        ]
        missing = len(core.members.voters) - len(times)
        return find_majority_value(times + [-math.inf] * missing)

    def majority_contact_at(self) -> float:
        """Return when a majority last made contact; winning an election counts."""
        return max(self._elected_at, self.majority_acked_sent_at())

    async def become_leader(self) -> None:
        """Become the leader of the current term; the caller must hold the lock."""
        core = self._core
        core.role = RaftRole.LEADER
        core.leader_id = core.id
        self._term = core.term
        self._elected_at = core.now()
        self._peers = {}
        # An entry with the unchanged members serves as the no-op entry of the term.
        self._first_index_of_term = self.append(EntryKind.MEMBERS, core.members.pack())
        log.info("leader_elected", replica=core.id, term=core.term)

    def append(self, kind: EntryKind, data: bytes) -> int:
        """Append an entry, start its replication and return its index."""
        core = self._core
        index = core.storage.log.last_index + 1
        core.append(Entry(index, core.term, kind, data))
        if kind == EntryKind.MEMBERS:
            self._update_peers()
        for peer in self._peers.values():
            peer.wake_event.set()
        core.tasks.start(self._sync_own_log(core.term), name="sync-log")
        return index

    async def _sync_own_log(self, term: int) -> None:
        try:
            await self._core.storage.sync()
        except StorageError:
            # The storage has already reported the failure to the core.
            return
        if self._leads_in_term(term):
            self._advance_commit()

    def _update_peers(self) -> None:
        """Start a replication task for each new member and forget removed members."""
        core = self._core
        for member_id, member in core.members.by_id.items():
            known = self._peers.get(member_id)
            if member_id == core.id or (
                known and self._update_if_same_disk(known, member)
            ):
                continue
            peer = Peer(member_id, member, core.storage.log.last_index)
            self._peers[member_id] = peer
            replication = self._replicate_to(peer, core.term)
            core.tasks.start(replication, name=f"replicate-{member_id}")
        for member_id in list(self._peers):
            if member_id not in core.members.by_id:
                del self._peers[member_id]

    def _update_if_same_disk(self, peer: Peer, member: Member) -> bool:
        if peer.member.incarnation != member.incarnation:
            return False
        peer.member = member
        return True

    def _leads_in_term(self, term: int) -> bool:
        core = self._core
        return core.role is RaftRole.LEADER and core.term == term and not core.is_closed

    async def _replicate_to(self, peer: Peer, term: int) -> None:
        """Send entries, snapshots and heartbeats until the term or membership ends."""
        core = self._core
        while self._leads_in_term(term) and self._peers.get(peer.id) is peer:
            peer.wake_event.clear()
            try:
                await self._send_next(peer, term)
            except PeerUnavailable:
                await asyncio.sleep(HEARTBEAT_INTERVAL_S / 4)
                continue
            except StorageError:
                return
            if (
                peer.match_index < core.storage.log.last_index
                and not peer.new_incarnation
            ):
                continue
            await _wait_for_event(peer.wake_event, HEARTBEAT_INTERVAL_S)

    async def _send_next(self, peer: Peer, term: int) -> None:
        if self._core.storage.log.term_at(peer.next_index - 1) is None:
            await self._send_snapshot(peer, term)
        else:
            await self._send_entries(peer, term)

    async def _send_entries(self, peer: Peer, term: int) -> None:
        core = self._core
        previous = peer.next_index - 1
        entries = core.storage.log.read_batch(peer.next_index, MAX_BATCH_BYTES)
        request = AppendEntries(
            term=term,
            target=peer.member.incarnation,
            previous_index=previous,
            previous_term=core.storage.log.term_at(previous) or 0,
            entries=[entry.pack() for entry in entries],
            commit_index=core.commit_index,
        )
        await self._call_peer(peer, term, request, CALL_TIMEOUT_S)

    async def _send_snapshot(self, peer: Peer, term: int) -> None:
        snapshot = await self._core.storage.read_snapshot()
        offset = 0
        while self._leads_in_term(term) and offset >= 0:
            request = _build_chunk(snapshot, offset, term, peer.member.incarnation)
            timeout = LAST_CHUNK_TIMEOUT_S if request.is_last else CALL_TIMEOUT_S
            if not await self._call_peer(peer, term, request, timeout):
                return
            offset = -1 if request.is_last else offset + len(request.data)

    async def _call_peer(
        self,
        peer: Peer,
        term: int,
        request: AppendEntries | InstallSnapshot,
        timeout: float,
    ) -> bool:
        """Send a request, evaluate the reply and return whether it reports success."""
        core = self._core
        sent_at = core.now()
        reply = await core.transport.call(peer.id, request, timeout=timeout)
        if not isinstance(reply, AppendReply):
            # The member is starting or stopping.
            raise PeerUnavailable(peer.id, "not ready", Execution.NOT_RUN)
        if not self._leads_in_term(term):
            return False
        if reply.incarnation != peer.member.incarnation:
            peer.new_incarnation = reply.incarnation
            return False
        if reply.term > term:
            await core.observe_term(reply.term)
            return False
        peer.acked_sent_at = max(peer.acked_sent_at, sent_at)
        self._record_reply(peer, reply)
        return reply.success

    def _record_reply(self, peer: Peer, reply: AppendReply) -> None:
        if not reply.success:
            peer.next_index = max(min(reply.index + 1, peer.next_index - 1), 1)
            return
        peer.match_index = max(peer.match_index, reply.index)
        peer.next_index = peer.match_index + 1
        self._advance_commit()

    def _advance_commit(self) -> None:
        """Commit the entries that a majority has synced.

        An entry of an older term is committed only with a later entry of this term.
        """
        core = self._core
        if not core.members.voters:
            return
        synced = [
            core.storage.synced_index
            if voter == core.id
            else self._peers[voter].match_index
            for voter in core.members.voters
        ]
        index = find_majority_value(synced)
        is_own = core.storage.log.term_at(index) == core.term
        if index > core.commit_index and is_own:
            core.commit(index)

    async def _handle_confirm_current(
        self, sender: str, request: ConfirmCurrent
    ) -> Confirmation:
        return Confirmation(self.is_leader(), self._core.commit_index)

    async def transfer(self) -> None:
        """Transfer the leadership to a reachable voter whose log is complete."""
        core = self._core
        if core.role is not RaftRole.LEADER:
            return
        self._is_transferring = True
        try:
            peer = await self._wait_for_successor(core.now() + TRANSFER_TIMEOUT_S)
        finally:
            self._is_transferring = False
        if core.role is not RaftRole.LEADER:
            return
        # The successor may be elected as soon as it receives TimeoutNow, so this leader
        # gives up its lease first.
        core.become_follower(None)
        if peer is not None:
            request = TimeoutNow(core.term, peer.member.incarnation)
            core.transport.send(peer.id, request)

    async def _wait_for_successor(self, deadline: float) -> Peer | None:
        core = self._core
        while core.role is RaftRole.LEADER and core.now() < deadline:
            candidates = [
                p for p in self._peers.values() if self._is_eligible_successor(p)
            ]
            if candidates:
                return candidates[0]
            if len(core.members.voters) == 1:
                return None
            await asyncio.sleep(HEARTBEAT_INTERVAL_S / 4)
        return None

    def _is_eligible_successor(self, peer: Peer) -> bool:
        core = self._core
        is_complete = peer.match_index == core.storage.log.last_index
        is_reachable = core.now() - peer.acked_sent_at < LEASE_S
        return is_complete and is_reachable and peer.member.role is MemberRole.VOTER


def _build_chunk(
    snapshot: Snapshot, offset: int, term: int, target: str
) -> InstallSnapshot:
    data = snapshot.data[offset : offset + SNAPSHOT_CHUNK_BYTES]
    return InstallSnapshot(
        term=term,
        target=target,
        index=snapshot.index,
        snapshot_term=snapshot.term,
        members=snapshot.members.pack(),
        offset=offset,
        data=data,
        is_last=offset + len(data) >= len(snapshot.data),
    )


async def _wait_for_event(event: asyncio.Event, timeout: float) -> None:
    try:
        await asyncio.wait_for(event.wait(), timeout)
    except TimeoutError:
        return
