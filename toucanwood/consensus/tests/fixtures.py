"""A cluster of real replicas on a fake network and fake disks, and an oracle."""

import asyncio
import bisect

import msgpack
from returns.result import Success

from toucanwood.consensus.testing import ReplicaGroup
from toucanwood.utils import run_virtual


class History:
    """Compare what replicas apply and acknowledge; `errors` must stay empty."""

    def __init__(self):
        self.by_index = {}
        self.index_of = {}
        self.acknowledged = []
        self.times = []
        self.highest_indexes = []
        self.refused = set()
        self.errors = []

    def apply(self, index, command):
        if self.by_index.setdefault(index, command) != command:
            self.errors.append(f"index {index} applied with two commands")
        if self.index_of.setdefault(command, index) != index:
            self.errors.append(f"command {command!r} applied twice")
        if command in self.refused:
            self.errors.append(f"command {command!r} applied after a refusal")

    def refuse(self, command):
        self.refused.add(command)
        if command in self.index_of:
            self.errors.append(f"command {command!r} refused after it was applied")

    def acknowledge(self, index, command):
        self.acknowledged.append((now(), index, command))
        highest = self.highest_indexes[-1] if self.highest_indexes else 0
        self.times.append(now())
        self.highest_indexes.append(max(highest, index))
        if self.by_index.get(index) != command:
            self.errors.append(f"command {command!r} acknowledged and not applied")

    def find_acknowledged(self, time):
        """Return the highest index that was acknowledged up to a time."""
        count = bisect.bisect_right(self.times, time)
        return self.highest_indexes[count - 1] if count else 0


class ListMachine:
    """Remember every command with its index."""

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
    """Check a group against the oracle."""

    def __init__(self, ids, *, seed=1, **options):
        self.history = History()
        options = {"snapshot_entries": 20, "keep_entries": 5, **options}
        super().__init__(
            ids,
            build_state_machine=lambda: ListMachine(self.history),
            seed=seed,
            **options,
        )

    async def wait_leader(self, among=None, *, limit=30.0):
        def find():
            return next((x for x in self.leaders() if x in (among or self.ids)), None)

        return await wait_until(find, limit)

    async def propose_once(self, replica_id, command, *, timeout=1.0):
        result = await self.replicas[replica_id].propose(command, timeout=timeout)
        if isinstance(result, Success):
            self.history.acknowledge(result.unwrap(), command)
        elif result.failure().is_not_run:
            self.history.refuse(command)
        return result

    async def propose(self, command, *, among=None):
        """Propose through whichever replica leads until it is committed."""
        for attempt in range(30):
            leader = await self.wait_leader(among)
            name = command if attempt == 0 else b"%b/%d" % (command, attempt)
            result = await self.propose_once(leader, name)
            if isinstance(result, Success):
                return result.unwrap()
            await asyncio.sleep(0.1)
        raise AssertionError(f"{command!r} was not committed")

    def members(self):
        """Return the members that a valid leader knows, or None."""
        leaders = self.leaders()
        if not leaders:
            return None
        core = self.replicas[leaders[0]]._core
        return core.members if core.members_index <= core.commit_index else None

    def is_voter(self, replica_id):
        """Return whether the present disk of a replica votes."""
        members = self.members()
        replica = self.replicas.get(replica_id)
        if members is None or replica is None:
            return False
        return members.is_voter(replica_id, replica._core.incarnation)

    async def wait_equal(self, limit=60.0):
        """Wait until all members have applied the same entries; compare them."""

        def is_equal():
            members = self.members()
            if members is None or not set(members.by_id) <= set(self.replicas):
                return False
            cores = [self.replicas[key]._core for key in members.by_id]
            lasts = {core.storage.log.last_index for core in cores}
            return len(lasts | {core.applied_index for core in cores}) == 1

        await wait_until(is_equal, limit)
        states = [self.state_machines[key].commands for key in self.members().by_id]
        assert all(state == states[0] for state in states)
        for _, index, command in self.history.acknowledged:
            assert states[0].get(index) == command, f"{command!r} was lost"

    def check(self):
        """Check what must hold at any moment."""
        assert not self.history.errors, self.history.errors
        assert len(self.leaders()) <= 1, f"leaders with a lease: {self.leaders()}"
        for replica_id, replica in self.replicas.items():
            proven_at = now() - replica.lease_age()
            needed = self.history.find_acknowledged(proven_at)
            assert replica._core.applied_index >= needed, (
                f"{replica_id} proved its state current at {proven_at:.4f} without "
                f"index {needed}, which was acknowledged before"
            )

    async def watch(self, duration, interval=0.01):
        """Let time pass and check at every interval."""
        deadline = now() + duration
        while now() < deadline:
            self.check()
            await asyncio.sleep(interval)


def now():
    return asyncio.get_running_loop().time()


async def wait_until(condition, limit=30.0):
    deadline = now() + limit
    while not (value := condition()):
        assert now() < deadline, f"condition not met within {limit} s"
        await asyncio.sleep(0.01)
    return value


def on_cluster(ids, *, seeds=1, **options):
    """Run a test on a started cluster, once for each seed."""

    def decorate(scenario):
        async def main(seed):
            cluster = Cluster(ids, seed=seed, **options)
            await cluster.start()
            await cluster.wait_leader()
            await scenario(cluster)
            cluster.check()

        def test():
            for seed in range(1, seeds + 1):
                run_virtual(main(seed))

        return rename(test, scenario)

    return decorate


def in_virtual_time(scenario):
    """Run a test on a new virtual-time loop."""
    return rename(lambda: run_virtual(scenario()), scenario)


def rename(test, scenario):
    test.__name__ = test.__qualname__ = scenario.__name__
    test.__module__ = scenario.__module__
    return test


async def propose_many(cluster, prefix, count):
    for number in range(count):
        await cluster.propose(b"%b%d" % (prefix, number))


def others(cluster, *ids):
    return [key for key in cluster.ids if key not in ids]


def get_core(cluster, replica_id):
    return cluster.replicas[replica_id]._core
