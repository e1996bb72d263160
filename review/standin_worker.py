"""A sound worker: it registers itself, runs requests and records what it has run."""

import asyncio
import json
import time

import standin_http as http


class Worker:
    """One worker; `record` is called with a line for each event."""

    def __init__(self, worker_id, service, address, zone, control, record, **options):
        self.id = worker_id
        self.service = service
        self.address = address
        self.zone = zone
        self.state = "ready"
        self.born = time.time_ns() // 1_000_000
        # What is run: (time of arrival, request id, method, path, tenant, body).
        self.runs = []
        self.work_s = options.get("work_s", 0.02)
        self.body_bytes = options.get("body_bytes", 64)
        self.slots = options.get("slots", 8)
        self._control = list(control)
        self._record = record
        self._sequence = 0
        self._running = 0
        self._tasks = set()

    async def start(self):
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))
        self._start_task(self._beat())

    async def stop(self):
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def beat_once(self):
        """Send one heartbeat, to the next node after a failure; return its success."""
        self._sequence += 1
        content = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "concurrency": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "sequence": self._sequence,
            "born": self.born,
        }
        path = f"/toucanwood/instances/{self.id}"
        for node in self._control:
            body = json.dumps(content).encode()
            answer = await http.request(node, "PUT", path, body=body, timeout=1.0)
            if answer is not None and 200 <= answer.status < 300:
                return True
        return False

    def _start_task(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _beat(self):
        while True:
            await self.beat_once()
            await asyncio.sleep(1.5)

    def _accept(self, reader, writer):
        self._start_task(self._serve(reader, writer))

    async def _serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                line, *header_lines = head.strip().split("\r\n")
                method, path, _ = line.split(" ")
                headers = {}
                for item in header_lines:
                    name, _, value = item.partition(":")
                    headers[name.strip().lower()] = value.strip()
                size = int(headers.get("content-length", "0"))
                body = await reader.readexactly(size) if size else b""
                await self._answer(writer, method, path, headers, body)
        except (OSError, EOFError, ValueError):
            pass
        finally:
            writer.close()

    async def _answer(self, writer, method, path, headers, body):
        request_id = headers.get("x-request-id", "")
        if path == "/health":
            self._write(writer, 200, request_id, b"", signed=False)
        elif headers.get("x-target-instance", self.id) != self.id:
            self._write(writer, 421, request_id, b"", signed=False)
        elif self._running >= 4 * self.slots:
            extra = ["X-Not-Executed: 1"]
            self._write(writer, 503, request_id, b"", signed=False, extra=extra)
        else:
            tenant = headers.get("x-tenant", "")
            self.runs.append((time.monotonic(), request_id, method, path, tenant, body))
            self._record(f"{self.id} in {self.zone} runs {request_id}")
            self._running += 1
            try:
                await asyncio.sleep(self.work_s)
            finally:
                self._running -= 1
            content = (request_id.encode() + b".") * (
                self.body_bytes // (len(request_id) + 1) + 1
            )
            self._write(writer, 200, request_id, content[: self.body_bytes])
        await writer.drain()

    def _write(self, writer, status, request_id, body, *, signed=True, extra=()):
        lines = [f"HTTP/1.1 {status} X", f"X-Request-Id: {request_id}"]
        if signed:
            lines.append("X-Response-Signature: stand-in")
        lines += [f"X-Instance-Id: {self.id}"]
        lines += [f"X-Server-Load: {max(self._running, 1)},0,{self.slots}"]
        lines += [*extra, f"Content-Length: {len(body)}"]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
