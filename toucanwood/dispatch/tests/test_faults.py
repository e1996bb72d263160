"""Fault matrix: every kind of message with every kind of fault."""

import itertools

import attrs
import msgpack

from toucanwood.dispatch.tests.harness import Harness
from toucanwood.peering.testing import FakeNetwork, LinkFaults

MESSAGES = {
    70: "AcquireSlot",
    71: "SlotReply",
    72: "ReleaseSlot",
    73: "HoldLeases",
    74: "HoldReply",
    75: "ClaimTarget",
    76: "ClaimReply",
    77: "DirectoryDelta",
    78: "LeaveTarget",
    79: "LeaveReply",
}
FAULTS = ["drop", "delay", "duplicate", "cut", "crash sender", "crash receiver"]
MAX_FAULTY_MESSAGES = 3
DELAY_S = 2.5
OUTAGE_S = 4.0


class FaultInjectingNetwork(FakeNetwork):
    """Inject one fault into the first messages of one kind once `harness` is set."""

    def __init__(self, number, fault):
        super().__init__(1)
        self.number = number
        self.fault = fault
        self.harness = None
        self.hits = 0

    def deliver(self, sender, receiver, encoded, handle):
        is_match = msgpack.unpackb(encoded, strict_map_key=False)[0] == self.number
        if self.harness is None or not is_match or self.hits >= MAX_FAULTY_MESSAGES:
            super().deliver(sender, receiver, encoded, handle)
            return
        self.hits += 1
        self.inject_fault(sender, receiver, encoded, handle)

    def inject_fault(self, sender, receiver, encoded, handle):
        loop = self.harness.loop
        if self.fault == "drop":
            return
        if self.fault in ("delay", "duplicate"):
            loop.call_later(DELAY_S, self._receive, receiver, encoded, handle)
            if self.fault == "delay":
                return
        if self.fault == "cut":
            self.cut_link(sender, receiver)
        super().deliver(sender, receiver, encoded, handle)
        if self.fault.startswith("crash"):
            self.hits = MAX_FAULTY_MESSAGES
            name = sender if self.fault == "crash sender" else receiver
            loop.call_soon(self.harness.crash, name)
            loop.call_later(OUTAGE_S, self.harness.start, name)

    def cut_link(self, sender, receiver):
        self.hits = MAX_FAULTY_MESSAGES
        for pair in ((sender, receiver), (receiver, sender)):
            self.set_faults(*pair, LinkFaults(is_cut=True))
        self.harness.loop.call_later(OUTAGE_S, self.heal)


def run_scenario(number, fault):
    """Move a target, let another target leave, and keep requests running meanwhile."""
    network = FaultInjectingNetwork(number, fault)
    harness = Harness(network=network)
    try:
        harness.add_target("t1", "n1", 2, "a")
        harness.add_target("t2", "n2", 2, "b")
        harness.add_target("t3", "n1", 2, "a")
        harness.wait(4.0)
        network.harness = harness
        for step in range(30):
            for name, duration in zip("abc", (0.1, 1.2, 5.0), strict=True):
                harness.request(name, name, duration=duration, deadline=6.0)
            if step == 6:
                harness.targets["t1"].instance = "b"
            if step == 10:
                harness.leave("t2", "c")
            harness.wait(0.5)
        harness.wait(12.0)
        leaked = harness.count_leases()
        hits = network.hits
        served = request_from_every_instance(harness)
        return attrs.asdict(ScenarioResult(harness.problems, leaked, hits, served))
    finally:
        harness.close()


@attrs.frozen
class ScenarioResult:
    problems: list
    leaked: int
    hits: int
    served: list


def request_from_every_instance(harness):
    harness.results.clear()
    for name in "abc":
        harness.request(name, name)
    harness.wait(3.0)
    return [ok for _, ok in harness.results]


def test_dispatch_tolerates_every_fault_of_every_message():
    # Guards against a lost, late or duplicate message, or a crash at its delivery, that
    # exceeds the slots, sends requests to a target that left, leaks a slot or stops the
    # service.
    failures = []
    for number, fault in itertools.product(MESSAGES, FAULTS):
        outcome = run_scenario(number, fault)
        expected = {"problems": [], "leaked": 0, "served": [True] * 3}
        hits = outcome.pop("hits")
        if outcome != expected or not hits:
            failures.append((MESSAGES[number], fault, hits, outcome))
    assert not failures, "\n".join(map(str, failures))
