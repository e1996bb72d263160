"""Tests of every message type and every disk step with every kind of fault."""

import asyncio
import errno

import attrs
import msgpack

from toucanwood.consensus import _messages
from toucanwood.consensus.testing import DISK_STEPS, DiskCrashError
from toucanwood.consensus.tests.fixtures import Cluster, wait_until
from toucanwood.peering import encode_message
from toucanwood.peering.testing import FakeNetwork, LinkFaults
from toucanwood.utils import run_virtual

MESSAGE_TYPES = [
    value
    for value in vars(_messages).values()
    if isinstance(value, type) and attrs.has(value)
]
MESSAGE_FAULTS = {
    "lost": LinkFaults(drop=1.0),
    "half lost": LinkFaults(drop=0.5),
    "duplicated": LinkFaults(duplicate=1.0, max_delay=0.15),
    "reordered": LinkFaults(max_delay=0.1),
    "late": LinkFaults(min_delay=0.3, max_delay=2.0),
}
DISK_FAULTS = {
    "crash": lambda: DiskCrashError(errno.EIO, "the process has crashed"),
    "full": lambda: OSError(errno.ENOSPC, "no space left on device"),
    "failed": lambda: OSError(errno.EIO, "input/output error"),
}


class SelectiveNetwork(FakeNetwork):
    """A network that applies faults only to the messages of one type."""

    def __init__(self, seed, message_type=None, faults=None):
        super().__init__(seed)
        self.number = encode_message(message_type())[0] if message_type else None
        self.selected_faults = faults
        self.seen_numbers = set()

    def deliver(self, sender, receiver, encoded, handle):
        number = msgpack.unpackb(encoded, strict_map_key=False)[0]
        self.seen_numbers.add(number)
        default_faults = self.default_faults
        if number == self.number and self.selected_faults is not None:
            self.default_faults = self.selected_faults
        super().deliver(sender, receiver, encoded, handle)
        self.default_faults = default_faults


async def try_propose(cluster, prefix, count):
    for number in range(count):
        for leader in cluster.leaders():
            command = b"%b%d" % (prefix, number)
            await cluster.propose_once(leader, command, timeout=0.3)
        await cluster.run_checked(0.02)


async def run_full_scenario(cluster):
    """Cause the operations during which every type of message is sent.

    These are an election, a snapshot, the repair of a replica that lost its disk, the
    addition of a learner and a transfer of the leadership.
    """
    await cluster.start()
    await cluster.run_checked(2.0)
    await try_propose(cluster, b"first", 30)
    for leader in cluster.leaders():
        behind = next(key for key in "abc" if key != leader)
        await cluster.restart(behind, lose_disk=True)
    await cluster.run_checked(1.0)
    for leader in cluster.leaders():
        await cluster.replicas[leader].add_learner("d")
        await cluster.replicas[leader]._leadership.transfer()
    await cluster.run_checked(1.0)
    await try_propose(cluster, b"second", 5)


async def recover(cluster):
    for replica_id in cluster.ids:
        if cluster.replicas[replica_id]._core.is_closed:
            await cluster.restart(replica_id)
    await cluster.propose(b"last")
    await cluster.wait_for_convergence()
    cluster.check()


def run_with_message_fault(message_type, faults):
    async def main():
        cluster = Cluster("abcd", voters="abc")
        cluster.network = SelectiveNetwork(1, message_type, faults)
        await run_full_scenario(cluster)
        cluster.network.selected_faults = None
        await recover(cluster)
        return cluster.network.seen_numbers

    return run_virtual(main())


def test_the_scenario_sends_every_message_type():
    # Guards against a fault test that passes because its message is never sent.
    seen_numbers = run_with_message_fault(None, None)
    assert {encode_message(kind())[0] for kind in MESSAGE_TYPES} <= seen_numbers


def test_each_message_type_with_each_fault():
    # Guards against a message whose loss, delay or duplication breaks the group.
    for message_type in MESSAGE_TYPES:
        for name, faults in MESSAGE_FAULTS.items():
            try:
                run_with_message_fault(message_type, faults)
            except AssertionError as error:
                raise AssertionError(f"{message_type.__name__} {name}") from error


async def run_with_disk_fault(step, fault, on_leader, countdown):
    cluster = Cluster("abc")
    await cluster.start()
    leader = await cluster.wait_for_leader()
    failing_id = leader if on_leader else next(x for x in "abc" if x != leader)
    disk = cluster.disks[failing_id]
    disk.on_crash = lambda: cluster.network.stop(failing_id)
    disk.fail_at(step, DISK_FAULTS[fault](), countdown=countdown)
    proposals = asyncio.create_task(try_propose(cluster, b"x", 60))
    core = cluster.replicas[failing_id]._core
    await wait_until(lambda: core.is_closed)
    assert cluster.replicas[failing_id].dump()["failure"]
    assert not cluster.replicas[failing_id].is_leader()
    await proposals
    await cluster.run_checked(1.0)
    await cluster.restart(failing_id)
    await recover(cluster)


def test_each_disk_step_with_each_fault():
    # Guards against a replica that continues after its disk has failed, and against
    # lost commands. `truncate` is used only on a torn log, which test_storage covers.
    for step in (step for step in DISK_STEPS if step != "truncate"):
        for fault in DISK_FAULTS:
            for on_leader in (True, False):
                for countdown in (1, 2, 3):
                    case = (step, fault, on_leader, countdown)
                    try:
                        run_virtual(run_with_disk_fault(*case))
                    except AssertionError as error:
                        raise AssertionError(f"case {case}") from error
