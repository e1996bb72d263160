"""A replica of the replicated log."""

import asyncio
import math
from collections.abc import Iterable
from typing import Any

import structlog
from returns.result import Failure, Result

from toucanwood.consensus._core import MAX_ELECTION_TIMEOUT_S, RaftCore, StateMachine
from toucanwood.consensus._election import Election
from toucanwood.consensus._formation import GroupFormation
from toucanwood.consensus._freshness import FreshnessTracker
from toucanwood.consensus._leadership import Leadership
from toucanwood.consensus._log import EntryKind
from toucanwood.consensus._members import Members
from toucanwood.consensus._membership import MembershipManager, submit_entry
from toucanwood.consensus._receiver import ReplicationReceiver
from toucanwood.consensus._records import StorageError
from toucanwood.consensus._storage import Snapshot, Storage
from toucanwood.peering import Transport
from toucanwood.utils import check_range
from toucanwood.verdicts import Verdict, refuse

log = structlog.get_logger()

# Limit of one command, so that an AppendEntries message stays far below the frame limit
# of 16 MiB.
MAX_COMMAND_BYTES = 1024 * 1024
MAX_PENDING_PROPOSALS = 10_000
# Data of entries that aren't committed, above which proposals are refused. Entries
# accumulate while a majority doesn't sync.
MAX_UNCOMMITTED_BYTES = 16 * 1024 * 1024
# Data of applied entries after which a snapshot is stored. A start reads these entries,
# and they stay in memory and on the disk until then.
SNAPSHOT_BYTES = 16 * 1024 * 1024
SNAPSHOT_CHECK_INTERVAL_S = 0.1


