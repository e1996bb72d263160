"""The Raft state of a replica, shared by its components."""

import asyncio
import math
from collections.abc import Awaitable, Callable
from enum import Enum
from typing import Any, Protocol, TypeVar

import attrs
import structlog
from returns.result import Failure, Result, Success

from toucanwood.consensus._log import Entry, EntryKind
from toucanwood.consensus._members import Members
from toucanwood.consensus._storage import HardState, Snapshot, Storage
from toucanwood.peering import Transport
from toucanwood.utils import TaskGroup
from toucanwood.verdicts import Verdict, build_uncertain_verdict, refuse

T = TypeVar("T")
log = structlog.get_logger()

HEARTBEAT_INTERVAL_S = 0.1
LEASE_S = 0.4
# Time after the last contact with a leader during which votes are refused. Exceeds the
# lease by the tolerated clock drift within one lease (25%).
VOTE_REFUSAL_S = 0.5
MIN_ELECTION_TIMEOUT_S = 0.5
MAX_ELECTION_TIMEOUT_S = 1.0
# Timeout of a call to another replica. Two calls fit into one lease, so that one lost
# message does not end the lease.
CALL_TIMEOUT_S = 0.18


class StateMachine(Protocol):
    """A deterministic state machine: equal command sequences give equal states."""

    def apply(self, index: int, command: bytes) -> Any:
        """Apply a committed command and return the result for the proposer."""

    def snapshot(self) -> bytes:
        """Return the whole state, encoded for `restore`."""

    def restore(self, data: bytes) -> None:
        """Replace the whole state by one that `snapshot` returned."""


