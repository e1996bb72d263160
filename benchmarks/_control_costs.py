"""Costs of gossip, feed and token leases, for the capacity benchmark."""

import asyncio
import math
import time
from functools import partial
from typing import Any

import msgpack

from benchmarks._control_fixtures import (
    ORGANISATIONS,
    CountingTransport,
    FixedReplica,
    build_config,
    build_member,
    build_table,
    encode_declaration,
    fill_keys,
)
from benchmarks._linear_fits import count_bytes, decode, encode, fit, measure_cpu
from toucanwood.feed import Publisher
from toucanwood.feed._messages import PollState, PushChanges, WithdrawalNotice
from toucanwood.limits._messages import LeaseReport, ReportLeases, pack_items
from toucanwood.limits._service import AccountService
from toucanwood.limits.testing import Fleet
from toucanwood.membership import Membership, MemberState
from toucanwood.membership._membership import SyncReply
from toucanwood.peering.testing import FakeNetwork
from toucanwood.state import Catalog
from toucanwood.utils import run_virtual

NODES = 900
TABLE_SIZES = (64, 225, 450, 900)
FLEET_SIZES = (8, 16, 32)
HOLDER_SIZES = (8, 16, 32)
SUBSCRIBER_SIZES = (30, 60, 120, 300)


def measure_table() -> dict[str, Any]:
    """Measure the work on a member table that a probe or a sync repeats."""
    tables = {count: build_table(count) for count in TABLE_SIZES}
    digests = [(n, measure_cpu(one.digest, 5)) for n, one in tables.items()]
    expiries = [
        (n, measure_cpu(partial(one.expire, 1.0), 5)) for n, one in tables.items()
    ]
    lists = [(n, measure_cpu(one.list_live, 20)) for n, one in tables.items()]
    replies = [
        (n, count_bytes(SyncReply([item.to_wire() for item in one.list_members()])))
        for n, one in tables.items()
    ]
    return {
        "digest_us": fit(digests, NODES),
        "expire_us": fit(expiries, NODES),
        "list_live_us": fit(lists, NODES),
        "whole_table_bytes": fit(replies, NODES),
        "record_bytes": len(msgpack.packb(build_member(899).to_wire())),
    }


def measure_gossip(seed: int) -> dict[str, Any]:
    """Measure quiet fleets and the spread of one change in virtual time."""
    rows = [(n, run_virtual(run_gossip(n, seed))) for n in FLEET_SIZES]
    return {
        "cpu_ms_per_node_s": fit([(n, row[0]) for n, row in rows], NODES),
        "received_bytes_per_node_s": fit([(n, row[1]) for n, row in rows], NODES),
        "spread_s_over_log2_nodes": fit(
            [(math.log2(n), row[2]) for n, row in rows], round(math.log2(NODES), 2)
        ),
    }


async def run_gossip(count: int, seed: int) -> tuple[float, float, float]:
    """Return CPU ms and bytes per node and second, and the spread time of a change."""
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
    for one in fleet:
        await one.start()
    await asyncio.sleep(40.0)
    bytes_before = sum(network.delivered_bytes.values())
    cpu_before = time.process_time()
    await asyncio.sleep(20.0)
    cpu = time.process_time() - cpu_before
    received = sum(network.delivered_bytes.values()) - bytes_before
    spread = await time_spread(fleet)
    for one in fleet:
        await one._tasks.stop()
    return cpu / 20 / count * 1e3, received / 20 / count, spread


