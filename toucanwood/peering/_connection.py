"""One authenticated connection between two instances."""

import asyncio
from typing import Any

import structlog

from toucanwood.peering._frames import FORMAT_VERSION, pack_frame, read_sized_frame
from toucanwood.peering._messages import decode_message, encode_message
from toucanwood.peering._transport import Handler, PeerUnavailable
from toucanwood.utils import TaskGroup, reset_connection
from toucanwood.verdicts import Execution

# Time without a sent message after which a heartbeat is sent. An entry of a large fleet
# has a connection to each controller, so most of its messages would be heartbeats.
HEARTBEAT_INTERVAL_S = 0.75
SILENCE_TIMEOUT_S = 2.0
# Time in seconds without messages after which the dialing side closes a connection.
# Membership probes reach every member in turn, so without this limit each pair of
# instances would keep a connection and its heartbeats forever.
IDLE_TIMEOUT_S = 10.0
MAX_UNSENT_BYTES = 4 * 1024 * 1024
MAX_RUNNING_HANDLERS = 2048

# Kinds of frames. The kind is the second item of each frame.
HEARTBEAT = 0
CALL = 1
REPLY = 2
NOTICE = 3

log = structlog.get_logger()


class Connection:
    """Send and receive calls, replies and heartbeats over one stream.

    The silence timeout closes a connection that the peer no longer knows.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        peer_id: str,
        handlers: dict[type, Handler],
        is_dialed: bool,
    ) -> None:
        self.peer_id = peer_id
        self.received_bytes = 0
        self.sent_bytes = 0
        self._reader = reader
        self._writer = writer
        self._handlers = handlers
        self._is_dialed = is_dialed
        self._last_used_at = asyncio.get_running_loop().time()
        self._pending: dict[int, asyncio.Future[Any]] = {}
        self._next_call_id = 1
        self._sent_at = float("-inf")
        self._running_handlers = 0
        self._tasks = TaskGroup()
        self.is_open = True

    async def run(self) -> None:
        """Receive frames until the connection fails or the silence timeout expires."""
        self._tasks.start(self._send_heartbeats(), name=f"heartbeat-{self.peer_id}")
        try:
            await self._receive_all()
        except (OSError, EOFError, TimeoutError, ValueError, TypeError) as error:
            reason = repr(error)
            log.info("peer_connection_lost", peer=self.peer_id, reason=reason)
        finally:
            self.close()
            await self._tasks.stop()

    def close(self, *, delivers: bool = False) -> None:
        """Close the stream and fail every pending call.

        Messages that were not delivered are lost. With `delivers`, those that have been
        written are sent first.
        """
        if not self.is_open:
            return
        self.is_open = False
        if delivers:
            self._writer.close()
        else:
            reset_connection(self._writer.transport)
        for future in self._pending.values():
            if not future.done():
                future.set_exception(self._build_lost_error())
        self._pending.clear()

    async def call(self, body: Any, *, timeout: float) -> Any:
        """Send a message and wait up to `timeout` seconds for its reply."""
        call_id = self._next_call_id
        self._next_call_id += 1
        future = asyncio.get_running_loop().create_future()
        self._pending[call_id] = future
        self._record_use()
        try:
            self._write([FORMAT_VERSION, CALL, call_id, *encode_message(body)])
            async with asyncio.timeout(timeout):
                return await future
        except TimeoutError:
            raise PeerUnavailable(
                self.peer_id, f"no reply in {timeout:.3f} s", Execution.MAY_HAVE_RUN
            ) from None
        finally:
            self._pending.pop(call_id, None)

    def send(self, body: Any) -> bool:
        """Send a message without a reply."""
        if not self.is_open:
            return False
        self._record_use()
        self._write([FORMAT_VERSION, NOTICE, 0, *encode_message(body)])
        return self.is_open

    def _write(self, content: list[Any]) -> None:
        if not self.is_open:
            raise PeerUnavailable(self.peer_id, "closed", Execution.NOT_RUN)
        frame = pack_frame(content)
        self._writer.write(frame)
        self._sent_at = asyncio.get_running_loop().time()
        self.sent_bytes += len(frame)
        if self._writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            log.warning("peer_queue_full", peer=self.peer_id, limit=MAX_UNSENT_BYTES)
            self.close()

    async def _send_heartbeats(self) -> None:
        while self.is_open:
            if self._is_idle():
                self.close(delivers=True)
                return
            quiet_s = asyncio.get_running_loop().time() - self._sent_at
            if quiet_s >= HEARTBEAT_INTERVAL_S:
                self._write([FORMAT_VERSION, HEARTBEAT, 0, 0])
                quiet_s = 0.0
            await asyncio.sleep(HEARTBEAT_INTERVAL_S - quiet_s)

    def _record_use(self) -> None:
        self._last_used_at = asyncio.get_running_loop().time()

    def _is_idle(self) -> bool:
        """Return whether this side dialed and has sent no message for a long time.

        Only the dialing side closes an idle connection, because the accepting side does
        not know which calls are in flight.
        """
        if not self._is_dialed or self._pending:
            return False
        return asyncio.get_running_loop().time() - self._last_used_at >= IDLE_TIMEOUT_S

    async def _receive_all(self) -> None:
        while self.is_open:
            frame, size = await read_sized_frame(
                self._reader, silence_timeout_s=SILENCE_TIMEOUT_S
            )
            self.received_bytes += size
            self._receive(frame)

    def _receive(self, frame: list[Any]) -> None:
        _version, kind, call_id, *encoded = frame
        if kind == REPLY:
            self._resolve(call_id, encoded)
        elif kind in (CALL, NOTICE):
            self._start_handler(kind, call_id, encoded)

    def _resolve(self, call_id: int, encoded: list[Any]) -> None:
        future = self._pending.pop(call_id, None)
        if future is not None and not future.done():
            future.set_result(decode_message(encoded))

    def _start_handler(self, kind: int, call_id: int, encoded: list[Any]) -> None:
        if self._running_handlers >= MAX_RUNNING_HANDLERS:
            log.warning("peer_message_dropped", peer=self.peer_id, reason="overload")
            return
        body = decode_message(encoded)
        handler = self._handlers.get(type(body))
        if handler is None:
            return
        self._running_handlers += 1
        coroutine = self._handle(handler, body, kind, call_id)
        self._tasks.start(coroutine, name=f"handle-{type(body).__name__}")

    async def _handle(
        self, handler: Handler, body: Any, kind: int, call_id: int
    ) -> None:
        try:
            reply = await handler(self.peer_id, body)
        finally:
            self._running_handlers -= 1
        if kind == CALL and self.is_open:
            self._write([FORMAT_VERSION, REPLY, call_id, *encode_message(reply)])

    def _build_lost_error(self) -> PeerUnavailable:
        return PeerUnavailable(self.peer_id, "connection lost", Execution.MAY_HAVE_RUN)
