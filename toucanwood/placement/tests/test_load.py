"""Simulate load patterns on a service pool, in virtual time."""

import heapq
import random

import attrs

from toucanwood.placement import LoadReport, Outcome, Placed
from toucanwood.placement.tests.test_decisions import build_pool, build_request

WARM_S = 0.2
COLD_S = 0.64
SLOTS = 4


def simulate(*, rate, seconds, objects, targets=6, seed=1, use_objects=True):
    """Return the fractions of requests that were in time, late and refused.

    A target runs as many requests at once as it has slots, queues the others, and
    takes longer for an object that it has not handled before.
    """
    rng = random.Random(seed)
    pool = build_pool(targets)
    warm_objects = {key: set() for key in pool.records}
    end_times = {key: [] for key in pool.records}
    responses = []
    counts = {"in_time": 0, "late": 0, "refused": 0}

    def start_work(placed, request, key, now):
        target = placed.record.id
        free_at = now
        if len(end_times[target]) >= SLOTS:
            free_at = heapq.heappop(end_times[target])
        work = WARM_S if key in warm_objects[target] else COLD_S
        warm_objects[target].add(key)
        end = max(free_at, now) + work * rng.uniform(0.85, 1.15)
        heapq.heappush(end_times[target], end)
        heapq.heappush(responses, (end, id(request), placed, request, now))

    def finish_until(limit):
        while responses and responses[0][0] <= limit:
            end, _, placed, request, started = heapq.heappop(responses)
            target = placed.record.id
            end_times[target] = [at for at in end_times[target] if at > end]
            heapq.heapify(end_times[target])
            pool.finish(
                placed,
                request,
                Outcome.OK,
                seconds=end - started,
                report=LoadReport(len(end_times[target]), 0, SLOTS),
                now=end,
            )
            counts["in_time" if end <= request.objective_at else "late"] += 1

    now = 0.0
    while now < seconds:
        now += rng.expovariate(rate)
        finish_until(now)
        key = f"o-{rng.randrange(objects)}"
        request = build_request(now, object_key=key if use_objects else None)
        decision = pool.place(request, now)
        if isinstance(decision, Placed):
            number = pool.start(decision, request, now)
            start_work(attrs.evolve(decision, number=number), request, key, now)
        else:
            counts["refused"] += 1
    finish_until(now + 10)
    total = sum(counts.values())
    return {name: count / total for name, count in counts.items()}


# Guards against placement that ignores the objects of requests: at this load every
# target would have to load every object, which is more work than the slots can do.
def test_placement_by_object_keeps_requests_in_time_under_steady_load():
    fractions = simulate(rate=45, seconds=20, objects=40)
    without_objects = simulate(rate=45, seconds=20, objects=40, use_objects=False)
    assert fractions["in_time"] > without_objects["in_time"]
    assert fractions["in_time"] > 0.8


# Guards against an overload in which all requests wait and none is in time.
def test_most_of_the_capacity_serves_requests_in_time_under_overload():
    capacity = 6 * SLOTS / WARM_S
    fractions = simulate(rate=1.6 * capacity, seconds=15, objects=30)
    assert fractions["in_time"] * 1.6 > 0.6
