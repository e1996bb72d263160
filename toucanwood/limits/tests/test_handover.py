"""Tests of accounts that a stopping leader hands over."""

import asyncio

from returns.result import Success

from toucanwood.limits.testing import Fleet
from toucanwood.utils import run_virtual

WARM_UP_S = 10.0
LIMITS = {"large": (100.0, 50.0), "shared": (50.0, 5.0)}


def change_leader(*, terms):
    """Return the refusals of steady requests around a planned change of leader."""
    refused = []

    async def run():
        fleet = Fleet(seed=1, limits=LIMITS, entries=4, clock_rates=(1.0, 1.01))
        await fleet.start()
        await asyncio.sleep(WARM_UP_S)
        load = [
            asyncio.create_task(request_steadily(fleet, organisation, entry, refused))
            for organisation in LIMITS
            for entry in ("entry-1", "entry-2", "entry-3")
        ]
        await asyncio.sleep(1.0)
        await fleet.limiters["entry-0"].stop()
        await asyncio.sleep(0.05)
        fleet.term += terms
        fleet.leader = "entry-1"
        await asyncio.sleep(2.0)
        flood = [fleet.request("entry-2", name) for name in LIMITS for _ in range(200)]
        await asyncio.gather(*flood, *load)
        assert fleet.find_excess() == 0

    run_virtual(run())
    return refused


async def request_steadily(fleet, organisation, entry, refused):
    """Send at less than a third of 40% of the rate."""
    for _ in range(30):
        result = await fleet.request(entry, organisation)
        if not isinstance(result, Success):
            refused.append((fleet.now, result))
        await asyncio.sleep(0.09)


def test_next_leader_grants_at_once_and_within_the_limit():
    # Guards against refusals for one lease term after each planned stop of a leader,
    # and against tokens that two leaders grant.
    assert change_leader(terms=1) == []


def test_accounts_of_an_older_term_are_not_used():
    # Guards against accounts that miss the grants of a leader in between.
    assert change_leader(terms=2) != []
