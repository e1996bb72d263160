"""The interface for messages between instances."""

from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from toucanwood.verdicts import Execution

Handler = Callable[[str, Any], Awaitable[Any]]


class PeerUnavailable(Exception):
    """Report a call without a reply, and whether the peer may have handled it."""

    def __init__(self, peer_id: str, reason: str, execution: Execution) -> None:
        super().__init__(f"peer {peer_id} unavailable: {reason}")
        self.peer_id = peer_id
        self.execution = execution


class Transport(Protocol):
    """Send typed messages to other instances."""

    instance_id: str

    def register(self, message_type: type, handler: Handler) -> None:
        """Handle every received message of one type; the result is the reply."""

    async def call(self, peer_id: str, body: Any, *, timeout: float) -> Any:
        """Send a message and return the reply; `timeout` is in seconds.

        Raises PeerUnavailable if no reply arrives in time.
        """

    def send(self, peer_id: str, body: Any) -> bool:
        """Queue a message without a reply; return False if it was not queued."""

    def connected_peers(self) -> frozenset[str]:
        """Return the peers with a live connection."""
