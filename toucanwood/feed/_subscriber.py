"""Client side of the catalog replication, on every instance."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Any

import msgpack
import structlog

from toucanwood.feed._catalog_view import CatalogView
from toucanwood.feed._messages import (
    FetchState,
    PollState,
    PushChanges,
    StatePart,
    StateUpdate,
)
from toucanwood.feed._publisher import Publisher
from toucanwood.feed._replica_ranking import rank_replicas
from toucanwood.feed._withdrawal_gossip import WithdrawalGossip
from toucanwood.peering import PeerUnavailable, Transport
from toucanwood.state import PublishedState
from toucanwood.utils import TaskGroup

POLL_INTERVAL_S = 0.5
# Poll interval of a new instance, which serves nothing before its state is confirmed.
FIRST_POLL_INTERVAL_S = 0.1
POLL_TIMEOUT_S = 0.5
PART_TIMEOUT_S = 1.5
# Time without a successful poll after which the subscriber switches to the next
# replica.
REPLICA_TIMEOUT_S = 1.5
# Time since a replica was chosen after which the subscriber switches to the next one,
# if no poll of it has succeeded. With 0, it switches unless the first poll succeeds.
# Three failed replicas in a row then take 2.5 s of the 4 s for which keys can be
# checked without a confirmation.
NEW_REPLICA_TIMEOUT_S = 0.0
# Tolerance for rounding: three poll intervals may add up to just under 1.5 s, which
# would cost a fourth poll.
ROUNDING_MARGIN_S = 0.01
# A poll is successful up to this lease age, which leaves time for further polls.
MAX_ACCEPTED_LEASE_AGE_S = 1.5
# Time on another replica after which the preferred replica is tried again.
PREFERRED_REPLICA_RETRY_S = 30.0

# Exceptions raised by an update that this software version cannot apply.
MALFORMED_UPDATE_ERRORS = (ValueError, TypeError, LookupError)

log = structlog.get_logger()


class Subscriber:
    """Keep a catalog view current by polling one replica."""

    def __init__(
        self,
        *,
        transport: Transport,
        view: CatalogView,
        gossip: WithdrawalGossip,
        replicas: Callable[[], Iterable[str]],
        publisher: Publisher | None = None,
    ) -> None:
        self._transport = transport
        self._view = view
        self._gossip = gossip
        self._replicas = replicas
        self._publisher = publisher
        self._tasks = TaskGroup()
        self._replica: str | None = None
        self._replica_timeout_s = NEW_REPLICA_TIMEOUT_S
        self._chosen_at = 0.0
        self._last_success_at = 0.0
        self.leader: str | None = None
        self.polls = 0
        self.switches = 0
        if publisher is not None:
            publisher.on_changes = self._apply_changes
        transport.register(PushChanges, self._handle_push)

    async def start(self) -> None:
        """Start polling."""
        self._tasks.start(self._run_polls(), name="feed-subscriber")

    async def stop(self) -> None:
        """Stop polling; the view becomes stale."""
        await self._tasks.stop()

    def dump(self) -> dict[str, Any]:
        """Return the polled replica and the counts of polls and switches."""
        return {
            "replica": self._replica,
            "leader": self.leader,
            "polls": self.polls,
            "switches": self.switches,
        }

    async def _run_polls(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            started_at = loop.time()
            self._choose_replica(started_at)
            if self._replica is not None:
                await self._poll(self._replica)
            await asyncio.sleep(
                max(0.0, started_at + self._get_poll_interval() - loop.time())
            )

    def _get_poll_interval(self) -> float:
        return POLL_INTERVAL_S if self._view.is_ready else FIRST_POLL_INTERVAL_S

    def _choose_replica(self, now: float) -> None:
        ranked = rank_replicas(self._transport.instance_id, self._replicas())
        if not ranked:
            self._replica = None
        elif self._replica not in ranked:
            self._switch(ranked[0], now)
        elif now - self._last_success_at >= self._replica_timeout_s - ROUNDING_MARGIN_S:
            next_index = ranked.index(self._replica) + 1
            self._switch(ranked[next_index % len(ranked)], now)
        elif (
            self._replica != ranked[0]
            and now - self._chosen_at >= PREFERRED_REPLICA_RETRY_S
        ):
            self._switch(ranked[0], now)

    def _switch(self, replica_id: str, now: float) -> None:
        if self._replica is not None:
            self.switches += 1
        log.info("feed_replica_chosen", replica=replica_id, before=self._replica)
        self._replica = replica_id
        self._replica_timeout_s = NEW_REPLICA_TIMEOUT_S
        self._chosen_at = now
        self._last_success_at = now

    async def _poll(self, replica_id: str) -> None:
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        self.polls += 1
        version = self._view.version
        try:
            update = await self._call(replica_id, PollState(version), POLL_TIMEOUT_S)
            if not isinstance(update, StateUpdate):
                return
            await self._apply_update(replica_id, version, update)
        except PeerUnavailable as error:
            log.debug("feed_poll_failed", replica=replica_id, reason=str(error))
            return
        except MALFORMED_UPDATE_ERRORS as error:
            log.error("feed_update_malformed", replica=replica_id, reason=repr(error))
            return
        self.leader = update.leader or None
        # The replica replied after `sent_at`, so the state is at least this recent.
        self._view.confirm(update.version, sent_at - update.lease_age)
        if update.lease_age <= MAX_ACCEPTED_LEASE_AGE_S:
            self._last_success_at = sent_at
            self._replica_timeout_s = REPLICA_TIMEOUT_S

    async def _apply_update(
        self, replica_id: str, polled_version: int, update: StateUpdate
    ) -> None:
        if update.changes is not None:
            self._apply_changes(polled_version, update.changes)
        elif update.version > self._view.version:
            await self._fetch_state(replica_id)

    def _apply_changes(self, base_version: int, changes: list[bytes]) -> None:
        self._gossip.broadcast(self._view.apply_changes(base_version, changes))

    async def _fetch_state(self, replica_id: str) -> None:
        """Fetch the whole state in parts; give up if the replica no longer has them."""
        encoded = bytearray()
        part = StatePart()
        while part.size == 0 or len(encoded) < part.size:
            fetch = FetchState(part.version, len(encoded))
            part = await self._call(replica_id, fetch, PART_TIMEOUT_S)
            if not isinstance(part, StatePart) or not part.data:
                return
            if part.offset != len(encoded):
                return
            encoded += part.data
        content = msgpack.unpackb(bytes(encoded), strict_map_key=False)
        self._view.load(PublishedState.from_wire(content))

    async def _handle_push(self, sender: str, push: PushChanges) -> None:
        self._apply_changes(push.base_version, push.changes)

    async def _call(self, replica_id: str, body: Any, timeout: float) -> Any:
        if self._publisher is None or replica_id != self._transport.instance_id:
            return await self._transport.call(replica_id, body, timeout=timeout)
        if isinstance(body, PollState):
            return await self._publisher.handle_poll(replica_id, body)
        return await self._publisher.handle_fetch(replica_id, body)
