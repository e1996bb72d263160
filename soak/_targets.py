"""Simulated targets that inject faults and record the requests they run."""

import asyncio
import contextlib
import time

from adapter.headers import HEADERS
from adapter.tests.stand_ins import (
    HEALTH_PATH,
    build_answer_lines,
    encode_heartbeat,
    encode_leave,
    format_target_path,
)
from multidict import CIMultiDict

from soak._http import encode_chunks, send_json
from soak._signals import TargetSignals

SLOTS = 4
QUEUE_LENGTH = 12
ANNOUNCE_INTERVAL_S = 0.5
PROCESSING_TIME_S = 0.02
# Probability that a target sends its last response of a connection once more, an
# answer or a refusal, when the connection is in use again.
REPEAT_PROBABILITY = 0.03
# Bytes of the responses to downloads, what they consist of, and the sizes of chunks.
DOWNLOAD_BYTES = (0, 20_000, 150_000, 600_000, 3_000_000)
# The largest one on a slow link, where longer ones take longer than their callers wait.
MAX_SLOW_DOWNLOAD_BYTES = 20_000
FILLERS = (b"x" * 1000, b"line\n\n", b"\r\n\r\n0\r\n\r\n")
CHUNK_BYTES = (1_460, 16_384, 300_000)
SLOW_LINK_MBPS = 100.0
ODD_ANSWER_PROBABILITY = 0.05
INVALID_STATUSES = ("000 X", "000", "099 X", "600 X", "999 X")
MISSING_BYTES = (1, 5, 16, 17, 200, 10_000)


