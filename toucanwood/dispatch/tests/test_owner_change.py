"""Tests of a target that moves to another owner while it runs requests."""

import itertools

from toucanwood.dispatch.tests.harness import Harness
from toucanwood.peering.testing import LinkFaults

PREVIOUS_OWNER_STATES = ["alive", "crashed", "cut from the new owner"]
HOLDER_STATES = [
    "alive",
    "crashed",
    "cut from the new owner",
    "cut from all",
    "is previous owner",
]


def cut_link(harness, first, second):
    for pair in ((first, second), (second, first)):
        harness.network.set_faults(*pair, LinkFaults(is_cut=True))


def flood(harness):
    """Send more requests from every instance than there are slots."""
    for name in harness.instances:
        for _ in range(3):
            harness.request(name, name, duration=3.0, deadline=4.0)


def move_target(previous_owner, holder):
    """Fill a target's slots with long requests, then move the target from a to b."""
    harness = Harness()
    try:
        harness.add_target("t1", "n1", 2, "a")
        harness.wait(4.0)
        name = "a" if holder == "is previous owner" else "c"
        for _ in range(2):
            harness.request(name, "long", duration=25.0, deadline=60.0)
        harness.wait(1.0)
        assert len(harness.targets["t1"].running) == 2
        harness.targets["t1"].instance = "b"
        if previous_owner == "crashed":
            harness.crash("a")
        elif previous_owner != "alive":
            cut_link(harness, "a", "b")
        if holder == "crashed":
            harness.crash("c")
        elif holder.startswith("cut"):
            cut_link(harness, "c", "b")
        if holder == "cut from all":
            cut_link(harness, "c", "a")
        interrupted_early = flood_and_watch(harness, 12.0)
        served_early = len([ok for _, ok in harness.results if ok])
        flood_and_watch(harness, 15.0)
        served = len([ok for _, ok in harness.results if ok])
        return harness.problems, interrupted_early, served_early, served
    finally:
        harness.close()


def flood_and_watch(harness, seconds):
    """Send a flood of requests; return whether a long request ended meanwhile."""
    before = len(harness.targets["t1"].running)
    for _ in range(int(seconds)):
        flood(harness)
        harness.wait(1.0)
    return len(harness.targets["t1"].running) < before


def test_change_of_owner_never_exceeds_slots():
    # Guards against a new owner that does not know of requests still running on the
    # target.
    for case in itertools.product(PREVIOUS_OWNER_STATES, HOLDER_STATES):
        problems, _, _, served = move_target(*case)
        assert not problems, (case, problems[:3])
        assert served > 2, (case, "the target gets no work from its new owner")


def test_change_of_owner_interrupts_no_request_of_a_reachable_holder():
    # Guards against a change of owner that ends requests running on the target.
    for previous_owner in ("alive", "crashed"):
        _, is_interrupted, served_early, _ = move_target(previous_owner, "alive")
        assert not is_interrupted and served_early == 2, previous_owner


def test_late_grant_of_the_previous_owner_is_not_used():
    # Guards against a grant of the previous owner that arrives after the new owner
    # has requested the leases from the holder.
    for delay in (0.3, 0.9, 1.4):
        harness = Harness()
        try:
            harness.add_target("t1", "n1", 1, "a")
            harness.wait(4.0)
            slow = LinkFaults(min_delay=delay, max_delay=delay)
            harness.network.set_faults("a", "c", slow)
            harness.targets["t1"].instance = "b"
            cut_link(harness, "a", "b")
            for _ in range(40):
                harness.request("c", "x", duration=9.0, deadline=10.0)
                harness.request("b", "y", duration=9.0, deadline=10.0)
                harness.wait(0.25)
            assert not harness.problems, (delay, harness.problems[:3])
        finally:
            harness.close()
