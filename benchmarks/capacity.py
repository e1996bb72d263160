"""Measure how the cost of each mechanism grows, for docs/CAPACITY.md.

Every figure is a line fitted to costs of the real code at several sizes, and its value
at the size of section 1.4 of the design page. CPU is process time on this machine;
bytes are encoded messages with their frames.
"""

import asyncio
import json
import math
import random
import subprocess
import sys
import time
from functools import partial
from typing import Any

import structlog
import typer

from benchmarks import blocks
from benchmarks._control_costs import (
    NODES,
    TABLE_SIZES,
    measure_feed,
    measure_gossip,
    measure_leases,
    measure_reports,
    measure_table,
)
from benchmarks._control_fixtures import (
    CountingTransport,
    build_config,
    build_member,
    build_table,
    encode_declaration,
    fill_keys,
    fill_operations,
)
from benchmarks._linear_fits import count_bytes, fit, measure_cpu
from benchmarks._output import build_command
from toucanwood.declaration import Declaration
from toucanwood.dispatch import Announcement, Dispatcher
from toucanwood.dispatch._directory import Directory
from toucanwood.dispatch._messages import DirectoryDelta
from toucanwood.feed import CatalogView
from toucanwood.membership import Membership
from toucanwood.server._ranking import EntryRanking, RankedMember
from toucanwood.state import Catalog
from toucanwood.steering import rank_entries
from toucanwood.utils import run_virtual

BLOCKS = 3_600_000
KEYS = 100_000
OPERATIONS = 1_000_000
BLOCK_SIZES = (1_000, 10_000, 30_000, 100_000)
RECORD_SIZES = (1_000, 10_000, 30_000)
MEMORY_TIMEOUT_S = 60


# Catalog


def measure_catalog() -> dict[str, Any]:
    """Measure commits and snapshots by the records in the catalog."""
    rows: dict[str, dict[str, list[tuple[float, float]]]] = {}
    for name, fill in (("key", fill_keys), ("operation", fill_operations)):
        row = rows.setdefault(name, {"bytes": [], "snapshot_us": [], "commit_us": []})
        for count in RECORD_SIZES:
            catalog = Catalog()
            started = time.process_time()
            fill(catalog, count)
            spent = time.process_time() - started
            row["commit_us"].append((count, spent * 1e6))
            row["bytes"].append((count, len(catalog.snapshot())))
            row["snapshot_us"].append((count, measure_cpu(catalog.snapshot, 1)))
    at = {"key": KEYS, "operation": OPERATIONS}
    return {
        f"{name}_{what}": fit(points, at[name])
        for name, row in rows.items()
        for what, points in row.items()
    }


def measure_declaration(seed: int) -> dict[str, Any]:
    """Measure a declaration by its client blocks."""
    figures: dict[str, list[tuple[float, float]]] = {}
    for count in BLOCK_SIZES:
        drawn = blocks.draw_blocks(count, random.Random(seed))
        config = build_config(blocks=drawn)
        command = encode_declaration(config)
        catalog = Catalog()
        row = {
            "command_bytes": len(command),
            "parse_us": measure_cpu(partial(Declaration.from_config, config), 1),
            "commit_us": measure_cpu(partial(Catalog().apply, 1, command), 1),
        }
        catalog.apply(1, command)
        row["snapshot_bytes"] = len(catalog.snapshot())
        row["change_commit_us"] = time_change(catalog, config)
        for name, value in row.items():
            figures.setdefault(name, []).append((count, value))
    return {name: fit(points, BLOCKS) for name, points in figures.items()}


def time_change(catalog: Catalog, config: dict[str, Any]) -> float:
    """Return the process time in us to commit a change of one drain."""
    changed = {**config, "drains": {"regions": [], "data_centres": ["dc-01"]}}
    command = encode_declaration(changed, 1)
    started = time.process_time()
    catalog.apply(2, command)
    return (time.process_time() - started) * 1e6


# Dispatch and lookups


def measure_directory() -> dict[str, Any]:
    """Measure one dispatcher among `n` owners with a target each."""
    rows = [(n, run_virtual(run_dispatcher(n))) for n in TABLE_SIZES]
    known = {n: run_virtual(run_known(n)) for n in (8, 64, 225, 280, 300, 450, NODES)}
    return {
        "tick_cpu_ms_per_s": fit([(n, row[0]) for n, row in rows], NODES),
        "sent_bytes_per_s": fit([(n, row[1]) for n, row in rows], NODES),
        "share_of_time_slots_known": known,
        "delta_bytes": count_bytes(DirectoryDelta(1, 1, [build_share()])),
    }


def build_share() -> list[Any]:
    """Return the fields of a share with two organisations."""
    usage = {"organisation-1": 2, "organisation-2": 1}
    return ["buscador", "dc-00", 3, 6, 0, usage]


def build_dispatcher(count: int, transport: CountingTransport) -> Dispatcher:
    """Return a dispatcher that knows of `count` instances."""
    table = build_table(count)
    return Dispatcher(
        transport=transport,
        data_centre="dc-00",
        incarnation=1,
        members=lambda: frozenset(one.id for one in table.list_live()),
        region_of=lambda name: "region-00",
        random=random.Random(1),
    )


async def run_dispatcher(count: int) -> tuple[float, float]:
    """Return CPU ms and sent bytes per second of a dispatcher with one target."""
    transport = CountingTransport(build_member(0).id)
    dispatcher = build_dispatcher(count, transport)
    await dispatcher.start()
    cpu_before = 0.0
    for second in range(14):
        if second == 2:
            cpu_before = time.process_time()
            transport.sent_bytes = 0
        await announce(dispatcher)
        for index in range(1, count):
            delta = DirectoryDelta(1, second, [build_share()])
            handler = transport.handlers[DirectoryDelta]
            await handler(build_member(index).id, delta)
        await asyncio.sleep(1.0)
    cpu = time.process_time() - cpu_before
    await dispatcher.stop()
    return cpu / 12 * 1e3, transport.sent_bytes / 12


