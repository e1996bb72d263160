"""What a leader does: replicate, commit, hold its lease, confirm others."""

import asyncio
import math

import attrs
import structlog

from toucanwood.consensus._core import (
    CALL_TIMEOUT_S,
    HEARTBEAT_S,
    LEASE_S,
    Core,
    Role,
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
CHUNK_BYTES = 256 * 1024
# The last chunk is answered only after the receiver has synced the whole snapshot.
CHUNK_TIMEOUT_S = 2.0
STOP_TRANSFER_S = 1.0


@attrs.define(eq=False)
class Peer:
    """Hold what the leader knows of one other member."""

    id: str
    member: Member
    next_index: int
    match_index: int = 0
    acked_sent_at: float = -math.inf
    lost_disk: str | None = None
    wake: asyncio.Event = attrs.field(factory=asyncio.Event)


class Leadership:
    """Own the peers of the current term."""

    def __init__(self, core: Core) -> None:
        self._core = core
        self._peers: dict[str, Peer] = {}
        self._term = 0
        self._elected_at = -math.inf
        self._first_index = 0
        self._is_stopping = False
        core.transport.register(ConfirmCurrent, self._confirm)

    @property
    def peers(self) -> dict[str, Peer]:
        """Return the peers by id."""
        return self._peers

    @property
    def is_active(self) -> bool:
        """Return whether this replica leads and takes proposals."""
        return self._core.role is Role.LEADER and not self._is_stopping

    def is_leader(self) -> bool:
        """Return whether this replica leads, holds the lease and knows all commits."""
        core = self._core
        if core.role is not Role.LEADER or core.applied_index < self._first_index:
            return False
        return core.now() - self.acked_majority_at() < LEASE_S

    def acked_majority_at(self) -> float:
        """Return the latest send time that a majority has answered."""
        core = self._core
        times = [
            core.now() if voter == core.id else self._peers[voter].acked_sent_at
            for voter in core.members.voters
            if voter == core.id or voter in self._peers
        ]
        missing = len(core.members.voters) - len(times)
        return find_majority_value(times + [-math.inf] * missing)

    def heard_majority_at(self) -> float:
        """Return when a majority was heard; an election counts."""
        return max(self._elected_at, self.acked_majority_at())

    async def lead(self) -> None:
        """Become leader of the current term; the caller holds the lock."""
        core = self._core
        core.role = Role.LEADER
        core.leader_id = core.id
        self._term = core.term
        self._elected_at = core.now()
        self._peers = {}
        # The members serve as the no-op entry of the term.
        self._first_index = self.append(EntryKind.MEMBERS, core.members.pack())
        log.info("leader_elected", replica=core.id, term=core.term)

    def append(self, kind: EntryKind, data: bytes) -> int:
        """Add an entry, start its replication and return its index."""
        core = self._core
        index = core.storage.log.last_index + 1
        core.append(Entry(index, core.term, kind, data))
        if kind == EntryKind.MEMBERS:
            self._update_peers()
        for peer in self._peers.values():
            peer.wake.set()
        core.tasks.start(self._sync_own(core.term), name="sync-log")
        return index

    async def _sync_own(self, term: int) -> None:
        try:
            await self._core.storage.sync()
        except StorageError:
            # The storage has already reported the failure to the core.
            return
        if self._is_current(term):
            self._advance_commit()

    def _update_peers(self) -> None:
        """Start a task for each new member and drop the removed ones."""
        core = self._core
        for member_id, member in core.members.by_id.items():
            known = self._peers.get(member_id)
            if member_id == core.id or (known and self._keep_peer(known, member)):
                continue
            peer = Peer(member_id, member, core.storage.log.last_index)
            self._peers[member_id] = peer
            main = self._run_peer(peer, core.term)
            core.tasks.start(main, name=f"replicate-{member_id}")
        for member_id in list(self._peers):
            if member_id not in core.members.by_id:
                del self._peers[member_id]

    def _keep_peer(self, peer: Peer, member: Member) -> bool:
        if peer.member.incarnation != member.incarnation:
            return False
        peer.member = member
        return True

    def _is_current(self, term: int) -> bool:
        core = self._core
        return core.role is Role.LEADER and core.term == term and not core.is_closed

    async def _run_peer(self, peer: Peer, term: int) -> None:
        """Send entries, snapshots and heartbeats until the term or the peer ends."""
        core = self._core
        while self._is_current(term) and self._peers.get(peer.id) is peer:
            peer.wake.clear()
            try:
                await self._send_next(peer, term)
            except PeerUnavailable:
                await asyncio.sleep(HEARTBEAT_S / 4)
                continue
            except StorageError:
                return
            if peer.match_index < core.storage.log.last_index and not peer.lost_disk:
                continue
            await _wait_event(peer.wake, HEARTBEAT_S)

    async def _send_next(self, peer: Peer, term: int) -> None:
        if self._core.storage.log.term_at(peer.next_index - 1) is None:
            await self._send_snapshot(peer, term)
        else:
            await self._send_entries(peer, term)

    async def _send_entries(self, peer: Peer, term: int) -> None:
        core = self._core
        previous = peer.next_index - 1
        entries = core.storage.log.read(peer.next_index, MAX_BATCH_BYTES)
        request = AppendEntries(
            term=term,
            target=peer.member.incarnation,
            previous_index=previous,
            previous_term=core.storage.log.term_at(previous) or 0,
            entries=[entry.pack() for entry in entries],
            commit_index=core.commit_index,
        )
        await self._call(peer, term, request, CALL_TIMEOUT_S)

    async def _send_snapshot(self, peer: Peer, term: int) -> None:
        snapshot = await self._core.storage.read_snapshot()
        offset = 0
        while self._is_current(term) and offset >= 0:
            request = _build_chunk(snapshot, offset, term, peer.member.incarnation)
            timeout = CHUNK_TIMEOUT_S if request.is_last else CALL_TIMEOUT_S
            if not await self._call(peer, term, request, timeout):
                return
            offset = -1 if request.is_last else offset + len(request.data)

    async def _call(
        self,
        peer: Peer,
        term: int,
        request: AppendEntries | InstallSnapshot,
        timeout: float,
    ) -> bool:
        """Send one request, record what the reply proves, return its success."""
        core = self._core
        sent_at = core.now()
        reply = await core.transport.call(peer.id, request, timeout=timeout)
        if not isinstance(reply, AppendReply):
            # The peer is starting or stopping.
            raise PeerUnavailable(peer.id, "not ready", Execution.NOT_RUN)
        if not self._is_current(term):
            return False
        if reply.incarnation != peer.member.incarnation:
            peer.lost_disk = reply.incarnation
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
        """Commit what a majority has synced, in entries of this term only."""
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

    async def _confirm(self, sender: str, request: ConfirmCurrent) -> Confirmation:
        return Confirmation(self.is_leader(), self._core.commit_index)

    async def transfer(self) -> None:
        """Hand the leadership to the voter with the longest log."""
        core = self._core
        if core.role is not Role.LEADER:
            return
        self._is_stopping = True
        try:
            peer = await self._wait_successor(core.now() + STOP_TRANSFER_S)
        finally:
            self._is_stopping = False
        if core.role is not Role.LEADER:
            return
        # The successor may be elected from now on, so the lease must end first.
        core.follow(None)
        if peer is not None:
            request = TimeoutNow(core.term, peer.member.incarnation)
            core.transport.send(peer.id, request)

    async def _wait_successor(self, deadline: float) -> Peer | None:
        core = self._core
        while core.role is Role.LEADER and core.now() < deadline:
            candidates = [p for p in self._peers.values() if self._can_succeed(p)]
            if candidates:
                return candidates[0]
            if len(core.members.voters) == 1:
                return None
            await asyncio.sleep(HEARTBEAT_S / 4)
        return None

    def _can_succeed(self, peer: Peer) -> bool:
        core = self._core
        is_complete = peer.match_index == core.storage.log.last_index
        is_heard = core.now() - peer.acked_sent_at < LEASE_S
        return is_complete and is_heard and peer.member.role is MemberRole.VOTER


def _build_chunk(
    snapshot: Snapshot, offset: int, term: int, target: str
) -> InstallSnapshot:
    data = snapshot.data[offset : offset + CHUNK_BYTES]
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


async def _wait_event(event: asyncio.Event, timeout: float) -> None:
    try:
        await asyncio.wait_for(event.wait(), timeout)
    except TimeoutError:
        return
