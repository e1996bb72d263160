"""Stand-in targets that misbehave, and remember what they ran."""

import asyncio
import contextlib
import time

from multidict import CIMultiDict

from soak._http import send_json

SLOTS = 4
QUEUE = 12
BEAT_S = 0.5
WORK_S = 0.02


class Target:
    """Run requests, lose some answers, shed some, and announce itself."""

    def __init__(self, number, address, announced, fleet, draw, history):
        # Callers of the target come through a proxy at the announced address.
        self._announced = announced
        self.id = f"i-{number}"
        self.address = address
        self.born = time.time_ns() // 1_000_000
        self.state = "ready"
        self._fleet = fleet
        self._draw = draw
        self._history = history
        self._running = 0
        self._sequence = 0
        self._tasks = set()
        self._writers = set()

    async def start(self):
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))
        self._spawn(self._announce())

    async def stop(self):
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def announce(self):
        """Send one announcement; return whether it was acknowledged."""
        self._sequence += 1
        body = {
            "service": "s",
            "address": self._announced,
            "zone": "a",
            "version": "v1",
            "concurrency": SLOTS,
            "state": self.state,
            "cold_left_ms": 0,
            "sequence": self._sequence,
            "born": self.born,
        }
        names = list(self._fleet.controllers)
        self._draw.shuffle(names)
        for name in names:
            address = self._fleet.find_link(self._fleet.find_control(name))
            path = f"/toucanwood/instances/{self.id}"
            reply = await send_json(address, "PUT", path, body)
            if reply is not None and reply.status == 200:
                return True
        return False

    async def _announce(self):
        while True:
            await self.announce()
            await asyncio.sleep(BEAT_S)

    def _spawn(self, main):
        task = asyncio.get_running_loop().create_task(main)
        self._tasks.add(task)
        task.add_done_callback(self._finish)

    def _finish(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._history.broken.append(f"{self.id} failed: {task.exception()!r}")

    def _accept(self, reader, writer):
        self._spawn(self._serve(reader, writer))

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError, EOFError):
            while await self._answer_one(reader, writer):
                pass
        writer.close()

    async def _answer_one(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        line, *rest = head.strip().split("\r\n")
        # The case of header names may change on the way.
        headers = CIMultiDict(item.split(": ", 1) for item in rest)
        body = await reader.readexactly(int(headers.get("Content-Length", 0)))
        request_id = headers.get("X-Request-Id", "")
        if line.split()[1] == "/health":
            self._write(writer, 200, request_id, b"", signed=False)
            return True
        if headers.get("X-Target-Instance") != self.id:
            self._write(writer, 421, request_id, b"", signed=False)
            return True
        if self._running >= SLOTS + QUEUE or self._draw.random() < 0.03:
            self._write(writer, 503, request_id, b"", signed=False, not_run=True)
            return True
        return await self._run(writer, line, headers, request_id, body)

    async def _run(self, writer, line, headers, request_id, body):
        self._history.note_run(request_id, self, line, headers)
        self._running += 1
        try:
            await asyncio.sleep(WORK_S * self._draw.uniform(0.5, 2.0))
        finally:
            self._running -= 1
        if self._draw.random() < 0.03:
            # The answer is lost after the run.
            writer.transport.abort()
            return False
        self._write(writer, 200, request_id, request_id.encode() + body)
        await writer.drain()
        return True

    def _write(self, writer, status, request_id, body, *, signed=True, not_run=False):
        lines = [f"HTTP/1.1 {status} X", f"X-Request-Id: {request_id}"]
        if signed:
            lines.append("X-Response-Signature: s")
        if not_run:
            lines.append("X-Not-Executed: 1")
        lines.append(f"X-Instance-Id: {self.id}")
        lines.append(f"X-Server-Load: {max(self._running, 1)},0,{SLOTS}")
        lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
