"""Server side of a caller's connection, with limits on slow and malformed input."""

import asyncio
import select
from collections.abc import Awaitable, Callable
from typing import Any

import structlog
from aiohttp import web
from aiohttp.http import RawRequestMessage
from aiohttp.http_exceptions import LineTooLong
from aiohttp.streams import StreamReader
from aiohttp.web_protocol import RequestHandler

from toucanwood.entry._request_body import BodyError
from toucanwood.entry._responses import build_failure_response, encode_failure_response
from toucanwood.httpd import ConnectionLimit
from toucanwood.utils import reset_connection
from toucanwood.verdicts import Verdict, refuse

log = structlog.get_logger()

HEADER_TIMEOUT_S = 10.0
KEEPALIVE_TIMEOUT_S = 75.0
# Time that a caller has to read the final response before the connection is closed.
LINGER_TIMEOUT_S = 2.0
MAX_HEADER_BYTES = 32 * 1024
MAX_LINE_BYTES = 8190
READ_BUFFER_BYTES = 64 * 1024


class CallerConnection(RequestHandler):
    """Connection of one caller, with limits on time and size of each header."""

    __slots__ = (
        "_header_timer",
        "_header_bytes",
        "_last_body",
        "_lingering",
        "_limit",
        "idle_since",
        "served_while_draining",
    )

    def __init__(self, *args: Any, limit: ConnectionLimit, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._limit = limit
        self.idle_since = self._loop.time()
        self._header_timer: asyncio.TimerHandle | None = None
        self._header_bytes = 0
        self._last_body: StreamReader | None = None
        self._lingering = False
        self.served_while_draining = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection and start the timer for the first request header."""
        super().connection_made(transport)
        self._limit.add(self)
        self._start_header_timer()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop counting the connection and stop the header timer."""
        self._limit.discard(self)
        self._stop_header_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and check the limits of an incomplete header."""
        if self._lingering:
            return
        count = self._request_count
        super().data_received(data)
        if self._request_count != count:
            self._limit.mark_busy(self)
            self._stop_header_timer()
            self._track_last_body()
        elif data and (self._last_body is None or self._last_body.is_eof()):
            self._track_partial_header(len(data))

    def _track_last_body(self) -> None:
        if not self._messages:
            return
        message, body = self._messages[-1]
        is_error = not isinstance(message, RawRequestMessage)
        if is_error and self._last_body is not None and not self._last_body.is_eof():
            # The parser reports the error as a separate message after this body, so a
            # handler that reads the body would wait forever.
            self._last_body.set_exception(BodyError("the request body is malformed"))
        self._last_body = body

    def _track_partial_header(self, size: int) -> None:
        self._header_bytes += size
        if self._header_timer is None:
            self._start_header_timer()
        if self._header_bytes > MAX_HEADER_BYTES:
            message = f"the request header exceeds {MAX_HEADER_BYTES} bytes"
            self._refuse_header(refuse("header_too_large", message, status=431))

    def _start_header_timer(self) -> None:
        self._header_timer = self._loop.call_later(
            HEADER_TIMEOUT_S, self._on_header_timeout
        )

    def _stop_header_timer(self) -> None:
        self._header_bytes = 0
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def _on_header_timeout(self) -> None:
        self._header_timer = None
        message = f"the request header was not complete within {HEADER_TIMEOUT_S:g} s"
        self._refuse_header(refuse("header_timeout", message, status=408))

    def _refuse_header(self, verdict: Verdict) -> None:
        if not self.is_between_requests():
            # Close only after the running request of this connection has ended.
            self._close = True
            return
        log.info("request_malformed", code=verdict.code, peer=self.peername)
        self.close_with_response(verdict)

    def is_between_requests(self) -> bool:
        """Return whether no request of this connection is running or queued."""
        waiter = self._waiter
        return waiter is not None and not waiter.done() and not self._messages

    def is_idle(self) -> bool:
        """Return whether no request runs and no byte of the next one has arrived."""
        if not self.is_between_requests() or self._lingering or self._header_bytes:
            return False
        if self.transport is None:
            return False
        poller = select.poll()
        poller.register(self.transport.get_extra_info("socket").fileno())
        return not any(event & select.POLLIN for _, event in poller.poll(0))

    def mark_idle(self) -> None:
        """Record that the response to the running request is ready to be sent."""
        self.idle_since = self._loop.time()
        self._limit.mark_idle(self)

    def close_unused(self) -> bool:
        """Close the connection and return True, or return False if it is in use."""
        transport = self.transport
        if transport is None or not self.is_idle():
            return False
        if transport.get_write_buffer_size():
            return False
        transport.close()
        return True

    def has_queued_request(self) -> bool:
        """Return whether another request of this connection is parsed and queued."""
        return bool(self._messages)

    def close_with_response(self, verdict: Verdict) -> None:
        """Send a final response; close when the caller closes or after a timeout.

        A request may already be in transit on an idle connection. Its caller
        learns from the final response that it was refused; otherwise the connection
        would end with no response.
        """
        transport = self.transport
        self._lingering = True
        self._stop_header_timer()
        if transport is None or transport.is_closing():
            return
        reason = "Request Refused"
        transport.write(encode_failure_response(verdict, reason=reason))
        if transport.can_write_eof():
            transport.write_eof()
        self._loop.call_later(LINGER_TIMEOUT_S, self.force_close)

    def _process_keepalive(self) -> None:
        is_expired = self._loop.time() >= self._next_keepalive_close_time
        if is_expired and self._keepalive and self.is_idle():
            message = f"the connection was idle for {KEEPALIVE_TIMEOUT_S:g} s"
            self.close_with_response(
                refuse("connection_idle", message, status=408, retry_after=0)
            )
            return
        super()._process_keepalive()

    def abort(self) -> None:
        """Reset the connection, so that the caller detects a truncated response."""
        transport = self.transport
        self._force_close = True
        if transport is None:
            return
        reset_connection(transport)

    def _make_error_handler(
        self, err_info: Any
    ) -> Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]:
        verdict = _build_parse_error_verdict(err_info)

        async def refuse_request(request: web.BaseRequest) -> web.StreamResponse:
            log.info("request_malformed", code=verdict.code, peer=self.peername)
            response = build_failure_response(verdict)
            response.force_close()
            return response

        return refuse_request

    def log_exception(self, *args: Any, **kw: Any) -> None:
        """Log an error of the server as one event without a traceback."""
        error = kw.get("exc_info")
        if isinstance(error, BodyError):
            log.info("request_malformed", code="body_invalid", peer=self.peername)
        else:
            log.error("connection_failed", error=repr(error))


def _build_parse_error_verdict(error: Any) -> Verdict:
    if isinstance(error.exc, LineTooLong):
        message = f"a line of the request header exceeds {MAX_LINE_BYTES} bytes"
        return refuse("header_too_large", message, status=431)
    first_line = str(error.message).strip().partition("\n")[0].rstrip(": ")
    message = f"the request is malformed: {first_line[:120]}"
    return refuse("request_malformed", message, status=400)


class CallerServer(web.Server):
    """Server that creates a `CallerConnection` for each connection."""

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        limit: ConnectionLimit,
    ) -> None:
        super().__init__(handler, handler_cancellation=True)
        self._limit = limit

    def __call__(self) -> RequestHandler:
        return CallerConnection(
            self,
            limit=self._limit,
            loop=self._loop,
            access_log=None,
            keepalive_timeout=KEEPALIVE_TIMEOUT_S,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
            read_bufsize=READ_BUFFER_BYTES,
            auto_decompress=False,
            lingering_time=LINGER_TIMEOUT_S,
        )
