"""Graceful shutdown of the HTTP server."""

import asyncio

import structlog

from toucanwood.entry._caller_connection import CallerConnection, CallerServer
from toucanwood.httpd import Listener
from toucanwood.utils import TaskGroup
from toucanwood.verdicts import Verdict, refuse

log = structlog.get_logger()

POLL_INTERVAL_S = 0.01


def build_stopping_verdict() -> Verdict:
    """Build the verdict for a request that arrives while the instance is stopping."""
    message = "this instance is stopping; look up another instance"
    return refuse("instance_stopping", message, status=503, retry_after=0)


async def wait_until_drained(
    listener: Listener, server: CallerServer, tasks: TaskGroup, *, timeout: float
) -> bool:
    """Close connections as they become idle.

    Return whether all connections and tasks ended within `timeout` seconds.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout
    while listener.is_attaching() or server.connections or tasks.is_busy():
        if loop.time() >= deadline:
            open_connections = len(server.connections)
            log.warning("drain_timeout", connections=open_connections, seconds=timeout)
            return False
        _close_idle_connections(server)
        await asyncio.sleep(POLL_INTERVAL_S)
    return True


def _close_idle_connections(server: CallerServer) -> None:
    for connection in server.connections:
        if isinstance(connection, CallerConnection) and connection.is_idle():
            connection.close_with_response(build_stopping_verdict())