class RaftRole(Enum):
    """The Raft role of a replica."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@attrs.frozen
class PendingProposal:
    """A proposal that waits until its entry is applied."""

    term: int
    future: "asyncio.Future[Result[Any, Verdict]]"


class RaftCore:
    """The Raft state of one replica and the transitions between its states."""

    def __init__(
        self,
        transport: Transport,
        storage: Storage,
        state_machine: StateMachine,
        started_at: float = math.inf,
    ) -> None:
        self._started_at = started_at
        self.id = transport.instance_id
        self.transport = transport
        self.storage = storage
        self.state_machine = state_machine
        self.tasks = TaskGroup()
        # Must be held to change the term, the vote or the log of a follower.
        self.lock = asyncio.Lock()
        self.role = RaftRole.FOLLOWER
        self.leader_id: str | None = None
        self.members = Members()
        self.members_index = 0
        self.commit_index = 0
        self.applied_index = 0
        self.leader_contact_at = -math.inf
        self.election_timer_reset_at = -math.inf
        self.pending: dict[int, PendingProposal] = {}
        self.failure: asyncio.Future[str] | None = None
        # True until the storage is open; a closed replica ignores messages.
        self.is_closed = True

    @property
    def term(self) -> int:
        """Return the current term."""
        return self.storage.state.term

    @property
    def incarnation(self) -> str:
        """Return the incarnation of the disk; a replaced disk has a new incarnation."""
        return self.storage.state.incarnation

    @property
    def is_voter(self) -> bool:
        """Return whether this incarnation is a voter, as far as this replica knows."""
        return self.members.is_voter(self.id, self.incarnation)

    def now(self) -> float:
        """Return the time of the event loop in seconds."""
        return asyncio.get_running_loop().time()

    async def load(self) -> None:
        """Open the storage and restore the state machine from the snapshot."""
        self.failure = asyncio.get_running_loop().create_future()
        self.storage.on_failure = self.fail
        snapshot = await self.storage.open()
        if snapshot is not None:
            self._restore(snapshot)
        self.reload_members()
        # A leader may still hold a lease that this replica confirmed before its
        # restart. Setting the contact time makes this replica refuse votes until that
        # lease has expired.
        self.leader_contact_at = min(self.now(), self._started_at)
        self.election_timer_reset_at = self.leader_contact_at
        self.is_closed = False

    def fail(self, reason: str) -> None:
        """Close the replica; a failed data directory is never used again."""
        if self.is_closed or self.failure is None:
            return
        log.error("replica_failed", replica=self.id, reason=reason)
        self.failure.set_result(reason)
        self.close("replica_failed")

    def close(self, code: str) -> None:
        """Stop participating; pending proposals fail with `code`."""
        self.is_closed = True
        self.become_follower(None)
        self.fail_pending_proposals(code)

    def record_leader_contact(self, leader_id: str) -> None:
        """Record a message from the leader of the current term."""
        self.leader_contact_at = self.now()
        self.election_timer_reset_at = self.leader_contact_at
        if self.leader_id != leader_id or self.role is not RaftRole.FOLLOWER:
            self.become_follower(leader_id)

    def become_follower(self, leader_id: str | None) -> None:
        """Become a follower in the current term."""
        self.role = RaftRole.FOLLOWER
        self.leader_id = leader_id

    async def run_transition(
        self, transition: Callable[[], Awaitable[T]], *, name: str
    ) -> T:
        """Run a change of the state under the lock and to its end.

        The caller may be cancelled meanwhile, as the handler of a message is when the
        connection of the sender ends.
        """
        task = self.tasks.start(self._run_locked(transition), name=name)
        return await asyncio.shield(task)

    async def _run_locked(self, transition: Callable[[], Awaitable[T]]) -> T:
        async with self.lock:
            return await transition()

    async def enter_term(self, term: int, vote: str | None) -> None:
        """Store a higher term or a vote durably; the caller must hold the lock."""
        if term > self.term:
            self.become_follower(None)
        await self.storage.save_state(HardState(term, vote, self.incarnation))

    async def observe_term(self, term: int) -> None:
        """Enter `term` as a follower if a reply named it and it is higher."""
        await self.run_transition(lambda: self._observe_term(term), name="observe-term")

    async def _observe_term(self, term: int) -> None:
        if term > self.term:
            await self.enter_term(term, None)

    def append(self, entry: Entry) -> None:
        """Append an entry to the log; a membership entry takes effect at once."""
        self.storage.append(entry)
        if entry.kind == EntryKind.MEMBERS:
            self.members = Members.unpack(entry.data)
            self.members_index = entry.index

    def truncate_from(self, index: int) -> None:
        """Remove the uncommitted entries from `index` on, which the leader replaces."""
        if index <= self.commit_index:
            raise RuntimeError(f"entry {index} is committed and cannot be replaced")
        self.storage.truncate_from(index)
        self.reload_members()

    def reload_members(self) -> None:
        """Set the members from the last membership entry of the log."""
        self.members, self.members_index = self.find_members_at(
            self.storage.log.last_index
        )

    def find_members_at(self, log_index: int) -> tuple[Members, int]:
        """Return the members in effect at a log index, and the index that set them.

        The second value is the index of the last membership entry up to `log_index`, or
        of the snapshot if the log has no such entry.
        """
        entries = self.storage.log
        for position in range(log_index, entries.base_index, -1):
            entry = entries.get(position)
            if entry.kind == EntryKind.MEMBERS:
                return Members.unpack(entry.data), position
        return self.storage.snapshot_members, self.storage.snapshot_index

    def commit(self, index: int) -> None:
        """Advance the commit index and apply the entries up to it."""
        self.commit_index = max(self.commit_index, index)
        while self.applied_index < self.commit_index:
            try:
                entry = self.storage.log.get(self.applied_index + 1)
            except IndexError as error:
                # The state misses entries that the log no longer has. A restart loads
                # a state and a log that belong together.
                self.fail(f"the log does not continue the state: {error}")
                return
            self._apply(entry)

    def _apply(self, entry: Entry) -> None:
        result: Result[Any, Verdict] = Success(None)
        error = None
        if entry.kind == EntryKind.COMMAND:
            try:
                result = Success(self.state_machine.apply(entry.index, entry.data))
            except Exception as caught:
                # Every replica raises the same error; it is passed to the proposer.
                log.exception("command_failed", replica=self.id, index=entry.index)
                error = caught
        self.applied_index = entry.index
        pending = self.pending.pop(entry.index, None)
        if pending is None or pending.future.done():
            return
        if pending.term != entry.term:
            pending.future.set_result(Failure(_refuse_replaced()))
        elif error is not None:
            pending.future.set_exception(error)
        else:
            pending.future.set_result(result)

    def fail_pending_proposals(self, code: str) -> None:
        """Fail the pending proposals, whose outcome this replica will not learn."""
        verdict = build_uncertain_verdict(
            code, "the command may have been committed", status=503
        )
        for pending in self.pending.values():
            if not pending.future.done():
                pending.future.set_result(Failure(verdict))
        self.pending.clear()

    async def install(self, snapshot: Snapshot) -> None:
        """Replace the state by a snapshot; the caller must hold the lock."""
        await self.storage.save_snapshot(snapshot, keep_entries=0)
        self._restore(snapshot)
        self.reload_members()
        self.fail_pending_proposals("commit_unknown")

    def _restore(self, snapshot: Snapshot) -> None:
        if snapshot.index > 0:
            self.state_machine.restore(snapshot.data)
        self.commit_index = snapshot.index
        self.applied_index = snapshot.index


def _refuse_replaced() -> Verdict:
    message = "another leader replaced the command before it was committed"
    return refuse("not_leader", message, status=503, retry_after=MAX_ELECTION_TIMEOUT_S)
