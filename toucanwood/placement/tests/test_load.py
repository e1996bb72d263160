"""Replay load patterns against the decisions, in virtual time."""

import heapq
import random

import attrs

from toucanwood.placement import LoadReport, Outcome, Placed
from toucanwood.placement.tests.test_decisions import build_pool, build_request

WARM_S = 0.2
OTHER_S = 0.64
SLOTS = 4


def replay(*, rate, seconds, objects, targets=6, seed=1, use_objects=True):
    """Return the parts of requests that were in time, late and refused.

    Targets run up to their slots at once, queue the rest, and take longer for an
    object that they have not handled before.
    """
    draw = random.Random(seed)
    pool = build_pool(targets)
    learnt = {key: set() for key in pool.records}
    busy = {key: [] for key in pool.records}
    ends = []
    counts = {"in_time": 0, "late": 0, "refused": 0}

    def run(placed, request, key, now):
        target = placed.record.id
        free_at = now
        if len(busy[target]) >= SLOTS:
            free_at = heapq.heappop(busy[target])
        work = WARM_S if key in learnt[target] else OTHER_S
        learnt[target].add(key)
        end = max(free_at, now) + work * draw.uniform(0.85, 1.15)
        heapq.heappush(busy[target], end)
        heapq.heappush(ends, (end, id(request), placed, request, now))

    def settle(until):
        while ends and ends[0][0] <= until:
            end, _, placed, request, started = heapq.heappop(ends)
            target = placed.record.id
            busy[target] = [at for at in busy[target] if at > end]
            heapq.heapify(busy[target])
            pool.finish(
                placed,
                request,
                Outcome.OK,
                seconds=end - started,
                report=LoadReport(len(busy[target]), 0, SLOTS),
                now=end,
            )
            counts["in_time" if end <= request.objective_at else "late"] += 1

    now = 0.0
    while now < seconds:
        now += draw.expovariate(rate)
        settle(now)
        key = f"o-{draw.randrange(objects)}"
        request = build_request(now, object_key=key if use_objects else None)
        decision = pool.place(request, now)
        if isinstance(decision, Placed):
            number = pool.start(decision, request, now)
            run(attrs.evolve(decision, number=number), request, key, now)
        else:
            counts["refused"] += 1
    settle(now + 10)
    total = sum(counts.values())
    return {name: count / total for name, count in counts.items()}


# Guards against placement without regard to objects: at this load every target would
# have to learn every object, which is more than the slots can carry.
def test_objects_are_learnt_once_under_steady_load():
    parts = replay(rate=45, seconds=20, objects=40)
    unaware = replay(rate=45, seconds=20, objects=40, use_objects=False)
    assert parts["in_time"] > unaware["in_time"]
    assert parts["in_time"] > 0.8


# Guards against an overload in which every request waits and none is in time.
def test_most_of_the_capacity_serves_requests_in_time_under_overload():
    capacity = 6 * SLOTS / WARM_S
    parts = replay(rate=1.6 * capacity, seconds=15, objects=30)
    assert parts["in_time"] * 1.6 > 0.6
