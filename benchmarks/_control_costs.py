"""Costs of gossip, feed and token leases, measured for the capacity benchmark."""

import asyncio
import math
import time
from functools import partial
from typing import Any

import msgpack

from benchmarks._control_fixtures import (
    ORGANISATIONS,
    CountingTransport,
    StubReplica,
    add_keys,
    build_config,
    build_member,
    build_table,
    encode_declaration,
)
from benchmarks._linear_fits import (
    count_bytes,
    decode,
    encode,
    fit_line,
    measure_cpu_us,
)
from toucanwood.feed import Publisher
from toucanwood.feed._messages import PollState, PushChanges, WithdrawalNotice
from toucanwood.limits._messages import LeaseReport, ReportLeases, encode_items
from toucanwood.limits._service import AccountService
from toucanwood.limits.testing import Harness
from toucanwood.membership import Membership, MemberState
from toucanwood.membership._membership import SyncReply
from toucanwood.peering.testing import FakeNetwork
from toucanwood.state import Catalog
from toucanwood.utils import run_virtual

# Number of instances at which the fitted lines are evaluated.
DESIGN_NODES = 900
TABLE_SIZES = (64, 225, 450, 900)
FLEET_SIZES = (8, 16, 32)
HOLDER_COUNTS = (8, 16, 32)
SUBSCRIBER_COUNTS = (30, 60, 120, 300)


def measure_member_table() -> dict[str, Any]:
    """Measure the member table operations that every probe or sync performs."""
    tables = {count: build_table(count) for count in TABLE_SIZES}
    digests = [(n, measure_cpu_us(table.digest, 5)) for n, table in tables.items()]
    expiries = [
        (n, measure_cpu_us(partial(table.expire, 1.0), 5))
        for n, table in tables.items()
    ]
    lists = [(n, measure_cpu_us(table.list_live, 20)) for n, table in tables.items()]
    replies = [
        (n, count_bytes(SyncReply([item.to_wire() for item in table.list_members()])))
        for n, table in tables.items()
    ]
    return {
        "digest_us": fit_line(digests, DESIGN_NODES),
        "expire_us": fit_line(expiries, DESIGN_NODES),
        "list_live_us": fit_line(lists, DESIGN_NODES),
        "whole_table_bytes": fit_line(replies, DESIGN_NODES),
        "record_bytes": len(msgpack.packb(build_member(899).to_wire())),
    }


def measure_gossip(seed: int) -> dict[str, Any]:
    """Measure gossip without changes, and the time in which one change spreads.

    The fleets run in virtual time.
    """
    rows = [(n, run_virtual(run_gossip(n, seed))) for n in FLEET_SIZES]
    return {
        "cpu_ms_per_node_s": fit_line([(n, row[0]) for n, row in rows], DESIGN_NODES),
        "received_bytes_per_node_s": fit_line(
            [(n, row[1]) for n, row in rows], DESIGN_NODES
        ),
        "spread_s_over_log2_nodes": fit_line(
            [(math.log2(n), row[2]) for n, row in rows],
            round(math.log2(DESIGN_NODES), 2),
        ),
    }


async def run_gossip(count: int, seed: int) -> tuple[float, float, float]:
    """Return the costs of an idle fleet and the time in which one change spreads.

    The costs are CPU ms and received bytes, each per node and second.
    """
    network = FakeNetwork(seed)
    members = [build_member(index) for index in range(count)]
    fleet = [
        Membership(
            transport=network.create_transport(member.id),
            local_member=member,
            seeds=[(members[0].id, members[0].peer)],
            set_address=lambda peer_id, address: None,
            seed=seed + index,
        )
        for index, member in enumerate(members)
    ]
    for membership in fleet:
        await membership.start()
    await asyncio.sleep(40.0)
    bytes_before = sum(network.delivered_bytes.values())
    cpu_before = time.process_time()
    await asyncio.sleep(20.0)
    cpu = time.process_time() - cpu_before
    received = sum(network.delivered_bytes.values()) - bytes_before
    spread_s = await measure_spread_time(fleet)
    for membership in fleet:
        await membership._tasks.stop()
    return cpu / 20 / count * 1e3, received / 20 / count, spread_s


