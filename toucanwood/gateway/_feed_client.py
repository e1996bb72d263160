"""The client of the controllers: fleet state, announcements and quota usage."""

import asyncio
import math
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
from toucanwood.gateway._controller_search import ControllerSearch, is_proven
from toucanwood.peering import PeerNetwork, PeerUnavailable
from toucanwood.quota import QuotaEnforcer
from toucanwood.utils import TaskGroup, cancel_and_wait, run_periodically, run_step

log = structlog.get_logger()

POLL_INTERVAL_S = 0.25
# Time after which another controller is sought while the reply may still arrive, and
# the time after which it no longer counts. A long reply on a busy link takes longer
# than that to an unreachable controller may.
SLOW_POLL_S = 0.5
POLL_TIMEOUT_S = 4.0
MAX_PENDING_POLLS = 3
ANNOUNCE_INTERVAL_S = 1.0
# Minimum time between an announcement and one because of a change.
MIN_ANNOUNCE_INTERVAL_S = 0.4
USAGE_INTERVAL_S = 0.25
USAGE_TIMEOUT_S = 0.4
# Age of the last answer up to which an entry without requests sends no report. With the
# next interval, the answer stays younger than the time after which the entry limits
# locally.
MAX_UNREPORTED_S = 0.45
# Age from which the state is reported as stale, once until it is proven again.
STALE_STATE_AGE_S = 1.5
# Interval between probes before the first state, and after a controller was lost. All
# entries probe at the same time if there is no leader.
PROBE_INTERVAL_S = 0.1
RESELECT_INTERVAL_S = 0.25
# Time for which one search lasts before the first state.
PROBE_ROUND_S = 0.5
# Version in a poll that requests the full state.
NO_VERSION = -1
# Time from its start after which an entry without any fleet state also accepts a state
# that is not proven current.
FIRST_STATE_WAIT_S = 1.5


