"""Tests of refusals, refunds and the order of waiting requests at one limiter."""

import asyncio

from returns.result import Success

from toucanwood.limits.testing import Harness
from toucanwood.utils import run_virtual

WARM_UP_S = 5.0


def run_harness(main, *, limits=(10.0, 5.0), entries=2, **options):
    async def run():
        harness = Harness(seed=1, limits={"o": limits}, entries=entries, **options)
        await harness.start()
        await asyncio.sleep(WARM_UP_S)
        await main(harness)
        assert harness.compute_excess() == 0

    run_virtual(run())


def test_waiting_requests_are_served_first_in_first_out():
    # Guards against a late request that overtakes an earlier one.
    async def main(harness):
        order = []

        async def send(number):
            result = await harness.request("entry-1", "o")
            assert isinstance(result, Success)
            order.append(number)

        await asyncio.gather(*(send(number) for number in range(12)))
        assert order == list(range(12))

    run_harness(main)


def test_refusal_has_the_code_rate_exceeded_and_waiting_is_bounded():
    # Guards against requests that wait past their deadline or longer than 1 s.
    async def main(harness):
        start = harness.now
        calls = [harness.request("entry-1", "o", max_wait=0.3) for _ in range(100)]
        results = await asyncio.gather(*calls)
        assert harness.now - start <= 0.31
        refusals = [
            result.failure() for result in results if not isinstance(result, Success)
        ]
        assert {(refusal.code, refusal.status) for refusal in refusals} == {
            ("rate_exceeded", 429)
        }
        assert all(
            refusal.is_not_run and refusal.retry_after >= 1 for refusal in refusals
        )
        late = [harness.request("entry-1", "o", max_wait=9.0) for _ in range(100)]
        await asyncio.gather(*late)
        assert harness.now - start <= 0.31 + 1.01

    run_harness(main)


def test_request_without_a_reachable_leader_is_refused_as_limiter_unavailable():
    # Guards against status 429, an error of the caller, for a fault of the system.
    async def main(harness):
        harness.network.partition({"entry-0"}, {"entry-1"})
        cut = await harness.request("entry-1", "o")
        assert (cut.failure().code, cut.failure().status) == (
            "limiter_unavailable",
            503,
        )
        harness.network.heal()
        await asyncio.sleep(1)
        assert isinstance(await harness.request("entry-1", "o"), Success)
        harness.leader = None
        results = [await harness.request("entry-1", "o") for _ in range(12)]
        assert results[-1].failure().code == "limiter_unavailable"

    run_harness(main)


def test_unknown_organisation_is_refused():
    # Guards against unlimited requests of an organisation without a declared rate.
    async def main(harness):
        result = await harness.limiters["entry-0"].acquire(
            "x", deadline=harness.now + 1
        )
        assert result.failure().code == "rate_exceeded"

    run_harness(main)


def test_refund_makes_a_token_usable_once_and_only_before_its_report():
    # Guards against the refund of a token that the leader has already replaced.
    async def main(harness):
        limiter = harness.limiters["entry-1"]
        assert isinstance(await harness.request("entry-1", "o"), Success)
        await asyncio.sleep(3)
        held_leases = limiter._states["o"].leases
        before = held_leases.tokens
        assert before > 0
        assert isinstance(await harness.request("entry-1", "o"), Success)
        limiter.refund("o")
        assert held_leases.tokens == before
        limiter.refund("o")
        assert held_leases.tokens == before
        assert isinstance(await harness.request("entry-1", "o"), Success)
        await asyncio.sleep(3)
        reported = held_leases.tokens
        limiter.refund("o")
        assert held_leases.tokens == reported
        harness.oracles["o"].admission_times.clear()

    run_harness(main, limits=(20.0, 40.0))
