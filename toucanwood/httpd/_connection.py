"""One connection of a caller.

aiohttp's own server answers the requests of a connection one after the other. This
one uses aiohttp's parser and starts pipelined requests at once, so that a request does
not wait for the one before it to run; the answers keep the order of the requests.
"""

import asyncio
import socket
import struct
from collections import deque
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import structlog
from aiohttp.base_protocol import BaseProtocol
from aiohttp.http import HttpRequestParser, RawRequestMessage
from aiohttp.http_exceptions import HttpProcessingError, LineTooLong
from aiohttp.streams import StreamReader
from aiohttp.web_protocol import RequestPayloadError

from toucanwood.httpd._request import CallerRequest
from toucanwood.httpd._response import (
    Response,
    build_error_response,
    encode_head,
    encode_response,
)
from toucanwood.routing import CallerLimits
from toucanwood.verdicts import refuse

log = structlog.get_logger()

READ_BUFFER_BYTES = 64 * 1024
# Requests of one connection that run side by side; more stay in the socket.
MAX_PIPELINED = 32
# After the last answer the connection stays half open for this long, so that the
# caller reads the answer before a reset for unread bytes can reach it.
LINGER_S = 1.0
# A connection is closed a little later than the callers stop to use it.
IDLE_MARGIN = 1.1
_ABORT_ON_CLOSE = struct.pack("ii", 1, 0)
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

Handler = Callable[["Responder"], Awaitable[None]]


class Responder:
    """Give one request its place in the order of answers."""

    def __init__(
        self, connection: "Connection", request: CallerRequest, *, closes: bool
    ) -> None:
        self.request = request
        self.closes = closes
        self.is_answered = False
        self.is_streaming = False
        self.status = 0
        self._connection = connection
        self._ready: asyncio.Future[None] | None = None
        self._is_chunked = False
        self.task: asyncio.Task[None] | None = None

    async def send(self, answer: Response) -> None:
        """Write a complete answer once all earlier ones are written."""
        await self._wait()
        self.status = answer.status
        is_head = self.request.method == "HEAD"
        closes = self._closes_now()
        self._connection.write(encode_response(answer, is_head=is_head, closes=closes))
        self._end()

    async def start(
        self,
        status: int,
        reason: str,
        headers: Iterable[tuple[str, str]],
        length: str | None,
    ) -> None:
        """Write the head of an answer whose body is streamed."""
        await self._wait()
        self.status = status
        self.is_streaming = True
        self._is_chunked = length is None
        framing = "Transfer-Encoding: chunked"
        if length is not None:
            framing = f"Content-Length: {length}"
        closes = self._closes_now()
        head = encode_head(status, reason, headers, framing, closes=closes)
        self._connection.write(head)

    async def write(self, chunk: bytes) -> None:
        """Write a part of the body and wait while the caller is slow to read."""
        if self._is_chunked:
            chunk = f"{len(chunk):x}\r\n".encode() + chunk + b"\r\n"
        self._connection.write(chunk)
        await self._connection.drain()

    def finish(self) -> None:
        """End a streamed answer."""
        if self._is_chunked:
            self._connection.write(b"0\r\n\r\n")
        self._end()

    def abort(self) -> None:
        """Reset the connection, which marks a streamed answer as incomplete."""
        self.is_answered = True
        self._connection.abort()

    def release(self) -> None:
        """Let the next answer be written."""
        if self._ready is not None and not self._ready.done():
            self._ready.set_result(None)

    async def _wait(self) -> None:
        if self._connection.is_first(self):
            return
        self._ready = asyncio.get_running_loop().create_future()
        await self._ready

    def _closes_now(self) -> bool:
        self.closes = self.closes or self._connection.is_ending_with(self)
        return self.closes

    def _end(self) -> None:
        self.is_answered = True
        self._connection.end_turn(self)


