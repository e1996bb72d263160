"""Replay large and small responses that share the link of a small entry."""

import heapq
import random

from toucanwood.placement import LinkSchedule

# A small entry: 2.75 Mbit/s, 2.3 large responses a second at the peak of a region.
LINK_BYTES_PER_S = 2.75e6 / 8
LARGE_BYTES = 90_000
LARGE_RATE = 2.3
WORK_S = 0.23


def replay(*, schedule, seconds=200.0, seed=1):
    """Return how long small responses wait in the link, in order, and the large ones.

    The link carries bytes in the order of their arrival. A small response arrives each
    10 ms and takes no time of its own.
    """
    draw = random.Random(seed)
    arrivals = []
    asked_at = 0.0
    while asked_at < seconds:
        asked_at += draw.expovariate(LARGE_RATE)
        size = LARGE_BYTES * draw.lognormvariate(-0.18, 0.6)
        work = WORK_S * draw.uniform(0.85, 1.15)
        heapq.heappush(arrivals, (asked_at, 0, "ask", asked_at, size, work))
    waits = [[], []]
    for number in range(int(seconds * 100)):
        arrivals.append((number / 100, 1, "small", 0.0, 0.0, 0.0))
    heapq.heapify(arrivals)
    free_at = 0.0
    number = 2
    while arrivals:
        now, _, event, asked_at, size, work = heapq.heappop(arrivals)
        number += 1
        if event == "small":
            waits[0].append(max(free_at - now, 0.0))
        elif event == "ask":
            starts_at = now + work
            if schedule is not None:
                transfer = schedule.reserve("large", WORK_S, now)
                schedule.complete(transfer, int(size), transfer.starts_at)
                schedule.record_size("large", int(size))
                starts_at = transfer.starts_at - WORK_S + work
            item = (starts_at, number, "large", asked_at, size, work)
            heapq.heappush(arrivals, item)
        else:
            free_at = max(free_at, now) + size / LINK_BYTES_PER_S
            waits[1].append(free_at - asked_at)
    return sorted(waits[0]), sorted(waits[1])


def find_part(values, part):
    return values[int(part * len(values))]


# Guards against small responses that wait behind several large ones: at this load a
# tenth of them waited for about a second.
def test_small_responses_wait_for_one_large_response_at_most():
    before, _ = replay(schedule=None)
    after, _ = replay(schedule=LinkSchedule(LINK_BYTES_PER_S))
    assert find_part(before, 0.9) > 0.5
    assert find_part(after, 0.9) < 0.5 * find_part(before, 0.9)
    assert sum(after) < 0.6 * sum(before)


# Guards against a schedule that leaves the link idle: large responses must not take
# much longer than without it.
def test_large_responses_take_about_as_long_as_before():
    _, before = replay(schedule=None)
    _, after = replay(schedule=LinkSchedule(LINK_BYTES_PER_S))
    assert sum(after) < 1.2 * sum(before)


def test_small_kinds_and_fast_links_have_no_schedule():
    slow = LinkSchedule(LINK_BYTES_PER_S)
    slow.record_size("small", 400)
    slow.record_size("large", LARGE_BYTES)
    assert not slow.is_large("small") and not slow.is_large("unknown")
    assert slow.is_large("large")
    fast = LinkSchedule(1e9 / 8)
    fast.record_size("large", LARGE_BYTES)
    assert not fast.is_large("large")


# Guards against a link that stays reserved for responses that never come.
def test_failed_request_gives_its_time_on_the_link_back():
    schedule = LinkSchedule(LINK_BYTES_PER_S)
    schedule.record_size("large", LARGE_BYTES)
    first = schedule.reserve("large", WORK_S, 0.0)
    schedule.complete(first, None, 0.0)
    schedule.complete(first, None, 0.0)
    assert schedule.reserve("large", WORK_S, 0.0).starts_at == WORK_S


# Guards against requests that wait for a plan which the response was ahead of.
def test_link_is_free_when_a_response_came_earlier_than_planned():
    schedule = LinkSchedule(LINK_BYTES_PER_S)
    schedule.record_size("large", LARGE_BYTES)
    first = schedule.reserve("large", 2.0, 0.0)
    schedule.complete(first, LARGE_BYTES, 0.1)
    second = schedule.reserve("large", 0.0, 0.1)
    assert second.starts_at <= 0.1 + LARGE_BYTES / LINK_BYTES_PER_S
