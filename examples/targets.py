"""Simulated targets: announce themselves, serve requests and drain on SIGTERM.

On SIGUSR1 they deregister but keep serving, so that tests can detect requests that are
still sent to them.
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

ANNOUNCE_INTERVAL_S = 1.0
ANNOUNCE_TIMEOUT_S = 2.0
PROCESSING_TIME_S = 0.005
CHUNK_BYTES = 64 * 1024
REQUEST_ID_HEADER = "Toucanwood-Request-Id"
MAX_DOWNLOAD_BYTES = 2 * 1024**3


@attrs.define
class Target:
    """Target that serves requests with a fixed processing time."""

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
        server = web.Server(self.handle_request)
        self.runner = web.ServerRunner(server)
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        host, port = self.runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    async def handle_request(self, request: web.BaseRequest) -> web.StreamResponse:
        """Respond with a description of the request, or with N bytes for `?bytes=N`."""
        self.in_flight += 1
        try:
            body = await request.read()
            await asyncio.sleep(PROCESSING_TIME_S)
            size = min(int(request.query.get("bytes", 0)), MAX_DOWNLOAD_BYTES)
            if size:
                return await self.stream_response(request, size)
            if request.method != "GET":
                self.record_execution(request)
            return web.json_response(
                self.describe_request(request, body), headers=echo_request_id(request)
            )
        finally:
            self.in_flight -= 1

    def record_execution(self, request: web.BaseRequest) -> None:
        """Count the execution of an operation, and append its path to a file."""
        self.orders += 1
        if self.orders_path:
            with open(self.orders_path, "a") as file:
                file.write(f"{request.path}\n")

    def describe_request(self, request: web.BaseRequest, body: bytes) -> dict[str, Any]:
        """Return the content of a JSON response that describes the request."""
        return {
            "target": self.id,
            "service": self.service,
            "path": request.path_qs,
            "method": request.method,
            "body_bytes": len(body),
            "orders": self.orders,
            "saw_key": "Authorization" in request.headers,
        }

    async def stream_response(
        self, request: web.BaseRequest, size: int
    ) -> web.StreamResponse:
        """Send a response body of `size` bytes."""
        headers = {"Content-Length": str(size), **echo_request_id(request)}
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        chunk = bytes(CHUNK_BYTES)
        for start in range(0, size, CHUNK_BYTES):
            await response.write(chunk[: size - start])
        await response.write_eof()
        return response

    async def announce_periodically(self, session: aiohttp.ClientSession) -> None:
        """Renew the lease; switch to another entry when one does not accept it."""
        while True:
            for _ in range(len(self.entries)):
                if await self.announce(session, self.entries[0]):
                    break
                # Moves the failed entry to the end, so that the others are tried first.
                self.entries.append(self.entries.pop(0))
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    async def announce(self, session: aiohttp.ClientSession, entry: str) -> bool:
        """Send an announcement to an entry; return whether the entry accepted it."""
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

    async def drain(self, session: aiohttp.ClientSession) -> None:
        """Deregister and wait for the running requests to finish."""
        await self.deregister(session)
        while self.in_flight:
            await asyncio.sleep(0.05)

    async def deregister(self, session: aiohttp.ClientSession) -> None:
        """Deregister at the first entry that responds."""
        for entry in self.entries:
            url = f"http://{entry}/.toucanwood/targets/{self.id}"
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                async with session.delete(url):
                    break


def echo_request_id(request: web.BaseRequest) -> dict[str, str]:
    """Return the header with the request's id; without it, no connection is reused."""
    request_id = request.headers.get(REQUEST_ID_HEADER)
    return {} if request_id is None else {REQUEST_ID_HEADER: request_id}


async def main(config: dict[str, Any]) -> None:
    """Run the targets of a configuration until SIGTERM or SIGINT."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    targets = [Target(**target) for target in config["workers"]]
    headers = {"Authorization": f"Bearer {config['token']}"}
    timeout = aiohttp.ClientTimeout(total=ANNOUNCE_TIMEOUT_S)
    async with aiohttp.ClientSession(headers=headers, timeout=timeout) as session:
        tasks = []
        for target in targets:
            await target.start()
            tasks.append(asyncio.create_task(target.announce_periodically(session)))

        async def deregister_all() -> None:
            for task in tasks[: len(targets)]:
                task.cancel()
            await asyncio.gather(*(target.deregister(session) for target in targets))

        def start_deregistration() -> None:
            tasks.append(loop.create_task(deregister_all()))

        loop.add_signal_handler(signal.SIGUSR1, start_deregistration)
        await stop_requested.wait()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*(target.drain(session) for target in targets))
    for target in targets:
        await target.runner.cleanup()


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("config", help="JSON file with the targets and their token")
    with open(parser.parse_args().config) as file:
        asyncio.run(main(json.load(file)))
