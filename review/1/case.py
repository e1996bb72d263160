"""After hundreds of changes of a large configuration, a restart ends the core."""

import asyncio
import json
import pathlib
import signal
import time

import standin_case as case
import standin_http as http
from standin_fleet import Fleet
from standin_limits import MemoryLimit

FOLDER = pathlib.Path(__file__).resolve().parent
# The largest `big_config` of a site file, and `memory_mb` of its core machines.
ROUTES = 1400
MEMORY_MB = 296
CHANGES = 560
CHANGES_LIMIT_S = 82.0
MIN_CHANGES = 530
SERVICES = ["huvo11a", "kafi81c", "wuno96b"]
GRACE_S = 6.0
# How long a restarted core may take before the next one is stopped.
RETURN_S = 4.0
READ_S = 6.0
# `config_apply_ms`: a read that is sent earlier may be answered with an older version.
CONFIG_S = 2.0


async def play(fleet, record):
    fleet.start_all()
    nodes = [fleet.get_address(core, "control") for core in fleet.cores]
    limit = MemoryLimit(fleet, fleet.cores, MEMORY_MB, record)
    watch = asyncio.create_task(limit.run())
    try:
        version = await change_config(nodes, record)
        record(f"acknowledged: {version} changes; memory in MB: {limit.peaks_mb}")
        if any(limit.kills.values()):
            raise case.CaseError("a process exceeded its memory before the restart")
        if case.has_trouble():
            await restart_cores(fleet, nodes, record)
        await asyncio.sleep(CONFIG_S + 0.1)
        read = await read_back(nodes, record)
    finally:
        watch.cancel()
    record(f"memory at its peak in MB: {limit.peaks_mb}")
    record(f"ends by themselves, memory over the limit: {limit.kills}")
    record(f"read back: {read}, acknowledged: r{version}")
    # The rule on faults: three ends of their own on half of the core.
    failing = sum(count >= 3 for count in limit.kills.values())
    return read == f"r{version}" and 2 * failing < len(fleet.cores)


async def change_config(nodes, record):
    """Send one configuration after the other; return the last version."""
    silent = http.Operator(nodes, lambda line: None)
    started = time.monotonic()
    version = 0
    while version < CHANGES and time.monotonic() - started < CHANGES_LIMIT_S:
        content = build_config(version + 1)
        headers = {"If-Match": f"r{version}", "Content-Type": "application/json"}
        path = "/toucanwood/config"
        status = await silent.order("PUT", path, content, headers, first=version)
        if status != 200:
            raise case.CaseError(f"change {version + 1} got {status}")
        version += 1
        if version % 20 == 0:
            record(f"operator: r{version} acknowledged")
    if version < MIN_CHANGES:
        raise case.CaseError(f"only {version} changes in {CHANGES_LIMIT_S} s")
    return version


def build_config(version):
    """Return the configuration; each version has another time-out of one route."""
    routes = []
    for number in range(ROUTES):
        route = case.build_route(f"r-m2d{number}", f"/xapu{number}/ny95/", "")
        del route["service"]
        first, second = SERVICES[number % 3], SERVICES[(number + 1) % 3]
        route["traffic_split"] = [
            {"service": first, "weight": 90},
            {"service": second, "weight": 10},
        ]
        routes.append(route)
    routes[version % ROUTES]["timeout_ms"] = 1000 + version
    return case.build_config(f"r{version}", routes, SERVICES)


async def restart_cores(fleet, nodes, record):
    """Stop and start the cores in turn."""
    for name, node in zip(fleet.cores, nodes, strict=True):
        record(f"platform sends SIGTERM to {name}")
        process = fleet.processes[name]
        process.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + GRACE_S
        while process.poll() is None and time.monotonic() < deadline:
            await asyncio.sleep(0.02)
        if process.poll() is None:
            record(f"platform sends SIGKILL to {name}")
            process.send_signal(signal.SIGKILL)
            process.wait()
        fleet.start(name)
        deadline = time.monotonic() + RETURN_S
        while time.monotonic() < deadline:
            answer = await http.request(node, "GET", "/toucanwood/config", timeout=1.0)
            if answer is not None and answer.status == 200:
                record(f"{name} is back")
                break
            await asyncio.sleep(0.1)
        else:
            record(f"{name} is not back after {RETURN_S} s")


async def read_back(nodes, record):
    """Ask all nodes for the configuration; return the version that came, or None."""
    deadline = time.monotonic() + READ_S
    while time.monotonic() < deadline:
        for node in nodes:
            answer = await http.request(node, "GET", "/toucanwood/config", timeout=1.0)
            status = answer.status if answer is not None else None
            record(f"operator gets {status} for GET /toucanwood/config from {node}")
            if status == 200:
                return json.loads(answer.body)["version"]
        await asyncio.sleep(0.3)
    return None


if __name__ == "__main__":
    case.run_case(FOLDER, Fleet(), play)
