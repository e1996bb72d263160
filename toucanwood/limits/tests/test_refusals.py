"""Tests of refusals and round trips of organisations that stay within their rate."""

import asyncio
import random

import structlog
from returns.result import Success

from benchmarks.limits import draw_arrivals
from toucanwood.limits._account import LEADER_TERM_S
from toucanwood.limits.testing import Harness
from toucanwood.utils import run_virtual

structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(30))

ENTRIES = 8
DELAY_S = 0.012
MAX_REFUSED = 0.001
MIN_WITHOUT_ROUND_TRIP = 0.99


async def start_harness(limits, entries=ENTRIES):
    harness = Harness(seed=5, limits=limits, entries=entries)
    harness.network.default_faults.min_delay = (
        harness.network.default_faults.max_delay
    ) = DELAY_S
    await harness.start()
    await asyncio.sleep(10.0)
    return harness


def count_round_trips(harness, name):
    dumps = [limiter.dump()["organisations"] for limiter in harness.limiters.values()]
    return sum(states[name]["round_trips"] for states in dumps if name in states)


async def send_all(harness, arrivals, choose_entry, name="o"):
    """Return the fractions refused and without a round trip, and the sorted waits."""
    start = harness.now
    waits = []
    before = count_round_trips(harness, name)

    async def send(at):
        sent_at = harness.now
        if isinstance(await harness.request(choose_entry(at), name), Success):
            waits.append(harness.now - sent_at)

    tasks = []
    for at in arrivals:
        await asyncio.sleep(max(start + at - harness.now, 0.0))
        tasks.append(asyncio.create_task(send(at)))
    await asyncio.gather(*tasks)
    trips = count_round_trips(harness, name) - before
    refused = 1 - len(waits) / len(arrivals)
    return refused, 1 - trips / len(waits), sorted(waits)


def check_case(limits, arrivals, choose_entry, *, min_without_round_trip, earlier=()):
    async def main():
        harness = await start_harness({"o": limits})
        if earlier:
            await send_all(harness, earlier, choose_entry)
            await asyncio.sleep(3600.0)
        refused, without_trip, _ = await send_all(harness, arrivals, choose_entry)
        assert refused <= MAX_REFUSED, refused
        assert without_trip >= min_without_round_trip, without_trip
        assert harness.compute_excess() == 0

    run_virtual(main())


def rotate_entry(at):
    return f"entry-{int(at // 10) % ENTRIES}"


def test_traffic_at_one_entry_is_not_refused():
    # Guards against a rate that is split over entries without traffic.
    arrivals = draw_arrivals(random.Random(2), 36, 60)
    check_case(
        (40.0, 80.0),
        arrivals,
        lambda _: "entry-3",
        min_without_round_trip=MIN_WITHOUT_ROUND_TRIP,
    )


def test_traffic_that_moves_every_10_s_is_not_refused():
    # Guards against tokens that stay at the entry that the traffic has left.
    arrivals = draw_arrivals(random.Random(3), 36, 120)
    check_case(
        (40.0, 80.0),
        arrivals,
        rotate_entry,
        min_without_round_trip=MIN_WITHOUT_ROUND_TRIP,
    )


def test_burst_after_an_idle_hour_is_not_refused():
    # Guards against an idle entry that must request every token of a burst from the
    # leader.
    burst = [number / 400 for number in range(80)]
    check_case(
        (40.0, 80.0),
        burst,
        lambda _: "entry-3",
        min_without_round_trip=MIN_WITHOUT_ROUND_TRIP,
        earlier=burst,
    )


def test_high_rate_with_a_small_burst_is_not_refused():
    # Guards against a rate that is limited to one burst per round trip. A burst of 20
    # lasts about 20 ms at this rate, so traffic that moves to another entry always
    # causes some round trips.
    arrivals = draw_arrivals(random.Random(4), 990, 25)
    for choose_entry, min_fraction in (
        (lambda _: "entry-3", 0.99),
        (rotate_entry, 0.95),
    ):
        check_case(
            (1100.0, 20.0), arrivals, choose_entry, min_without_round_trip=min_fraction
        )


def test_one_organisation_at_ten_times_its_rate_does_not_slow_the_others():
    # Guards against an overloaded organisation that delays the others in a shared queue
    # or message.
    async def main():
        harness = await start_harness({"noisy": (40.0, 80.0), "quiet": (40.0, 80.0)})
        generator = random.Random(6)
        noisy = draw_arrivals(generator, 400, 20)
        quiet = draw_arrivals(generator, 30, 20)
        flood = asyncio.create_task(
            send_all(harness, noisy, lambda at: f"entry-{int(at * 97) % 8}", "noisy")
        )
        refused, _, waits = await send_all(harness, quiet, rotate_entry, "quiet")
        assert refused == 0
        assert waits[int(len(waits) * 0.99)] <= 0.1
        assert (await flood)[0] > 0.8
        assert harness.compute_excess() == 0

    run_virtual(main())


def test_waiting_entry_gets_the_tokens_of_idle_entries_within_three_round_trips():
    # Guards against tokens that stay unused at an idle entry until their lease ends.
    async def main():
        harness = await start_harness({"o": (20.0, 40.0)}, entries=3)
        await send_all(harness, [0.0] * 5, lambda _: "entry-1")
        await asyncio.sleep(0.2)
        service = harness.limiters["entry-0"].dump()["service"]
        assert service["accounts"]["o"]["balance"] <= 30
        refused, _, waits = await send_all(harness, [0.0] * 34, lambda _: "entry-2")
        assert refused == 0
        assert waits[-1] <= 6 * DELAY_S + 0.02

    run_virtual(main())


def test_planned_change_of_leader_refuses_nothing():
    # Guards against accounts and leases that are lost on a graceful stop.
    async def main():
        for limits in ((40.0, 80.0), (1100.0, 20.0)):
            harness = await start_harness({"o": limits})
            arrivals = draw_arrivals(random.Random(7), 0.6 * limits[0], 10)
            sending = asyncio.create_task(
                send_all(harness, arrivals, lambda at: f"entry-{1 + int(at * 97) % 7}")
            )
            await asyncio.sleep(3.0)
            await harness.stop("entry-0")
            harness.leader = None
            await asyncio.sleep(0.1)
            harness.leader = "entry-1"
            refused, _, _ = await sending
            assert refused <= MAX_REFUSED, (limits, refused)
            assert harness.compute_excess() == 0

    run_virtual(main())


def test_new_leader_grants_nothing_until_earlier_leases_have_ended():
    # Guards against a leader that grants tokens while those of earlier leaders, or of
    # its own earlier terms, can still be spent.
    async def main():
        harness = await start_harness({"o": (40.0, 80.0)}, entries=4)
        epochs = set()
        for name in ("entry-0", "entry-1", "entry-0"):
            harness.leader = name
            await asyncio.sleep(0.2)
            changed_at = harness.now
            calls = [harness.request("entry-2", "o") for _ in range(100)]
            await asyncio.gather(*calls)
            state = harness.limiters[name].dump()["service"]
            epochs.add(state["epoch"])
            if name != "entry-0" or len(epochs) > 1:
                account = state["accounts"]["o"]
                assert state["opens_at"] >= changed_at - 0.2 + LEADER_TERM_S - 0.1
                assert account["balance"] + account["outstanding"] == 0
            harness.leader = None
            await asyncio.sleep(0.5)
        assert len(epochs) == 3

    run_virtual(main())