async def measure_spread_time(fleet: list[Membership]) -> float:
    """Return the seconds until every instance knows that the first one is leaving."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    leaving_id = fleet[0].table.local_member.id
    fleet[0].announce(MemberState.LEAVING)

    def has_change(membership: Membership) -> bool:
        member = membership.table.find(leaving_id)
        return member is not None and member.state is MemberState.LEAVING

    while not all(has_change(membership) for membership in fleet):
        await asyncio.sleep(0.05)
    return loop.time() - started


def measure_feed() -> dict[str, Any]:
    """Measure polls of the feed, and pushes of one key change to subscribers."""
    return asyncio.run(run_feed())


async def run_feed() -> dict[str, Any]:
    catalog = Catalog()
    catalog.apply(1, encode_declaration(build_config()))
    pushes = []
    for count in SUBSCRIBER_COUNTS:
        pushes.append((count, await measure_push(count)))
    transport = CountingTransport()
    publisher = Publisher(transport=transport, catalog=catalog, replica=StubReplica())
    poll = encode(PollState(catalog.version))
    started = time.process_time()
    for _ in range(2000):
        reply = await publisher.handle_poll("x", decode(poll))
        encoded = encode(reply)
    cpu = (time.process_time() - started) / 2000
    key_change = build_key_change()
    return {
        "poll_answer_us": round(cpu * 1e6, 2),
        "poll_bytes": count_bytes(PollState(100_000)),
        "poll_reply_bytes": len(encoded) + 9,
        "key_push_bytes": count_bytes(PushChanges(100_000, [key_change])),
        "push_us_by_subscribers": fit_line(pushes, 180),
        "withdrawal_notice_bytes": count_bytes(WithdrawalNotice(["k" * 16])),
    }


def build_key_change() -> bytes:
    """Return the change that the feed publishes when a key is issued."""
    catalog = Catalog()
    add_keys(catalog, 1)
    changes = catalog.changes_since(0)
    assert changes
    return changes[0]


async def measure_push(count: int) -> float:
    """Return the CPU time in us to commit a key and push it to `count` subscribers."""
    catalog = Catalog()
    transport = CountingTransport()
    publisher = Publisher(transport=transport, catalog=catalog, replica=StubReplica())
    for index in range(count):
        await publisher.handle_poll(f"s{index}", PollState(0))
    started = time.process_time()
    add_keys(catalog, 50)
    return (time.process_time() - started) / 50 * 1e6


def measure_leases(seed: int) -> dict[str, Any]:
    """Measure the costs of idle token leases: traffic at the leader, CPU of all."""
    rows = [(n, run_virtual(run_leases(n, seed))) for n in FLEET_SIZES]
    return {
        "leader_received_bytes_per_s": fit_line(
            [(n, row[0]) for n, row in rows], DESIGN_NODES
        ),
        "fleet_cpu_ms_per_s": fit_line([(n, row[1]) for n, row in rows], DESIGN_NODES),
    }


async def run_leases(count: int, seed: int) -> tuple[float, float]:
    """Return the bytes that the leader receives and the CPU ms of all, per second."""
    names = [f"organisation-{index}" for index in range(ORGANISATIONS)]
    limits = {name: (1000.0, 2000.0) for name in names}
    harness = Harness(seed=seed, limits=limits, entries=count)
    await harness.start()
    await asyncio.sleep(10.0)
    for entry in harness.names:
        for name in names:
            await harness.request(entry, name)
    await asyncio.sleep(10.0)
    before = harness.network.delivered_bytes[harness.names[0]]
    cpu_before = time.process_time()
    await asyncio.sleep(20.0)
    cpu = time.process_time() - cpu_before
    received = harness.network.delivered_bytes[harness.names[0]] - before
    for entry in harness.names:
        await harness.crash(entry)
    return received / 20, cpu / 20 * 1e3


def measure_lease_reports() -> dict[str, Any]:
    """Measure how the leader handles one lease report of eight organisations.

    The line is fitted over the number of lease holders.
    """
    rows = [(n, run_virtual(run_reports(n))) for n in HOLDER_COUNTS]
    return {"report_us": fit_line(rows, DESIGN_NODES)}


async def run_reports(count: int) -> float:
    """Return the CPU time in us of a report by a holder that the leader knows.

    The first round introduces the holders; the time of the second is returned.
    """
    names = [f"organisation-{index}" for index in range(ORGANISATIONS)]
    service = AccountService(
        transport=CountingTransport(),
        is_leader=lambda: True,
        term=lambda: 1,
        find_limits=lambda name: (100_000.0, 200_000.0),
    )
    await service.start()
    await asyncio.sleep(10.0)
    epoch = ""
    cpu = 0.0
    for is_known in (False, True):
        started = time.process_time()
        for index in range(count):
            reports = [
                LeaseReport(organisation=name, lease=1, epoch=epoch, wanted=1)
                for name in names
            ]
            body = decode(encode(ReportLeases("run", encode_items(reports))))
            reply = await service.handle_report(f"e{index}", body)
            encode(reply)
        cpu = time.process_time() - started
        epoch = reply.epoch
        assert is_known or epoch
    await service.stop()
    return cpu / count * 1e6
