"""The server side of an HTTP/1.1 connection.

aiohttp's own server runs the requests of a connection one after the other. This server
uses aiohttp's parser and runs pipelined requests concurrently, so that a request does
not wait until an earlier one has run. The responses are written in request order.
"""

import asyncio
import itertools
import select
from collections import deque
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import structlog
from aiohttp.base_protocol import BaseProtocol
from aiohttp.http import HttpRequestParser, RawRequestMessage
from aiohttp.http_exceptions import HttpProcessingError, LineTooLong
from aiohttp.streams import StreamReader
from aiohttp.web_protocol import RequestPayloadError

from toucanwood.httpd._body_budget import BodyBudget
from toucanwood.httpd._connection_limit import ConnectionLimit
from toucanwood.httpd._request import CallerRequest
from toucanwood.httpd._responder import MAX_DROPPED_BYTES, Responder
from toucanwood.httpd._response import build_error_response, encode_response
from toucanwood.routing import CallerLimits
from toucanwood.utils import limit_read_size, reset_connection
from toucanwood.verdicts import refuse

log = structlog.get_logger()

READ_BUFFER_BYTES = 64 * 1024
# Bytes of a streamed response that are received ahead while its caller reads nothing:
# the part that is being written, a full stream reader and what arrived meanwhile.
STREAM_BUFFER_BYTES = 4 * READ_BUFFER_BYTES
# Largest number of concurrent requests of a connection. At this number the connection
# stops reading, and further requests stay in the socket.
MAX_CONCURRENT_REQUESTS = 32
# Time in seconds for which a connection stays half open after its last response. A
# full close with unread bytes sends a reset, which could reach the caller before it has
# read the response.
LINGER_S = 1.0
# Time in seconds after which a closing connection is reset if its caller has read
# nothing of the buffered bytes meanwhile. Longer than a disturbance of the network that
# a caller waits for.
FLUSH_STALL_S = 20.0
# Time in seconds in which the rest of a body behind an early response has to arrive.
MAX_DROP_S = 5.0
# Ratio of the time after which the server closes an idle connection to the declared
# idle timeout, so that callers stop using the connection before it is closed.
IDLE_TIMEOUT_FACTOR = 1.1
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

Handler = Callable[["Responder"], Awaitable[None]]