class FeedClient:
    """Follow the fleet state by polling one controller; fail over to the next one."""

    def __init__(
        self,
        *,
        network: PeerNetwork,
        view: FleetView,
        quota: QuotaEnforcer,
        build_announcement: Callable[[], AnnounceEntry],
        on_update: Callable[[], None],
        on_relays: Callable[[list[str]], None],
        on_signals: Callable[[list[list[Any]]], None],
        peer_port: int,
        controllers: tuple[str, ...],
    ) -> None:
        self._network = network
        self._view = view
        self._quota = quota
        self._build_announcement = build_announcement
        self._on_update = on_update
        self._on_relays = on_relays
        self._on_signals = on_signals
        self._tasks = TaskGroup()
        self._search = ControllerSearch(
            network,
            peer_port=peer_port,
            is_usable=self._is_usable,
        )
        self._leader = ""
        self._entries_mark = 0
        self._demand_mark = 0
        self._signals_epoch = 0
        self._signals_version = 0
        self._announced_at = float("-inf")
        self._next_announcement: asyncio.TimerHandle | None = None
        # The polls that are not answered yet, and their controllers.
        self._polls: dict[asyncio.Task[bool], str] = {}
        self._newest_revision = 0
        self._started_at = asyncio.get_running_loop().time()
        self._state_proven_at = float("-inf")
        self._is_reported_stale = False
        # Set after changes that could not be applied.
        self._needs_full_state = False
        # Set until `on_update` has returned without an error.
        self._has_new_content = False
        self.entries: frozenset[str] = frozenset()
        # The regions' shares in all requests; empty until a controller has sent them.
        self.demand: dict[str, float] = {}
        self.add_controllers(controllers)

    def start(self) -> None:
        """Start the polls, announcements and usage reports."""
        self._tasks.start(self._follow_state(), name="poll-fleet")
        periodic_steps = (
            (self._announce, ANNOUNCE_INTERVAL_S, "announce-entry"),
            (self._report_usage, USAGE_INTERVAL_S, "report-usage"),
        )
        for step, interval_s, name in periodic_steps:
            self._tasks.start(run_periodically(step, interval_s, name=name), name=name)

    async def stop(self) -> None:
        """Stop all tasks."""
        if self._next_announcement is not None:
            self._next_announcement.cancel()
        self._cancel_polls()
        await self._tasks.stop()

    def announce(self) -> None:
        """Send this entry's state to every controller now."""
        self._announced_at = asyncio.get_running_loop().time()
        message = self._build_announcement()
        for controller in self._search.controllers:
            try:
                self._network.send(controller, message)
            except PeerUnavailable as error:
                log.debug("controller_unreachable", id=controller, reason=str(error))

    def announce_soon(self) -> None:
        """Send this entry's state within MIN_ANNOUNCE_INTERVAL_S."""
        if self._next_announcement is not None:
            return

        def announce() -> None:
            self._next_announcement = None
            self.announce()

        loop = asyncio.get_running_loop()
        due_at = max(self._announced_at + MIN_ANNOUNCE_INTERVAL_S, loop.time())
        self._next_announcement = loop.call_at(due_at, announce)

    def measure_state_age(self, now: float) -> float:
        """Return the seconds since the fleet view was last proven current."""
        return now - self._state_proven_at

    def has_newest_revision(self) -> bool:
        """Return whether no controller has proven a newer routing document."""
        return self._view.revision >= self._newest_revision

    def dump(self) -> dict[str, Any]:
        """Return a JSON-serialisable description."""
        return {
            "controllers": self._search.controllers,
            "current": self._search.current,
            "leader": self._leader,
            "age_s": self._get_rounded_age(),
            "entries": sorted(self.entries),
        }

    async def _announce(self) -> None:
        self.announce()

    async def _follow_state(self) -> None:
        """Get the first state, then poll for its changes."""
        while self._view.table is None:
            await run_step(self._get_first_state, name="first-state")
            await asyncio.sleep(PROBE_INTERVAL_S)
        await run_periodically(
            self._poll_with_failover, POLL_INTERVAL_S, name="poll-fleet"
        )

    async def _get_first_state(self) -> None:
        is_selected = await self._search.select(
            self._build_poll,
            interval_s=PROBE_INTERVAL_S,
            wait_s=PROBE_ROUND_S,
        )
        if not is_selected and self._has_waited_for_proof():
            # Without a leader, no state can be proven. A controller that has just been
            # started may lack the withdrawal of a key or of a target.
            is_selected = self._search.select_newest()
        if is_selected:
            await self._poll_and_log()

    def _has_waited_for_proof(self) -> bool:
        now = asyncio.get_running_loop().time()
        return now - self._started_at > FIRST_STATE_WAIT_S

    async def _poll_with_failover(self) -> None:
        """Poll one controller; select another one if it does not prove its state.

        A poll that takes long stays pending beside the search and the next polls: on a
        busy link each of them is as slow, and another copy of its reply delays both.
        """
        controller = self._search.current
        poll = self._tasks.start(self._poll_and_log(), name="poll-controller")
        self._polls[poll] = controller
        may_add = len(self._polls) < MAX_PENDING_POLLS
        if await self._wait_for_poll(timeout_s=SLOW_POLL_S if may_add else None):
            return
        if poll in self._polls:
            self._log_lost_controller(controller, f"no reply in {SLOW_POLL_S} s")
        self._search.skip_current()
        search = asyncio.ensure_future(
            self._search.select(
                self._build_poll,
                interval_s=RESELECT_INTERVAL_S,
                wait_s=math.inf,
                on_interval=self._report_staleness,
            )
        )
        try:
            await self._wait_for_poll(search, timeout_s=None)
        finally:
            await cancel_and_wait(search)

    async def _wait_for_poll(
        self, *others: asyncio.Future[bool], timeout_s: float | None
    ) -> bool:
        """Wait until a poll succeeds, and select its controller.

        Returns False after `timeout_s`, when one of `others` is done, or, without
        them, when no poll is pending.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + (math.inf if timeout_s is None else timeout_s)
        while (pending := {*self._polls, *others}) and loop.time() < deadline:
            done, _ = await asyncio.wait(
                pending,
                timeout=None if timeout_s is None else deadline - loop.time(),
                return_when=asyncio.FIRST_COMPLETED,
            )
            for poll in [item for item in self._polls if item in done]:
                controller = self._polls.pop(poll)
                if _get_result(poll):
                    self._search.select_controller(controller)
                    self._cancel_polls()
                    return True
            if done.intersection(others):
                return False
        return False

    def _cancel_polls(self) -> None:
        for poll in self._polls:
            poll.cancel()
        self._polls.clear()

    def _is_usable(self, update: FleetUpdate) -> bool:
        """Return whether a controller may be polled; note its proven revision."""
        if not is_proven(update):
            return False
        self._newest_revision = max(self._newest_revision, update.revision)
        return update.version >= self._view.version

    async def _poll_and_log(self) -> bool:
        """Poll the selected controller; return whether its state is proven current."""
        try:
            return await self._poll()
        finally:
            self._report_staleness()

    def _build_poll(self, version: int) -> PollFleet:
        return PollFleet(
            version,
            self._entries_mark,
            self._demand_mark,
            self._signals_epoch,
            self._signals_version,
        )

    async def _poll(self) -> bool:
        """Poll the selected controller; return whether its state is proven current."""
        loop = asyncio.get_running_loop()
        controller = self._search.current
        request = self._build_poll(
            NO_VERSION if self._needs_full_state else self._view.version
        )
        sent_at = loop.time()
        try:
            update = await self._network.call(
                controller, request, timeout=POLL_TIMEOUT_S
            )
        except PeerUnavailable as error:
            self._log_lost_controller(controller, str(error))
            return False
        if not isinstance(update, FleetUpdate):
            return False
        self.add_controllers(update.controllers)
        self._leader = update.leader or self._leader
        self._on_relays(update.relays)
        self._pass_on_signals(update)
        may_be_stale = self._view.table is None and self._has_waited_for_proof()
        if not (is_proven(update) or may_be_stale):
            self._log_unused_update(controller, update, "not proven current")
            return False
        if update.version < self._view.version:
            self._log_unused_update(controller, update, "older than the view")
            return False
        if not self._apply_update(update):
            return False
        if is_proven(update):
            self._state_proven_at = max(self._state_proven_at, sent_at - update.age_s)
            self._newest_revision = max(self._newest_revision, update.revision)
        return is_proven(update)

    def _apply_update(self, update: FleetUpdate) -> bool:
        """Apply the answer of a controller; return False if its content is unusable."""
        revision = self._view.revision
        try:
            self._has_new_content |= self._apply_state(update)
        except Exception as error:
            # The content comes from another process, perhaps of another version, so any
            # error can occur. The view is unchanged and the full state may be readable.
            log.error("update_unreadable", version=update.version, error=repr(error))
            self._needs_full_state = True
            return False
        self._needs_full_state = False
        if self._view.revision != revision:
            log.info(
                "routing_applied",
                revision=self._view.revision,
                before=revision,
                version=update.version,
                controller=self._search.current,
                age_s=round(update.age_s, 2),
            )
        self._apply_entries_and_demand(update)
        return not self._has_new_content or self._pass_on_update()

    def _apply_state(self, update: FleetUpdate) -> bool:
        """Apply changes or a full state to the view; return whether it changed."""
        if update.state is not None:
            if not self._view.replace(update.version, decode_payload(update.state)):
                raise ValueError("the full state has a lower revision than the view")
            return True
        if update.changes is not None:
            changes = decode_payload(update.changes)
            return bool(self._view.apply_changes(update.version, changes))
        self._view.version = max(self._view.version, update.version)
        return False

    def _apply_entries_and_demand(self, update: FleetUpdate) -> None:
        if update.entries is not None:
            self.entries = frozenset(update.entries)
            self._entries_mark = update.entries_mark
            self._quota.entry_count = max(len(self.entries), 1)
            self._has_new_content = True
        if update.demand is not None:
            log.info("demand_changed", shares=update.demand, before=self.demand)
            self.demand = update.demand
            self._demand_mark = update.demand_mark
            self._has_new_content = True

    def _pass_on_signals(self, update: FleetUpdate) -> None:
        """Pass on the signals of targets; an error must not keep the state back."""
        if update.signals is not None:
            try:
                self._on_signals(update.signals)
            except Exception as error:
                log.error("update_not_used", error=repr(error))
        self._signals_epoch = update.signals_epoch
        self._signals_version = update.signals_version

    def _pass_on_update(self) -> bool:
        """Call `on_update`; after an error, it is called again with the next answer."""
        try:
            self._on_update()
        except Exception as error:
            log.error("update_not_used", error=repr(error))
            return False
        self._has_new_content = False
        return True

    async def _report_usage(self) -> None:
        now = asyncio.get_running_loop().time()
        usage = self._quota.collect_usage(now)
        if not usage and self._quota.get_answer_age(now) < MAX_UNREPORTED_S:
            return
        if not await self._send_usage(usage):
            self._quota.restore_usage(usage)

    async def _send_usage(self, usage: dict[str, Any]) -> bool:
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

    def add_controllers(self, controllers: "tuple[str, ...] | list[str]") -> None:
        """Add controllers that are not known yet."""
        self._search.add(controllers)

    def _log_lost_controller(self, controller: str, reason: str) -> None:
        log.info(
            "controller_lost",
            id=controller,
            reason=reason,
            state_age_s=self._get_rounded_age(),
        )

    def _log_unused_update(
        self, controller: str, update: FleetUpdate, reason: str
    ) -> None:
        log.info(
            "update_unused",
            controller=controller,
            reason=reason,
            version=update.version,
            age_s=round(update.age_s, 2),
            own_version=self._view.version,
            state_age_s=self._get_rounded_age(),
        )

    def _report_staleness(self) -> None:
        """Log once when the state becomes stale, and once when it is proven again."""
        if self._view.table is None:
            return
        age = self._get_rounded_age()
        is_stale = age > STALE_STATE_AGE_S
        if is_stale == self._is_reported_stale:
            return
        self._is_reported_stale = is_stale
        log.info(
            "state_stale" if is_stale else "state_proven",
            controller=self._search.current,
            age_s=age,
            version=self._view.version,
            revision=self._view.revision,
        )

    def _get_rounded_age(self) -> float:
        now = asyncio.get_running_loop().time()
        return round(min(self.measure_state_age(now), 1e9), 2)


def _get_result(poll: asyncio.Task[bool]) -> bool:
    """Return the result of a poll that has ended; an error counts as a failure."""
    return not poll.cancelled() and poll.exception() is None and poll.result()
