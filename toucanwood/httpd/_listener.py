"""The listening socket of a server.

When asyncio's own server is closed, it drops the connections that it has accepted but
not yet set up. This listener first attaches a protocol to each connection in its
backlog.
"""

import asyncio
import socket
from collections.abc import Callable

import structlog

from toucanwood.utils import TaskGroup

log = structlog.get_logger()

BACKLOG = 1024
MAX_ACCEPTS_PER_EVENT = 100
# Delay in seconds before the next accept after a failed one, for example when the
# process has no free file descriptor.
ACCEPT_RETRY_DELAY_S = 0.5


class Listener:
    """Accept connections and attach a new protocol to each."""

    def __init__(
        self, address: str, factory: Callable[[], asyncio.BaseProtocol]
    ) -> None:
        host, _, port = address.rpartition(":")
        host = host.strip("[]")
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self._factory = factory
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
        try:
            connection, _ = self._socket.accept()
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            return False
        except OSError as error:
            log.error("accept_failed", error=repr(error))
            self._loop.remove_reader(self._socket)
            self._loop.call_later(ACCEPT_RETRY_DELAY_S, self._resume_accepting)
            return False
        connection.setblocking(False)
        self._tasks.start(self._attach(connection), name="attach connection")
        return True

    def _resume_accepting(self) -> None:
        if self._socket.fileno() >= 0:
            self._loop.add_reader(self._socket, self._accept_pending)

    async def _attach(self, connection: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(self._factory, connection)
        except BaseException:
            connection.close()
            raise
