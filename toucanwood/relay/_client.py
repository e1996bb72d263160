"""The client side of a relayed connection, which runs on entries."""

import asyncio
import socket

import attrs
import structlog

from toucanwood.relay._protocol import RelayHead, Reply

log = structlog.get_logger()

# Timeout for the reply of a relay. A live relay in the same data centre replies within
# milliseconds, and a direct connection to the target is always possible instead.
RELAY_TIMEOUT_S = 0.5
# Time for which a relay is not used after a failure.
FAILED_RELAY_DELAY_S = 3.0


class RelayFailed(Exception):
    """Raised if a relay fails before any byte of the request is written."""


class RelayRefused(RelayFailed):
    """Raised if a working relay does not know the target yet."""


class TargetRefused(Exception):
    """Raised if a working relay cannot connect to the target."""


@attrs.define
class RelaySelector:
    """Select a relay in the own data centre that has not failed recently."""

    link_bytes_per_s: float
    relays: tuple[str, ...] = ()
    _failed_at: dict[str, float] = attrs.field(factory=dict)

    def choose(self, now: float) -> str | None:
        """Return the address of a relay without a recent failure, or None."""
        for relay in self.relays:
            if now - self._failed_at.get(relay, float("-inf")) > FAILED_RELAY_DELAY_S:
                return relay
        return None

    def record_failure(self, relay: str, reason: str, now: float) -> None:
        """Exclude a relay from selection for some time."""
        self._failed_at[relay] = now
        log.info("relay_lost", relay=relay, reason=reason)


async def open_relayed_connection(
    relay: str,
    address: str,
    *,
    link_bytes_per_s: float,
    due_in_s: float,
) -> socket.socket:
    """Return a socket that a relay has connected to a target.

    The relay sends frames, which `RelayedProtocol` decodes; it passes the bytes of the
    entry on as they are.

    Raise RelayFailed, RelayRefused or TargetRefused. All of them are raised before any
    byte of the request is written.
    """
    head = RelayHead(address, link_bytes_per_s, due_in_s)
    host, _, port = relay.rpartition(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    try:
        async with asyncio.timeout(RELAY_TIMEOUT_S):
            reply = await _request_connection(sock, (host, int(port)), head)
    except (OSError, TimeoutError, ValueError) as error:
        sock.close()
        raise RelayFailed(repr(error)) from error
    except asyncio.CancelledError:
        sock.close()
        raise
    if reply == Reply.CONNECTED.value:
        return sock
    sock.close()
    if reply == Reply.UNREACHABLE.value:
        raise TargetRefused(f"relay {relay} cannot connect to {address}")
    if reply == Reply.REFUSED.value:
        raise RelayRefused(f"relay {relay} does not know target {address}")
    raise RelayFailed(f"relay {relay} sent unknown reply {reply!r}")


async def _request_connection(
    sock: socket.socket, relay: tuple[str, int], head: RelayHead
) -> bytes:
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, relay)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    await loop.sock_sendall(sock, head.encode())
    return await loop.sock_recv(sock, 1)
