"""Measure how the cost of each mechanism grows, for docs/CAPACITY.md.

The cost of the real code is measured at several sizes. Each figure is a line fitted to
these costs, with its value at the size in section 1.4 of the design page. Times are CPU
time on this machine; bytes are encoded messages with their frames.
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
    DESIGN_NODES,
    TABLE_SIZES,
    measure_feed,
    measure_gossip,
    measure_lease_reports,
    measure_leases,
    measure_member_table,
)
from benchmarks._control_fixtures import (
    CountingTransport,
    add_keys,
    add_operations,
    build_config,
    build_member,
    build_table,
    encode_declaration,
)
from benchmarks._linear_fits import count_bytes, fit_line, measure_cpu_us
from benchmarks._output import build_command
from toucanwood.declaration import Declaration
from toucanwood.dispatch import Announcement, Dispatcher
from toucanwood.dispatch._messages import DirectoryDelta
from toucanwood.dispatch._slot_directory import SlotDirectory
from toucanwood.feed import CatalogView
from toucanwood.membership import Membership
from toucanwood.server._ranking import EntryRanking, RankedMember
from toucanwood.state import Catalog
from toucanwood.steering import rank_entries
from toucanwood.utils import run_virtual

# Sizes at which the fitted lines are evaluated.
DESIGN_BLOCKS = 3_600_000
DESIGN_KEYS = 100_000
DESIGN_OPERATIONS = 1_000_000
BLOCK_COUNTS = (1_000, 10_000, 30_000, 100_000)
RECORD_COUNTS = (1_000, 10_000, 30_000)
MEMORY_TIMEOUT_S = 60


# Catalog


def measure_catalog() -> dict[str, Any]:
    """Measure commits and snapshots over the number of records in the catalog."""
    rows: dict[str, dict[str, list[tuple[float, float]]]] = {}
    for name, add_records in (("key", add_keys), ("operation", add_operations)):
        row = rows.setdefault(name, {"bytes": [], "snapshot_us": [], "commit_us": []})
        for count in RECORD_COUNTS:
            catalog = Catalog()
            started = time.process_time()
            add_records(catalog, count)
            cpu = time.process_time() - started
            row["commit_us"].append((count, cpu * 1e6))
            row["bytes"].append((count, len(catalog.snapshot())))
            row["snapshot_us"].append((count, measure_cpu_us(catalog.snapshot, 1)))
    design_counts = {"key": DESIGN_KEYS, "operation": DESIGN_OPERATIONS}
    return {
        f"{name}_{metric}": fit_line(points, design_counts[name])
        for name, row in rows.items()
        for metric, points in row.items()
    }


def measure_declaration(seed: int) -> dict[str, Any]:
    """Measure a declaration over the number of its client blocks."""
    figures: dict[str, list[tuple[float, float]]] = {}
    for count in BLOCK_COUNTS:
        drawn = blocks.draw_blocks(count, random.Random(seed))
        config = build_config(blocks=drawn)
        command = encode_declaration(config)
        catalog = Catalog()
        row = {
            "command_bytes": len(command),
            "parse_us": measure_cpu_us(partial(Declaration.from_config, config), 1),
            "commit_us": measure_cpu_us(partial(Catalog().apply, 1, command), 1),
        }
        catalog.apply(1, command)
        row["snapshot_bytes"] = len(catalog.snapshot())
        row["change_commit_us"] = measure_change_us(catalog, config)
        for name, value in row.items():
            figures.setdefault(name, []).append((count, value))
    return {name: fit_line(points, DESIGN_BLOCKS) for name, points in figures.items()}


def measure_change_us(catalog: Catalog, config: dict[str, Any]) -> float:
    """Return the CPU time in us to commit a declaration with one added drain."""
    changed = {**config, "drains": {"regions": [], "data_centres": ["dc-01"]}}
    command = encode_declaration(changed, 1)
    started = time.process_time()
    catalog.apply(2, command)
    return (time.process_time() - started) * 1e6


# Dispatch and lookups


def measure_directory() -> dict[str, Any]:
    """Measure one dispatcher among `n` owners that have one target each."""
    rows = [(n, run_virtual(run_dispatcher(n))) for n in TABLE_SIZES]
    known_fractions = {
        n: run_virtual(measure_known_fraction(n))
        for n in (8, 64, 225, 280, 300, 450, DESIGN_NODES)
    }
    return {
        "tick_cpu_ms_per_s": fit_line([(n, row[0]) for n, row in rows], DESIGN_NODES),
        "sent_bytes_per_s": fit_line([(n, row[1]) for n, row in rows], DESIGN_NODES),
        "share_of_time_slots_known": known_fractions,
        "delta_bytes": count_bytes(DirectoryDelta(1, 1, [build_share()])),
    }


def build_share() -> list[Any]:
    """Return the fields of a `Share` that two organisations use."""
    usage = {"organisation-1": 2, "organisation-2": 1}
    return ["buscador", "dc-00", 3, 6, 0, usage]


def build_dispatcher(count: int, transport: CountingTransport) -> Dispatcher:
    """Return a dispatcher that knows `count` instances."""
    table = build_table(count)
    return Dispatcher(
        transport=transport,
        data_centre="dc-00",
        incarnation=1,
        members=lambda: frozenset(member.id for member in table.list_live()),
        find_region=lambda name: "region-00",
        random=random.Random(1),
    )


async def run_dispatcher(count: int) -> tuple[float, float]:
    """Return the CPU ms and sent bytes per second of a dispatcher with one target."""
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


async def measure_known_fraction(count: int) -> float:
    """Return the fraction of time in which another instance knows the slots.

    The first 20 s are left out.
    """
    transport = CountingTransport(build_member(0).id)
    receiver = SlotDirectory(
        instance_id="receiver",
        data_centre="dc-00",
        find_region=lambda name: "region-00",
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
    """Renew the announcement of one target."""
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
    """Measure the entry ranking, the response size and the client block table."""
    rows = [(count, *measure_ranking(count)) for count in TABLE_SIZES]
    rank_times = [(row[0], row[1]) for row in rows]
    whole_table_times = [(row[0], row[2]) for row in rows]
    response_sizes = [(row[0], row[3]) for row in rows]
    table_rows = [blocks.measure_table(n, seed) for n in (10_000, 100_000, 500_000)]
    table_points = [
        (row["blocks"], row["bytes_per_block"] * row["blocks"] / 1e6)
        for row in table_rows
    ]
    builds = [
        (row["blocks"], row["build_us_per_block"] * row["blocks"] / 1e6)
        for row in table_rows
    ]
    locates = [(math.log2(row["blocks"]), row["lookup_us"]) for row in table_rows]
    return {
        "rank_us": fit_line(rank_times, DESIGN_NODES),
        "rank_whole_table_us": fit_line(whole_table_times, DESIGN_NODES),
        "response_bytes": fit_line(response_sizes, DESIGN_NODES),
        "block_table_mb": fit_line(table_points, DESIGN_BLOCKS),
        "block_table_build_s": fit_line(builds, DESIGN_BLOCKS),
        "locate_us_over_log2_blocks": fit_line(
            locates, round(math.log2(DESIGN_BLOCKS), 2)
        ),
    }


def measure_ranking(count: int) -> tuple[float, float, int]:
    """Return us per ranking, us to rank the whole table, and the response bytes."""
    view, membership = build_ranking(count)
    ranking = EntryRanking(view, membership)
    times = iter(range(1_000_000))

    def rank() -> Any:
        return ranking.rank("region-00", next(times) / 1000)

    def rank_whole_table() -> Any:
        entries = [RankedMember(member, 0.0) for member in membership.list_live()]
        return rank_entries(view, entries, "region-00", next(times) / 1000)

    rank()
    entries = [
        {"id": member.id, "address": member.address, "region": member.region}
        for member in rank()
    ]
    size = len(json.dumps(entries))
    return measure_cpu_us(rank, 50), measure_cpu_us(rank_whole_table, 20), size


def build_ranking(count: int) -> tuple[CatalogView, Membership]:
    """Return an empty catalog view and a membership of `count` instances."""
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
    """Measure the resident memory, each size in a new process."""
    sizes: dict[str, tuple[tuple[int, ...], float]] = {
        "members": ((300, 900, 2700), DESIGN_NODES),
        "keys": (RECORD_COUNTS, DESIGN_KEYS),
        "operations": (RECORD_COUNTS, DESIGN_OPERATIONS),
        "declaration": ((10_000, 100_000, 300_000), DESIGN_BLOCKS),
        "connections": ((16, 64, 200), 2 * (DESIGN_NODES - 1)),
    }
    figures: dict[str, Any] = {"process_mb": read_memory("process", 0)}
    for mechanism, (counts, at) in sizes.items():
        rows = [(count, read_memory(mechanism, count)) for count in counts]
        for name in rows[0][1]:
            points = [(count, row[name]) for count, row in rows]
            figures[f"{mechanism}_{name}"] = fit_line(points, at)
    return figures


def read_memory(mechanism: str, count: int) -> dict[str, float]:
    """Run one memory measurement in a new process and return its figures."""
    command = [
        sys.executable,
        "-m",
        "benchmarks._process_memory",
        mechanism,
        str(count),
    ]
    output = subprocess.run(
        command, check=True, capture_output=True, timeout=MEMORY_TIMEOUT_S
    ).stdout
    return json.loads(output)


def run(seed: int) -> dict[str, Any]:
    """Return the figures of every mechanism."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(40))
    return {
        "member_table": measure_member_table(),
        "gossip": measure_gossip(seed),
        "feed": measure_feed(),
        "catalog": measure_catalog(),
        "declaration": measure_declaration(seed),
        "leases": measure_leases(seed),
        "lease_reports": measure_lease_reports(),
        "directory": measure_directory(),
        "lookups": measure_lookups(seed),
        "memory": measure_memory(),
    }


if __name__ == "__main__":
    typer.run(build_command(run))
