"""A front is killed by its memory limit while clients send large bodies."""

import asyncio
import contextlib
import os
import pathlib
import time

from standins import case, http
from standins.fleet import Fleet
from standins.limits import MemoryLimit
from standins.worker import Worker

FOLDER = pathlib.Path(__file__).resolve().parent
# `memory_mb` of a front, and `max_body_bytes` of the configuration.
MEMORY_MB = 300
MAX_BODY_BYTES = 67_108_864
UPLOAD_BYTES = 28_000_000
# How many clients send such a body at once, usually and in a burst of 1.7 times that.
USUAL_UPLOADS = 3
BURST_UPLOADS = 5
DEADLINE_MS = 8000
# Clients with a kept connection each, which send one request after the other.
CLIENTS = 16
WORK_S = 0.8
WATCH_S = 12.0


async def play(fleet, record):
    fleet.start_all()
    nodes = [fleet.get_address(core, "control") for core in fleet.cores]
    operator = http.Operator(nodes, record)
    options = {
        "type": "unsafe",
        "timeout_ms": DEADLINE_MS,
        "target_latency_ms": 2000,
    }
    routes = [
        case.build_route("r-1", "/lepu/", "kasse", **options),
        case.build_route("r-2", "/xapu/", "archiv", **options),
    ]
    config = case.build_config("r1", routes, ["kasse", "archiv"])
    headers = {"If-Match": "r0", "Content-Type": "application/json"}
    if await operator.order("PUT", "/toucanwood/config", config, headers) != 200:
        raise case.CaseError("the first configuration was not acknowledged")
    await case.wait_ready(fleet, fleet.fronts)
    workers = []
    for number in range(1, 7):
        name = f"worker-{number}"
        service = ("kasse", "archiv")[number % 2]
        place = fleet.get_address(name, "worker"), fleet.get_zone(name)
        options = {"work_s": WORK_S}
        workers.append(Worker(f"i-{number}", service, *place, nodes, record, **options))
    for worker in workers:
        await worker.start()
    limit = MemoryLimit(fleet, ["front-1"], MEMORY_MB, record)
    watch = asyncio.create_task(limit.run())
    try:
        await asyncio.sleep(3.0)
        lost = await play_uploads(fleet, record, workers)
    finally:
        watch.cancel()
        for worker in workers:
            await worker.stop()
    record(f"memory at its peak in MB: {limit.peaks_mb}")
    record(f"ends by themselves, memory over the limit: {limit.kills}")
    record(f"passed on to a worker and closed without an answer: {len(lost)} {lost}")
    return len(lost) <= 3


async def play_uploads(fleet, record, workers):
    """Return the ids of requests on kept connections that ran and got no answer."""
    address = fleet.get_address("front-1", "front")
    lost = []
    tasks = [
        asyncio.create_task(send_on_kept_connection(address, number, record, lost))
        for number in range(CLIENTS)
    ]
    await asyncio.sleep(2.0)
    count = BURST_UPLOADS if case.has_trouble() else USUAL_UPLOADS
    uploads = [
        asyncio.create_task(upload(address, f"u-{number}", record))
        for number in range(count)
    ]
    await asyncio.wait(uploads, timeout=WATCH_S)
    await asyncio.sleep(1.0)
    for task in (*uploads, *tasks):
        task.cancel()
    await asyncio.gather(*uploads, *tasks, return_exceptions=True)
    ran = {run[1] for worker in workers for run in worker.runs}
    return [request_id for request_id in lost if request_id in ran]


async def send_on_kept_connection(address, number, record, lost):
    count = 0
    await asyncio.sleep(number * WORK_S / CLIENTS)
    while True:
        try:
            reader, writer = await http.connect(address)
            try:
                while True:
                    count += 1
                    request_id = f"q-{number}-{count}"
                    headers = build_headers(request_id)
                    record(f"client sends {request_id}")
                    content = http.encode_request("POST", "/lepu/1", headers, b"order")
                    writer.write(content)
                    answer = await http.read_answer(reader)
                    record(f"client gets {answer.status} for {request_id}")
            except (OSError, EOFError):
                record(f"connection closed without an answer for {request_id}")
                lost.append(request_id)
            finally:
                writer.close()
        except OSError:
            await asyncio.sleep(0.1)


async def upload(address, request_id, record):
    headers = build_headers(request_id)
    record(f"client sends {request_id} with {UPLOAD_BYTES} bytes")
    started = time.monotonic()
    body = os.urandom(1000) * (UPLOAD_BYTES // 1000)
    answer = None
    with contextlib.suppress(asyncio.CancelledError):
        answer = await http.request(
            address, "POST", "/xapu/1", headers, body, timeout=DEADLINE_MS / 1000
        )
    status = answer.status if answer is not None else None
    seconds = time.monotonic() - started
    record(f"client gets {status} for {request_id} after {seconds:.2f} s")


def build_headers(request_id):
    return {
        "Host": "jepu9.example",
        "X-Request-Id": request_id,
        "X-Deadline-Remaining": DEADLINE_MS,
    }


if __name__ == "__main__":
    case.run_case(FOLDER, Fleet(), play)
