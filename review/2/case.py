"""A core that is brought up to date while the leader dies skips committed orders."""

import asyncio
import json
import pathlib
import signal
import time

import standin_case as case
import standin_http as http
from standin_fleet import Fleet
from standin_proxy import Links

FOLDER = pathlib.Path(__file__).resolve().parent
# Changes before the cut and while it lasts, and the pause between those of a storm.
FIRST_CHANGES = 480
STORM_CHANGES = 1080
GAP_S = 0.06
KILLED_S = 3.0
CONFIG_S = 2.0
# A frame of this size is a snapshot: all others are smaller in this case.
SNAPSHOT_BYTES = 20_000


async def play(fleet, record):
    links = Links(fleet)
    await links.start()
    try:
        fleet.start_all()
        return await play_changes(fleet, record, links)
    finally:
        await links.stop()


async def play_changes(fleet, record, links):
    nodes = [fleet.get_address(core, "control") for core in fleet.cores]
    operator = http.Operator(nodes, record)
    routes = [
        case.build_route(f"r-{number}", f"/lepu{number}/", "katalog")
        for number in range(8)
    ]
    config = case.build_config("r1", routes, ["katalog"])
    headers = {"If-Match": "r0", "Content-Type": "application/json"}
    if await operator.order("PUT", "/toucanwood/config", config, headers) != 200:
        raise case.CaseError("the first configuration was not acknowledged")
    version = await change(fleet, nodes, record, 1, FIRST_CHANGES, 0.0)
    leader = await case.find_leader(fleet)
    behind = next(core for core in fleet.cores if core != leader)
    others = [core for core in fleet.cores if core != behind]
    nodes = [fleet.get_address(core, "control") for core in others]
    if case.has_trouble():
        record(f"cut: {behind} from the other cores")
        links.cut(behind, others=fleet.cores)
    version = await change(fleet, nodes, record, version, STORM_CHANGES, GAP_S)
    if case.has_trouble():
        if await case.find_leader(fleet) != leader:
            raise case.CaseError("another core leads")
        killed = asyncio.Event()

        def kill():
            fleet.send_signal(leader, signal.SIGKILL)
            record(f"platform kills {leader}, which leads")
            killed.set()

        links.watch(leader, behind, SNAPSHOT_BYTES, kill)
        links.heal()
        record("healed")
        await asyncio.wait_for(killed.wait(), 5.0)
        fleet.processes[leader].wait()
        await asyncio.sleep(KILLED_S)
        fleet.start(leader)
    # All are back; what they answer now must be the newest version.
    await asyncio.sleep(CONFIG_S + 1.0)
    return await read_all(fleet, record, version)


async def change(fleet, nodes, record, version, count, gap_s):
    """Send changes one after the other; return the last version."""
    silent = http.Operator(nodes, lambda line: None)
    started = time.monotonic()
    for number in range(count):
        route = case.build_route("r-0", "/lepu0/", "katalog", timeout_ms=1000 + number)
        content = {"version": f"r{version + 1}", "upsert": {"routes": [route]}}
        headers = {"If-Match": f"r{version}", "Content-Type": "application/json"}
        status = await silent.order(
            "PATCH", "/toucanwood/config", content, headers, first=version
        )
        if status != 200:
            raise case.CaseError(f"change r{version + 1} got {status}")
        version += 1
        pause = started + number * gap_s - time.monotonic()
        if pause > 0:
            await asyncio.sleep(pause)
    record(f"acknowledged: r{version}")
    return version


async def read_all(fleet, record, version):
    """Read the configuration at each core; return whether none is older."""
    is_current = True
    for core in fleet.cores:
        read = None
        deadline = time.monotonic() + 4.0
        while read is None and time.monotonic() < deadline:
            address = fleet.get_address(core, "control")
            answer = await http.request(address, "GET", "/toucanwood/config")
            status = answer.status if answer is not None else None
            if status == 200:
                read = json.loads(answer.body)["version"]
            else:
                await asyncio.sleep(0.2)
        record(f"{core} answers a read with {read} (last status {status})")
        is_current &= read is None or read == f"r{version}"
    return is_current


if __name__ == "__main__":
    case.run_case(FOLDER, Fleet(has_links=True), play)
