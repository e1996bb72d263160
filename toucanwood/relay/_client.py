"""The entry's end of a relayed connection."""

import asyncio
import socket

import attrs
import structlog

from toucanwood.relay._protocol import RelayHead, Reply

log = structlog.get_logger()

# A relay in the same data centre answers within milliseconds, unless its machine is
# gone; the direct way is open in any case.
RELAY_TIMEOUT_S = 0.5
# A relay that failed is left alone for this time.
RELAY_PAUSE_S = 3.0


class RelayFailed(Exception):
    """Report that a relay gave no connection; nothing of the request was written."""


class RelayRefused(RelayFailed):
    """Report that a relay works and does not know the target yet."""


class TargetRefused(Exception):
    """Report that the relay works and the target accepts no connection."""


@attrs.define
class RelaySelector:
    """Know the relays of the own data centre, and which of them failed lately."""

    link_bytes_per_s: float
    relays: tuple[str, ...] = ()
    _failed_at: dict[str, float] = attrs.field(factory=dict)

    def choose(self, now: float) -> str | None:
        """Return the address of a relay that is worth a try."""
        for relay in self.relays:
            if now - self._failed_at.get(relay, float("-inf")) > RELAY_PAUSE_S:
                return relay
        return None

    def record_failure(self, relay: str, reason: str, now: float) -> None:
        """Leave a relay alone for some time."""
        self._failed_at[relay] = now
        log.info("relay_lost", relay=relay, reason=reason)


async def open_relayed_connection(
    relay: str, address: str, *, link_bytes_per_s: float, due_in_s: float
) -> socket.socket:
    """Return a socket that leads to a target.

    Raise RelayFailed, RelayRefused or TargetRefused; nothing was written then.
    """
    head = RelayHead(address, link_bytes_per_s, due_in_s)
    host, _, port = relay.rpartition(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    try:
        async with asyncio.timeout(RELAY_TIMEOUT_S):
            reply = await _ask(sock, (host, int(port)), head)
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
        raise TargetRefused(f"{relay} can't connect to {address}")
    if reply == Reply.REFUSED.value:
        raise RelayRefused(f"{relay} does not know {address}")
    raise RelayFailed(f"{relay} answered {reply!r}")


async def _ask(sock: socket.socket, relay: tuple[str, int], head: RelayHead) -> bytes:
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, relay)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    await loop.sock_sendall(sock, head.encode())
    return await loop.sock_recv(sock, 1)
