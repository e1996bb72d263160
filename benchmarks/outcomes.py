"""Measure what an entry adds to a request: latency, load, retries, memory.

Each figure stands beside its baseline of the same run: direct calls and a bare aiohttp
pass-through. Targets, callers and proxies are on loopback, in a process each.

Run ``python -m benchmarks.outcomes --json -``.
"""

import asyncio
import random
import statistics
import time
from typing import Any

import typer

from benchmarks._output import build_command
from benchmarks._servers import Caller, Process, start_targets
from toucanwood.entry.testing import KEY, Fixture, build_declaration, build_service

TARGETS = 14
LATENCY_ROUNDS = 3000
LOAD_ROUNDS = 15
LOAD_REQUESTS = 1600
LOAD_CALLERS = 16
RETRY_TARGETS = 20
RETRY_FAILING = 2
RETRY_REQUESTS = 3000
WARM_UP_BYTES = 64 * 1024 * 1024
DOWNLOAD_BYTES = 1024 * 1024 * 1024
PATH = "/buscador/x"
# The bare proxy forwards this path like any other, which makes it the yardstick.
LOOKUP_PATH = "/.toucanwood/lookup?service=buscador"


def run(seed: int) -> dict[str, Any]:
    """Return the figures; `seed` picks the failing targets."""
    targets = Process("targets", TARGETS)
    entry = Process("entry", targets.addresses)
    bare = Process("pass_through", targets.addresses)
    gateway = Process("gateway", targets.addresses)
    try:
        return {
            "seed": seed,
            "latency": asyncio.run(_measure_latency(targets, entry, bare)),
            "load": _measure_load({"entry": entry, "bare": bare}, PATH),
            "gateway_load": _measure_load({"entry": gateway, "bare": bare}, PATH),
            "lookups": _measure_load({"entry": entry, "bare": bare}, LOOKUP_PATH),
            "retries": asyncio.run(_measure_retries(seed)),
            "memory": asyncio.run(_measure_memory(entry)),
        }
    finally:
        for process in (entry, gateway, bare, targets):
            process.stop()


async def _measure_latency(
    targets: Process, entry: Process, bare: Process
) -> dict[str, float]:
    """Send requests in turn on all three ways, one at a time."""
    ways = {"direct": targets, "entry": entry, "bare": bare}
    samples: dict[str, list[float]] = {name: [] for name in ways}
    async with (
        Caller.connect(targets.addresses[0], KEY) as direct,
        Caller.connect(entry.addresses[0], KEY) as through_entry,
        Caller.connect(bare.addresses[0], KEY) as through_bare,
    ):
        callers = {"direct": direct, "entry": through_entry, "bare": through_bare}
        for _ in range(LATENCY_ROUNDS):
            for name, caller in callers.items():
                started = time.perf_counter()
                await caller.get(PATH)
                samples[name].append(time.perf_counter() - started)
    return _compare_latency(samples)


def _compare_latency(samples: dict[str, list[float]]) -> dict[str, float]:
    figures = {}
    for label, fraction in (("p50", 0.5), ("p99", 0.99)):
        values = {name: _pick(items, fraction) for name, items in samples.items()}
        for name, value in values.items():
            figures[f"{name}_{label}_us"] = round(value * 1e6, 1)
        figures[f"entry_to_direct_{label}"] = values["entry"] / values["direct"]
        figures[f"entry_to_bare_{label}"] = values["entry"] / values["bare"]
    return {name: round(value, 3) for name, value in figures.items()}


def _pick(samples: list[float], fraction: float) -> float:
    return sorted(samples)[int(len(samples) * fraction)]


def _measure_load(ways: dict[str, Process], path: str) -> dict[str, float]:
    """Divide requests by the CPU time of the proxy's process, which has one thread.

    The proxies take turns, so that other load on the machine affects both.
    """
    cpu = dict.fromkeys(ways, 0.0)
    elapsed = dict.fromkeys(ways, 0.0)
    ratios = []
    for _ in range(LOAD_ROUNDS):
        spent = {}
        for name, process in ways.items():
            before = process.read_usage()["cpu"]
            started = time.perf_counter()
            asyncio.run(_load(process.addresses[0], path))
            elapsed[name] += time.perf_counter() - started
            spent[name] = process.read_usage()["cpu"] - before
            cpu[name] += spent[name]
        ratios.append(spent["bare"] / spent["entry"])
    requests = LOAD_REQUESTS * LOAD_ROUNDS
    figures = {}
    for name in ways:
        figures[f"{name}_requests_per_core_s"] = round(requests / cpu[name], 1)
        figures[f"{name}_requests_per_s"] = round(requests / elapsed[name], 1)
    figures["entry_to_bare_median"] = round(statistics.median(ratios), 3)
    figures["entry_to_bare_min"] = round(min(ratios), 3)
    figures["entry_to_bare_max"] = round(max(ratios), 3)
    return figures


async def _load(address: str, path: str) -> None:
    async def call() -> None:
        async with Caller.connect(address, KEY) as caller:
            for _ in range(LOAD_REQUESTS // LOAD_CALLERS):
                await caller.get(path)

    await asyncio.gather(*(call() for _ in range(LOAD_CALLERS)))


async def _measure_retries(seed: int) -> dict[str, float]:
    """Count attempts while a tenth of the targets closes every connection."""
    failing = await asyncio.start_server(_close_at_once, "127.0.0.1", 0)
    dead = f"127.0.0.1:{failing.sockets[0].getsockname()[1]}"
    addresses = await start_targets(RETRY_TARGETS)
    for index in random.Random(seed).sample(range(RETRY_TARGETS), RETRY_FAILING):
        addresses[index] = dead
    declaration = build_declaration(build_service("buscador", "/buscador/"))
    names = {f"t{number}": address for number, address in enumerate(addresses)}
    async with Fixture(declaration, names) as fixture:
        fixture.dispatcher.is_round_robin = True
        failed = await _count_failures(fixture)
        attempts = len(fixture.dispatcher.outcomes)
    failing.close()
    return {
        "requests": RETRY_REQUESTS,
        "failing_targets": RETRY_FAILING / RETRY_TARGETS,
        "extra_load": round(attempts / RETRY_REQUESTS - 1, 4),
        "failed_requests": round(failed / RETRY_REQUESTS, 4),
    }


async def _close_at_once(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    await reader.readuntil(b"\r\n\r\n")
    writer.close()


async def _count_failures(fixture: Fixture) -> int:
    failed = 0
    async with Caller.connect(fixture.entry.address, KEY) as caller:
        for _ in range(RETRY_REQUESTS):
            failed += await caller.get_status(PATH) != 200
    return failed


async def _measure_memory(entry: Process) -> dict[str, float]:
    """Compare the entry's peak memory before and after a large download."""
    async with Caller.connect(entry.addresses[0], KEY) as caller:
        await caller.get(f"/buscador/big/{WARM_UP_BYTES}")
        before = entry.read_usage()
        await caller.get(f"/buscador/big/{DOWNLOAD_BYTES}")
    after = entry.read_usage()
    mib = 1024 * 1024
    return {
        "download_mib": DOWNLOAD_BYTES / mib,
        "rss_before_mib": round(before["rss"] / mib, 1),
        "peak_growth_mib": round((after["peak"] - before["peak"]) / mib, 2),
        "rss_growth_mib": round((after["rss"] - before["rss"]) / mib, 2),
    }


if __name__ == "__main__":
    typer.run(build_command(run))
