"""Tests of link pacing and of the retry budget."""

import asyncio
from types import SimpleNamespace

from toucanwood.entry._pacing import MAX_BURST_S, UNPACED_BYTES, LinkPacer
from toucanwood.entry._retry_budget import RetryBudget
from toucanwood.entry.testing import Harness, build_declaration, build_service
from toucanwood.entry.tests.fake_target import LARGE_BODY_BYTES, FakeTarget
from toucanwood.entry.tests.raw_client import AUTH_HEADER, build_get, send_raw
from toucanwood.utils import run_virtual

LINK = SimpleNamespace(regions=["norte", "sureste"], capacity_mbit=8, bulk_share=0.5)


def test_downloads_together_stay_within_the_share_of_the_link():
    # Guards against downloads that saturate a link and delay small requests on it.
    async def main():
        declaration = build_declaration(links=[LINK])
        pacer = LinkPacer(region="norte", count_entries=lambda: 2)
        loop = asyncio.get_running_loop()

        async def download():
            for _ in range(50):
                await pacer.acquire(declaration, "sureste", 10_000)

        started = loop.time()
        await asyncio.gather(*(download() for _ in range(4)))
        # 8 Mbit/s; half of the link is for downloads, shared by two entries.
        rate = 8 * 125_000 * 0.5 / 2
        assert loop.time() - started >= 4 * 500_000 / rate - MAX_BURST_S
        assert loop.time() - started <= 4 * 500_000 / rate * 1.001

    run_virtual(main())


def test_only_declared_links_to_other_regions_are_paced():
    # Guards against pacing of traffic inside a region.
    async def main():
        declaration = build_declaration(links=[LINK])
        pacer = LinkPacer(region="norte", count_entries=lambda: 1)
        started = asyncio.get_running_loop().time()
        for region in ("norte", "occidente"):
            await pacer.acquire(declaration, region, 10**9)
        assert asyncio.get_running_loop().time() == started

    run_virtual(main())


def test_large_responses_are_paced_and_small_ones_are_not():
    # Guards against pacing that is not applied, or that delays small responses.
    async def main():
        link = SimpleNamespace(**{**vars(LINK), "capacity_mbit": 16})
        service = build_service("archiv", "/archiv/")
        declaration = build_declaration(service, links=[link])
        async with FakeTarget("large") as target:
            async with Harness(declaration, {"t1": target.address}) as harness:
                harness.region_selector.region = "sureste"
                data = build_get("/archiv/", AUTH_HEADER + "Connection: close\r\n")
                address = harness.entry.address
                await send_raw(address, data)
                paced = harness.entry.dump()["paced_bytes"]["sureste"]
                assert paced == LARGE_BODY_BYTES - UNPACED_BYTES
                target.mode = "none"
                assert b"200 OK" in await send_raw(address, data)
                assert harness.entry.dump()["paced_bytes"]["sureste"] == paced

    asyncio.run(main())


def test_retries_stay_within_a_tenth_of_the_requests():
    # Guards against retries that multiply the load while targets fail.
    budget = RetryBudget()
    granted_count = 0
    for _ in range(1000):
        budget.record_request()
        granted_count += budget.take()
    assert 95 <= granted_count <= 101
    full_budget = RetryBudget()
    for _ in range(100_000):
        full_budget.record_request()
    assert sum(full_budget.take() for _ in range(100)) == 10
