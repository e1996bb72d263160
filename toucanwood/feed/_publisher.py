"""Server side of the catalog replication, on control replicas."""

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

import msgpack

from toucanwood.feed._messages import (
    FetchState,
    PollState,
    PushChanges,
    StatePart,
    StateUpdate,
)
from toucanwood.peering import Transport
from toucanwood.state import Catalog

# Time without a poll after which a subscriber counts as switched to another replica.
SUBSCRIPTION_TIMEOUT_S = 2.0
# Size of one part of the encoded state in a reply.
PART_BYTES = 256 * 1024
MAX_ENCODED_STATES = 2


class ReplicaStatus(Protocol):
    """Report the age of the state of a replica and its leader."""

    def lease_age(self) -> float:
        """Return the time in s since a majority confirmed the applied state."""

    def leader(self) -> str | None:
        """Return the leader as far as this replica knows."""


class Publisher:
    """Serve polls from subscribers and push new changes to them.

    A reply reads the version and the lease age without an await in between, so the
    version includes every change that was committed `lease_age` seconds ago.
    """

    def __init__(
        self, *, transport: Transport, catalog: Catalog, replica: ReplicaStatus
    ) -> None:
        self._transport = transport
        self._catalog = catalog
        self._replica = replica
        self._last_poll_times: dict[str, float] = {}
        self._pushed_version = catalog.version
        self._encoded_states: dict[int, bytes] = {}
        transport.register(PollState, self.handle_poll)
        transport.register(FetchState, self.handle_fetch)
        self.on_changes: Callable[[int, list[bytes]], None] | None = None
        catalog.add_listener(self._push)

    async def handle_poll(self, sender: str, poll: PollState) -> StateUpdate:
        """Return the changes after the version of the subscriber, and the lease age."""
        if sender != self._transport.instance_id:
            self._last_poll_times[sender] = asyncio.get_running_loop().time()
        return StateUpdate(
            version=self._catalog.version,
            lease_age=self._replica.lease_age(),
            changes=self._catalog.changes_since(poll.version),
            leader=self._replica.leader() or "",
        )

    async def handle_fetch(self, sender: str, fetch: FetchState) -> StatePart:
        """Return one part of the whole state."""
        version = fetch.version or self._catalog.version
        encoded = self._encode_state(version)
        if encoded is None:
            return StatePart(version=version, offset=fetch.offset)
        data = encoded[fetch.offset : fetch.offset + PART_BYTES]
        return StatePart(version, fetch.offset, len(encoded), data)

    def dump(self) -> dict[str, Any]:
        """Return the subscribers and the sizes of the cached encoded states."""
        sizes = {version: len(data) for version, data in self._encoded_states.items()}
        return {"subscribers": sorted(self._last_poll_times), "kept_states": sizes}

    def _encode_state(self, version: int) -> bytes | None:
        """Return the encoded state; None if `version` is neither current nor cached.

        The cache lets a subscriber fetch all parts of one version.
        """
        if version not in self._encoded_states and version == self._catalog.version:
            content = self._catalog.published.to_wire()
            self._encoded_states[version] = msgpack.packb(content)
            while len(self._encoded_states) > MAX_ENCODED_STATES:
                del self._encoded_states[next(iter(self._encoded_states))]
        return self._encoded_states.get(version)

    def _push(self) -> None:
        base_version = self._pushed_version
        self._pushed_version = self._catalog.version
        changes = self._catalog.changes_since(base_version)
        self._expire_subscribers()
        if not changes:
            return
        if self.on_changes is not None:
            self.on_changes(base_version, changes)
        for peer_id in self._last_poll_times:
            self._transport.send(peer_id, PushChanges(base_version, changes))

    def _expire_subscribers(self) -> None:
        if not self._last_poll_times:
            return
        earliest = asyncio.get_running_loop().time() - SUBSCRIPTION_TIMEOUT_S
        last_poll_times = self._last_poll_times.items()
        self._last_poll_times = {
            peer: time for peer, time in last_poll_times if time >= earliest
        }
