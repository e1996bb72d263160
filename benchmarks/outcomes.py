"""Measure the overhead of an entry: latency, CPU load, retries and memory.

The baselines are measured in the same run: direct calls to the targets, and a minimal
aiohttp proxy. Targets, callers and proxies run on loopback, each in its own process.

Run it with ``python -m benchmarks.outcomes --json -``.
"""

import asyncio
import random
import statistics
import time
from typing import Any

import typer

from benchmarks._output import build_command
from benchmarks._servers import Caller, ServerProcess, start_targets
from toucanwood.entry.testing import KEY, Harness, build_declaration, build_service

TARGETS = 14
LATENCY_ROUNDS = 3000
LOAD_ROUNDS = 15
LOAD_REQUESTS = 1600
LOAD_CALLERS = 16
RETRY_TARGETS = 20
RETRY_FAILING_TARGETS = 2
RETRY_REQUESTS = 3000
WARM_UP_BYTES = 64 * 1024 * 1024
DOWNLOAD_BYTES = 1024 * 1024 * 1024
PATH = "/buscador/x"
# An entry answers this path itself; the bare proxy, as the baseline, forwards it like
# any other.
LOOKUP_PATH = "/.toucanwood/lookup?service=buscador"


def run(seed: int) -> dict[str, Any]:
    """Return the figures; `seed` selects the failing targets."""
    targets = ServerProcess("targets", TARGETS)
    entry = ServerProcess("entry", targets.addresses)
    bare = ServerProcess("pass_through", targets.addresses)
    gateway = ServerProcess("gateway", targets.addresses)
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
    targets: ServerProcess, entry: ServerProcess, bare: ServerProcess
) -> dict[str, float]:
    """Send requests one at a time, alternating between targets, entry and proxy."""
    servers = {"direct": targets, "entry": entry, "bare": bare}
    samples: dict[str, list[float]] = {name: [] for name in servers}
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
        values = {
            name: _get_quantile(items, fraction) for name, items in samples.items()
        }
        for name, value in values.items():
            figures[f"{name}_{label}_us"] = round(value * 1e6, 1)
        figures[f"entry_to_direct_{label}"] = values["entry"] / values["direct"]
        figures[f"entry_to_bare_{label}"] = values["entry"] / values["bare"]
    return {name: round(value, 3) for name, value in figures.items()}


def _get_quantile(samples: list[float], fraction: float) -> float:
    return sorted(samples)[int(len(samples) * fraction)]


def _measure_load(proxies: dict[str, ServerProcess], path: str) -> dict[str, float]:
    """Return the requests per second of CPU time and of elapsed time of each proxy.

    Each proxy process has one thread. The proxies alternate, so that other load on the
    machine affects both.
    """
    cpu = dict.fromkeys(proxies, 0.0)
    elapsed = dict.fromkeys(proxies, 0.0)
    ratios = []
    for _ in range(LOAD_ROUNDS):
        cpu_in_round = {}
        for name, process in proxies.items():
            before = process.read_usage()["cpu"]
            started = time.perf_counter()
            asyncio.run(_send_load(process.addresses[0], path))
            elapsed[name] += time.perf_counter() - started
            cpu_in_round[name] = process.read_usage()["cpu"] - before
            cpu[name] += cpu_in_round[name]
        ratios.append(cpu_in_round["bare"] / cpu_in_round["entry"])
    requests = LOAD_REQUESTS * LOAD_ROUNDS
    figures = {}
    for name in proxies:
        figures[f"{name}_requests_per_core_s"] = round(requests / cpu[name], 1)
        figures[f"{name}_requests_per_s"] = round(requests / elapsed[name], 1)
    figures["entry_to_bare_median"] = round(statistics.median(ratios), 3)
    figures["entry_to_bare_min"] = round(min(ratios), 3)
    figures["entry_to_bare_max"] = round(max(ratios), 3)
    return figures


async def _send_load(address: str, path: str) -> None:
    async def call() -> None:
        async with Caller.connect(address, KEY) as caller:
            for _ in range(LOAD_REQUESTS // LOAD_CALLERS):
                await caller.get(path)

    await asyncio.gather(*(call() for _ in range(LOAD_CALLERS)))


async def _measure_retries(seed: int) -> dict[str, float]:
    """Measure the added load while a tenth of the targets closes every connection."""
    failing = await asyncio.start_server(_close_at_once, "127.0.0.1", 0)
    failing_address = f"127.0.0.1:{failing.sockets[0].getsockname()[1]}"
    addresses = await start_targets(RETRY_TARGETS)
    for index in random.Random(seed).sample(
        range(RETRY_TARGETS), RETRY_FAILING_TARGETS
    ):
        addresses[index] = failing_address
    declaration = build_declaration(build_service("buscador", "/buscador/"))
    address_by_id = {f"t{number}": address for number, address in enumerate(addresses)}
    async with Harness(declaration, address_by_id) as harness:
        harness.dispatcher.is_round_robin = True
        failed = await _count_failures(harness)
        attempts = len(harness.dispatcher.outcomes)
    failing.close()
    return {
        "requests": RETRY_REQUESTS,
        "failing_targets": RETRY_FAILING_TARGETS / RETRY_TARGETS,
        "extra_load": round(attempts / RETRY_REQUESTS - 1, 4),
        "failed_requests": round(failed / RETRY_REQUESTS, 4),
    }


async def _close_at_once(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    await reader.readuntil(b"\r\n\r\n")
    writer.close()


async def _count_failures(harness: Harness) -> int:
    failed = 0
    async with Caller.connect(harness.entry.address, KEY) as caller:
        for _ in range(RETRY_REQUESTS):
            failed += await caller.get_status(PATH) != 200
    return failed


async def _measure_memory(entry: ServerProcess) -> dict[str, float]:
    """Measure how much the memory of the entry grows during a large download."""
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
