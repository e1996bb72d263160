"""Graceful shutdown of the HTTP side."""

import asyncio
import select

import structlog

from toucanwood.entry._protocol import CallerConnection, CallerServer
from toucanwood.utils import TaskGroup
from toucanwood.verdicts import Verdict, refuse

log = structlog.get_logger()

POLL_S = 0.01
# Rounds of the event loop in which connections that the kernel has already accepted
# are taken over before the listener closes.
MAX_ACCEPT_ROUNDS = 100


def refuse_stopping() -> Verdict:
    """Build the refusal of a request that arrives at a stopping instance."""
    message = "this instance is stopping; look up another one"
    return refuse("instance_stopping", message, status=503, retry_after=0)


async def close_listener(listener: asyncio.Server) -> None:
    """Stop listening once no established connection waits to be accepted.

    Closing the listener resets connections in its backlog, and with them requests
    that their callers have already sent.
    """
    poller = select.poll()
    for sock in listener.sockets:
        poller.register(sock.fileno(), select.POLLIN)
    for _ in range(MAX_ACCEPT_ROUNDS):
        if not poller.poll(0):
            break
        await asyncio.sleep(0)
    listener.close()


async def wait_until_drained(
    server: CallerServer, tasks: TaskGroup, *, timeout: float
) -> bool:
    """Close connections as they become idle; return whether all have ended."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout
    # Connections that were accepted last become known within one round.
    await asyncio.sleep(POLL_S)
    while server.connections or tasks.is_busy():
        if loop.time() >= deadline:
            left = len(server.connections)
            log.warning("drain_timeout", connections=left, seconds=timeout)
            return False
        _close_idle(server)
        await asyncio.sleep(POLL_S)
    return True


def _close_idle(server: CallerServer) -> None:
    for connection in server.connections:
        if isinstance(connection, CallerConnection) and connection.is_idle():
            connection.finish_with(refuse_stopping())
