"""A cluster of real replicas on a fake network and fake disks, and its checker."""

import asyncio
import bisect

import msgpack
from returns.result import Success

from toucanwood.consensus.testing import ReplicaGroup
from toucanwood.utils import run_virtual


class HistoryChecker:
    """Check the commands that replicas apply, acknowledge and refuse.

    Contradictions are collected in `errors`, which must stay empty.
    """

    def __init__(self):
        self.command_by_index = {}
        self.index_by_command = {}
        self.acknowledged = []
        self.acknowledged_times = []
        self.highest_indexes = []
        self.refused_commands = set()
        self.errors = []

    def apply(self, index, command):
        if self.command_by_index.setdefault(index, command) != command:
            self.errors.append(f"index {index} applied with two different commands")
        if self.index_by_command.setdefault(command, index) != index:
            self.errors.append(f"command {command!r} applied twice")
        if command in self.refused_commands:
            self.errors.append(f"command {command!r} applied after a refusal")

    def refuse(self, command):
        self.refused_commands.add(command)
        if command in self.index_by_command:
            self.errors.append(f"command {command!r} refused after it was applied")

    def acknowledge(self, index, command):
        self.acknowledged.append((now(), index, command))
        highest = self.highest_indexes[-1] if self.highest_indexes else 0
        self.acknowledged_times.append(now())
        self.highest_indexes.append(max(highest, index))
        if self.command_by_index.get(index) != command:
            self.errors.append(f"command {command!r} acknowledged but not applied")

    def find_highest_acknowledged(self, time):
        """Return the highest index that was acknowledged up to `time`."""
        count = bisect.bisect_right(self.acknowledged_times, time)
        return self.highest_indexes[count - 1] if count else 0


class RecordingStateMachine:
    """Record every applied command by its index."""

    def __init__(self, history):
        self.history = history
        self.commands = {}

    def apply(self, index, command):
        if self.commands and index <= max(self.commands):
            self.history.errors.append(f"index {index} applied out of order")
        self.history.apply(index, command)
        self.commands[index] = command
        return index

    def snapshot(self):
        return msgpack.packb(self.commands)

    def restore(self, data):
        self.commands = msgpack.unpackb(data, strict_map_key=False)
        for index, command in self.commands.items():
            self.history.apply(index, command)


class Cluster(ReplicaGroup):
    """A group of replicas whose history is checked."""

    def __init__(self, ids, *, seed=1, **options):
        self.history = HistoryChecker()
        options = {"snapshot_entries": 20, "keep_entries": 5, **options}
        super().__init__(
            ids,
            build_state_machine=lambda: RecordingStateMachine(self.history),
            seed=seed,
            **options,
        )

    async def wait_for_leader(self, among=None, *, timeout=30.0):
        def find():
            return next((x for x in self.leaders() if x in (among or self.ids)), None)

        return await wait_until(find, timeout)

    async def propose_once(self, replica_id, command, *, timeout=1.0):
        result = await self.replicas[replica_id].propose(command, timeout=timeout)
        if isinstance(result, Success):
            self.history.acknowledge(result.unwrap(), command)
        elif result.failure().is_not_run:
            self.history.refuse(command)
        return result

    async def propose(self, command, *, among=None):
        """Propose through the current leader, and retry until a command is committed.

        Each attempt proposes a command of its own, because a failed attempt may have
        been committed.
        """
        for attempt in range(30):
            leader = await self.wait_for_leader(among)
            name = command if attempt == 0 else b"%b/%d" % (command, attempt)
            result = await self.propose_once(leader, name)
            if isinstance(result, Success):
                return result.unwrap()
            await asyncio.sleep(0.1)
        raise AssertionError(f"{command!r} was not committed")

    def members(self):
        """Return the committed members according to a leader with a lease, or None."""
        leaders = self.leaders()
        if not leaders:
            return None
        core = self.replicas[leaders[0]]._core
        return core.members if core.members_index <= core.commit_index else None

    def is_voter(self, replica_id):
        """Return whether a replica is a voter with its present disk."""
        members = self.members()
        replica = self.replicas.get(replica_id)
        if members is None or replica is None:
            return False
        return members.is_voter(replica_id, replica._core.incarnation)

    async def wait_for_convergence(self, timeout=60.0):
        """Wait until all members have applied the same entries; compare the states."""

        def is_equal():
            members = self.members()
            if members is None or not set(members.by_id) <= set(self.replicas):
                return False
            cores = [self.replicas[key]._core for key in members.by_id]
            lasts = {core.storage.log.last_index for core in cores}
            return len(lasts | {core.applied_index for core in cores}) == 1

        await wait_until(is_equal, timeout)
        states = [self.state_machines[key].commands for key in self.members().by_id]
        assert all(state == states[0] for state in states)
        for _, index, command in self.history.acknowledged:
            assert states[0].get(index) == command, f"{command!r} was lost"

    def check(self):
        """Check the invariants that hold at any time."""
        assert not self.history.errors, self.history.errors
        assert len(self.leaders()) <= 1, f"leaders with a lease: {self.leaders()}"
        for replica_id, replica in self.replicas.items():
            current_as_of = now() - replica.lease_age()
            needed = self.history.find_highest_acknowledged(current_as_of)
            assert replica._core.applied_index >= needed, (
                f"{replica_id} claimed a current state at {current_as_of:.4f} without "
                f"index {needed}, which had been acknowledged before"
            )

    async def run_checked(self, duration, interval=0.01):
        """Let time pass and check the invariants at every interval."""
        deadline = now() + duration
        while now() < deadline:
            self.check()
            await asyncio.sleep(interval)


def now():
    return asyncio.get_running_loop().time()


async def wait_until(condition, timeout=30.0):
    deadline = now() + timeout
    while not (value := condition()):
        assert now() < deadline, f"condition not met within {timeout} s"
        await asyncio.sleep(0.01)
    return value


def on_cluster(ids, *, seeds=1, **options):
    """Turn a scenario into a test that runs on a started cluster for each seed."""

    def decorate(scenario):
        async def main(seed):
            cluster = Cluster(ids, seed=seed, **options)
            await cluster.start()
            await cluster.wait_for_leader()
            await scenario(cluster)
            cluster.check()

        def test():
            for seed in range(1, seeds + 1):
                run_virtual(main(seed))

        return copy_name(test, scenario)

    return decorate


def in_virtual_time(scenario):
    """Turn a coroutine into a test that runs on a new virtual-time loop."""
    return copy_name(lambda: run_virtual(scenario()), scenario)


def copy_name(test, scenario):
    test.__name__ = test.__qualname__ = scenario.__name__
    test.__module__ = scenario.__module__
    return test


async def propose_many(cluster, prefix, count):
    for number in range(count):
        await cluster.propose(b"%b%d" % (prefix, number))


def other_ids(cluster, *ids):
    return [key for key in cluster.ids if key not in ids]


def get_core(cluster, replica_id):
    return cluster.replicas[replica_id]._core