async def time_spread(fleet: list[Membership]) -> float:
    """Return the seconds until every instance knows of one that is leaving."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    changed = fleet[0].table.local_member.id
    fleet[0].announce(MemberState.LEAVING)

    def knows(one: Membership) -> bool:
        member = one.table.find(changed)
        return member is not None and member.state is MemberState.LEAVING

    while not all(knows(one) for one in fleet):
        await asyncio.sleep(0.05)
    return loop.time() - started


def measure_feed() -> dict[str, Any]:
    """Measure polls, and pushes of one key to subscribers."""
    return asyncio.run(run_feed())


async def run_feed() -> dict[str, Any]:
    catalog = Catalog()
    catalog.apply(1, encode_declaration(build_config()))
    pushes = []
    for count in SUBSCRIBER_SIZES:
        pushes.append((count, await measure_push(count)))
    transport = CountingTransport()
    publisher = Publisher(transport=transport, catalog=catalog, replica=FixedReplica())
    poll = encode(PollState(catalog.version))
    started = time.process_time()
    for _ in range(2000):
        reply = await publisher.handle_poll("x", decode(poll))
        encoded = encode(reply)
    cpu = (time.process_time() - started) / 2000
    key_change = catalog_change()
    return {
        "poll_answer_us": round(cpu * 1e6, 2),
        "poll_bytes": count_bytes(PollState(100_000)),
        "poll_reply_bytes": len(encoded) + 9,
        "key_push_bytes": count_bytes(PushChanges(100_000, [key_change])),
        "push_us_by_subscribers": fit(pushes, 180),
        "withdrawal_notice_bytes": count_bytes(WithdrawalNotice(["k" * 16])),
    }


def catalog_change() -> bytes:
    """Return the published change of one key."""
    catalog = Catalog()
    fill_keys(catalog, 1)
    changes = catalog.changes_since(0)
    assert changes
    return changes[0]


async def measure_push(count: int) -> float:
    """Return the process time in us to commit a key and push it to subscribers."""
    catalog = Catalog()
    transport = CountingTransport()
    publisher = Publisher(transport=transport, catalog=catalog, replica=FixedReplica())
    for index in range(count):
        await publisher.handle_poll(f"s{index}", PollState(0))
    started = time.process_time()
    fill_keys(catalog, 50)
    return (time.process_time() - started) / 50 * 1e6


def measure_leases(seed: int) -> dict[str, Any]:
    """Measure what the holders of idle token leases cost the leader."""
    rows = [(n, run_virtual(run_leases(n, seed))) for n in FLEET_SIZES]
    return {
        "leader_received_bytes_per_s": fit([(n, row[0]) for n, row in rows], NODES),
        "fleet_cpu_ms_per_s": fit([(n, row[1]) for n, row in rows], NODES),
    }


async def run_leases(count: int, seed: int) -> tuple[float, float]:
    """Return bytes at the leader and CPU ms of all, per second."""
    names = [f"organisation-{index}" for index in range(ORGANISATIONS)]
    limits = {name: (1000.0, 2000.0) for name in names}
    fleet = Fleet(seed=seed, limits=limits, entries=count)
    await fleet.start()
    await asyncio.sleep(10.0)
    for entry in fleet.names:
        for name in names:
            await fleet.request(entry, name)
    await asyncio.sleep(10.0)
    before = fleet.network.delivered_bytes[fleet.names[0]]
    cpu_before = time.process_time()
    await asyncio.sleep(20.0)
    cpu = time.process_time() - cpu_before
    received = fleet.network.delivered_bytes[fleet.names[0]] - before
    for entry in fleet.names:
        await fleet.crash(entry)
    return received / 20, cpu / 20 * 1e3


def measure_reports() -> dict[str, Any]:
    """Measure one report of eight organisations at a leader with `n` holders."""
    rows = [(n, run_virtual(run_reports(n))) for n in HOLDER_SIZES]
    return {"report_us": fit(rows, NODES)}


async def run_reports(count: int) -> float:
    """Return the process time in us of a report by a known holder."""
    names = [f"organisation-{index}" for index in range(ORGANISATIONS)]
    service = AccountService(
        transport=CountingTransport(),
        is_leader=lambda: True,
        term=lambda: 1,
        limits_of=lambda name: (100_000.0, 200_000.0),
    )
    await service.start()
    await asyncio.sleep(10.0)
    epoch = ""
    spent = 0.0
    for is_known in (False, True):
        started = time.process_time()
        for index in range(count):
            reports = [
                LeaseReport(organisation=name, lease=1, epoch=epoch, wanted=1)
                for name in names
            ]
            body = decode(encode(ReportLeases("run", pack_items(reports))))
            reply = await service.handle_report(f"e{index}", body)
            encode(reply)
        spent = time.process_time() - started
        epoch = reply.epoch
        assert is_known or epoch
    await service.stop()
    return spent / count * 1e6
