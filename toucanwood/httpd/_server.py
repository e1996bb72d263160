"""A listening HTTP server."""

import asyncio
from collections.abc import Callable
from typing import Any

from toucanwood.httpd._body_budget import BodyBudget
from toucanwood.httpd._connection import Connection, Handler, dump_connections
from toucanwood.httpd._connection_limit import ConnectionLimit
from toucanwood.httpd._listener import Listener
from toucanwood.routing import CallerLimits

# Time in seconds that a stopping server waits until its buffered bytes are sent.
FLUSH_TIMEOUT_S = 0.3
FLUSH_POLL_INTERVAL_S = 0.01


class HttpServer:
    """Accept connections of callers and run a handler for each request."""

    def __init__(
        self,
        handle: Handler,
        *,
        limits: Callable[[], CallerLimits] = CallerLimits,
        budget: BodyBudget | None = None,
        connection_limit: ConnectionLimit | None = None,
    ) -> None:
        self._handle = handle
        self._limits = limits
        self._budget = budget or BodyBudget()
        self._connection_limit = connection_limit
        self._listener: Listener | None = None
        self._is_stopping = False
        self.connections: set[Connection] = set()

    def start(self, address: str) -> None:
        """Listen on `ip:port`; raise OSError if the address cannot be bound."""
        self._listener = Listener(
            address, self._build_connection, self._connection_limit
        )

    @property
    def address(self) -> str:
        """Return the bound address as `ip:port`."""
        return self._listener.address if self._listener is not None else ""

    def stop_keep_alive(self) -> None:
        """Close each connection after the response to its latest request."""
        self._is_stopping = True

    def close(self) -> None:
        """Stop accepting connections."""
        if self._listener is not None:
            self._listener.close()

    def close_idle(self) -> None:
        """Close the connections that have no request to answer."""
        for connection in list(self.connections):
            connection.close_idle()

    def count_busy(self) -> int:
        """Return the number of connections with a request or an unsent response."""
        return sum(item.is_busy() for item in self.connections)

    async def stop(self) -> None:
        """Stop listening, wait until responses are sent, and reset the rest.

        An immediate reset would discard buffered bytes for a slow link or caller.
        """
        if self._listener is not None:
            await self._listener.stop()
        for connection in list(self.connections):
            connection.close_when_flushed()
        deadline = asyncio.get_running_loop().time() + FLUSH_TIMEOUT_S
        while self.connections and asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(FLUSH_POLL_INTERVAL_S)
        for connection in list(self.connections):
            connection.abort()

    def dump(self) -> dict[str, Any]:
        """Return the number of open and of idle connections."""
        return dump_connections(self.connections)

    def _build_connection(self) -> Connection:
        return Connection(
            handle=self._handle,
            limits=self._limits,
            registry=self.connections,
            is_stopping=lambda: self._is_stopping,
            budget=self._budget,
            connection_limit=self._connection_limit,
        )
