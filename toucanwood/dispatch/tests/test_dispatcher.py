"""Tests of individual rules of the dispatcher."""

import math
from collections import Counter

from returns.result import Success

from toucanwood.dispatch import Announcement, Outcome
from toucanwood.dispatch._fairness import OrganisationDemand, compute_fair_level
from toucanwood.dispatch._queue import FairQueue, Waiter
from toucanwood.dispatch._target import LeaseKey, OwnedLease, Target
from toucanwood.dispatch.tests.harness import Harness
from toucanwood.peering.testing import LinkFaults


def build_target(now=0.0, **fields):
    announcement = Announcement(
        id="t", service="s", address="x", data_centre="n1", slots=8, **fields
    )
    return Target(
        announcement=announcement, region="norte", renewed_at=now, is_open=True
    )


def acquire(harness, name, **options):
    async def main():
        deadline = harness.loop.time() + options.pop("max_wait", 1.0)
        return await harness.dispatchers[name].acquire(
            "s", "x", "norte", deadline=deadline, **options
        )

    return harness.run(main())


def release(harness, name, lease, outcome=Outcome.OK):
    async def main():
        harness.dispatchers[name].release(lease, outcome)

    harness.run(main())


def build_harness(*targets):
    harness = Harness()
    for target in targets:
        harness.add_target(*target)
    harness.wait(4.0)
    return harness


def test_waiter_is_served_at_once_when_a_slot_is_released():
    # Guards against a waiter that is served only at the next tick, not at the release.
    harness = build_harness(("t1", "n1", 1, "a"))
    lease = acquire(harness, "a").unwrap()
    harness.wait(0.013)
    harness.request("b", "y")
    harness.wait(0.1)
    release(harness, "a", lease)
    harness.wait(0.002)
    assert len(harness.targets["t1"].running) == 1
    harness.close()


def test_waiter_is_woken_by_a_free_slot_at_another_owner():
    # Guards against a waiter that notices a free slot at an owner outside its queues
    # only when it ranks the owners again after a second.
    harness = Harness(instances={"a": "n1", "b": "n2", "c": "n1"})
    for number, owner in enumerate("abc"):
        harness.add_target(f"t{number}", harness.instances[owner], 1, owner)
    harness.wait(4.0)
    leases = [acquire(harness, "a", max_wait=60.0).unwrap() for _ in range(3)]
    harness.wait(2.5)
    harness.request("a", "y", duration=5.0, deadline=30.0)
    harness.wait(0.013)
    free = next(lease for lease in leases if lease.owner == "b")
    release(harness, "a", free)
    harness.wait(0.25)
    assert len(harness.targets[free.target_id].running) == 1
    harness.close()


def test_lost_release_is_sent_again():
    # Guards against a slot that stays occupied until the deadline of a long request
    # because the message that releases it was lost.
    harness = build_harness(("t1", "n1", 1, "a"))
    lease = acquire(harness, "b", max_wait=600.0).unwrap()
    harness.network.set_faults("b", "a", LinkFaults(drop=1.0))
    release(harness, "b", lease)
    harness.wait(1.5)
    assert harness.count_leases() == 1
    harness.network.heal()
    harness.wait(2.1)
    assert harness.count_leases() == 0
    harness.close()


def test_slots_of_a_crashed_holder_are_freed_after_six_seconds():
    # Guards against slots that stay occupied until a long deadline although their
    # holder has crashed.
    harness = build_harness(("t1", "n1", 2, "a"))
    acquire(harness, "b", max_wait=600.0).unwrap()
    harness.wait(2.0)
    harness.crash("b")
    harness.wait(4.0)
    assert harness.count_leases() == 1
    harness.wait(3.2)
    assert harness.count_leases() == 0
    harness.close()


def test_lease_is_lost_before_the_owner_frees_it():
    # Guards against an isolated holder that continues a request after the owner has
    # freed its slot.
    harness = build_harness(("t1", "n1", 1, "a"))
    lease = acquire(harness, "b", max_wait=600.0).unwrap()
    harness.network.partition({"b"}, {"a", "c"})
    lost_at = freed_at = None
    for _ in range(200):
        harness.wait(0.05)
        if lost_at is None and lease.lost.is_set():
            lost_at = harness.loop.time()
        if freed_at is None and not harness.count_leases():
            freed_at = harness.loop.time()
    assert lost_at + 0.5 < freed_at
    harness.close()


def test_leave_through_any_instance_stops_new_requests_at_once():
    # Guards against a leaving target that gets requests until its announcement expires.
    harness = build_harness(("t1", "n1", 2, "a"))
    running = acquire(harness, "b").unwrap()
    harness.leave("t1", "c")
    harness.wait(0.1)
    refusal = acquire(harness, "b", max_wait=0.5).failure()
    assert refusal.code == "no_capacity" and refusal.is_not_run
    assert harness.count_leases() == 1 and not running.lost.is_set()

    # A renewal that was sent before the target left, but arrives afterwards, must not
    # bring the target back.
    harness.targets["t1"].is_announcing = True
    harness.wait(1.0)
    assert not isinstance(acquire(harness, "b", max_wait=0.2), Success)
    harness.close()


