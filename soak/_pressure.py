"""Callers that take memory and open files of the processes under test."""

import asyncio
import contextlib
import socket

import attrs
from adapter.tests.stand_ins import CONFIG_PATH

from soak._http import encode_request

PAUSE_S = (0.5, 2.0)
HOLD_S = (1.0, 4.0)
CONNECT_INTERVAL_S = 0.002
READ_INTERVAL_S = 0.1
# Connections that are opened at a time, and the bytes of the body of each.
BODIES = ((5, 28_000_000), (60, 4_000_000), (400, 1_000_000))
IDLE_CONNECTIONS = (200, 1_100)
READERS = (50, 400)
PIPELINED_REQUESTS = 40
PIPELINED_CONNECTIONS = (1, 20)
PART_BYTES = 64 * 1024
# Receive buffer of a caller that doesn't read, so that the kernel holds little for it.
RECEIVE_BUFFER_BYTES = 4096


@attrs.frozen
class HeldConnection:
    """What is sent on a connection: complete requests, or one with half a body."""

    requests: bytes
    body_bytes: int = 0
    is_chunked: bool = False
    is_read: bool = True


class PressureCaller:
    """Hold many connections at a process, in one of the ways that callers may.

    `build_headers(request_id)` returns the headers of a valid request.
    """

    def __init__(self, fleet, history, rng, *, next_id, build_headers):
        self._fleet = fleet
        self._history = history
        self._rng = rng
        self._next_id = next_id
        self._build_headers = build_headers
        self._kinds = {
            "idle": self._list_idle,
            "bodies": self._list_bodies,
            "control bodies": self._list_control_bodies,
            "readers": self._list_readers,
            "pipelining": self._list_pipelining,
        }

    async def run(self):
        """Apply one kind of pressure after another until the task is cancelled."""
        while True:
            await asyncio.sleep(self._rng.uniform(*PAUSE_S))
            await self.apply(self._rng.choice(sorted(self._kinds)))

    async def apply(self, kind):
        """Open the connections of one kind, hold them for a time and reset them."""
        is_control = kind == "control bodies"
        names = self._fleet.controllers if is_control else self._fleet.entries
        name = self._rng.choice(names)
        address = self._fleet.get_entry_address(name)
        if is_control:
            address = self._fleet.get_control_address(name)
        hold_s = self._rng.uniform(*HOLD_S)
        tasks = []
        try:
            for connection in self._kinds[kind](name):
                held = _hold_connection(address, connection, hold_s)
                tasks.append(asyncio.create_task(held))
                await asyncio.sleep(CONNECT_INTERVAL_S)
            await asyncio.gather(*tasks)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def _list_idle(self, name):
        return [HeldConnection(b"")] * self._rng.choice(IDLE_CONNECTIONS)

    def _list_bodies(self, name):
        count, size = self._rng.choice(BODIES)
        is_chunked = self._rng.random() < 0.5
        return [
            HeldConnection(
                self._build_request(
                    name, "POST", "/unsafe/x", _build_framing(size, is_chunked)
                ),
                size,
                is_chunked,
            )
            for _ in range(count)
        ]

    def _list_control_bodies(self, name):
        count, size = self._rng.choice(BODIES)
        headers = {"If-Match": "r1", **_build_framing(size, False)}
        request = encode_request("PUT", CONFIG_PATH, headers)
        return [HeldConnection(request, size)] * count

    def _list_readers(self, name):
        count = self._rng.randint(*READERS)
        return [self._build_unread(name, 1) for _ in range(count)]

    def _list_pipelining(self, name):
        count = self._rng.randint(*PIPELINED_CONNECTIONS)
        return [self._build_unread(name, PIPELINED_REQUESTS) for _ in range(count)]

    def _build_unread(self, name, count):
        requests = [
            self._build_request(name, "GET", "/download/x", {}) for _ in range(count)
        ]
        return HeldConnection(b"".join(requests), is_read=False)

    def _build_request(self, name, method, path, framing):
        request_id = self._next_id()
        self._history.record_sent(request_id, name)
        headers = {**self._build_headers(request_id), **framing}
        return encode_request(method, path, headers)


def _build_framing(size, is_chunked):
    if is_chunked:
        return {"Transfer-Encoding": "chunked"}
    return {"Content-Length": str(size)}


async def _hold_connection(address, connection, hold_s):
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(hold_s):
            reader, writer = await _connect(address, connection.is_read)
            try:
                await _send(writer, connection)
                while not connection.is_read or await reader.read(PART_BYTES):
                    await asyncio.sleep(READ_INTERVAL_S)
            finally:
                writer.transport.abort()


async def _send(writer, connection):
    """Send the requests, and a body without its last byte."""
    writer.write(connection.requests)
    await writer.drain()
    left = connection.body_bytes - 1
    while left > 0:
        part = b"p" * min(left, PART_BYTES)
        left -= len(part)
        if connection.is_chunked:
            part = b"%x\r\n%b\r\n" % (len(part), part)
        writer.write(part)
        await writer.drain()


async def _connect(address, is_read):
    host, _, port = address.rpartition(":")
    if is_read:
        return await asyncio.open_connection(host, int(port))
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.setblocking(False)
    try:
        await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
    except BaseException:
        sock.close()
        raise
    reader, writer = await asyncio.open_connection(sock=sock)
    writer.transport.pause_reading()
    return reader, writer