class Connection(BaseProtocol):
    """Parse requests, run a handler for each, write the answers in order."""

    def __init__(
        self,
        *,
        handle: Handler,
        limits: Callable[[], CallerLimits],
        registry: "set[Connection]",
        is_stopping: Callable[[], bool],
    ) -> None:
        loop = asyncio.get_running_loop()
        size = limits().header_bytes
        parser = HttpRequestParser(
            self,
            loop,
            READ_BUFFER_BYTES,
            max_line_size=size,
            max_field_size=size,
            payload_exception=RequestPayloadError,
            auto_decompress=False,
        )
        super().__init__(loop, parser)
        self._handle = handle
        self._limits = limits
        self._registry = registry
        self._is_stopping = is_stopping
        self._turns: deque[Responder] = deque()
        self._last_body: StreamReader | None = None
        self._header_bytes = 0
        self._header_timer: asyncio.TimerHandle | None = None
        self._idle_timer: asyncio.TimerHandle | None = None
        self._idle_since = loop.time()
        self._is_ending = False
        self.peer = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        super().connection_made(transport)
        peer = transport.get_extra_info("peername")
        self.peer = f"{peer[0]}:{peer[1]}" if peer else ""
        self._registry.add(self)
        self._arm_idle_timer(self._limits().idle_timeout_s * IDLE_MARGIN)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel what still runs for a caller that has left."""
        super().connection_lost(exc)
        self._registry.discard(self)
        self._is_ending = True
        self._stop_header_timer()
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        self._cancel_turns()

    def data_received(self, data: bytes) -> None:
        """Parse bytes and start a turn for each complete head."""
        if self._is_ending:
            return
        try:
            assert self._parser is not None
            messages, upgraded, _tail = self._parser.feed_data(data)
        except HttpProcessingError as error:
            self._refuse_malformed(error)
            return
        for message, payload in messages:
            self._start_turn(message, payload)
        if upgraded:
            self._is_ending = True
        if messages:
            self._stop_header_timer()
        elif data and (self._last_body is None or self._last_body.is_eof()):
            self._watch_header(len(data))

    def eof_received(self) -> bool:
        """Treat a half-closed connection as closed."""
        return False

    def is_first(self, responder: Responder) -> bool:
        """Return whether the answer of a turn may be written now."""
        return bool(self._turns) and self._turns[0] is responder

    def is_idle(self) -> bool:
        """Return whether no request runs and nothing of a further one has arrived."""
        return not self._turns and not self._header_bytes

    def is_ending_with(self, responder: Responder) -> bool:
        """Return whether this answer is the last one of the connection.

        A leaving server answers the requests that already run behind it first.
        """
        return self._is_stopping() and self._turns[-1] is responder

    def write(self, data: bytes) -> None:
        """Write bytes; raise ConnectionResetError when the caller has left."""
        transport = self.transport
        if transport is None or transport.is_closing():
            raise ConnectionResetError("the caller has closed the connection")
        transport.write(data)

    async def drain(self) -> None:
        """Wait until the caller has read enough."""
        await self._drain_helper()

    def end_turn(self, responder: Responder) -> None:
        """Go on with the next answer, or close after the last one."""
        if not self._turns or self._turns[0] is not responder:
            return
        self._turns.popleft()
        self._idle_since = self._loop.time()
        if responder.closes:
            self._end()
            return
        if self._turns:
            self._turns[0].release()
        if self._buffer_paused and len(self._turns) < MAX_PIPELINED // 2:
            self._resume_reading_for_buffer()

    def close_idle(self) -> None:
        """Close a connection that has nothing to answer."""
        if self.is_idle() and not self._is_ending:
            self._end()

    def close_when_flushed(self) -> None:
        """Close a connection that has nothing to answer once its bytes have left."""
        if self.is_idle() and self.transport is not None:
            self._is_ending = True
            self.transport.close()

    def abort(self) -> None:
        """Reset the connection."""
        self._is_ending = True
        transport = self.transport
        if transport is None:
            return
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _ABORT_ON_CLOSE)
        transport.abort()

    def _start_turn(self, message: RawRequestMessage, payload: StreamReader) -> None:
        if self._is_ending:
            return
        self._last_body = payload
        request = CallerRequest(message, payload, self._loop.time(), self.peer)
        responder = Responder(self, request, closes=message.should_close)
        self._turns.append(responder)
        if message.should_close:
            # Nothing that follows is part of this connection.
            self._header_bytes = 0
        if message.headers.get("Expect", "").lower() == "100-continue":
            if len(self._turns) == 1 and self.transport is not None:
                self.transport.write(_CONTINUE)
        responder.task = self._loop.create_task(self._run(responder))
        if len(self._turns) >= MAX_PIPELINED and not self._buffer_paused:
            self._pause_reading_for_buffer()

    async def _run(self, responder: Responder) -> None:
        try:
            await self._handle(responder)
        except asyncio.CancelledError:
            raise
        except ConnectionError:
            self.abort()
        except Exception as error:
            log.exception("request_failed", error=repr(error))
            self.abort()
        finally:
            if not responder.is_answered and not self._is_ending:
                self.abort()

    def _refuse_malformed(self, error: HttpProcessingError) -> None:
        if isinstance(error, LineTooLong):
            code, status = "header_too_large", 431
        else:
            code, status = "request_malformed", 400
        self._refuse(code, f"{type(error).__name__}: the request is malformed", status)

    def _refuse(self, code: str, message: str, status: int) -> None:
        """Answer a request whose head can't be used, after those before it."""
        self._is_ending = True
        self._stop_header_timer()
        log.info("request_malformed", code=code, peer=self.peer)
        if self._turns:
            # The running requests are answered; the connection ends after them.
            self._turns[-1].closes = True
            return
        answer = build_error_response(refuse(code, message, status=status))
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(encode_response(answer, is_head=False, closes=True))
        self._end()

    def _end(self) -> None:
        self._is_ending = True
        self._stop_header_timer()
        self._cancel_turns()
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        if transport.can_write_eof():
            transport.write_eof()
        self._loop.call_later(LINGER_S, self._close_transport)

    def _cancel_turns(self) -> None:
        """Cancel what runs for a caller who gets no further answer here."""
        for responder in self._turns:
            if responder.task is not None:
                responder.task.cancel()
        self._turns.clear()

    def _close_transport(self) -> None:
        if self.transport is not None:
            self.transport.close()

    def _watch_header(self, size: int) -> None:
        self._header_bytes += size
        limits = self._limits()
        if self._header_timer is None:
            self._header_timer = self._loop.call_later(
                limits.header_timeout_s, self._on_header_timeout
            )
        if self._header_bytes > limits.header_bytes:
            message = f"the request header exceeds {limits.header_bytes} bytes"
            self._refuse("header_too_large", message, 431)

    def _on_header_timeout(self) -> None:
        self._header_timer = None
        if not self._is_ending:
            self._refuse("header_timeout", "the request header is incomplete", 408)

    def _stop_header_timer(self) -> None:
        self._header_bytes = 0
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def _arm_idle_timer(self, delay: float) -> None:
        self._idle_timer = self._loop.call_later(delay, self._check_idle)

    def _check_idle(self) -> None:
        timeout = self._limits().idle_timeout_s * IDLE_MARGIN
        remaining = self._idle_since + timeout - self._loop.time()
        if remaining <= 0 and self.is_idle():
            self.close_idle()
            return
        self._arm_idle_timer(max(remaining, timeout / 4))


def dump_connections(connections: Iterable[Connection]) -> dict[str, Any]:
    """Return the number of connections, and of those that are idle."""
    known = list(connections)
    return {"open": len(known), "idle": sum(item.is_idle() for item in known)}