def test_excluded_target_is_not_used():
    # Guards against a retry at the target that has just failed the request.
    harness = build_harness(("t1", "n1", 2, "a"), ("t2", "n1", 2, "a"))
    chosen = {
        acquire(harness, "b", exclude=["t1"]).unwrap().target_id for _ in range(2)
    }
    assert chosen == {"t2"}
    harness.close()


def test_flooding_organisation_does_not_reduce_fair_shares():
    # Guards against an organisation that takes the slots of the others by flooding the
    # queues.
    harness = build_harness(("t1", "n1", 3, "a"), ("t2", "n2", 3, "b"))
    for step in range(120):
        if step % 2 == 0:
            for name in "abc":
                for _ in range(4):
                    harness.request(name, "flood", duration=0.3, deadline=1.0)
        for name in "ab":
            harness.request(name, "small", duration=0.3, deadline=1.0)
        harness.wait(0.1)
    harness.wait(2.0)
    counts = Counter(harness.results)
    served, refused = counts["small", True], counts["small", False]
    # 20 requests/s of 0.3 s use 6 slots; the fair share is 3 slots, or 10 requests/s.
    assert served >= 0.9 * 120, (served, refused)
    total = served + counts["flood", True]
    assert total >= 0.9 * 12 * 6 / 0.3, total
    harness.close()


def test_short_queue_is_served_in_order_of_arrival():
    # Guards against short queues in which only a large organisation has to wait.
    harness = build_harness(("t1", "n1", 4, "a"))
    for _ in range(3):
        harness.request("a", "large", duration=20.0, deadline=30.0)
    harness.request("a", "small", duration=0.5, deadline=30.0)
    harness.wait(0.1)
    for organisation in ("large", "small"):
        harness.request("a", organisation, duration=20.0, deadline=30.0)
    harness.wait(1.0)
    assert harness.results[4:] == [("large", True)]
    harness.close()


def test_full_queue_drops_from_the_organisation_with_most_waiters():
    # Guards against an organisation that fills the queue and displaces all others.
    queue = FairQueue(limit=4)

    def add(number, organisation):
        key = LeaseKey("h", 1, number)
        return queue.add(Waiter(key, "s", organisation, "norte", 9.0, 9.0))

    assert [add(number, "flood") for number in range(4)] == [None] * 4
    assert add(4, "small").key.number == 3
    assert add(5, "flood").key.number == 5
    usage = {"flood": 2, "small": 1}.get
    order = [waiter.organisation for waiter in queue.iterate_fairly(usage, 2)]
    assert order == ["small", "flood", "flood", "flood"]
    order = [waiter.organisation for waiter in queue.iterate_fairly(usage, 3)]
    assert order == ["flood", "flood", "flood", "small"]


def test_fair_level_satisfies_small_demands_in_full():
    # Guards against a large organisation that waits although the region has free slots,
    # and against an organisation that gets a full share here in spite of the slots that
    # it uses elsewhere.
    def level(capacity, *demands):
        return compute_fair_level(
            [OrganisationDemand(*demand) for demand in demands], capacity
        )

    assert level(12, (0, 2), (0, 10)) == math.inf or level(12, (0, 2), (0, 10)) == 10
    assert level(10, (0, 2), (0, 50), (0, 50)) == 4
    assert level(10, (6, 50), (0, 50)) == 8
    assert level(4, (6, 50), (0, 50)) == 4


def test_new_target_ramps_up():
    # Guards against a target that gets its full load immediately after its start.
    target = build_target()
    target.ramp_started_at = 0.0
    limits = [target.limit(now) for now in (0.0, 2.5, 5.0)]
    assert limits == [2, 5, 8]


def test_fast_failing_target_gets_fewer_requests():
    # Guards against a target that attracts requests because it fails within 1 ms.
    harness = build_harness(("t1", "n1", 4, "a"), ("t2", "n1", 4, "a"))
    counts = Counter()
    for _ in range(300):
        lease = acquire(harness, "b").unwrap()
        counts[lease.target_id] += 1
        is_failing = lease.target_id == "t1"
        harness.wait(0.001 if is_failing else 0.02)
        release(harness, "b", lease, Outcome.FAILED if is_failing else Outcome.OK)
    assert counts["t1"] <= 0.1 * 300, counts
    harness.close()


def test_misreported_load_is_flagged():
    # Guards against wrong load reports that go unnoticed.
    for load, expected in ((0.0, True), (0.9, False), (None, False), (5.0, True)):
        target = build_target(load=load)
        for number in range(7):
            key = LeaseKey("h", 1, number)
            target.add_lease(OwnedLease(key, "x", 9.0, 0.0, 0.0), 0.0)
        for step in range(6):
            target.renew(target.announcement, float(step))
        assert target.dump(6.0)["is_load_misreported"] is expected, load
