"""Connections to targets that record whether a request was written.

aiohttp's `ClientSession` does not tell whether a failed request had been written to
the socket. This client uses aiohttp's client protocol and parser directly, so that
`Progress` is exact.
"""

import asyncio
import errno
import re
import select
from collections import deque
from collections.abc import AsyncIterator

import attrs
import structlog
from aiohttp.client_exceptions import ClientError
from aiohttp.http import RawResponseMessage, StreamWriter
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.streams import EofStream, StreamReader

from toucanwood.relay import (
    RelayedProtocol,
    RelayEnded,
    RelayFailed,
    RelayRefused,
    RelaySelector,
    TargetRefused,
    open_relayed_connection,
)
from toucanwood.upstream._protocol import ProtocolViolation, TargetProtocol
from toucanwood.utils import reset_connection

log = structlog.get_logger()

READ_BUFFER_BYTES = 64 * 1024
MAX_IDLE_PER_TARGET = 8
MAX_IDLE_S = 15.0
# Idle connections that are closed when the process has no free file for a new one.
CLOSED_FOR_FILES = 8
NO_FILE_ERRORS = (errno.EMFILE, errno.ENFILE)
# Time in seconds for which a connection must be idle, without received bytes, before
# it is reused. If a target sends two responses to one request, the second response must
# not be taken for the response to the next request.
MIN_IDLE_S = 0.02
# Maximum number of requests on one connection; bounds the memory for their ids.
MAX_REQUESTS_PER_CONNECTION = 128
# Number of received bytes that are logged when a target violates the protocol.
LOGGED_BYTES = 64
_CONTROL_CHARACTER = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")


@attrs.define
class Progress:
    """Hold which stages an attempt reached."""

    connected: bool = False
    written: bool = False
    reused: bool = False


class TargetError(Exception):
    """Report that a connection to a target failed or broke the protocol."""


class RelayLost(TargetError):
    """Report that a relay ended a connection; this says nothing about the target."""


class TargetUnreachable(TargetError):
    """Report that no connection to a target was established."""


class NoFreeFile(TargetError):
    """Report that this process has no free file for a connection."""


class TargetConnection:
    """Send one request at a time to a target."""

    def __init__(self, address: str, protocol: TargetProtocol) -> None:
        self.address = address
        self.idle_since = 0.0
        self.broken = False
        self._protocol = protocol
        self._loop = asyncio.get_running_loop()
        transport = protocol.transport
        assert transport is not None
        self._transport = transport
        # Hashes of the ids of the requests that were sent on this connection.
        self._sent_ids: set[int] = set()
        self._socket_poller = select.poll()
        self._socket_poller.register(transport.get_extra_info("socket").fileno())

    def is_usable(self) -> bool:
        """Return whether the idle connection is open and has no unread bytes.

        Bytes that arrive on an idle connection are a late or second response, and
        would be taken for the response to the next request.
        """
        if self._transport.is_closing() or self._protocol.should_close:
            return False
        return not any(
            event & ~select.POLLOUT for _, event in self._socket_poller.poll(0)
        )

    def record_request(self, request_id: str) -> None:
        """Record the id of a request that is sent on this connection."""
        self._sent_ids.add(hash(request_id))

    def has_sent(self, request_id: str) -> bool:
        """Return whether a request with this id was sent on this connection.

        A late response to it could not be told from that to another one.
        """
        return hash(request_id) in self._sent_ids

    def expect_response(self, method: str) -> None:
        """Prepare the parser for the response to a request of this method."""
        self._protocol.set_response_params(
            skip_payload=method == "HEAD",
            read_until_eof=True,
            auto_decompress=False,
            read_bufsize=READ_BUFFER_BYTES,
        )
        self._protocol.expect_response()

    def write(self, data: bytes, progress: Progress) -> None:
        """Write bytes; `progress.written` is set before any of them can be sent."""
        if self._transport.is_closing():
            raise TargetError("the connection was closed before the request")
        progress.written = True
        self._transport.write(data)

    async def write_body(
        self, chunks: AsyncIterator[bytes], *, is_chunked: bool
    ) -> None:
        """Stream a request body with back-pressure."""
        writer = StreamWriter(self._protocol, self._loop)
        if is_chunked:
            writer.enable_chunking()
        try:
            async for chunk in chunks:
                await writer.write(chunk)
            await writer.write_eof()
        except (ClientError, ConnectionError) as error:
            raise TargetError(f"the target closed the connection: {error}") from error

    async def receive(self) -> tuple[RawResponseMessage, StreamReader]:
        """Return the head of the final response and its body stream."""
        self._protocol.expect_following_response()
        try:
            while True:
                message, body = await self._protocol.read()
                if message.code == 101:
                    raise TargetError(
                        "the target switched protocols without a request to do so"
                    )
                if message.code >= 200:
                    _check_head(message)
                    return message, body
        except (ClientError, HttpProcessingError, EofStream, OSError) as error:
            reason = f"no valid response: {_describe(error)}"
            raise self.build_error(reason) from error

    def build_error(self, reason: str) -> TargetError:
        """Return the error for a response that is missing or broken off."""
        lost_by = self._protocol.lost_by
        if isinstance(lost_by, RelayEnded):
            return RelayLost(f"{reason} ({lost_by})")
        return TargetError(reason)

    def is_reusable(self, message: RawResponseMessage) -> bool:
        """Return whether the response ended in a way that allows another request."""
        # `should_close` of the protocol is set when the body is not complete, or when
        # more than one response has arrived.
        return not (
            message.should_close
            or self._protocol.should_close
            or self._transport.is_closing()
            or len(self._sent_ids) >= MAX_REQUESTS_PER_CONNECTION
        )

    def abort(self) -> None:
        """Reset the connection, which cancels a running request.

        Request bytes that a link holds back must not reach the target later.
        """
        self.broken = True
        reset_connection(self._transport)
        self._protocol.abort()

    def close(self) -> None:
        """Close the idle connection."""
        self.broken = True
        self._protocol.close()


