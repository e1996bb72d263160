"""The connection of an entry to the controllers."""

import asyncio
from collections.abc import Callable
from typing import Any

import structlog

from toucanwood.controller import (
    AnnounceEntry,
    FleetUpdate,
    PollFleet,
    ReportUsage,
    UsageAnswer,
    decode_payload,
)
from toucanwood.fleet import FleetView
from toucanwood.peering import PeerNetwork, PeerUnavailable
from toucanwood.quota import QuotaEnforcer
from toucanwood.utils import TaskGroup, ValidationError, run_periodically

log = structlog.get_logger()

POLL_INTERVAL_S = 0.25
POLL_TIMEOUT_S = 0.5
# After a time-out the next poll gets twice the time, up to this: a long answer on a
# slow link would otherwise never arrive.
MAX_POLL_TIMEOUT_S = 2.0
ANNOUNCE_INTERVAL_S = 1.0
USAGE_INTERVAL_S = 0.25
USAGE_TIMEOUT_S = 0.4
# State of a controller that can't prove it to be newer is used only by an entry that
# has none and finds no better controller for this time.
MAX_STATE_AGE_S = 1.0
FIRST_STATE_WAIT_S = 1.5


class FeedClient:
    """Follow the fleet state through one controller, and change it when it fails."""

    def __init__(
        self,
        *,
        network: PeerNetwork,
        view: FleetView,
        quota: QuotaEnforcer,
        describe: Callable[[], AnnounceEntry],
        on_update: Callable[[], None],
        on_relays: Callable[[list[str]], None],
        peer_port: int,
        controllers: tuple[str, ...],
    ) -> None:
        self._network = network
        self._view = view
        self._quota = quota
        self._describe = describe
        self._on_update = on_update
        self._on_relays = on_relays
        self._peer_port = peer_port
        self._tasks = TaskGroup()
        self._controllers: list[str] = []
        self._current = 0
        self._leader = ""
        self._entries_mark = 0
        self._poll_timeout_s = POLL_TIMEOUT_S
        self._started_at = asyncio.get_running_loop().time()
        self._proven_at = float("-inf")
        self.entries: frozenset[str] = frozenset()
        self._add_controllers(controllers)

    def start(self) -> None:
        """Start to poll and announce."""
        steps = (
            (self._poll_next, POLL_INTERVAL_S, "poll-fleet"),
            (self._announce, ANNOUNCE_INTERVAL_S, "announce-entry"),
            (self._report_usage, USAGE_INTERVAL_S, "report-usage"),
        )
        for step, interval_s, name in steps:
            self._tasks.start(run_periodically(step, interval_s, name=name), name=name)

    async def stop(self) -> None:
        """Stop every task."""
        await self._tasks.stop()

    def announce(self) -> None:
        """Tell every controller of this entry's state now."""
        message = self._describe()
        for controller in self._controllers:
            try:
                self._network.send(controller, message)
            except PeerUnavailable as error:
                log.debug("controller_unreachable", id=controller, reason=str(error))

    def measure_age(self, now: float) -> float:
        """Return for how many seconds the view has not been proven current."""
        return now - self._proven_at

    def dump(self) -> dict[str, Any]:
        """Return a JSON-serialisable description."""
        now = asyncio.get_running_loop().time()
        return {
            "controllers": self._controllers,
            "current": self._controllers[self._current] if self._controllers else "",
            "leader": self._leader,
            "age_s": round(min(self.measure_age(now), 1e9), 2),
            "entries": sorted(self.entries),
        }

    async def _announce(self) -> None:
        self.announce()

    async def _poll_next(self) -> None:
        """Poll the current controller; turn to the next one unless that went well."""
        is_good = False
        try:
            is_good = await self._poll()
        finally:
            if not is_good:
                self._current = (self._current + 1) % max(len(self._controllers), 1)

    async def _poll(self) -> bool:
        """Ask one controller; return whether its state is proven current."""
        loop = asyncio.get_running_loop()
        controller = self._controllers[self._current]
        request = PollFleet(self._view.version, self._entries_mark)
        sent_at = loop.time()
        try:
            update = await self._network.call(
                controller, request, timeout=self._poll_timeout_s
            )
        except PeerUnavailable as error:
            self._note_lost(controller, str(error))
            doubled = 2 * self._poll_timeout_s
            self._poll_timeout_s = min(doubled, MAX_POLL_TIMEOUT_S)
            return False
        self._poll_timeout_s = POLL_TIMEOUT_S
        if not isinstance(update, FleetUpdate):
            return False
        self._add_controllers(update.controllers)
        self._leader = update.leader or self._leader
        self._on_relays(update.relays)
        is_proven = 0 <= update.age_s <= MAX_STATE_AGE_S
        waited = sent_at - self._started_at > FIRST_STATE_WAIT_S
        if not (is_proven or (self._view.table is None and waited)):
            return False
        if update.version < self._view.version:
            return False
        self._apply(update)
        if is_proven:
            self._proven_at = sent_at - update.age_s
        return is_proven

    def _apply(self, update: FleetUpdate) -> None:
        changed = False
        revision = self._view.revision
        try:
            if update.state is not None:
                state = decode_payload(update.state)
                changed = self._view.replace(update.version, state)
            elif update.changes is not None:
                changes = decode_payload(update.changes)
                changed = bool(self._view.apply_changes(update.version, changes))
            else:
                self._view.version = max(self._view.version, update.version)
        except ValidationError as error:
            log.error("routing_unreadable", version=update.version, error=str(error))
        if update.entries is not None:
            self.entries = frozenset(update.entries)
            self._entries_mark = update.entries_mark
            self._quota.entry_count = max(len(self.entries), 1)
            changed = True
        if self._view.revision != revision:
            log.info("routing_applied", revision=self._view.revision, before=revision)
        if changed:
            self._on_update()

    async def _report_usage(self) -> None:
        usage = self._quota.collect_usage(asyncio.get_running_loop().time())
        if not await self._report(usage):
            self._quota.restore_usage(usage)

    async def _report(self, usage: dict[str, Any]) -> bool:
        if not self._leader:
            return False
        counts = {name: [item.offered, item.forwarded] for name, item in usage.items()}
        try:
            answer = await self._network.call(
                self._leader, ReportUsage(counts), timeout=USAGE_TIMEOUT_S
            )
        except PeerUnavailable as error:
            log.debug("leader_unreachable", id=self._leader, reason=str(error))
            return False
        if not isinstance(answer, UsageAnswer) or not answer.is_valid:
            return False
        self._quota.apply_fractions(answer.fractions, asyncio.get_running_loop().time())
        return True

    def _add_controllers(self, controllers: "tuple[str, ...] | list[str]") -> None:
        for controller in controllers:
            if controller in self._controllers:
                continue
            self._network.set_address(controller, f"{controller}:{self._peer_port}")
            self._controllers.append(controller)

    def _note_lost(self, controller: str, reason: str) -> None:
        log.info("controller_lost", id=controller, reason=reason)
