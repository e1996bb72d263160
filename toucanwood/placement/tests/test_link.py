"""Simulate large and small responses that share the link of a small entry."""

import heapq
import random

from toucanwood.placement import LinkSchedule

# A small entry: a link of 2.75 Mbit/s and 2.3 large responses per second at the peak
# load of a region.
LINK_BYTES_PER_S = 2.75e6 / 8
LARGE_BYTES = 90_000
LARGE_RATE = 2.3
WORK_S = 0.23


def simulate(*, schedule, seconds=200.0, seed=1):
    """Return the sorted waits of small responses and durations of large requests.

    The link sends bytes in the order of their arrival. A small response arrives every
    10 ms and takes no time on the link.
    """
    rng = random.Random(seed)
    arrivals = []
    requested_at = 0.0
    while requested_at < seconds:
        requested_at += rng.expovariate(LARGE_RATE)
        size = LARGE_BYTES * rng.lognormvariate(-0.18, 0.6)
        work = WORK_S * rng.uniform(0.85, 1.15)
        heapq.heappush(arrivals, (requested_at, 0, "request", requested_at, size, work))
    waits = [[], []]
    for number in range(int(seconds * 100)):
        arrivals.append((number / 100, 1, "small", 0.0, 0.0, 0.0))
    heapq.heapify(arrivals)
    link_free_at = 0.0
    number = 2
    while arrivals:
        now, _, event, requested_at, size, work = heapq.heappop(arrivals)
        number += 1
        if event == "small":
            waits[0].append(max(link_free_at - now, 0.0))
        elif event == "request":
            starts_at = now + work
            if schedule is not None:
                transfer = schedule.reserve("large", WORK_S, now)
                schedule.complete(transfer, int(size), transfer.starts_at)
                schedule.record_size("large", int(size))
                starts_at = transfer.starts_at - WORK_S + work
            item = (starts_at, number, "large", requested_at, size, work)
            heapq.heappush(arrivals, item)
        else:
            link_free_at = max(link_free_at, now) + size / LINK_BYTES_PER_S
            waits[1].append(link_free_at - requested_at)
    return sorted(waits[0]), sorted(waits[1])


def get_quantile(values, fraction):
    return values[int(fraction * len(values))]


# Guards against small responses that wait behind several large ones: without a schedule
# a tenth of them waited for about a second at this load.
def test_schedule_halves_the_long_waits_of_small_responses():
    unscheduled, _ = simulate(schedule=None)
    scheduled, _ = simulate(schedule=LinkSchedule(LINK_BYTES_PER_S))
    assert get_quantile(unscheduled, 0.9) > 0.5
    assert get_quantile(scheduled, 0.9) < 0.5 * get_quantile(unscheduled, 0.9)
    assert sum(scheduled) < 0.6 * sum(unscheduled)


# Guards against a schedule that leaves the link idle: large responses must not take
# much longer than without a schedule.
def test_schedule_delays_large_responses_only_slightly():
    _, unscheduled = simulate(schedule=None)
    _, scheduled = simulate(schedule=LinkSchedule(LINK_BYTES_PER_S))
    assert sum(scheduled) < 1.2 * sum(unscheduled)


def test_small_kinds_and_fast_links_are_not_scheduled():
    slow = LinkSchedule(LINK_BYTES_PER_S)
    slow.record_size("small", 400)
    slow.record_size("large", LARGE_BYTES)
    assert not slow.is_large("small") and not slow.is_large("unknown")
    assert slow.is_large("large")
    fast = LinkSchedule(1e9 / 8)
    fast.record_size("large", LARGE_BYTES)
    assert not fast.is_large("large")


# Guards against a link that stays reserved for a response that never comes.
def test_failed_request_releases_its_time_on_the_link():
    schedule = LinkSchedule(LINK_BYTES_PER_S)
    schedule.record_size("large", LARGE_BYTES)
    first = schedule.reserve("large", WORK_S, 0.0)
    schedule.complete(first, None, 0.0)
    schedule.complete(first, None, 0.0)
    assert schedule.reserve("large", WORK_S, 0.0).starts_at == WORK_S


# Guards against requests that wait until the planned end of a response which has
# already been received.
def test_link_is_free_after_a_response_that_came_earlier_than_planned():
    schedule = LinkSchedule(LINK_BYTES_PER_S)
    schedule.record_size("large", LARGE_BYTES)
    first = schedule.reserve("large", 2.0, 0.0)
    schedule.complete(first, LARGE_BYTES, 0.1)
    second = schedule.reserve("large", 0.0, 0.1)
    assert second.starts_at <= 0.1 + LARGE_BYTES / LINK_BYTES_PER_S
