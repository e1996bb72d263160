"""Stateful fuzzing of real replicas under every fault, against a simple oracle."""

import asyncio
import errno

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
    run_state_machine_as_test,
)

from toucanwood.consensus.testing import DISK_STEPS, DiskCrashError
from toucanwood.consensus.tests.fixtures import Cluster
from toucanwood.peering.testing import LinkFaults
from toucanwood.utils import VirtualTimeLoop
from toucanwood.utils._virtual_time import _cancel_all

SPARE = "s"
REPLICAS = st.integers(0, 5)


class ReplicaMachine(RuleBasedStateMachine):
    """Drive a cluster in virtual time."""

    voters = "abc"

    def __init__(self):
        super().__init__()
        self.loop = VirtualTimeLoop()
        self.cluster = None
        self.number = 0
        self.lost = None
        self.works = []

    def run(self, main):
        return self.loop.run_until_complete(main)

    def pick(self, number):
        ids = self.cluster.ids
        return ids[number % len(ids)]

    def start_work(self, main):
        self.works.append(self.loop.create_task(main))

    @initialize(seed=st.integers(0, 2**16))
    def start(self, seed):
        self.cluster = Cluster(self.voters + SPARE, voters=self.voters, seed=seed)
        self.run(self.cluster.start())
        self.run(self.cluster.watch(2.0))

    @rule(count=st.integers(1, 8), duration=st.floats(0.01, 1.5))
    def propose(self, count, duration):
        for replica_id in list(self.cluster.replicas):
            for _ in range(count):
                self.number += 1
                command = b"%d" % self.number
                self.start_work(self.cluster.propose_once(replica_id, command))
        self.run(self.cluster.watch(duration))

    @rule(duration=st.floats(0.5, 4.0))
    def wait(self, duration):
        self.run(self.cluster.watch(duration))

    @rule(number=REPLICAS)
    def crash(self, number):
        self.run(self.cluster.crash(self.pick(number)))

    @rule(
        number=REPLICAS,
        step=st.sampled_from((*DISK_STEPS, "any")),
        countdown=st.integers(1, 6),
        kind=st.sampled_from(["crash", "full", "failed"]),
    )
    def break_disk(self, number, step, countdown, kind):
        replica_id = self.pick(number)
        error = {
            "crash": DiskCrashError(errno.EIO, "the process has crashed"),
            "full": OSError(errno.ENOSPC, "no space left on device"),
            "failed": OSError(errno.EIO, "input/output error"),
        }[kind]
        disk = self.cluster.disks[replica_id]
        if kind == "crash":
            disk.on_crash = lambda: self.cluster.network.stop(replica_id)
        disk.fail_at(step, error, countdown=countdown)

    @rule(number=REPLICAS)
    def restart(self, number):
        self.run(self.cluster.restart(self.pick(number)))

    @precondition(lambda self: self.can_lose_disk())
    @rule(number=REPLICAS)
    def lose_disk(self, number):
        self.lost = self.pick(number)
        self.run(self.cluster.restart(self.lost, lose_disk=True))

    def can_lose_disk(self):
        """Allow a loss only when three voters are left and the last is repaired."""
        if not all(work.done() for work in self.works):
            return False
        members = self.run(self.read(self.cluster.members))
        if members is None or len(members.voters) < 3:
            return False
        return self.lost is None or self.run(self.read(self.is_repaired))

    def is_repaired(self):
        cluster = self.cluster
        if self.lost not in cluster.members().by_id:
            return True
        return cluster.is_voter(self.lost)

    async def read(self, function):
        return function()

    @rule(split=st.integers(1, 62))
    def partition(self, split):
        ids = self.cluster.ids
        group = {key for n, key in enumerate(ids) if split >> n & 1}
        self.cluster.network.partition(group, set(ids) - group)

    @rule(sender=REPLICAS, receiver=REPLICAS)
    def cut_one_direction(self, sender, receiver):
        faults = LinkFaults(is_cut=True)
        self.cluster.network.set_faults(self.pick(sender), self.pick(receiver), faults)

    @rule()
    def heal(self):
        self.cluster.network.heal()

    @rule(
        drop=st.sampled_from([0.0, 0.1, 0.4]),
        duplicate=st.sampled_from([0.0, 0.3]),
        delay=st.sampled_from([0.001, 0.05, 0.3, 2.0]),
    )
    def disturb(self, drop, duplicate, delay):
        self.cluster.network.default = LinkFaults(
            min_delay=0.0005, max_delay=delay, drop=drop, duplicate=duplicate
        )

    @rule(number=REPLICAS, verb=st.sampled_from(["add_learner", "promote", "remove"]))
    def change_members(self, number, verb):
        for leader in self.run(self.read(self.cluster.leaders)):
            replica = self.cluster.replicas[leader]
            if verb == "remove" and len(replica._core.members.voters) <= 3:
                continue
            self.start_work(getattr(replica, verb)(self.pick(number)))
        self.run(self.cluster.watch(0.5))

    def teardown(self):
        if self.cluster is not None:
            self.run(self.recover())
        _cancel_all(self.loop)
        self.loop.close()

    async def recover(self):
        """Remove all faults; the group must then work and agree."""
        self.cluster.network.heal()
        self.cluster.network.default = LinkFaults()
        for replica_id in self.cluster.ids:
            await self.cluster.restart(replica_id)
        await self.cluster.watch(3.0, interval=0.05)
        await self.cluster.propose(b"last")
        await self.cluster.wait_equal()
        self.cluster.check()
        await asyncio.gather(*self.works, return_exceptions=True)


class FiveReplicaMachine(ReplicaMachine):
    """Use five voters."""

    voters = "abcde"


def fuzz(machine, examples):
    options = settings(
        derandomize=True,
        max_examples=examples,
        stateful_step_count=40,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    run_state_machine_as_test(machine, settings=options)


def test_three_replicas_keep_every_acknowledged_command():
    # Guards against lost, reordered or doubled commands, false refusals, two leaders
    # with a lease, understated ages, and a group that does not recover.
    fuzz(ReplicaMachine, 60)


def test_five_replicas_keep_every_acknowledged_command():
    # Guards against the same faults where two replicas may fail at once.
    fuzz(FiveReplicaMachine, 30)
