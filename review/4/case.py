"""An order that a cut link holds back is carried out after later orders."""

import asyncio
import pathlib
import time

import standin_case as case
import standin_http as http
from standin_fleet import Fleet
from standin_proxy import Links
from standin_worker import Worker

FOLDER = pathlib.Path(__file__).resolve().parent
CUT_S = 1.6
EVACUATE_S = 5.0
CONTACT_S = 3.0
# How long requests are sent after the evacuation has been acknowledged.
WATCH_S = 12.0
ZONE = "ibk-a"


async def play(fleet, record):
    links = Links(fleet)
    await links.start()
    try:
        fleet.start_all()
        await prepare(fleet, record)
        return await play_orders(fleet, record, links)
    finally:
        await links.stop()


async def prepare(fleet, record):
    """Configure the deployment and wait until it serves."""
    nodes = [fleet.get_address(core, "control") for core in fleet.cores]
    operator = http.Operator(nodes, record)
    routes = [case.build_route("r-1", "/lepu/", "katalog")]
    config = case.build_config("r1", routes, ["katalog"])
    headers = {"If-Match": "r0", "Content-Type": "application/json"}
    status = await operator.order("PUT", "/toucanwood/config", config, headers)
    if status != 200:
        raise case.CaseError(f"the first configuration got {status}")
    await case.wait_ready(fleet, fleet.fronts)


async def play_orders(fleet, record, links):
    nodes = [fleet.get_address(core, "control") for core in fleet.cores]
    workers = []
    for number in range(1, 7):
        zone = fleet.get_zone(f"worker-{number}")
        address = fleet.get_address(f"worker-{number}", "worker")
        name = f"i-{number}"
        workers.append(Worker(name, "katalog", address, zone, nodes, record))
    for worker in workers:
        await worker.start()
    sender = asyncio.create_task(send_requests(fleet, record))
    try:
        operator = http.Operator(nodes, record)
        await asyncio.sleep(2.0)
        path = f"/toucanwood/evacuation/{ZONE}"
        if await operator.order("POST", path, first=0) != 200:
            raise case.CaseError("the first evacuation was not acknowledged")
        await asyncio.sleep(4.0)
        leader = await case.find_leader(fleet)
        if leader is None:
            raise case.CaseError("no core leads")
        cut_off = next(core for core in fleet.cores if core != leader)
        position = fleet.cores.index(cut_off)
        healed_at = time.monotonic()
        if case.has_trouble():
            record(f"cut: {cut_off} from the other cores")
            links.cut(cut_off, others=fleet.cores)
            healing = asyncio.create_task(heal_later(record, links))
        await asyncio.sleep(0.05)
        if await operator.order("DELETE", path, first=position) != 200:
            raise case.CaseError("the end of the evacuation was not acknowledged")
        if await operator.order("POST", path, first=position + 1) != 200:
            raise case.CaseError("the second evacuation was not acknowledged")
        acknowledged_at = time.monotonic()
        record(f"acknowledged: evacuation of {ZONE}")
        if case.has_trouble():
            healed_at = await healing
        if healed_at - acknowledged_at > CUT_S:
            raise case.CaseError("the cut was longer than intended")
        await asyncio.sleep(acknowledged_at + WATCH_S - time.monotonic())
    finally:
        sender.cancel()
        for worker in workers:
            await worker.stop()
    # Machines are in touch again, and the evacuation is due.
    due_at = max(acknowledged_at + EVACUATE_S, healed_at + CONTACT_S)
    late = [
        (run[0], worker.id, run[1])
        for worker in workers
        if worker.zone == ZONE
        for run in worker.runs
        if run[0] > due_at
    ]
    served = sum(run[0] > due_at for worker in workers for run in worker.runs)
    record(f"after the evacuation was due: {served} runs, {len(late)} in {ZONE}")
    if not served:
        raise case.CaseError("nothing was served")
    return not late


async def heal_later(record, links):
    await asyncio.sleep(CUT_S)
    links.heal()
    record("healed")
    return time.monotonic()


async def send_requests(fleet, record):
    """Send 20 requests a second, each on a new connection."""
    pending = set()
    number = 0
    while True:
        number += 1
        front = fleet.fronts[number % len(fleet.fronts)]
        task = asyncio.create_task(send_one(fleet, record, front, f"q-{number}"))
        pending.add(task)
        task.add_done_callback(pending.discard)
        await asyncio.sleep(0.05)


async def send_one(fleet, record, front, request_id):
    headers = {
        "Host": "jepu9.example",
        "X-Request-Id": request_id,
        "X-Deadline-Remaining": "2000",
    }
    address = fleet.get_address(front, "front")
    record(f"client sends {request_id} to {front}")
    answer = await http.request(address, "GET", "/lepu/1", headers, timeout=2.0)
    status = answer.status if answer is not None else None
    record(f"client gets {status} for {request_id}")


if __name__ == "__main__":
    case.run_case(FOLDER, Fleet(has_links=True), play)