async def run_known(count: int) -> float:
    """Return the share of the time in which another instance knows the slots."""
    transport = CountingTransport(build_member(0).id)
    receiver = Directory(
        instance_id="receiver",
        data_centre="dc-00",
        region_of=lambda name: "region-00",
        random=random.Random(1),
        is_drained=lambda name: False,
    )
    dispatcher = build_dispatcher(count, transport)
    loop = asyncio.get_running_loop()

    def deliver(peer_id: str, body: Any) -> None:
        if isinstance(body, DirectoryDelta):
            receiver.apply("owner", body, loop.time())

    transport.on_send = deliver
    await dispatcher.start()
    known = samples = 0
    while loop.time() < 60.0:
        await announce(dispatcher)
        await asyncio.sleep(0.25)
        receiver.advance(loop.time())
        samples += loop.time() > 20.0
        known += (
            loop.time() > 20.0 and receiver.count_slots("buscador", "region-00") > 0
        )
    await dispatcher.stop()
    return round(known / samples, 3)


async def announce(dispatcher: Dispatcher) -> None:
    """Renew one target."""
    await dispatcher.announce(
        Announcement(
            id="t",
            service="buscador",
            address="127.0.0.1:1",
            data_centre="dc-00",
            slots=6,
            load=0.0,
        )
    )


def measure_lookups(seed: int) -> dict[str, Any]:
    """Measure the ranking, the size of the response and the block table."""
    rows = [(count, *measure_ranking(count)) for count in TABLE_SIZES]
    ranks = [(row[0], row[1]) for row in rows]
    whole = [(row[0], row[2]) for row in rows]
    sizes = [(row[0], row[3]) for row in rows]
    table = [blocks.measure(n, seed) for n in (10_000, 100_000, 500_000)]
    table_points = [
        (row["blocks"], row["bytes_per_block"] * row["blocks"] / 1e6) for row in table
    ]
    builds = [
        (row["blocks"], row["build_us_per_block"] * row["blocks"] / 1e6)
        for row in table
    ]
    locates = [(math.log2(row["blocks"]), row["lookup_us"]) for row in table]
    return {
        "rank_us": fit(ranks, NODES),
        "rank_whole_table_us": fit(whole, NODES),
        "response_bytes": fit(sizes, NODES),
        "block_table_mb": fit(table_points, BLOCKS),
        "block_table_build_s": fit(builds, BLOCKS),
        "locate_us_over_log2_blocks": fit(locates, round(math.log2(BLOCKS), 2)),
    }


def measure_ranking(count: int) -> tuple[float, float, int]:
    """Return us per lookup, us with the whole table, and bytes of the entries."""
    view, membership = build_ranking(count)
    ranking = EntryRanking(view, membership)
    times = iter(range(1_000_000))

    def rank() -> Any:
        return ranking.rank("region-00", next(times) / 1000)

    def rank_whole() -> Any:
        entries = [RankedMember(one, 0.0) for one in membership.list_live()]
        return rank_entries(view, entries, "region-00", next(times) / 1000)

    rank()
    entries = [
        {"id": one.id, "address": one.address, "region": one.region} for one in rank()
    ]
    size = len(json.dumps(entries))
    return measure_cpu(rank, 50), measure_cpu(rank_whole, 20), size


def build_ranking(count: int) -> tuple[CatalogView, Membership]:
    """Return a view and a membership with a filled table."""
    membership = Membership(
        transport=CountingTransport(),
        local_member=build_member(0),
        seeds=[],
        set_address=lambda peer_id, address: None,
    )
    membership.table = build_table(count)
    return CatalogView(created_at=0.0), membership


# Memory


def measure_memory() -> dict[str, Any]:
    """Measure resident memory in new processes."""
    sizes: dict[str, tuple[tuple[int, ...], float]] = {
        "members": ((300, 900, 2700), NODES),
        "keys": (RECORD_SIZES, KEYS),
        "operations": (RECORD_SIZES, OPERATIONS),
        "declaration": ((10_000, 100_000, 300_000), BLOCKS),
        "connections": ((16, 64, 200), 2 * (NODES - 1)),
    }
    figures: dict[str, Any] = {"process_mb": read_memory("process", 0)}
    for part, (counts, at) in sizes.items():
        rows = [(count, read_memory(part, count)) for count in counts]
        for name in rows[0][1]:
            points = [(count, row[name]) for count, row in rows]
            figures[f"{part}_{name}"] = fit(points, at)
    return figures


def read_memory(part: str, count: int) -> dict[str, float]:
    """Run one memory measurement in a process of its own."""
    command = [sys.executable, "-m", "benchmarks._process_memory", part, str(count)]
    output = subprocess.run(
        command, check=True, capture_output=True, timeout=MEMORY_TIMEOUT_S
    ).stdout
    return json.loads(output)


def run(seed: int) -> dict[str, Any]:
    """Return the figures of every mechanism."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(40))
    return {
        "member_table": measure_table(),
        "gossip": measure_gossip(seed),
        "feed": measure_feed(),
        "catalog": measure_catalog(),
        "declaration": measure_declaration(seed),
        "leases": measure_leases(seed),
        "lease_reports": measure_reports(),
        "directory": measure_directory(),
        "lookups": measure_lookups(seed),
        "memory": measure_memory(),
    }


if __name__ == "__main__":
    typer.run(build_command(run))
