"""Callers that send again and again, and one whose requests are refused early."""

import asyncio
import contextlib
import time

from soak._http import encode_request, read_response

PAUSE_S = (0.1, 0.4)
# Bytes of the bodies, and the sizes of their chunks; 0 stands for a length.
BODY_BYTES = (0, 1_000, 140_000, 900_000)
CHUNK_BYTES = (0, 0, 1_000, 70_000)
NEXT_ANSWER_S = 3.0


class RepeatingCaller:
    """Send requests on new connections to random entries.

    `build_headers(request_id, key)` returns the headers of a request; without a key,
    those of a valid one.
    """

    def __init__(self, fleet, history, rng, *, next_id, build_headers):
        self._fleet = fleet
        self._history = history
        self._rng = rng
        self._next_id = next_id
        self._build_headers = build_headers

    async def run(self):
        """Send requests until the task is cancelled."""
        while True:
            await asyncio.sleep(self._rng.uniform(*PAUSE_S))
            name = self._rng.choice(self._fleet.entries)
            with contextlib.suppress(OSError, EOFError, TimeoutError, ValueError):
                address = self._fleet.get_entry_address(name)
                address = self._fleet.get_proxy_address(address)
                host, _, port = address.rpartition(":")
                reader, writer = await asyncio.open_connection(host, int(port))
                try:
                    await self.send(name, reader, writer)
                finally:
                    writer.transport.abort()

    async def send(self, name, reader, writer):
        """Send the requests of one connection to an entry and read the responses."""
        raise NotImplementedError


class RefusedCaller(RepeatingCaller):
    """Send requests with an unknown key, and valid ones behind them."""

    async def send(self, name, reader, writer):
        """Send a request that is refused and another one behind it."""
        request_id = self._next_id()
        refused = encode_request(
            "POST",
            "/safe/x",
            self._build_headers(f"{request_id}-refused", "unknown"),
            b"r" * self._rng.choice(BODY_BYTES),
            chunk_bytes=self._rng.choice(CHUNK_BYTES),
        )
        half = self._rng.choice([len(refused), len(refused) // 2 + 1])
        writer.write(refused[:half])
        async with asyncio.timeout(NEXT_ANSWER_S):
            if (await read_response(reader)).status != 401:
                return
        self._history.record_sent(request_id, name)
        request = encode_request("GET", "/safe/x", self._build_headers(request_id))
        writer.write(refused[half:] + request)
        begin = time.monotonic()
        try:
            async with asyncio.timeout(NEXT_ANSWER_S):
                await read_response(reader)
        except TimeoutError:
            message = f"{request_id}: no answer behind a refusal at {name}"
            end = time.monotonic()
            self._history.interrupted.append(({name}, begin, end, message))
