"""The listening socket of a server.

When asyncio's own server is closed, it drops the connections that it has accepted but
not yet set up. This listener first attaches a protocol to each connection in its
backlog.
"""

import asyncio
import socket
from collections.abc import Callable

import structlog

from toucanwood.httpd._connection_limit import ConnectionLimit
from toucanwood.utils import TaskGroup

log = structlog.get_logger()

BACKLOG = 1024
MAX_ACCEPTS_PER_EVENT = 100
# Delay in seconds before the next accept after a failed one, for example when the
# process has no free file descriptor.
ACCEPT_RETRY_DELAY_S = 0.5
# Delay in seconds before the next accept when all connections are in use.
FULL_RETRY_DELAY_S = 0.1


class Listener:
    """Accept connections and attach a new protocol to each."""

    def __init__(
        self,
        address: str,
        factory: Callable[[], asyncio.BaseProtocol],
        limit: ConnectionLimit | None = None,
    ) -> None:
        host, _, port = address.rpartition(":")
        host = host.strip("[]")
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self._factory = factory
        self._limit = limit
        self._tasks = TaskGroup()
        self._loop = asyncio.get_running_loop()
        self._socket = socket.create_server(
            (host, int(port)), family=family, backlog=BACKLOG
        )
        self._socket.setblocking(False)
        self._loop.add_reader(self._socket, self._accept_pending)

    @property
    def address(self) -> str:
        """Return the bound address as `host:port`."""
        host, port = self._socket.getsockname()[:2]
        return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"

    def is_attaching(self) -> bool:
        """Return whether an accepted connection has no protocol yet."""
        return self._tasks.is_busy()

    def close(self) -> None:
        """Accept the connections in the backlog, then stop listening."""
        if self._socket.fileno() < 0:
            return
        self._loop.remove_reader(self._socket)
        while self._accept():
            pass
        self._socket.close()

    async def stop(self) -> None:
        """Stop listening and drop connections that are not attached yet."""
        self.close()
        await self._tasks.stop()

    def _accept_pending(self) -> None:
        for _ in range(MAX_ACCEPTS_PER_EVENT):
            if not self._accept():
                return

    def _accept(self) -> bool:
        limit = self._limit
        if limit is not None and limit.is_exceeded(len(self._tasks)):
            self._pause_accepting(FULL_RETRY_DELAY_S)
            return False
        try:
            connection, _ = self._socket.accept()
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            return False
        except OSError as error:
            log.error("accept_failed", error=repr(error))
            if limit is not None:
                limit.close_longest_idle()
            self._pause_accepting(ACCEPT_RETRY_DELAY_S)
            return False
        connection.setblocking(False)
        self._tasks.start(self._attach(connection), name="attach connection")
        if limit is not None and not limit.make_room(len(self._tasks)):
            self._pause_accepting(FULL_RETRY_DELAY_S)
            return False
        return True

    def _pause_accepting(self, delay_s: float) -> None:
        self._loop.remove_reader(self._socket)
        self._loop.call_later(delay_s, self._resume_accepting)

    def _resume_accepting(self) -> None:
        if self._socket.fileno() >= 0:
            self._loop.add_reader(self._socket, self._accept_pending)

    async def _attach(self, connection: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(self._factory, connection)
        except BaseException:
            connection.close()
            raise
