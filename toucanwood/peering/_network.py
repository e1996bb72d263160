"""The transport between instances over TCP."""

import asyncio
from typing import Any

import structlog

from toucanwood.peering._connection import Connection
from toucanwood.peering._frames import (
    HANDSHAKE_TIMEOUT_S,
    HandshakeError,
    accept_handshake,
    dial_handshake,
)
from toucanwood.peering._transport import Handler, PeerUnavailable
from toucanwood.utils import TaskGroup, reset_connection
from toucanwood.verdicts import Execution

CONNECT_TIMEOUT_S = 1.0
# Time after which another attempt to connect is started beside those that are pending.
# The kernel repeats a lost first packet only after a second, and the packet is lost if
# the machine of the peer is just starting.
CONNECT_RETRY_S = 0.2
RETRY_DELAY_S = 0.2

log = structlog.get_logger()


class PeerNetwork:
    """Dial peers on first use and accept their connections.

    A dialed connection carries this instance's calls and their replies; the peer's
    calls arrive over the connection that the peer dialed.
    """

    def __init__(self, *, instance_id: str, address: str, secret: bytes) -> None:
        self.instance_id = instance_id
        self._address = address
        self._secret = secret
        self._addresses: dict[str, str] = {}
        self._handlers: dict[type, Handler] = {}
        self._dialed: dict[str, Connection] = {}
        self._dialing: dict[str, asyncio.Task[Connection]] = {}
        self._accepted: set[Connection] = set()
        self._tasks = TaskGroup()
        self._server: asyncio.Server | None = None
        self._closed_bytes = [0, 0]
        self._is_stopped = False

    def register(self, message_type: type, handler: Handler) -> None:
        """Handle every received message of one type; the result is the reply."""
        self._handlers[message_type] = handler

    def set_address(self, peer_id: str, address: str) -> None:
        """Set the address of a peer, as `ip:port`."""
        if self._addresses.get(peer_id) == address:
            return
        self._addresses[peer_id] = address
        stale = self._dialed.pop(peer_id, None)
        if stale is not None:
            stale.close()

    async def start(self) -> None:
        """Listen for connections of peers."""
        self._is_stopped = False
        host, port = split_address(self._address)
        self._server = await asyncio.start_server(self._accept, host, port)

    async def stop(self) -> None:
        """Close every connection and stop listening."""
        self._is_stopped = True
        if self._server is not None:
            self._server.close()
        for connection in [*self._accepted, *self._dialed.values()]:
            connection.close(delivers=True)
        await self._tasks.stop()

    def connected_peers(self) -> frozenset[str]:
        """Return the peers with a live dialed connection."""
        return frozenset(self._dialed)

    def send(self, peer_id: str, body: Any) -> bool:
        """Queue a message without a reply; start dialing if there is no connection."""
        connection = self._dialed.get(peer_id)
        if connection is None:
            self._start_dialing(peer_id)
            return False
        return connection.send(body)

    async def call(self, peer_id: str, body: Any, *, timeout: float) -> Any:
        """Send a message and return the reply; `timeout` is in seconds.

        Raises PeerUnavailable if no reply arrives in time.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        connection = await self._connect(peer_id, timeout)
        return await connection.call(body, timeout=max(deadline - loop.time(), 0.0))

    def dump(self) -> dict[str, Any]:
        """Return the connections and their traffic in bytes."""
        return {
            "dialed": sorted(self._dialed),
            "accepted": sorted(connection.peer_id for connection in self._accepted),
            "sent_bytes": self.count_bytes()[0],
            "received_bytes": self.count_bytes()[1],
        }

    def count_bytes(self) -> tuple[int, int]:
        """Return the bytes sent and received over all connections so far."""
        connections = [*self._accepted, *self._dialed.values()]
        sent = sum(connection.sent_bytes for connection in connections)
        received = sum(connection.received_bytes for connection in connections)
        return self._closed_bytes[0] + sent, self._closed_bytes[1] + received

    async def _connect(self, peer_id: str, timeout: float) -> Connection:
        connection = self._dialed.get(peer_id)
        if connection is not None and connection.is_open:
            return connection
        task = self._start_dialing(peer_id)
        try:
            async with asyncio.timeout(timeout):
                return await asyncio.shield(task)
        except (OSError, EOFError, TimeoutError, HandshakeError, ValueError) as error:
            reason = f"cannot connect: {error!r}"
            raise PeerUnavailable(peer_id, reason, Execution.NOT_RUN) from None

    def _start_dialing(self, peer_id: str) -> asyncio.Task[Connection]:
        task = self._dialing.get(peer_id)
        if task is None:
            loop = asyncio.get_running_loop()
            task = loop.create_task(self._dial(peer_id), name=f"dial-{peer_id}")
            self._dialing[peer_id] = task
            task.add_done_callback(lambda done: self._finish_dialing(peer_id, done))
        return task

    def _finish_dialing(self, peer_id: str, task: asyncio.Task[Connection]) -> None:
        if task.cancelled() or task.exception() is not None:
            # Keeps the failed task for RETRY_DELAY_S, so that calls to an unreachable
            # peer fail at once and do not dial again.
            loop = asyncio.get_running_loop()
            loop.call_later(RETRY_DELAY_S, self._dialing.pop, peer_id, None)
            return
        self._dialing.pop(peer_id, None)

    async def _dial(self, peer_id: str) -> Connection:
        address = self._addresses.get(peer_id)
        if address is None:
            raise OSError(f"no address known for instance {peer_id}")
        host, port = split_address(address)
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await _open_connection(host, port)
            try:
                await dial_handshake(
                    reader,
                    writer,
                    instance_id=self.instance_id,
                    peer_id=peer_id,
                    secret=self._secret,
                )
            except BaseException:
                reset_connection(writer.transport)
                raise
        connection = self._build_connection(reader, writer, peer_id, is_dialed=True)
        self._dialed[peer_id] = connection
        self._tasks.start(self._run_dialed(connection), name=f"peer-{peer_id}")
        return connection

    async def _run_dialed(self, connection: Connection) -> None:
        try:
            await connection.run()
        finally:
            self._add_closed_traffic(connection)
            if self._dialed.get(connection.peer_id) is connection:
                del self._dialed[connection.peer_id]

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # Not a coroutine: start_server would run it as its own task, and Python 3.11
        # logs an error when such a task is cancelled.
        if self._is_stopped:
            reset_connection(writer.transport)
            return
        coroutine = self._serve_accepted(reader, writer)
        task = self._tasks.start(coroutine, name="accept-peer")
        # A task that is cancelled before its first step closes nothing itself.
        task.add_done_callback(lambda _: _reset_if_open(writer.transport))

    async def _serve_accepted(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                peer_id = await accept_handshake(
                    reader, writer, instance_id=self.instance_id, secret=self._secret
                )
        except (OSError, EOFError, TimeoutError, HandshakeError, ValueError) as error:
            log.warning("peer_refused", reason=repr(error))
            reset_connection(writer.transport)
            return
        connection = self._build_connection(reader, writer, peer_id, is_dialed=False)
        self._accepted.add(connection)
        try:
            await connection.run()
        finally:
            self._accepted.discard(connection)
            self._add_closed_traffic(connection)

    def _build_connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        peer_id: str,
        *,
        is_dialed: bool,
    ) -> Connection:
        return Connection(
            reader,
            writer,
            peer_id=peer_id,
            handlers=self._handlers,
            is_dialed=is_dialed,
        )

    def _add_closed_traffic(self, connection: Connection) -> None:
        self._closed_bytes[0] += connection.sent_bytes
        self._closed_bytes[1] += connection.received_bytes


async def _open_connection(
    host: str, port: int
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Return the first of several attempts to connect, started CONNECT_RETRY_S apart.

    Raises OSError when every started attempt has failed.
    """
    attempts: set[asyncio.Task[tuple[asyncio.StreamReader, asyncio.StreamWriter]]]
    attempts = set()
    try:
        while True:
            attempts.add(asyncio.ensure_future(asyncio.open_connection(host, port)))
            done, _ = await asyncio.wait(
                attempts,
                timeout=CONNECT_RETRY_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for attempt in done:
                if attempt.exception() is None:
                    attempts.remove(attempt)
                    return attempt.result()
            if done == attempts:
                return done.pop().result()
            attempts -= done
    finally:
        for attempt in attempts:
            attempt.add_done_callback(_close_unused)
            attempt.cancel()


def _close_unused(
    attempt: "asyncio.Task[tuple[asyncio.StreamReader, asyncio.StreamWriter]]",
) -> None:
    """Close the connection of an attempt that succeeded beside the chosen one."""
    if not attempt.cancelled() and attempt.exception() is None:
        reset_connection(attempt.result()[1].transport)


def _reset_if_open(transport: asyncio.WriteTransport) -> None:
    if not transport.is_closing():
        reset_connection(transport)


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of `ip:port`."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