class FaultyTarget:
    """Target that sheds some requests, and drops or repeats some responses."""

    def __init__(self, number, address, announced_address, fleet, rng, history, on_run):
        # Address of the proxy through which requests reach the target.
        self._announced_address = announced_address
        self.id = f"i-{number}"
        self.address = address
        self.zone = "ab"[number % 2]
        self.start_time_ms = time.time_ns() // 1_000_000
        self.state = "ready"
        self._fleet = fleet
        self._rng = rng
        self._history = history
        self._on_run = on_run
        is_slow = fleet.link_mbps < SLOW_LINK_MBPS
        largest = MAX_SLOW_DOWNLOAD_BYTES if is_slow else max(DOWNLOAD_BYTES)
        self._max_download_bytes = largest
        self._running = 0
        self.sequence = 0
        self._tasks = set()
        # The last response of each connection.
        self._last_responses = {}
        # One item for each incarnation; the last one is the present.
        self.signals = [TargetSignals(self.id)]

    async def start(self):
        await self.listen()
        self._spawn(self._announce_periodically())

    async def listen(self):
        """Accept connections without announcing the target."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))

    async def stop(self):
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def restart(self):
        """Begin a new incarnation with the same id and address."""
        self.start_time_ms = max(time.time_ns() // 1_000_000, self.start_time_ms + 1)
        self.sequence = 0
        self.signals.append(TargetSignals(self.id))

    async def announce(self):
        """Send one announcement; return whether it was acknowledged."""
        self.sequence += 1
        body = encode_heartbeat(self, address=self._announced_address, slots=SLOTS)
        names = list(self._fleet.controllers)
        self._rng.shuffle(names)
        return await self._call_any(names, "PUT", body)

    async def leave(self):
        """Ask for the removal of this target; return whether it was acknowledged."""
        names = list(self._fleet.controllers)
        self._rng.shuffle(names)
        return await self._call_any(names, "DELETE", encode_leave(self))

    async def _call_any(self, names, method, body):
        for name in names:
            address = self._fleet.get_proxy_address(
                self._fleet.get_control_address(name)
            )
            path = format_target_path(self.id)
            response = await send_json(address, method, path, body)
            if response is not None and response.status == 200:
                return True
        return False

    async def _announce_periodically(self):
        while True:
            await self.announce()
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    def _spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._record_task_failure)

    def _record_task_failure(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._history.violations.append(f"{self.id} raised {task.exception()!r}")

    def _accept(self, reader, writer):
        self._spawn(self._serve_connection(reader, writer))

    async def _serve_connection(self, reader, writer):
        try:
            with contextlib.suppress(OSError, EOFError):
                while await self._serve_request(reader, writer):
                    pass
        finally:
            self._last_responses.pop(writer, None)
            writer.close()

    async def _serve_request(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        request_line, *header_lines = head.strip().split("\r\n")
        # The case of header names may change in transit.
        headers = CIMultiDict(item.split(": ", 1) for item in header_lines)
        body = await reader.readexactly(int(headers.get("Content-Length", 0)))
        if self._rng.random() < REPEAT_PROBABILITY:
            writer.write(self._last_responses.get(writer, b""))
        request_id = headers.get(HEADERS.request_id, "")
        if request_line.split()[1] == HEALTH_PATH:
            self._write_response(writer, 200, request_id, b"", signed=False)
            return True
        if headers.get(HEADERS.target_id) != self.id:
            self._write_response(writer, 421, request_id, b"", signed=False)
            return True
        signals = self.signals[-1]
        self._history.record_arrival(request_id, signals)
        is_full = self._running >= SLOTS + QUEUE_LENGTH or self._rng.random() < 0.03
        if is_full or signals.next_wait_s:
            self._write_response(
                writer, 503, request_id, b"", signed=False, not_run=True
            )
            return True
        return await self._execute(writer, request_line, headers, request_id, body)

    async def _execute(self, writer, request_line, headers, request_id, body):
        self._history.record_run(request_id, self, request_line, headers)
        self._on_run(self.zone, request_id)
        self._running += 1
        try:
            await asyncio.sleep(PROCESSING_TIME_S * self._rng.uniform(0.5, 2.0))
        finally:
            self._running -= 1
        if self._rng.random() < 0.03:
            # Drops the response after the request has run.
            writer.transport.abort()
            return False
        body = request_id.encode() + body
        is_chunked = False
        if request_line.split()[1].startswith("/download/"):
            filler = self._rng.choice(FILLERS)
            size = min(self._rng.choice(DOWNLOAD_BYTES), self._max_download_bytes)
            body += filler * (size // len(filler))
            is_chunked = self._rng.random() < 0.5
        if self._rng.random() < ODD_ANSWER_PROBABILITY:
            self._write_odd_answer(writer, request_id, body, is_chunked)
            await writer.drain()
            return False
        self._history.record_body(request_id, body)
        self._write_response(writer, 200, request_id, body, is_chunked=is_chunked)
        await writer.drain()
        self._history.answered_ids.add(request_id)
        return True

    def _write_odd_answer(self, writer, request_id, body, is_chunked):
        """Break an answer off, give it an invalid status, or send another behind it."""
        kind = self._rng.choice(["cut", "status", "second"])
        response = self._encode_response(200, request_id, body, is_chunked=is_chunked)
        if kind == "cut":
            self._history.broken_ids.add(request_id)
            missing = min(self._rng.choice(MISSING_BYTES), len(body))
            writer.write(response[:-missing])
        elif kind == "status":
            status = self._rng.choice(INVALID_STATUSES).encode()
            writer.write(response.replace(b"200 X", status, 1))
        else:
            self._history.record_body(request_id, body)
            second = f"HTTP/1.1 200 X\r\n{HEADERS.request_id}: another\r\n\r\n".encode()
            writer.write(response + second + b"s" * self._rng.choice([0, 1, 16, 6000]))

    def _write_response(self, writer, status, request_id, body, **options):
        response = self._encode_response(status, request_id, body, **options)
        self._last_responses[writer] = response
        writer.write(response)

    def _encode_response(
        self,
        status,
        request_id,
        body,
        *,
        signed=True,
        not_run=False,
        is_chunked=False,
    ):
        """Return a response with the signals of the present incarnation."""
        lines = build_answer_lines(
            request_id,
            self.id,
            load=f"{max(self._running, 1)},0,{SLOTS}",
            signed=signed,
            not_run=not_run,
        )
        head_lines = [f"HTTP/1.1 {status} X", *lines]
        entry = self._history.find_entry(request_id)
        if entry is not None and status != 421:
            head_lines += self.signals[-1].build_headers(entry, is_refusal=not_run)
        if is_chunked:
            head_lines.append("Transfer-Encoding: chunked")
            body = encode_chunks(body, self._rng.choice(CHUNK_BYTES))
        else:
            head_lines.append(f"Content-Length: {len(body)}")
        return ("\r\n".join(head_lines) + "\r\n\r\n").encode() + body
