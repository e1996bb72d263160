"""Tests of what targets say of themselves: the limits on their request rates."""

import random

import attrs

from toucanwood.placement import (
    Placed,
    PlacementRequest,
    Refused,
    ResponseSignals,
    ServicePool,
    TargetRecord,
    TargetSelector,
)
from toucanwood.placement.tests.test_decisions import TARGET

# The platform allows a target one and a half times its limit in any window, and 5
# requests more.
WINDOW_S = 4.0
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5


def build_request(now):
    return PlacementRequest("s", (1, 1), now, now + 0.4, now + 1.0, kind="r")


def build_pool(entry_id, entries, targets=1):
    pool = ServicePool("s", TargetSelector(entry_id=entry_id, entries=entries))
    for number in range(targets):
        target = attrs.evolve(TARGET, id=f"t-{number}", slots=100)
        pool.records[target.id] = TargetRecord(target, "north", 0.001)
    return pool


def name_limit(pool, limit, now=0.0, target="t-0"):
    record = pool.records[target]
    record.signals.record(ResponseSignals(limit), now)


def send(pool, now):
    """Place a request and end it at once; return its target, or why it is refused."""
    request = build_request(now)
    decision = pool.place(request, now)
    if isinstance(decision, Refused):
        return decision
    assert isinstance(decision, Placed)
    number = pool.start(decision, request, now)
    decision.record.end_request(number)
    return decision.record.id


def count_most_in_window(times):
    return max(
        (sum(start <= at < start + WINDOW_S for at in times) for start in times),
        default=0,
    )


# Guards against a target that gets its limit from each entry, or far more.
def test_limit_of_a_target_holds_for_the_sum_of_all_entries():
    generator = random.Random(1)
    for count in (1, 2, 8, 60, 182):
        entries = frozenset(f"e-{number}" for number in range(count))
        for limit in (0.1, 0.5, 1.0, 2.5, 3.5, 6.0, 20.0):
            pools = [build_pool(name, entries) for name in sorted(entries)]
            for pool in pools:
                name_limit(pool, limit)
                send(pool, 0.0)
            times = []
            # Every share is saved up in a pause, then there are requests in plenty.
            for step in range(20 * 20):
                now = 30.0 + step / 20
                for pool in generator.sample(pools, min(count, 48)):
                    if send(pool, now) == "t-0":
                        times.append(now)
            allowed = ALLOWED_FACTOR * limit * WINDOW_S + ALLOWED_EXTRA
            assert count_most_in_window(times) <= allowed, (count, limit)
            assert len(times) >= 0.7 * min(limit, 20.0) * 20 - 2, (count, limit)


def test_target_with_a_limit_leaves_its_requests_to_others():
    entries = frozenset({"e-0"})
    pool = build_pool("e-0", entries, targets=2)
    name_limit(pool, 0.5)
    targets = [send(pool, step / 10) for step in range(100)]
    assert targets.count("t-1") >= 94
    assert 3 <= targets.count("t-0") <= 6


# Guards against a request that is refused without a cause or a time to come back.
def test_refusal_states_that_targets_are_limited_and_when_to_retry():
    pool = build_pool("e-0", frozenset({"e-0"}))
    name_limit(pool, 2.0)
    refused = send(pool, 0.1)
    assert refused.reason == "targets_limited"
    assert 0.3 < refused.retry_after_s <= 0.5
    assert send(pool, 0.6) == "t-0"


def test_limit_ends_with_a_response_that_names_none_or_with_a_restart():
    entries = frozenset({"e-0"})
    for end in (
        lambda record: record.signals.record(ResponseSignals(), 1.0),
        lambda record: record.reset_after_restart(1.0),
    ):
        pool = build_pool("e-0", entries)
        name_limit(pool, 0.1)
        assert isinstance(send(pool, 0.5), Refused)
        end(pool.records["t-0"])
        assert [send(pool, 1.0 + step / 100) for step in range(10)] == ["t-0"] * 10


def test_limit_that_rises_and_falls_is_followed():
    pool = build_pool("e-0", frozenset({"e-0"}))
    counts = []
    for phase, limit in enumerate((2.0, 20.0, 1.0)):
        name_limit(pool, limit, phase * 10.0)
        times = [phase * 10.0 + step / 50 for step in range(500)]
        counts.append(sum(send(pool, now) == "t-0" for now in times))
    assert 17 <= counts[0] <= 21
    assert 170 <= counts[1] <= 210
    assert 8 <= counts[2] <= 12


# Guards against requests to a target that has asked to be left alone, and against one
# good response in between that makes it forgotten.
def test_target_that_asks_to_wait_gets_nothing_until_the_end():
    pool = build_pool("e-0", frozenset({"e-0"}), targets=2)
    record = pool.records["t-0"]
    record.signals.record(ResponseSignals(wait_s=4.0), 1.0)
    record.signals.record(ResponseSignals(), 1.1)
    record.signals.record(ResponseSignals(wait_s=0.5), 1.2)
    targets = {send(pool, 1.2 + step / 20) for step in range(76)}
    assert targets == {"t-1"}
    assert "t-0" in {send(pool, 5.01 + step / 20) for step in range(20)}


def test_refusal_states_when_the_first_target_ends_its_wait():
    pool = build_pool("e-0", frozenset({"e-0"}), targets=2)
    for number, wait_s in enumerate((4.0, 2.5)):
        signals = ResponseSignals(wait_s=wait_s)
        pool.records[f"t-{number}"].signals.record(signals, 1.0)
    refused = send(pool, 1.5)
    assert (refused.reason, refused.retry_after_s) == ("targets_waiting", 2.0)


# Guards against signals that undo each other.
def test_limit_leaving_and_wait_hold_together():
    pool = build_pool("e-0", frozenset({"e-0"}), targets=2)
    record = pool.records["t-0"]
    record.signals.record(ResponseSignals(5.0, wait_s=1.0), 0.0)
    assert {send(pool, step / 20) for step in range(20)} == {"t-1"}
    times = [1.0 + step / 50 for step in range(200)]
    assert 15 <= sum(send(pool, now) == "t-0" for now in times) <= 21
    record.signals.record(ResponseSignals(5.0, is_leaving=True), 5.0)
    record.signals.record(ResponseSignals(), 5.1)
    assert {send(pool, 6.0 + step / 20) for step in range(40)} == {"t-1"}


# Guards against probes of many entries that exceed the limit of an ejected target.
def test_probes_count_in_the_limit_of_their_target():
    pool = build_pool("e-0", frozenset({"e-0"}))
    record = pool.records["t-0"]
    assert all(pool.selector.take_probe(record, 0.0) for _ in range(9))
    name_limit(pool, 0.5)
    probes = sum(pool.selector.take_probe(record, step / 10) for step in range(100))
    assert 4 <= probes <= 5
    record.signals.record(ResponseSignals(is_leaving=True), 10.0)
    assert not pool.selector.take_probe(record, 20.0)


# Guards against a long Retry-After although a target without a limit is only full.
def test_refusal_of_full_targets_does_not_wait_for_limited_ones():
    pool = build_pool("e-0", frozenset({"e-0"}), targets=2)
    name_limit(pool, 0.1)
    pool.records["t-1"].target = attrs.evolve(TARGET, id="t-1", slots=1)
    request = build_request(0.0)
    pool.start(pool.place(request, 0.0), request, 0.0)
    refused = send(pool, 0.01)
    assert refused.reason == "no_room"
    assert refused.retry_after_s < 1.5
