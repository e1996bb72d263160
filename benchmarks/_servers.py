"""Targets and proxies that run in processes of their own, and an HTTP caller."""

import asyncio
import contextlib
import itertools
import multiprocessing
import pathlib
import re
import time
from collections.abc import AsyncIterator
from multiprocessing.connection import Connection
from typing import Any

import aiohttp
from aiohttp import web

from toucanwood.entry.testing import Harness, build_declaration, build_service
from toucanwood.fleet import Target, TargetState
from toucanwood.gateway import GatewayInstance, GatewaySettings, HeaderNames

# A gateway accepts a response only with the request id and the signature header.
HEADERS = HeaderNames(signature="Toucanwood-Signature")
REQUEST_ID_PATTERN = re.compile(f"{HEADERS.request_id}: ([^\r]+)".encode(), re.I)
OK_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
OK_HEAD += f"{HEADERS.signature}: s\r\n{HEADERS.request_id}: ".encode()
OK_BODY = b"\r\nContent-Length: 5\r\n\r\nhello"
CHUNK = b"x" * 256 * 1024
START_TIMEOUT_S = 20
# References that keep the objects alive while the process serves.
_SESSIONS: list[aiohttp.ClientSession] = []
_GATEWAYS: list[GatewayInstance] = []


class StubTarget(asyncio.Protocol):
    """A target that responds as soon as it reads a head; `/big/N` streams N bytes."""

    def connection_made(self, transport: Any) -> None:
        """Store the transport."""
        self._transport = transport
        self._can_write = asyncio.Event()
        self._can_write.set()
        self._sender: asyncio.Task[None] | None = None

    def pause_writing(self) -> None:
        """Pause the stream."""
        self._can_write.clear()

    def resume_writing(self) -> None:
        """Resume the stream."""
        self._can_write.set()

    def data_received(self, data: bytes) -> None:
        """Respond to all requests of one read; here each head arrives in one read."""
        path = data.split(b" ", 2)[1]
        if b"/big/" in path:
            size = int(path.rpartition(b"/")[2])
            self._sender = asyncio.ensure_future(self._stream(size))
        else:
            for head in data.split(b"\r\n\r\n")[:-1]:
                match = REQUEST_ID_PATTERN.search(head)
                request_id = match.group(1) if match is not None else b""
                self._transport.write(OK_HEAD + request_id + OK_BODY)

    async def _stream(self, size: int) -> None:
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
        self._transport.write(head % size)
        for _ in range(size // len(CHUNK)):
            self._transport.write(CHUNK)
            await self._can_write.wait()


async def start_targets(count: int) -> list[str]:
    """Start stub targets and return their addresses."""
    loop = asyncio.get_running_loop()
    addresses = []
    for _ in range(count):
        server = await loop.create_server(StubTarget, "127.0.0.1", 0)
        addresses.append(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
    return addresses


async def start_entry(targets: list[str]) -> list[str]:
    """Start an entry in front of the targets and return its address."""
    declaration = build_declaration(
        build_service("buscador", "/buscador/", deadline=600.0)
    )
    addresses = {f"t{number}": address for number, address in enumerate(targets)}
    harness = Harness(declaration, addresses)
    harness.dispatcher.is_round_robin = True
    # The fake dispatcher would store the outcome of every request of the run.
    harness.dispatcher.outcomes = _DiscardingList()
    await harness.entry.start()
    return [harness.entry.address]


class _DiscardingList(list[Any]):
    def append(self, item: Any) -> None:
        """Discard the item."""


async def start_gateway(targets: list[str]) -> list[str]:
    """Start a gateway in front of the targets and return its address."""
    settings = GatewaySettings.from_config(
        {
            "id": "127.0.0.1",
            "data_centre": "a",
            "region": "r",
            "listen": "127.0.0.1:0",
            "ready": "127.0.0.1:0",
            "peer": "127.0.0.1:0",
            "peer_port": 1,
            "controllers": [],
            "region_by_data_centre": {"a": "r"},
            "link_bytes_per_s": 125e6,
        }
    )
    gateway = GatewayInstance(settings, HEADERS)
    _GATEWAYS.append(gateway)
    gateway.server.start(settings.listen)
    route = {"name": "r", "host": "h", "prefix": "/buscador/", "kind": "safe"}
    rules = {"service": "s", "open": True, "objective_ms": 1000, "timeout_ms": 600_000}
    document = {
        "revision": 1,
        "routes": [{**route, **rules, "max_attempts": 2}],
        "services": [{"name": "s"}],
        "organisations": [],
    }
    wire_targets = [
        Target(
            id=f"t{number}",
            start_time_ms=1,
            sequence=1,
            service="s",
            address=address,
            data_centre="a",
            software="",
            slots=64,
            state=TargetState.READY,
            remaining_cold_start_s=0.0,
        ).to_wire()
        for number, address in enumerate(targets)
    ]
    gateway.view.replace(1, [1, document, [], wire_targets])
    gateway.dispatcher.update(gateway.view, frozenset({settings.id}))
    return [gateway.server.address]


async def start_pass_through(targets: list[str]) -> list[str]:
    """Start a minimal aiohttp proxy, without checks, and return its address."""
    connector = aiohttp.TCPConnector(limit=0)
    session = aiohttp.ClientSession(connector=connector, auto_decompress=False)
    _SESSIONS.append(session)
    request_count = 0

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        nonlocal request_count
        request_count += 1
        url = f"http://{targets[request_count % len(targets)]}{request.path_qs}"
        async with session.request(request.method, url) as response:
            body = await response.read()
            return web.Response(status=response.status, body=body)

    server = web.Server(handle, access_log=None)
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(server, "127.0.0.1", 0)
    return [f"127.0.0.1:{listener.sockets[0].getsockname()[1]}"]


STARTERS = {
    "targets": lambda arguments: start_targets(*arguments),
    "entry": lambda arguments: start_entry(*arguments),
    "gateway": lambda arguments: start_gateway(*arguments),
    "pass_through": lambda arguments: start_pass_through(*arguments),
}


def serve(kind: str, arguments: list[Any], pipe: Connection) -> None:
    """Run a server until the pipe closes; send the usage for each message read."""

    async def main() -> None:
        pipe.send(await STARTERS[kind](arguments))
        stopped = asyncio.Event()

        def handle_message() -> None:
            try:
                pipe.recv()
                pipe.send(read_usage())
            except EOFError:
                stopped.set()

        asyncio.get_running_loop().add_reader(pipe.fileno(), handle_message)
        await stopped.wait()
        for session in _SESSIONS:
            await session.close()

    asyncio.run(main())


def read_usage() -> dict[str, float]:
    """Return the CPU time in seconds and the resident memory in bytes."""
    status = pathlib.Path("/proc/self/status").read_text()
    lines = dict(line.split(":", 1) for line in status.splitlines())
    return {
        "cpu": time.process_time(),
        "rss": int(lines["VmRSS"].split()[0]) * 1024,
        "peak": int(lines["VmHWM"].split()[0]) * 1024,
    }


class ServerProcess:
    """Run one of the servers in a child process."""

    def __init__(self, kind: str, *arguments: Any) -> None:
        context = multiprocessing.get_context("spawn")
        self._pipe, child_pipe = context.Pipe()
        self._process = context.Process(
            target=serve, args=(kind, list(arguments), child_pipe), daemon=True
        )
        self._process.start()
        child_pipe.close()
        if not self._pipe.poll(START_TIMEOUT_S):
            raise RuntimeError(f"{kind} did not start in {START_TIMEOUT_S} s")
        self.addresses: list[str] = self._pipe.recv()

    def read_usage(self) -> dict[str, float]:
        """Return the CPU time and memory of the child process."""
        self._pipe.send("usage")
        return self._pipe.recv()

    def stop(self) -> None:
        """Close the pipe, which ends the child process, and wait for its end."""
        self._pipe.close()
        self._process.join()


class Caller:
    """Send requests one after another on one connection."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, key: str
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._headers = f"Host: h\r\nX-Api-Key: {key}\r\nAccept: */*\r\n"
        self._ids = itertools.count(1)

    @classmethod
    @contextlib.asynccontextmanager
    async def connect(cls, address: str, key: str) -> AsyncIterator["Caller"]:
        """Open a connection and close it at the end."""
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            yield cls(reader, writer, key)
        finally:
            writer.close()

    async def get(self, path: str) -> None:
        """Send one request; raise unless the status is 200."""
        status = await self.get_status(path)
        if status != 200:
            raise RuntimeError(f"GET {path} returned the status {status}")

    async def get_status(self, path: str) -> int:
        """Send one request, drop the response body and return the status."""
        request_id = f"{HEADERS.request_id}: {id(self):x}-{next(self._ids)}"
        head = f"GET {path} HTTP/1.1\r\n{self._headers}{request_id}\r\n\r\n"
        self._writer.write(head.encode())
        received = await self._reader.readuntil(b"\r\n\r\n")
        length = received.lower().partition(b"content-length: ")[2]
        remaining = int(length.partition(b"\r\n")[0])
        while remaining:
            remaining -= len(await self._reader.read(min(remaining, len(CHUNK))))
        return int(received[9:12])