class Connection(BaseProtocol):
    """Parse requests, run a handler for each and write the responses in order."""

    def __init__(
        self,
        *,
        handle: Handler,
        limits: Callable[[], CallerLimits],
        registry: "set[Connection]",
        is_stopping: Callable[[], bool],
        budget: BodyBudget,
        connection_limit: ConnectionLimit | None = None,
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
        self._budget = budget
        self._connection_limit = connection_limit
        self._responders: deque[Responder] = deque()
        # Set when a response is complete, and replaced by a new one.
        self._response_completed = asyncio.Event()
        self._last_body: StreamReader | None = None
        self._header_bytes = 0
        self._header_timer: asyncio.TimerHandle | None = None
        self._idle_timer: asyncio.TimerHandle | None = None
        self.idle_since = loop.time()
        self._is_closing = False
        self._drop_task: asyncio.Task[None] | None = None
        self.peer = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        super().connection_made(transport)
        limit_read_size(transport)
        peer = transport.get_extra_info("peername")
        self.peer = f"{peer[0]}:{peer[1]}" if peer else ""
        self._registry.add(self)
        if self._connection_limit is not None:
            self._connection_limit.add(self)
        self._arm_idle_timer(self._limits().idle_timeout_s * IDLE_TIMEOUT_FACTOR)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the running requests of a caller that has disconnected."""
        super().connection_lost(exc)
        self._registry.discard(self)
        if self._connection_limit is not None:
            self._connection_limit.discard(self)
        self._is_closing = True
        self._stop_header_timer()
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        if self._drop_task is not None:
            self._drop_task.cancel()
        self._cancel_requests()

    def data_received(self, data: bytes) -> None:
        """Parse bytes and start the handler of each request whose head is complete."""
        if self._is_closing:
            return
        # Bytes that end a body are not the start of a header.
        is_between_requests = self._last_body is None or self._last_body.is_eof()
        try:
            assert self._parser is not None
            messages, upgraded, _tail = self._parser.feed_data(data)
        except HttpProcessingError as error:
            self._refuse_malformed(error)
            return
        for message, payload in messages:
            self._start_request(message, payload)
        if upgraded:
            # The parser reads nothing behind such a request.
            self._is_closing = True
            if self._responders:
                self._responders[-1].closes_connection = True
        if messages:
            self._stop_header_timer()
        elif data and is_between_requests:
            self._count_header_bytes(len(data))

    def eof_received(self) -> bool:
        """Treat a half-closed connection as closed."""
        self._is_closing = True
        self._cancel_requests()
        return False

    def is_first(self, responder: Responder) -> bool:
        """Return whether the response is the next one to be written."""
        return bool(self._responders) and self._responders[0] is responder

    def has_requests_behind(self, responder: Responder) -> bool:
        """Return whether the connection has later requests than that of a responder."""
        return bool(self._responders) and self._responders[-1] is not responder

    def has_stream_ahead(self, responder: Responder) -> bool:
        """Return whether an earlier response is streamed, or will be."""
        earlier = itertools.takewhile(
            lambda item: item is not responder, self._responders
        )
        return any(item.will_stream for item in earlier)

    async def wait_for_next_response(self) -> None:
        """Wait until one more response is complete."""
        await self._response_completed.wait()

    def is_idle(self) -> bool:
        """Return whether no request runs and no part of a header has arrived."""
        return not self._responders and not self._header_bytes

    def is_busy(self) -> bool:
        """Return whether a request runs or arrives, or a response is being sent."""
        transport = self.transport
        has_unsent = transport is not None and transport.get_write_buffer_size() > 0
        return has_unsent or not self.is_idle()

    def is_last_response(self, responder: Responder) -> bool:
        """Return whether this response is the last one of the connection.

        A stopping server also answers the pipelined requests that already run.
        """
        return self._is_stopping() and self._responders[-1] is responder

    def write(self, data: bytes) -> None:
        """Write bytes; raise ConnectionResetError if the caller has disconnected."""
        transport = self.transport
        if transport is None or transport.is_closing():
            raise ConnectionResetError("the caller has closed the connection")
        transport.write(data)
        if transport.get_write_buffer_size():
            self._budget.watch(self)

    def count_held_bytes(self) -> int:
        """Return how many bytes are held until the caller reads them."""
        transport = self.transport
        if transport is None:
            return 0
        unsent = transport.get_write_buffer_size()
        first = self._responders[0] if self._responders else None
        if unsent and first is not None and first.is_streaming:
            unsent += STREAM_BUFFER_BYTES
        return unsent

    async def drain(self) -> None:
        """Wait until the send buffer has room."""
        await self._drain_helper()

    def finish_response(self, responder: Responder) -> None:
        """Allow the next response, or close the connection after the last one."""
        if not self._responders or self._responders[0] is not responder:
            return
        self._responders.popleft()
        self.idle_since = self._loop.time()
        self._response_completed.set()
        self._response_completed = asyncio.Event()
        if responder.closes_connection:
            self._close_gracefully()
            return
        if not responder.request.payload.at_eof():
            body = responder.request.payload
            self._drop_task = self._loop.create_task(self._drop_body(body))
        if self._responders:
            self._responders[0].allow_writing()
        elif self._connection_limit is not None:
            self._connection_limit.mark_idle(self)
        if self._buffer_paused and len(self._responders) < MAX_CONCURRENT_REQUESTS // 2:
            self._resume_reading_for_buffer()

    def close_idle(self) -> None:
        """Close the connection if it has no request to answer."""
        if self.is_idle() and not self._is_closing:
            self._close_gracefully()

    def close_unused(self) -> bool:
        """Close the connection and return True, or return False if it is in use.

        It is in use too while a response is being sent, the rest of a body is dropped
        or received bytes are unread.
        """
        transport = self.transport
        is_dropping = self._drop_task is not None and not self._drop_task.done()
        if self.is_busy() or is_dropping or self._is_closing or transport is None:
            return False
        if _has_unread_bytes(transport):
            return False
        self._is_closing = True
        transport.close()
        return True

    def close_when_flushed(self) -> None:
        """Close an idle connection once its buffered bytes are sent."""
        if self.is_idle() and self.transport is not None:
            self._is_closing = True
            self.transport.close()

    def abort(self) -> None:
        """Reset the connection."""
        self._is_closing = True
        transport = self.transport
        if transport is None:
            return
        reset_connection(transport)

    def _start_request(self, message: RawRequestMessage, payload: StreamReader) -> None:
        if self._is_closing:
            return
        self._last_body = payload
        request = CallerRequest(
            message, payload, self._loop.time(), self.peer, self._budget
        )
        responder = Responder(self, request, closes_connection=message.should_close)
        self._responders.append(responder)
        if self._connection_limit is not None:
            self._connection_limit.mark_busy(self)
        if message.should_close:
            # Bytes that follow the last request are not the start of a header.
            self._header_bytes = 0
        if message.headers.get("Expect", "").lower() == "100-continue":
            if len(self._responders) == 1 and self.transport is not None:
                self.transport.write(_CONTINUE)
        responder.task = self._loop.create_task(self._run_handler(responder))
        if len(self._responders) >= MAX_CONCURRENT_REQUESTS and not self._buffer_paused:
            self._pause_reading_for_buffer()

    async def _run_handler(self, responder: Responder) -> None:
        try:
            # The end of the connection may have arrived together with the request; it
            # is processed in the next step of the event loop and cancels this task.
            await asyncio.sleep(0)
            await self._handle(responder)
        except asyncio.CancelledError:
            raise
        except ConnectionError:
            self.abort()
        except Exception as error:
            log.exception("request_failed", error=repr(error))
            self.abort()
        finally:
            responder.request.release_memory()
            if not responder.is_finished and not self._is_closing:
                self.abort()

    async def _drop_body(self, body: StreamReader) -> None:
        """Read and drop the rest of a body whose request has been answered."""
        dropped = 0
        try:
            async with asyncio.timeout(MAX_DROP_S):
                while chunk := await body.readany():
                    dropped += len(chunk)
                    if dropped > MAX_DROPPED_BYTES:
                        break
                else:
                    return
        except TimeoutError:
            log.info("request_body_stalled", peer=self.peer, dropped=dropped)
        except Exception as error:
            # The body broke off or is malformed; the parser closes the connection.
            log.info("request_body_incomplete", peer=self.peer, error=repr(error))
        if not self._is_closing:
            self._close_gracefully()

    def _refuse_malformed(self, error: HttpProcessingError) -> None:
        if isinstance(error, LineTooLong):
            code, status = "header_too_large", 431
        else:
            code, status = "request_malformed", 400
        self._refuse(code, f"{type(error).__name__}: the request is malformed", status)

    def _refuse(self, code: str, message: str, status: int) -> None:
        """Refuse a request whose head is invalid, unless earlier requests run."""
        self._is_closing = True
        self._stop_header_timer()
        log.info("request_malformed", code=code, peer=self.peer)
        if self._responders:
            # Closes the connection after the responses to the running requests.
            self._responders[-1].closes_connection = True
            return
        response = build_error_response(refuse(code, message, status=status))
        if self.transport is not None and not self.transport.is_closing():
            for part in encode_response(
                response, is_head=False, closes_connection=True
            ):
                self.transport.write(part)
        self._close_gracefully()

    def _close_gracefully(self) -> None:
        self._is_closing = True
        self._stop_header_timer()
        self._cancel_requests()
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        if transport.can_write_eof():
            transport.write_eof()
        # What the caller still sends is dropped: a close with unread bytes sends a
        # reset, and a caller that can't send doesn't read the response.
        self._resume_transport_reading()
        self._loop.call_later(LINGER_S, self._close_transport)

    def _cancel_requests(self) -> None:
        """Cancel the requests whose responses are not sent on this connection."""
        for responder in self._responders:
            if responder.task is not None:
                responder.task.cancel()
        self._responders.clear()

    def _close_transport(self) -> None:
        transport = self.transport
        if transport is None:
            return
        transport.close()
        unsent = transport.get_write_buffer_size()
        if unsent:
            self._loop.call_later(FLUSH_STALL_S, self._reset_if_stalled, unsent)

    def _reset_if_stalled(self, unsent_before: int) -> None:
        """Reset the connection if its buffered bytes don't become fewer."""
        transport = self.transport
        if transport is None:
            return
        unsent = transport.get_write_buffer_size()
        if unsent < unsent_before:
            self._loop.call_later(FLUSH_STALL_S, self._reset_if_stalled, unsent)
            return
        log.info("response_stalled", peer=self.peer, unsent=unsent)
        self.abort()

    def _count_header_bytes(self, size: int) -> None:
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
        if not self._is_closing:
            self._refuse("header_timeout", "the request header is incomplete", 408)

    def _stop_header_timer(self) -> None:
        self._header_bytes = 0
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def _arm_idle_timer(self, delay: float) -> None:
        self._idle_timer = self._loop.call_later(delay, self._check_idle)

    def _check_idle(self) -> None:
        timeout = self._limits().idle_timeout_s * IDLE_TIMEOUT_FACTOR
        remaining = self.idle_since + timeout - self._loop.time()
        if remaining <= 0 and self.is_idle():
            self.close_idle()
            return
        self._arm_idle_timer(max(remaining, timeout / 4))


def _has_unread_bytes(transport: asyncio.Transport) -> bool:
    poller = select.poll()
    poller.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
    return bool(poller.poll(0))


def dump_connections(connections: Iterable[Connection]) -> dict[str, Any]:
    """Return the number of open and of idle connections."""
    known = list(connections)
    return {"open": len(known), "idle": sum(item.is_idle() for item in known)}
