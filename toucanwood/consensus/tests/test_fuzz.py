"""Stateful fuzzing of real replicas with all faults, checked by HistoryChecker."""

import asyncio
import errno

from hypothesis import HealthCheck, Phase, settings
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

SPARE_ID = "s"
REPLICA_NUMBERS = st.integers(0, 5)
PAUSES = st.sampled_from([0.01, 0.1, 0.5, 1.5, 3.0])


class ReplicaMachine(RuleBasedStateMachine):
    """Run a cluster in virtual time while every leader receives proposals."""

    voters = "abc"

    def __init__(self):
        super().__init__()
        self.loop = VirtualTimeLoop()
        self.cluster = None
        self.number = 0
        self.last_lost_id = None
        self.tasks = []

    def run(self, main):
        return self.loop.run_until_complete(main)

    def pick_id(self, number):
        ids = self.cluster.ids
        return ids[number % len(ids)]

    def find_leader(self):
        leaders = self.run(self.call_on_loop(self.cluster.leaders))
        return leaders[0] if leaders else None

    def pass_time(self, duration):
        self.run(self.cluster.run_checked(duration))

    @initialize(seed=st.integers(0, 2**16))
    def start(self, seed):
        self.cluster = Cluster(self.voters + SPARE_ID, voters=self.voters, seed=seed)
        self.run(self.cluster.start())
        self.proposer = self.loop.create_task(self.propose_continuously())
        self.pass_time(2.0)

    async def propose_continuously(self):
        """Propose to every replica that considers itself the leader."""
        while True:
            for replica_id, replica in list(self.cluster.replicas.items()):
                if replica.leader() != replica_id:
                    continue
                self.number += 1
                command = b"%d" % self.number
                proposal = self.cluster.propose_once(replica_id, command, timeout=0.4)
                self.tasks.append(asyncio.create_task(proposal))
            await asyncio.sleep(0.04)

    @rule(duration=st.floats(0.05, 3.0))
    def wait(self, duration):
        self.pass_time(duration)

    @rule(number=REPLICA_NUMBERS, pause=PAUSES)
    def crash(self, number, pause):
        """Crash a replica, or restart one if a majority would be lost otherwise."""
        crashed_ids = [
            key for key in self.cluster.ids if key not in self.cluster.replicas
        ]
        if len(crashed_ids) > (len(self.voters) - 1) // 2:
            self.run(self.cluster.restart(crashed_ids[number % len(crashed_ids)]))
        else:
            self.run(self.cluster.crash(self.pick_id(number)))
        self.pass_time(pause)

    @rule(pause=PAUSES)
    def crash_leader(self, pause):
        leader = self.find_leader()
        if leader is not None:
            self.run(self.cluster.restart(leader))
        self.pass_time(pause)

    @rule(pause=PAUSES)
    def lose_power(self, pause):
        """Restart every replica at the same moment."""
        for replica_id in self.cluster.ids:
            self.run(self.cluster.crash(replica_id))
        for replica_id in self.cluster.ids:
            self.run(self.cluster.restart(replica_id))
        self.pass_time(pause)

    @rule(
        number=REPLICA_NUMBERS,
        step=st.sampled_from((*DISK_STEPS, "any")),
        countdown=st.integers(1, 6),
        kind=st.sampled_from(["crash", "full", "failed"]),
        pause=PAUSES,
    )
    def break_disk(self, number, step, countdown, kind, pause):
        """Fail one disk step and restart the replica after the pause."""
        replica_id = self.pick_id(number)
        error = {
            "crash": DiskCrashError(errno.EIO, "the process has crashed"),
            "full": OSError(errno.ENOSPC, "no space left on device"),
            "failed": OSError(errno.EIO, "input/output error"),
        }[kind]
        disk = self.cluster.disks[replica_id]
        if kind == "crash":
            disk.on_crash = lambda: self.cluster.network.stop(replica_id)
        disk.fail_at(step, error, countdown=countdown)
        self.pass_time(pause)
        self.run(self.cluster.restart(replica_id))

    @precondition(lambda self: self.can_lose_disk())
    @rule(number=REPLICA_NUMBERS, pause=PAUSES)
    def lose_disk(self, number, pause):
        self.last_lost_id = self.pick_id(number)
        self.run(self.cluster.restart(self.last_lost_id, lose_disk=True))
        self.pass_time(pause)

    def can_lose_disk(self):
        """Allow a loss only with three voters and after the last loss was repaired."""
        members = self.run(self.call_on_loop(self.cluster.members))
        if members is None or len(members.voters) < 3:
            return False
        return self.last_lost_id is None or self.run(
            self.call_on_loop(self.is_repaired)
        )

    def is_repaired(self):
        is_member = self.last_lost_id in self.cluster.members().by_id
        return not is_member or self.cluster.is_voter(self.last_lost_id)

    async def call_on_loop(self, function):
        return function()

    @rule(split=st.integers(1, 62), pause=PAUSES)
    def partition(self, split, pause):
        ids = self.cluster.ids
        group = {key for n, key in enumerate(ids) if split >> n & 1}
        self.cluster.network.heal()
        self.cluster.network.partition(group, set(ids) - group)
        self.pass_time(pause)

    @rule(pause=PAUSES)
    def isolate_leader(self, pause):
        leader = self.find_leader()
        if leader is not None:
            other_ids = set(self.cluster.ids) - {leader}
            self.cluster.network.partition({leader}, other_ids)
        self.pass_time(pause)

    @rule(number=REPLICA_NUMBERS, pause=PAUSES)
    def cut_from_leader(self, number, pause):
        """Drop the messages from the leader to one replica, but not its replies."""
        leader = self.find_leader()
        if leader is not None:
            cut = LinkFaults(is_cut=True)
            self.cluster.network.set_faults(leader, self.pick_id(number), cut)
        self.pass_time(pause)

    @rule(pause=PAUSES)
    def heal(self, pause):
        self.cluster.network.heal()
        self.cluster.network.default_faults = LinkFaults()
        self.pass_time(pause)

    @rule(
        drop=st.sampled_from([0.0, 0.1, 0.3]),
        duplicate=st.sampled_from([0.0, 0.3]),
        delay=st.sampled_from([0.001, 0.05, 0.1, 0.3]),
        pause=PAUSES,
    )
    def disturb(self, drop, duplicate, delay, pause):
        self.cluster.network.default_faults = LinkFaults(
            min_delay=0.0005, max_delay=delay, drop=drop, duplicate=duplicate
        )
        self.pass_time(pause)

    @rule(
        number=REPLICA_NUMBERS,
        verb=st.sampled_from(["add_learner", "promote", "remove"]),
        pause=PAUSES,
    )
    def change_members(self, number, verb, pause):
        for replica in self.cluster.replicas.values():
            if verb == "remove" and len(replica._core.members.voters) <= 3:
                continue
            change = getattr(replica, verb)(self.pick_id(number))
            self.tasks.append(self.loop.create_task(change))
        self.pass_time(pause)

    @rule(pause=PAUSES)
    def hand_over(self, pause):
        leader = self.find_leader()
        if leader is not None:
            transfer = self.cluster.replicas[leader]._leadership.transfer()
            self.tasks.append(self.loop.create_task(transfer))
        self.pass_time(pause)

    def teardown(self):
        if self.cluster is not None:
            self.run(self.recover())
        _cancel_all(self.loop)
        self.loop.close()

    async def recover(self):
        """Remove all faults and check that the group works and agrees again."""
        self.proposer.cancel()
        self.cluster.network.heal()
        self.cluster.network.default_faults = LinkFaults()
        for replica_id in self.cluster.ids:
            await self.cluster.restart(replica_id)
        await self.cluster.run_checked(3.0, interval=0.05)
        await self.cluster.propose(b"last")
        await self.cluster.wait_for_convergence()
        self.cluster.check()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class FiveReplicaMachine(ReplicaMachine):
    """Run a cluster with five voters."""

    voters = "abcde"


def fuzz(machine, examples):
    options = settings(
        derandomize=True,
        max_examples=examples,
        stateful_step_count=40,
        deadline=None,
        database=None,
        # Shrinking a failure takes minutes; add Phase.shrink to debug a failure.
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
    )
    run_state_machine_as_test(machine, settings=options)


def test_three_replicas_keep_every_acknowledged_command():
    # Guards against lost, reordered or duplicated commands, refusals of commands that
    # are applied, two leaders with a lease, understated ages, and a group that does not
    # recover.
    fuzz(ReplicaMachine, 20)


def test_five_replicas_keep_every_acknowledged_command():
    # Guards against the same errors when two replicas may fail at once.
    fuzz(FiveReplicaMachine, 16)
