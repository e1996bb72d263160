"""Stand-in targets: announce themselves, answer requests, drain on SIGTERM.

On SIGUSR1 they leave and go on answering, so that late requests can be seen.
"""

import argparse
import asyncio
import contextlib
import json
import signal
from typing import Any

import aiohttp
import attrs
from aiohttp import web

RENEW_INTERVAL_S = 1.0
ANNOUNCE_TIMEOUT_S = 2.0
WORK_TIME_S = 0.005
CHUNK_BYTES = 64 * 1024
MAX_DOWNLOAD_BYTES = 2 * 1024**3


@attrs.define
class Worker:
    """Run one target."""

    service: str
    id: str
    data_centre: str
    slots: int
    entries: list[str]
    token: str = attrs.field(repr=False)
    orders_path: str = ""
    address: str = ""
    in_flight: int = 0
    orders: int = 0
    runner: Any = None

    async def start(self) -> None:
        """Listen on a free port."""
        server = web.Server(self.answer)
        self.runner = web.ServerRunner(server)
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        host, port = self.runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer with what was received, or stream `?bytes=N`."""
        self.in_flight += 1
        try:
            body = await request.read()
            await asyncio.sleep(WORK_TIME_S)
            size = min(int(request.query.get("bytes", 0)), MAX_DOWNLOAD_BYTES)
            if size:
                return await self.stream(request, size)
            if request.method != "GET":
                self.record_order(request)
            return web.json_response(self.describe(request, body))
        finally:
            self.in_flight -= 1

    def record_order(self, request: web.BaseRequest) -> None:
        """Count an execution, and append its path to the file of executions."""
        self.orders += 1
        if self.orders_path:
            with open(self.orders_path, "a") as file:
                file.write(f"{request.path}\n")

    def describe(self, request: web.BaseRequest, body: bytes) -> dict[str, Any]:
        """Return what the target received."""
        return {
            "target": self.id,
            "service": self.service,
            "path": request.path_qs,
            "method": request.method,
            "body_bytes": len(body),
            "orders": self.orders,
            "saw_key": "Authorization" in request.headers,
        }

    async def stream(self, request: web.BaseRequest, size: int) -> web.StreamResponse:
        """Send `size` bytes."""
        response = web.StreamResponse(headers={"Content-Length": str(size)})
        await response.prepare(request)
        chunk = bytes(CHUNK_BYTES)
        for start in range(0, size, CHUNK_BYTES):
            await response.write(chunk[: size - start])
        await response.write_eof()
        return response

    async def keep_announced(self, session: aiohttp.ClientSession) -> None:
        """Renew the lease; move to another entry when one does not answer."""
        while True:
            for _ in range(len(self.entries)):
                if await self.announce(session, self.entries[0]):
                    break
                # Tries the others first and comes back to this one last.
                self.entries.append(self.entries.pop(0))
            await asyncio.sleep(RENEW_INTERVAL_S)

    async def announce(self, session: aiohttp.ClientSession, entry: str) -> bool:
        """Announce to one entry; return whether it accepted."""
        body = {
            "id": self.id,
            "service": self.service,
            "address": self.address,
            "data_centre": self.data_centre,
            "slots": self.slots,
            "load": self.in_flight,
        }
        url = f"http://{entry}/.toucanwood/targets"
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with session.post(url, json=body) as response:
                return response.status < 400
        return False

    async def finish(self, session: aiohttp.ClientSession) -> None:
        """Leave and finish the running requests."""
        await self.leave(session)
        while self.in_flight:
            await asyncio.sleep(0.05)

    async def leave(self, session: aiohttp.ClientSession) -> None:
        """Leave at the first entry that answers."""
        for entry in self.entries:
            url = f"http://{entry}/.toucanwood/targets/{self.id}"
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                async with session.delete(url):
                    break


async def main(config: dict[str, Any]) -> None:
    """Run the workers of a configuration until SIGTERM."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    workers = [Worker(**worker) for worker in config["workers"]]
    headers = {"Authorization": f"Bearer {config['token']}"}
    timeout = aiohttp.ClientTimeout(total=ANNOUNCE_TIMEOUT_S)
    async with aiohttp.ClientSession(headers=headers, timeout=timeout) as session:
        tasks = []
        for worker in workers:
            await worker.start()
            tasks.append(asyncio.create_task(worker.keep_announced(session)))

        async def leave_all() -> None:
            for task in tasks[: len(workers)]:
                task.cancel()
            await asyncio.gather(*(worker.leave(session) for worker in workers))

        def start_leaving() -> None:
            tasks.append(loop.create_task(leave_all()))

        loop.add_signal_handler(signal.SIGUSR1, start_leaving)
        await stopped.wait()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*(worker.finish(session) for worker in workers))
    for worker in workers:
        await worker.runner.cleanup()


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("config", help="JSON file with the workers and the token")
    with open(parser.parse_args().config) as file:
        asyncio.run(main(json.load(file)))
