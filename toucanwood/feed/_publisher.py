"""The serving side of the feed, on control replicas."""

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

# A subscriber that has not polled for so long has moved to another replica.
SUBSCRIPTION_S = 2.0
PART_BYTES = 256 * 1024
MAX_KEPT_STATES = 2


class LeaseSource(Protocol):
    """Tell how old the state of a replica may be."""

    def lease_age(self) -> float:
        """Return the seconds since a majority confirmed what this replica applied."""

    def leader(self) -> str | None:
        """Return the leader as known here."""


class Publisher:
    """Answer polls with the changes that follow, and push new ones.

    The version and the lease age of an answer are read in one step, so that the
    version includes everything that was committed `lease_age` seconds ago.
    """

    def __init__(
        self, *, transport: Transport, catalog: Catalog, replica: LeaseSource
    ) -> None:
        self._transport = transport
        self._catalog = catalog
        self._replica = replica
        self._polled: dict[str, float] = {}
        self._pushed_version = catalog.version
        self._encoded_states: dict[int, bytes] = {}
        transport.register(PollState, self.handle_poll)
        transport.register(FetchState, self.handle_fetch)
        self.on_changes: Callable[[int, list[bytes]], None] | None = None
        catalog.add_listener(self._push)

    async def handle_poll(self, sender: str, poll: PollState) -> StateUpdate:
        """Return what follows the subscriber's version, with the lease age."""
        if sender != self._transport.instance_id:
            self._polled[sender] = asyncio.get_running_loop().time()
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
        """Return the subscribers and the sizes of the kept states."""
        sizes = {version: len(data) for version, data in self._encoded_states.items()}
        return {"subscribers": sorted(self._polled), "kept_states": sizes}

    def _encode_state(self, version: int) -> bytes | None:
        """Return the encoded state, kept so that all its parts are of one version."""
        if version not in self._encoded_states and version == self._catalog.version:
            content = self._catalog.published.to_wire()
            self._encoded_states[version] = msgpack.packb(content)
            while len(self._encoded_states) > MAX_KEPT_STATES:
                del self._encoded_states[next(iter(self._encoded_states))]
        return self._encoded_states.get(version)

    def _push(self) -> None:
        base_version = self._pushed_version
        self._pushed_version = self._catalog.version
        changes = self._catalog.changes_since(base_version)
        self._forget_subscribers()
        if not changes:
            return
        if self.on_changes is not None:
            self.on_changes(base_version, changes)
        for peer_id in self._polled:
            self._transport.send(peer_id, PushChanges(base_version, changes))

    def _forget_subscribers(self) -> None:
        if not self._polled:
            return
        oldest = asyncio.get_running_loop().time() - SUBSCRIPTION_S
        polled = self._polled.items()
        self._polled = {peer: time for peer, time in polled if time >= oldest}
