"""Tests of a target that moves to another owner while requests run on it."""

import itertools

from toucanwood.dispatch.tests.harness import Harness
from toucanwood.peering.testing import LinkFaults

OLD_OWNER = ["alive", "crashed", "cut from the new owner"]
HOLDER = ["alive", "crashed", "cut from the new owner", "cut from all", "is old owner"]


def cut(harness, first, second):
    for pair in ((first, second), (second, first)):
        harness.network.set_faults(*pair, LinkFaults(is_cut=True))


def flood(harness):
    """Keep more requests waiting than there are slots, from every instance."""
    for name in harness.instances:
        for _ in range(3):
            harness.request(name, name, duration=3.0, deadline=4.0)


def move_target(old_owner, holder):
    """Fill the target's slots with long requests, then move it from a to b."""
    harness = Harness()
    try:
        harness.add_target("t1", "n1", 2, "a")
        harness.wait(4.0)
        name = "a" if holder == "is old owner" else "c"
        for _ in range(2):
            harness.request(name, "long", duration=25.0, deadline=60.0)
        harness.wait(1.0)
        assert len(harness.targets["t1"].running) == 2
        harness.targets["t1"].instance = "b"
        if old_owner == "crashed":
            harness.crash("a")
        elif old_owner != "alive":
            cut(harness, "a", "b")
        if holder == "crashed":
            harness.crash("c")
        elif holder.startswith("cut"):
            cut(harness, "c", "b")
        if holder == "cut from all":
            cut(harness, "c", "a")
        interrupted_early = watch(harness, 12.0)
        served_early = len([ok for _, ok in harness.results if ok])
        watch(harness, 15.0)
        served = len([ok for _, ok in harness.results if ok])
        return harness.problems, interrupted_early, served_early, served
    finally:
        harness.close()


def watch(harness, seconds):
    """Flood for a while; return whether a long request ended in that time."""
    before = len(harness.targets["t1"].running)
    for _ in range(int(seconds)):
        flood(harness)
        harness.wait(1.0)
    return len(harness.targets["t1"].running) < before


def test_change_of_owner_never_exceeds_slots():
    # Guards against a new owner that does not know what still runs on its target.
    for case in itertools.product(OLD_OWNER, HOLDER):
        problems, _, _, served = move_target(*case)
        assert not problems, (case, problems[:3])
        assert served > 2, (case, "the target gets no work from its new owner")


def test_change_of_owner_interrupts_no_reachable_request():
    # Guards against a change of owner that ends the requests that run on the target.
    for old_owner in ("alive", "crashed"):
        _, is_interrupted, served_early, _ = move_target(old_owner, "alive")
        assert not is_interrupted and served_early == 2, old_owner


def test_grant_in_flight_during_the_change_is_not_used():
    # Guards against a grant of the old owner that arrives after the new one has asked.
    for delay in (0.3, 0.9, 1.4):
        harness = Harness()
        try:
            harness.add_target("t1", "n1", 1, "a")
            harness.wait(4.0)
            slow = LinkFaults(min_delay=delay, max_delay=delay)
            harness.network.set_faults("a", "c", slow)
            harness.targets["t1"].instance = "b"
            cut(harness, "a", "b")
            for _ in range(40):
                harness.request("c", "x", duration=9.0, deadline=10.0)
                harness.request("b", "y", duration=9.0, deadline=10.0)
                harness.wait(0.25)
            assert not harness.problems, (delay, harness.problems[:3])
        finally:
            harness.close()
