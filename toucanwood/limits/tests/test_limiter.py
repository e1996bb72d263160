"""Tests of refusals and of the order of service at one limiter."""

import asyncio

from returns.result import Success

from toucanwood.limits.testing import Fleet
from toucanwood.utils import run_virtual

WARM_UP_S = 5.0


def run_fleet(main, *, limits=(10.0, 5.0), entries=2, **options):
    async def run():
        fleet = Fleet(seed=1, limits={"o": limits}, entries=entries, **options)
        await fleet.start()
        await asyncio.sleep(WARM_UP_S)
        await main(fleet)
        assert fleet.compute_excess() == 0

    run_virtual(run())


def test_waiting_requests_are_served_first_in_first_out():
    # Guards against a late request that overtakes an earlier one.
    async def main(fleet):
        order = []

        async def send(number):
            result = await fleet.request("entry-1", "o")
            assert isinstance(result, Success)
            order.append(number)

        await asyncio.gather(*(send(number) for number in range(12)))
        assert order == list(range(12))

    run_fleet(main)


def test_refusal_names_the_rate_and_the_queue_is_bounded():
    # Guards against requests that wait past their deadline or without bound.
    async def main(fleet):
        start = fleet.now
        calls = [fleet.request("entry-1", "o", patience=0.3) for _ in range(100)]
        results = await asyncio.gather(*calls)
        assert fleet.now - start <= 0.31
        refusals = [one.failure() for one in results if not isinstance(one, Success)]
        assert {(one.code, one.status) for one in refusals} == {("rate_exceeded", 429)}
        assert all(one.is_not_run and one.retry_after >= 1 for one in refusals)
        late = [fleet.request("entry-1", "o", patience=9.0) for _ in range(100)]
        await asyncio.gather(*late)
        assert fleet.now - start <= 0.31 + 1.01

    run_fleet(main)


def test_unreachable_leader_gives_limiter_unavailable():
    # Guards against a 429 that blames the caller for a fault of the system.
    async def main(fleet):
        fleet.network.partition({"entry-0"}, {"entry-1"})
        cut = await fleet.request("entry-1", "o")
        assert (cut.failure().code, cut.failure().status) == (
            "limiter_unavailable",
            503,
        )
        fleet.network.heal()
        await asyncio.sleep(1)
        assert isinstance(await fleet.request("entry-1", "o"), Success)
        fleet.leader = None
        results = [await fleet.request("entry-1", "o") for _ in range(12)]
        assert results[-1].failure().code == "limiter_unavailable"

    run_fleet(main)


def test_unknown_organisation_is_refused():
    # Guards against an organisation without a declared rate that runs unlimited.
    async def main(fleet):
        result = await fleet.limiters["entry-0"].acquire("x", deadline=fleet.now + 1)
        assert result.failure().code == "rate_exceeded"

    run_fleet(main)


def test_refund_makes_a_token_usable_once_and_only_before_its_report():
    # Guards against a refund that mints a token the leader has already replaced.
    async def main(fleet):
        limiter = fleet.limiters["entry-1"]
        assert isinstance(await fleet.request("entry-1", "o"), Success)
        await asyncio.sleep(3)
        held = limiter._tenants["o"].holding
        before = held.tokens
        assert before > 0
        assert isinstance(await fleet.request("entry-1", "o"), Success)
        limiter.refund("o")
        assert held.tokens == before
        limiter.refund("o")
        assert held.tokens == before
        assert isinstance(await fleet.request("entry-1", "o"), Success)
        await asyncio.sleep(3)
        reported = held.tokens
        limiter.refund("o")
        assert held.tokens == reported
        fleet.oracles["o"].admission_times.clear()

    run_fleet(main, limits=(20.0, 40.0))
