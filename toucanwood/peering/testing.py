"""An in-process transport with seeded faults, for tests and benchmarks."""

import asyncio
import random
from typing import Any

import attrs
import msgpack

from toucanwood.peering._messages import decode_message, encode_message
from toucanwood.peering._transport import Handler, PeerUnavailable
from toucanwood.utils import TaskGroup
from toucanwood.verdicts import Execution


@attrs.define(kw_only=True)
class LinkFaults:
    """Hold the faults of one direction of a link.

    Delays are in seconds; `drop` and `duplicate` are probabilities for each message.
    """

    min_delay: float = 0.0005
    max_delay: float = 0.0005
    drop: float = 0.0
    duplicate: float = 0.0
    is_cut: bool = False
    # A cut link holds messages back until `FakeNetwork.release_held`, and drops them
    # otherwise.
    holds: bool = False


class FakeNetwork:
    """Connect fake transports and inject faults drawn from a seed."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.faults: dict[tuple[str, str], LinkFaults] = {}
        self.default_faults = LinkFaults()
        self.delivered_bytes: dict[str, int] = {}
        self._held: list[tuple[str, str, bytes, Any]] = []
        self._transports: dict[str, FakeTransport] = {}

    def create_transport(self, instance_id: str) -> "FakeTransport":
        """Return a new transport, which replaces an earlier transport of the id."""
        self.stop(instance_id)
        transport = FakeTransport(self, instance_id)
        self._transports[instance_id] = transport
        return transport

    def stop(self, instance_id: str) -> None:
        """Remove an instance as in a crash; its messages in flight are lost."""
        transport = self._transports.pop(instance_id, None)
        if transport is not None:
            transport.is_alive = False
            for peer_id in self._transports:
                self.reset(instance_id, peer_id)

    def reset(self, sender: str, receiver: str) -> None:
        """End the connection that `sender` has dialed, with the handlers of its calls.

        The messages in flight still arrive.
        """
        transport = self._transports.get(receiver)
        if transport is not None:
            transport.cancel_handlers(sender)

    def set_faults(self, sender: str, receiver: str, faults: LinkFaults) -> None:
        """Set the faults of one direction of a link."""
        self.faults[sender, receiver] = faults

    def partition(self, *groups: set[str]) -> None:
        """Silently drop every message between instances of different groups."""
        for group in groups:
            others = set().union(*groups) - group
            for sender in group:
                for receiver in others:
                    self.set_faults(sender, receiver, LinkFaults(is_cut=True))

    def heal(self) -> None:
        """Remove the faults of all links; `default_faults` stays in force."""
        self.faults.clear()

    def release_held(self) -> None:
        """Deliver the messages that cut links have held back."""
        held, self._held = self._held, []
        for message in held:
            self.deliver(*message)

    def list_reachable_peers(self, instance_id: str) -> frozenset[str]:
        """Return the live instances that are reachable in both directions."""
        return frozenset(
            peer_id
            for peer_id in self._transports
            if peer_id != instance_id
            and not self._get_faults(instance_id, peer_id).is_cut
            and not self._get_faults(peer_id, instance_id).is_cut
        )

    def deliver(self, sender: str, receiver: str, encoded: bytes, handle: Any) -> None:
        """Schedule the delivery of a message after its delay, with its faults."""
        faults = self._get_faults(sender, receiver)
        if faults.is_cut and faults.holds:
            self._held.append((sender, receiver, encoded, handle))
            return
        if faults.is_cut or self.random.random() < faults.drop:
            return
        copies = 2 if self.random.random() < faults.duplicate else 1
        loop = asyncio.get_running_loop()
        for _ in range(copies):
            delay = self.random.uniform(faults.min_delay, faults.max_delay)
            loop.call_later(delay, self._receive, receiver, encoded, handle)

    def _receive(self, receiver: str, encoded: bytes, handle: Any) -> None:
        transport = self._transports.get(receiver)
        if transport is None:
            return
        total = self.delivered_bytes.get(receiver, 0)
        self.delivered_bytes[receiver] = total + len(encoded)
        handle(transport, encoded)

    def _get_faults(self, sender: str, receiver: str) -> LinkFaults:
        return self.faults.get((sender, receiver), self.default_faults)


class FakeTransport:
    """Implement the transport interface on a fake network."""

    def __init__(self, network: FakeNetwork, instance_id: str) -> None:
        self.instance_id = instance_id
        self.is_alive = True
        self._network = network
        self._handlers: dict[type, Handler] = {}
        self._tasks = TaskGroup()
        self._running: dict[str, dict[asyncio.Task[Any], None]] = {}

    def register(self, message_type: type, handler: Handler) -> None:
        """Handle every received message of one type; the result is the reply."""
        self._handlers[message_type] = handler

    def cancel_handlers(self, sender: str) -> None:
        """Cancel the handlers of the messages of one sender."""
        for task in list(self._running.get(sender, ())):
            task.cancel()

    def connected_peers(self) -> frozenset[str]:
        """Return the peers that are reachable."""
        return self._network.list_reachable_peers(self.instance_id)

    def send(self, peer_id: str, body: Any) -> bool:
        """Send a message without a reply."""
        if not self.is_alive:
            return False
        encoded = msgpack.packb(encode_message(body))
        sender = self.instance_id
        self._network.deliver(
            sender, peer_id, encoded, lambda peer, data: peer.receive(sender, data)
        )
        return True

    async def call(self, peer_id: str, body: Any, *, timeout: float) -> Any:
        """Send a message and return the reply; `timeout` is in seconds.

        Raises PeerUnavailable if no reply arrives in time.
        """
        if not self.is_alive:
            raise PeerUnavailable(peer_id, "stopped", Execution.NOT_RUN)
        future = asyncio.get_running_loop().create_future()
        encoded = msgpack.packb(encode_message(body))
        sender = self.instance_id
        self._network.deliver(
            sender,
            peer_id,
            encoded,
            lambda peer, data: peer.receive(sender, data, future),
        )
        try:
            async with asyncio.timeout(timeout):
                return await future
        except TimeoutError:
            reason = f"no reply in {timeout:.3f} s"
            raise PeerUnavailable(peer_id, reason, Execution.MAY_HAVE_RUN) from None

    def receive(
        self, sender: str, encoded: bytes, future: asyncio.Future[Any] | None = None
    ) -> None:
        """Start the handler of a delivered message."""
        body = decode_message(msgpack.unpackb(encoded, strict_map_key=False))
        handler = self._handlers.get(type(body))
        if handler is not None and self.is_alive:
            coroutine = self._handle(handler, sender, body, future)
            task = self._tasks.start(coroutine, name=f"handle-{type(body).__name__}")
            running = self._running.setdefault(sender, {})
            running[task] = None
            task.add_done_callback(running.pop)

    async def _handle(
        self,
        handler: Handler,
        sender: str,
        body: Any,
        future: asyncio.Future[Any] | None,
    ) -> None:
        reply = await handler(sender, body)
        if future is None or not self.is_alive:
            return
        encoded = msgpack.packb(encode_message(reply))
        self._network.deliver(
            self.instance_id,
            sender,
            encoded,
            lambda _peer, data: _resolve(future, data),
        )


def _resolve(future: asyncio.Future[Any], encoded: bytes) -> None:
    if not future.done():
        content = msgpack.unpackb(encoded, strict_map_key=False)
        future.set_result(decode_message(content))
