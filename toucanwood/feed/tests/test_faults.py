"""Fault matrix: each message of the feed x each fault x its first occurrences."""

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
# Of six submissions, one of two equal base revisions loses. A cut between an entry
# and the leader outlasts two submissions; a crash may take the submitter along.
LEAST_ACCEPTED = {"cut": 3, "crash": 4}


class FaultyNetwork(FakeNetwork):
    """Apply one fault to one occurrence of one message type."""

    def __init__(self, number, fault, occurrence):
        super().__init__(0)
        self.number = number
        self.fault = fault
        self.remaining = occurrence
        self.crash = None
        self.hits = 0

    def deliver(self, sender, receiver, encoded, handle):
        is_hit = msgpack.unpackb(encoded, strict_map_key=False)[0] == self.number
        if is_hit and self.hits == 0:
            self.remaining -= 1
            if self.remaining < 0:
                self.hits = 1
                if self.apply_fault(sender, receiver, encoded, handle):
                    return
        super().deliver(sender, receiver, encoded, handle)

    def apply_fault(self, sender, receiver, encoded, handle):
        """Return whether the message is not to be delivered now."""
        loop = asyncio.get_running_loop()
        if self.fault == "delay":
            later = super().deliver
            loop.call_later(DELAY_S, later, sender, receiver, encoded, handle)
        elif self.fault == "duplicate":
            super().deliver(sender, receiver, encoded, handle)
        elif self.fault == "cut":
            self.partition({sender}, {receiver})
            loop.call_later(CUT_S, self.heal)
        elif self.fault == "crash":
            self.crash(sender if sender in REPLICAS else receiver)
        return self.fault != "duplicate"


async def run_case(number, fault, occurrence):
    network = FaultyNetwork(number, fault, occurrence)
    cluster = Cluster(network=network)
    network.crash = lambda name: cluster.tasks.start(cluster.crash(name), name="crash")
    await cluster.start()
    await asyncio.sleep(0.5)
    sent = [cluster.issue("e1", "k1"), cluster.declare("e2", 0, "r1")]
    await asyncio.sleep(1.0)
    sent.append(cluster.declare("e1", 0, "r2"))
    await asyncio.sleep(1.0)
    sent.append(cluster.withdraw("e2", "k1"))
    sent.append(cluster.issue("c3", "k2"))
    await asyncio.sleep(0.5)
    await cluster.start_instance("e3")
    sent.append(cluster.declare("e3", 1, "r3"))
    await asyncio.sleep(9.0)
    await cluster.settle()
    return network.hits, sum(is_accepted(item) for item in sent)


def test_feed_tolerates_every_fault_at_every_message():
    # Guards against a single fault that leaves a view stale, old or too permissive, or
    # a submission without a true verdict.
    for case in itertools.product(MESSAGES, FAULTS, OCCURRENCES):
        try:
            with force_fetches():
                hits, accepted = run_virtual(run_case(*case))
        except AssertionError as error:
            raise AssertionError(
                f"message, fault, occurrence {case}: {error}"
            ) from None
        assert hits == 1, f"{case}: the message was not sent"
        least = LEAST_ACCEPTED.get(case[1], 5)
        assert accepted >= least, f"{case}: only {accepted} submissions were accepted"