def _describe(error: Exception) -> str:
    if isinstance(error, ProtocolViolation):
        return str(error)
    return type(error).__name__


def _check_head(message: RawResponseMessage) -> None:
    """Refuse control characters, which could end a header line for the caller."""
    if _CONTROL_CHARACTER.search(message.reason) or any(
        _CONTROL_CHARACTER.search(value) for value in message.headers.values()
    ):
        raise TargetError("the response head contains a control character")


class TargetClient:
    """Open connections to targets and pool idle ones for idempotent requests."""

    def __init__(
        self,
        *,
        max_idle_per_target: int = MAX_IDLE_PER_TARGET,
        max_idle: int | None = None,
        max_idle_s: float = MAX_IDLE_S,
        min_idle_s: float = MIN_IDLE_S,
    ) -> None:
        self._max_idle_per_target = max_idle_per_target
        self._max_idle = max_idle
        self._max_idle_s = max_idle_s
        self._min_idle_s = min_idle_s
        self._idle: dict[str, deque[TargetConnection]] = {}
        self._expiry_timer: asyncio.TimerHandle | None = None
        self.opened = 0
        self.reused = 0
        self.relayed = 0
        self.violations = 0

    async def open(
        self,
        address: str,
        *,
        reuse: bool,
        progress: Progress,
        request_id: str = "",
        relays: RelaySelector | None = None,
        due_in_s: float = 0.0,
    ) -> TargetConnection:
        """Return an idle or a new connection to a target.

        An idle connection is returned only if it has not sent a request with
        `request_id` before. With `relays`, the connection is opened through a relay if
        a relay works.
        """
        if relays is not None:
            relayed = await self._connect_relayed(address, relays, due_in_s)
            if relayed is not None:
                progress.connected = True
                return relayed
        if reuse:
            idle = self._take_idle(address, request_id)
            if idle is not None:
                self.reused += 1
                progress.connected = progress.reused = True
                idle.record_request(request_id)
                return idle
        connection = await self._connect(address)
        self.opened += 1
        connection.record_request(request_id)
        progress.connected = True
        return connection

    async def _connect(self, address: str) -> TargetConnection:
        try:
            protocol = await self._create_connection(address)
        except NoFreeFile:
            for _ in range(CLOSED_FOR_FILES):
                self._close_longest_idle()
            # A closed transport frees its file in the next step of the event loop.
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            protocol = await self._create_connection(address)
        if protocol.transport is None:
            raise TargetError(f"{address} closed the new connection")
        return TargetConnection(address, protocol)

    async def _create_connection(self, address: str) -> TargetProtocol:
        loop = asyncio.get_running_loop()
        host, _, port = address.rpartition(":")
        try:
            _, protocol = await loop.create_connection(
                lambda: self._build_protocol(address), host.strip("[]"), int(port)
            )
        except (OSError, ValueError) as error:
            message = f"cannot connect to {address}: {error}"
            if isinstance(error, OSError) and error.errno in NO_FILE_ERRORS:
                raise NoFreeFile(message) from error
            raise TargetUnreachable(message) from error
        return protocol

    async def _connect_relayed(
        self, address: str, relays: RelaySelector, due_in_s: float
    ) -> TargetConnection | None:
        """Return a connection through a relay, or None if no relay works."""
        loop = asyncio.get_running_loop()
        relay = relays.choose(loop.time())
        if relay is None:
            return None
        rate = relays.link_bytes_per_s
        try:
            sock = await open_relayed_connection(
                relay,
                address,
                link_bytes_per_s=rate,
                due_in_s=due_in_s,
            )
            protocol = self._build_protocol(address)

            def record_failure(reason: str) -> None:
                relays.record_failure(relay, reason, loop.time())

            await loop.create_connection(
                lambda: RelayedProtocol(protocol, relay, record_failure), sock=sock
            )
        except TargetRefused as error:
            raise TargetUnreachable(str(error)) from error
        except RelayRefused:
            # The relay does not know this target yet, but works for other targets.
            return None
        except (RelayFailed, OSError) as error:
            cause = error.__cause__ if isinstance(error, RelayFailed) else error
            if isinstance(cause, OSError) and cause.errno in NO_FILE_ERRORS:
                # The direct connection that is tried next makes room.
                return None
            relays.record_failure(relay, str(error), loop.time())
            return None
        if protocol.transport is None:
            return None
        self.relayed += 1
        return TargetConnection(address, protocol)

    def _build_protocol(self, address: str) -> TargetProtocol:
        def record_violation(reason: str, received: bytes) -> None:
            self.violations += 1
            log.warning(
                "target_violated_protocol",
                address=address,
                reason=reason,
                received=repr(received[:LOGGED_BYTES]),
            )

        loop = asyncio.get_running_loop()
        return TargetProtocol(loop, record_violation)

    def _take_idle(self, address: str, request_id: str) -> TargetConnection | None:
        idle = self._idle.get(address, deque())
        now = asyncio.get_running_loop().time()
        for connection in list(idle):
            age = now - connection.idle_since
            if age < self._min_idle_s:
                return None
            if connection.has_sent(request_id):
                continue
            idle.remove(connection)
            if age < self._max_idle_s and connection.is_usable():
                return connection
            connection.close()
        return None

    def release(self, connection: TargetConnection, *, reusable: bool) -> None:
        """Keep the connection for reuse if `reusable`, else abort it."""
        if connection.broken:
            return
        if not reusable:
            connection.abort()
            return
        idle = self._idle.setdefault(connection.address, deque())
        if len(idle) >= self._max_idle_per_target:
            connection.close()
            return
        connection.idle_since = asyncio.get_running_loop().time()
        idle.append(connection)
        if self._max_idle is not None and self.count_idle() > self._max_idle:
            self._close_longest_idle()
        if self._expiry_timer is None:
            self._schedule_expiry()

    def _schedule_expiry(self) -> None:
        loop = asyncio.get_running_loop()
        self._expiry_timer = loop.call_later(self._max_idle_s, self._close_expired)

    def _close_expired(self) -> None:
        """Close the connections that have been idle for too long."""
        self._expiry_timer = None
        oldest = asyncio.get_running_loop().time() - self._max_idle_s
        for address, idle in list(self._idle.items()):
            while idle and idle[0].idle_since <= oldest:
                idle.popleft().close()
            if not idle:
                del self._idle[address]
        if self._idle:
            self._schedule_expiry()

    def close_idle_connections(self, address: str) -> None:
        """Close the idle connections to a target that failed."""
        for connection in self._idle.pop(address, ()):
            connection.close()

    def count_idle(self) -> int:
        """Return the number of idle connections."""
        return sum(len(connections) for connections in self._idle.values())

    def _close_longest_idle(self) -> None:
        pools = [idle for idle in self._idle.values() if idle]
        if pools:
            longest = min(pools, key=lambda idle: idle[0].idle_since)
            longest.popleft().close()

    def close(self) -> None:
        """Close every idle connection."""
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
            self._expiry_timer = None
        for address in list(self._idle):
            self.close_idle_connections(address)

    def dump(self) -> dict[str, int]:
        """Return the numbers of connections by kind, and of protocol violations."""
        return {
            "opened": self.opened,
            "reused": self.reused,
            "relayed": self.relayed,
            "idle": self.count_idle(),
            "violations": self.violations,
        }
