"""Fault matrix: every feed message x every fault x the 1st and 4th occurrence."""

import asyncio
import itertools

import msgpack

from toucanwood.feed.tests.cluster import (
    REPLICAS,
    Cluster,
    force_fetches,
    is_accepted,
)
from toucanwood.peering.testing import FakeNetwork
from toucanwood.utils import run_virtual

MESSAGES = range(40, 48)
FAULTS = ("drop", "delay", "duplicate", "cut", "crash")
OCCURRENCES = (0, 3)
DELAY_S = 2.5
CUT_S = 6.0
# Least number of accepted submissions by fault; 5 for the others. Of six submissions,
# one of the two with an equal base revision is refused. A cut between an entry and the
# leader outlasts two submissions, and a crash may hit the submitting instance.
MIN_ACCEPTED = {"cut": 3, "crash": 4}


class FaultyNetwork(FakeNetwork):
    """Inject one fault into one occurrence of one message type."""

    def __init__(self, message_number, fault, occurrence):
        super().__init__(0)
        self.message_number = message_number
        self.fault = fault
        self.remaining = occurrence
        self.crash = None
        self.hit_count = 0

    def deliver(self, sender, receiver, encoded, handle):
        is_hit = (
            msgpack.unpackb(encoded, strict_map_key=False)[0] == self.message_number
        )
        if is_hit and self.hit_count == 0:
            self.remaining -= 1
            if self.remaining < 0:
                self.hit_count = 1
                if self.apply_fault(sender, receiver, encoded, handle):
                    return
        super().deliver(sender, receiver, encoded, handle)

    def apply_fault(self, sender, receiver, encoded, handle):
        """Apply the fault; return whether to drop or delay this message."""
        loop = asyncio.get_running_loop()
        if self.fault == "delay":
            delayed_deliver = super().deliver
            loop.call_later(DELAY_S, delayed_deliver, sender, receiver, encoded, handle)
        elif self.fault == "duplicate":
            super().deliver(sender, receiver, encoded, handle)
        elif self.fault == "cut":
            self.partition({sender}, {receiver})
            loop.call_later(CUT_S, self.heal)
        elif self.fault == "crash":
            self.crash(sender if sender in REPLICAS else receiver)
        return self.fault != "duplicate"


async def run_case(message_number, fault, occurrence):
    network = FaultyNetwork(message_number, fault, occurrence)
    cluster = Cluster(network=network)
    network.crash = lambda name: cluster.tasks.start(cluster.crash(name), name="crash")
    await cluster.start()
    await asyncio.sleep(0.5)
    submitted = [cluster.issue("e1", "k1"), cluster.declare("e2", 0, "r1")]
    await asyncio.sleep(1.0)
    submitted.append(cluster.declare("e1", 0, "r2"))
    await asyncio.sleep(1.0)
    submitted.append(cluster.withdraw("e2", "k1"))
    submitted.append(cluster.issue("c3", "k2"))
    await asyncio.sleep(0.5)
    await cluster.start_instance("e3")
    submitted.append(cluster.declare("e3", 1, "r3"))
    await asyncio.sleep(9.0)
    await cluster.heal_and_check()
    return network.hit_count, sum(is_accepted(item) for item in submitted)


def test_feed_tolerates_each_fault_of_each_message():
    # Guards against a single fault after which a view is stale, outdated or accepts
    # withdrawn keys, or a submission gets a wrong verdict.
    for case in itertools.product(MESSAGES, FAULTS, OCCURRENCES):
        try:
            with force_fetches():
                hit_count, accepted = run_virtual(run_case(*case))
        except AssertionError as error:
            raise AssertionError(
                f"message, fault, occurrence {case}: {error}"
            ) from None
        assert hit_count == 1, f"{case}: the message was not sent"
        min_accepted = MIN_ACCEPTED.get(case[1], 5)
        assert accepted >= min_accepted, (
            f"{case}: only {accepted} submissions were accepted"
        )
