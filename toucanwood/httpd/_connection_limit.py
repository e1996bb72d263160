"""The number of connections that callers may keep open to one process."""

import asyncio
import resource
from typing import Protocol

import attrs
import structlog

log = structlog.get_logger()

# Fraction of the open files of a process for connections of callers. The rest is for
# targets, other instances and the data folder.
CALLER_FILE_FRACTION = 0.8
# Time in seconds for which a connection must be idle before it may be closed to make
# room. Callers that use their connections would only open new ones.
MIN_IDLE_S = 0.5
# Idle connections that are looked at to accept one more.
MAX_TRIED_CONNECTIONS = 16
# Ratio of the connections at which no more are accepted to those at which idle ones are
# closed. In between, connections are accepted one by one while none is idle.
MAX_EXCESS_RATIO = 1.05
LOG_INTERVAL_S = 5.0


def get_open_file_limit() -> int:
    """Return how many files the system allows this process to open."""
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return soft_limit


class ClosableConnection(Protocol):
    """A connection that can be closed while it is idle; times are of the event loop."""

    idle_since: float

    def close_unused(self) -> bool:
        """Close the connection and return True, or return False if it is in use."""


@attrs.define(eq=False)
class ConnectionLimit:
    """Bound the open connections of callers.

    At the limit, the connection that has been idle longest is closed for a new one.
    """

    max_connections: int
    closed_idle: int = 0
    _open: set[ClosableConnection] = attrs.field(factory=set)
    # The idle connections in the order in which they became idle.
    _idle: dict[ClosableConnection, None] = attrs.field(factory=dict)
    _next_log_at: float = float("-inf")

    @classmethod
    def from_open_files(cls, max_open_files: int | None) -> "ConnectionLimit":
        """Build the limit of a process that may open this many files.

        None stands for the limit of the system.
        """
        files = get_open_file_limit()
        if max_open_files is not None:
            files = min(files, max_open_files)
        return cls(max(int(files * CALLER_FILE_FRACTION), 1))

    def add(self, connection: ClosableConnection) -> None:
        """Count a new connection, which is idle."""
        self._open.add(connection)
        self._idle[connection] = None

    def discard(self, connection: ClosableConnection) -> None:
        """Stop counting a connection that is closed."""
        self._open.discard(connection)
        self._idle.pop(connection, None)

    def mark_idle(self, connection: ClosableConnection) -> None:
        """Record that an open connection waits for its next request."""
        if connection in self._open:
            self._idle.pop(connection, None)
            self._idle[connection] = None

    def mark_busy(self, connection: ClosableConnection) -> None:
        """Record that a request arrives on a connection."""
        self._idle.pop(connection, None)

    def is_exceeded(self, pending: int) -> bool:
        """Return whether no more connections may be accepted.

        `pending` is the number of accepted connections that are not counted yet.
        """
        count = len(self._open) + pending
        return count >= self.max_connections * MAX_EXCESS_RATIO

    def make_room(self, pending: int) -> bool:
        """Close an idle connection if there are too many; return whether it worked."""
        if len(self._open) + pending <= self.max_connections:
            return True
        has_closed = self.close_longest_idle()
        self._log(is_full=not has_closed)
        return has_closed

    def close_longest_idle(self) -> bool:
        """Close the connection that has been idle longest; return whether one was."""
        latest = asyncio.get_running_loop().time() - MIN_IDLE_S
        for _ in range(MAX_TRIED_CONNECTIONS):
            connection = next(iter(self._idle), None)
            if connection is None or connection.idle_since > latest:
                return False
            # A connection in use gets its place back behind its next response.
            del self._idle[connection]
            if connection.close_unused():
                self._open.discard(connection)
                self.closed_idle += 1
                return True
        return False

    def _log(self, *, is_full: bool) -> None:
        now = asyncio.get_running_loop().time()
        if now < self._next_log_at:
            return
        self._next_log_at = now + LOG_INTERVAL_S
        log.warning(
            "connection_limit_reached",
            limit=self.max_connections,
            idle=len(self._idle),
            closed_idle=self.closed_idle,
            is_full=is_full,
        )