class Replica:
    """Keep one state machine equal on all members with a replicated log (Raft).

    The algorithm follows Ongaro, "Consensus: Bridging Theory and Practice" (2014),
    with pre-vote, check-quorum and a leader lease. `started_at` is a time of the event
    loop at which this process ran already: no earlier process has confirmed a lease
    since.
    """

    def __init__(
        self,
        *,
        transport: Transport,
        storage: Storage,
        state_machine: StateMachine,
        voters: Iterable[str],
        snapshot_entries: int = 1000,
        snapshot_bytes: int = SNAPSHOT_BYTES,
        keep_entries: int = 500,
        seed: int | None = None,
        started_at: float = math.inf,
    ) -> None:
        check_range("snapshot_entries", snapshot_entries, low=1)
        check_range("snapshot_bytes", snapshot_bytes, low=1)
        check_range("keep_entries", keep_entries, low=0)
        self._core = RaftCore(transport, storage, state_machine, started_at)
        self._leadership = Leadership(self._core)
        self._election = Election(
            self._core,
            become_leader=self._leadership.become_leader,
            majority_contact_at=self._leadership.majority_contact_at,
            seed=seed,
        )
        self._receiver = ReplicationReceiver(self._core)
        self._membership = MembershipManager(self._core, self._leadership)
        self._formation = GroupFormation(self._core, list(voters))
        self._freshness = FreshnessTracker(self._core, self._leadership)
        self._snapshot_entries = snapshot_entries
        self._snapshot_bytes = snapshot_bytes
        self._keep_entries = keep_entries

    async def start(self) -> None:
        """Load the data directory and start to participate in the group.

        Raises DamagedStorageError when the data directory is damaged.
        """
        core = self._core
        await core.load()
        core.tasks.start(self._formation.run(), name="formation")
        core.tasks.start(self._election.run(), name="election")
        core.tasks.start(self._membership.run(), name="membership-changes")
        core.tasks.start(self._freshness.run(), name="freshness")
        core.tasks.start(self._compact(), name="compaction")

    async def stop(self) -> None:
        """Transfer the leadership, stop all tasks and finish writes in progress."""
        if not self._core.is_closed:
            await self._leadership.transfer()
        # asyncio.wait_for of Python 3.11 can lose a cancellation if its future ends in
        # the same iteration of the event loop. The tasks must therefore also end when
        # they see that the replica is closed.
        self._core.close("stopped")
        await self._core.tasks.stop()
        await self._core.storage.close()

    async def wait_failed(self) -> str:
        """Wait until the data directory fails and return the reason.

        The process must exit then; the replica no longer participates in the group.
        """
        if self._core.failure is None:
            raise RuntimeError("replica must be started first")
        return await asyncio.shield(self._core.failure)

    async def propose(self, command: bytes, *, timeout: float) -> Result[Any, Verdict]:
        """Commit and apply a command on the leader; `timeout` is in seconds.

        Returns the result of `state_machine.apply`. A failure says whether the command
        may have been committed. Raises what `state_machine.apply` raised.
        """
        check_range("timeout", timeout, low=0.0)
        check_range("len(command)", len(command), high=MAX_COMMAND_BYTES)
        if not self._leadership.is_active:
            return Failure(self._refuse_not_leader())
        if len(self._core.pending) >= MAX_PENDING_PROPOSALS:
            message = f"{MAX_PENDING_PROPOSALS} proposals are already pending"
            return Failure(_refuse_overloaded(message))
        entries = self._core.storage.log
        uncommitted = entries.count_bytes(
            self._core.commit_index + 1, entries.last_index
        )
        if uncommitted + len(command) > MAX_UNCOMMITTED_BYTES:
            message = f"{uncommitted} bytes of commands are not committed yet"
            return Failure(_refuse_overloaded(message))
        return await submit_entry(
            self._core,
            self._leadership,
            EntryKind.COMMAND,
            command,
            timeout=timeout,
        )

    def is_leader(self) -> bool:
        """Return whether this replica leads and holds a valid lease."""
        return self._leadership.is_leader()

    def leader(self) -> str | None:
        """Return the id of the leader, if one is known."""
        return self._core.leader_id

    @property
    def term(self) -> int:
        """Return the current term; each term has at most one leader."""
        return self._core.term

    def lease_age(self) -> float:
        """Return for how many seconds the applied state may have been out of date.

        The age is infinite until the state has first been confirmed as current.
        """
        return self._freshness.age()

    @property
    def members(self) -> Members:
        """Return the members in effect, as known to this replica."""
        return self._core.members

    @property
    def is_member(self) -> bool:
        """Return whether this replica is a member with its present disk."""
        member = self._core.members.by_id.get(self._core.id)
        return member is not None and member.incarnation == self._core.incarnation

    async def add_learner(self, instance_id: str) -> Result[Any, Verdict]:
        """Add a member that receives the log but does not vote."""
        return await self._membership.add_learner(instance_id)

    async def promote(self, instance_id: str) -> Result[Any, Verdict]:
        """Turn a learner into a voter; refused until the learner has caught up."""
        return await self._membership.promote(instance_id)

    async def remove(self, instance_id: str) -> Result[Any, Verdict]:
        """Remove a member."""
        return await self._membership.remove(instance_id)

    def dump(self) -> dict[str, Any]:
        """Return a JSON-serialisable description of the state."""
        core = self._core
        age = self.lease_age()
        return {
            "id": core.id,
            "incarnation": core.incarnation,
            "role": core.role.value,
            "term": core.term,
            "leader": core.leader_id,
            "is_leader": self.is_leader(),
            "lease_age": age if age < float("inf") else None,
            "last_index": core.storage.log.last_index,
            "synced_index": core.storage.synced_index,
            "commit_index": core.commit_index,
            "applied_index": core.applied_index,
            "snapshot_index": core.storage.snapshot_index,
            "log_entries": len(core.storage.log.entries),
            "members": core.members.describe(),
            "failure": core.storage.failure,
        }

    async def _compact(self) -> None:
        """Store a snapshot when enough entries, or bytes of them, were applied."""
        core = self._core
        while not core.is_closed:
            await asyncio.sleep(SNAPSHOT_CHECK_INTERVAL_S)
            covered = core.storage.snapshot_index
            new_entries = core.applied_index - covered
            new_bytes = core.storage.log.count_bytes(covered + 1, core.applied_index)
            if (
                new_entries < self._snapshot_entries
                and new_bytes < self._snapshot_bytes
            ):
                continue
            try:
                await self._save_snapshot()
            except StorageError:
                return

    async def _save_snapshot(self) -> None:
        core = self._core
        index = core.applied_index
        snapshot = Snapshot(
            index,
            core.storage.log.term_at(index) or 0,
            core.find_members_at(index)[0],
            core.state_machine.snapshot(),
        )
        await core.storage.save_snapshot(snapshot, keep_entries=self._keep_entries)
        log.info("snapshot_saved", replica=core.id, index=index)

    def _refuse_not_leader(self) -> Verdict:
        leader = self._core.leader_id
        message = f"this replica is not the leader; the leader is {leader}"
        return refuse(
            "not_leader", message, status=503, retry_after=MAX_ELECTION_TIMEOUT_S
        )


def _refuse_overloaded(message: str) -> Verdict:
    return refuse("overloaded", message, status=503, retry_after=1.0)
