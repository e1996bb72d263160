"""The components of one controller process and their life cycle."""

import asyncio
import random
import zlib
from typing import Any

import structlog
from returns.result import Failure, Result, Success

from toucanwood.consensus import FileDisk, Replica, Storage
from toucanwood.controller._directory import EntryDirectory, EntryInfo
from toucanwood.controller._group import CHECK_INTERVAL_S, GroupManager
from toucanwood.controller._known_controllers import KnownControllers
from toucanwood.controller._messages import (
    DEFAULT_SECRET,
    AnnounceController,
    AnnounceEntry,
    FleetUpdate,
    PollFleet,
    ReportUsage,
    UsageAnswer,
    compress_payload,
    encode_payload,
)
from toucanwood.controller._order_submitter import (
    OrderSubmitter,
    describe_result,
    refuse_for_now,
)
from toucanwood.controller._region_demand import RegionDemand
from toucanwood.controller._settings import ControllerSettings
from toucanwood.controller._shared_signals import SharedSignals
from toucanwood.controller._target_liveness import TargetLiveness
from toucanwood.fleet import (
    FleetState,
    Order,
    OrderResult,
    RemoveTarget,
    ReportTarget,
    Target,
    check_target,
)
from toucanwood.metrics import MetricsRegistry, MetricsServer
from toucanwood.peering import PeerNetwork, PeerUnavailable
from toucanwood.quota import QuotaCoordinator, Usage
from toucanwood.relay import RelayServer
from toucanwood.routing import RoutingTable
from toucanwood.utils import (
    TaskGroup,
    ValidationError,
    find_program_start,
    run_periodically,
)
from toucanwood.verdicts import Verdict

log = structlog.get_logger()

GOSSIP_INTERVAL_S = 0.4
# Time for which the list of live entries is cached. Every poll needs the list, and both
# its length and the number of polls grow with the number of entries.
ENTRIES_CACHE_S = 0.1
EXPIRY_INTERVAL_S = 1.0
# Maximum proven age of the state for a read to be answered. A new configuration must be
# in force everywhere within seconds.
MAX_READ_AGE_S = 0.8
# Maximum proven age of the state for an unchanged announcement to be acknowledged
# without an order. An older state may hold a target that the leader has removed since.
MAX_UNCHANGED_AGE_S = 5.0
# Size of the random number that tells the versions of one process from others.
MAX_EPOCH_BITS = 62
# Fraction of the grace time of a stop in which relayed responses may finish.
STOP_RELAY_FRACTION = 0.85


class ControllerInstance:
    """Replicate the fleet state with the other controllers and serve it."""

    def __init__(self, settings: ControllerSettings) -> None:
        self.settings = settings
        self.state = FleetState()
        self.metrics = MetricsRegistry()
        self.metrics.add_gauges(self._read_gauges)
        self.relay = RelayServer(
            self._is_target_address,
            stop_timeout_s=settings.stop_grace_s * STOP_RELAY_FRACTION,
        )
        self.metrics_server = MetricsServer(self.metrics, settings.metrics)
        self.directory = EntryDirectory(settings.region_by_data_centre)
        self._region_demand = RegionDemand(self._now())
        self._liveness = TargetLiveness()
        self._signals = SharedSignals(epoch=random.getrandbits(MAX_EPOCH_BITS) + 1)
        self._quota = QuotaCoordinator()
        self._tasks = TaskGroup()
        self._known = KnownControllers(
            settings.id, settings.data_centre, on_added=self._set_peer_address
        )
        self._cached_entries: tuple[list[str], int] = ([], 0)
        self._entries_cached_at = float("-inf")
        self._cached_table: tuple[int, RoutingTable | None] = (0, None)
        self.network = PeerNetwork(
            instance_id=settings.id, address=settings.peer, secret=DEFAULT_SECRET
        )
        self.replica = Replica(
            transport=self.network,
            storage=Storage(FileDisk(settings.data_dir)),
            state_machine=self.state,
            voters=settings.founders,
            started_at=find_program_start(),
        )
        self._group_manager = GroupManager(
            self.replica,
            lambda: self._known.list_live(self._now()),
            own_id=settings.id,
            gone_after_s=settings.gone_after_s,
            now=self._now,
        )
        self._orders = OrderSubmitter(
            replica=self.replica,
            network=self.network,
            state=self.state,
            metrics=self.metrics,
        )
        self._register_handlers()
        self._known.add((*settings.controllers, *settings.founders))

    async def start(self) -> None:
        """Start every component; raise DamagedStorageError or OSError."""
        await self.network.start()
        await self.replica.start()
        self._known.add(self.replica.members.by_id)
        steps = (
            (self._gossip, GOSSIP_INTERVAL_S, "gossip"),
            (self._group_manager.apply_next_change, CHECK_INTERVAL_S, "group"),
            (self._expire, EXPIRY_INTERVAL_S, "expiry"),
        )
        for step, interval_s, name in steps:
            self._tasks.start(run_periodically(step, interval_s, name=name), name=name)
        self.metrics_server.start()
        await self._start_relay()
        log.info("controller_started", id=self.settings.id)

    async def stop(self) -> None:
        """Hand over leadership and stop every component.

        Relayed responses may finish meanwhile; entries open no new ones.
        """
        relay_stop = asyncio.ensure_future(self.relay.stop())
        await self.replica.stop()
        await self._tasks.stop()
        await relay_stop
        await self.metrics_server.stop()
        await self.network.stop()
        log.info("controller_stopped", id=self.settings.id)

    async def close(self) -> None:
        """Close the connections between instances without a graceful stop."""
        await self.network.stop()

    def add_controllers(self, controllers: tuple[str, ...]) -> None:
        """Announce this controller to further ones, which changed settings name."""
        self._known.add(controllers)

    async def wait_failed(self) -> str:
        """Wait until the data directory fails and return the reason."""
        return await self.replica.wait_failed()

    async def submit(self, order: Order) -> Result[OrderResult, Verdict]:
        """Commit an order through the leader.

        A failed result states whether the order may have been committed.
        """
        return await self._orders.submit(order)

    def read_routing(self) -> Result[tuple[int, dict[str, Any]], Verdict]:
        """Return the current revision and routing document, if provably current."""
        age = self.replica.lease_age()
        is_proven = age <= MAX_READ_AGE_S
        self.metrics.count_event("ReadRouting", "proven" if is_proven else "stale")
        if not is_proven:
            message = f"the state was last confirmed as current {age:.1f} s ago"
            return Failure(refuse_for_now("state_stale", message))
        return Success((self.state.revision, self.state.document))

    def describe_group(self) -> list[dict[str, Any]]:
        """Return the controllers of the group, their roles and whether they live."""
        return self._group_manager.describe()

    async def remove_controller(self, controller: str) -> Result[Any, Verdict]:
        """Remove a controller that is gone for good; only the leader can."""
        return await self._group_manager.remove(controller)

    async def announce_target(self, target: Target) -> Result[None, Verdict]:
        """Process the announcement of a target; success acknowledges it.

        Raises ValueError for a target that can't be stored or connected to.
        """
        check_target(target)
        now = self._now()
        has_new_cold_start = self._liveness.record_announcement(target, now)
        known = self.state.targets.get(target.id)
        if known is not None and target.is_superseded_by(known):
            return Success(None)
        if self.state.is_departed(target):
            return Success(None)
        if (
            known is not None
            and target.is_equivalent_to(known)
            and not has_new_cold_start
            and self.replica.lease_age() < MAX_UNCHANGED_AGE_S
        ):
            return Success(None)
        result = await self.submit(ReportTarget(target))
        log.info(
            "target_reported",
            target=target.id,
            service=target.service,
            address=target.address,
            state=target.state.value,
            cold_left_s=target.remaining_cold_start_s,
            born_ms=target.start_time_ms,
            sequence=target.sequence,
            result=describe_result(result),
        )
        return result.map(lambda _: None)

    async def remove_target(
        self, target_id: str, start_time_ms: int | None
    ) -> Result[None, Verdict]:
        """Remove a target at its own request; success acknowledges it.

        The order goes into the log even if this controller doesn't know the target. The
        target may have been added through another controller just before.
        """
        result = await self.submit(RemoveTarget(target_id, start_time_ms, None))
        log.info("target_left", target=target_id, result=describe_result(result))
        return result.map(lambda _: None)

    def look_up(self, region: str, data_centre: str) -> list[str]:
        """Return the addresses of entries for a caller, best first."""
        addresses = self.directory.look_up(region, data_centre, self._now())
        self.metrics.count_event("LookUp", "found" if addresses else "none")
        return addresses

    def dump(self) -> dict[str, Any]:
        """Return the state of every component, without API keys."""
        return {
            "id": self.settings.id,
            "replica": self.replica.dump(),
            "version": self.state.version,
            "revision": self.state.revision,
            "targets": len(self.state.targets),
            "evacuated": sorted(self.state.evacuated),
            "entries": self.directory.dump(self._now()),
            "controllers": self._known.list_known(),
            "quota": self._quota.dump(),
            "rate_limits": self._signals.dump(),
            "network": self.network.dump(),
        }

    async def _start_relay(self) -> None:
        """Start the relay; a failure is logged and the controller runs without it."""
        if self.settings.relay_port is None:
            return
        address = f"{self.settings.id}:{self.settings.relay_port}"
        try:
            await self.relay.start(address)
        except OSError as error:
            log.error("relay_unavailable", address=address, error=str(error))

    def _read_gauges(self) -> dict[str, float]:
        return {
            "leading": float(self.replica.is_leader()),
            "state_version": self.state.version,
            "routing_revision": self.state.revision,
            "state_age_seconds": self.replica.lease_age(),
            "entries_known": len(self.directory.list_live(self._now())),
            "targets_known": len(self.state.targets),
            "relayed_connections": self.relay.connection_count,
            "controllers_known": len(self._known.list_known()),
        }

    def _register_handlers(self) -> None:
        register = self.network.register
        register(AnnounceEntry, self._receive_entry)
        register(PollFleet, self._answer_poll)
        register(ReportUsage, self._process_usage_report)
        register(AnnounceController, self._receive_controller)

    async def _receive_entry(self, sender: str, request: AnnounceEntry) -> None:
        entry = EntryInfo(
            id=sender,
            address=request.address,
            region=request.region,
            data_centre=request.data_centre,
            is_ready=request.is_ready,
            load=request.load,
        )
        now = self._now()
        self.directory.record_announcement(entry, now)
        self._region_demand.record(sender, request.region, request.requests, now)
        self._signals.record(request.signals, now)

    async def _answer_poll(self, sender: str, request: PollFleet) -> FleetUpdate:
        age = self.replica.lease_age()
        entries, checksum = self.list_entries()
        demand, demand_mark = self._region_demand.get_shares(self._now())
        changes, state = self._encode_changes_since(request.version)
        return FleetUpdate(
            version=self.state.version,
            age_s=age if age < 1e6 else -1.0,
            changes=changes,
            state=state,
            leader=self.replica.leader() or "",
            controllers=self._known.list_known(),
            relays=self._list_relays(self.directory.find_data_centre(sender)),
            entries=None if checksum == request.entries_mark else entries,
            entries_mark=checksum,
            demand=None if demand_mark in (0, request.demand_mark) else dict(demand),
            demand_mark=demand_mark,
            signals=self._signals.list_since(
                request.signals_epoch, request.signals_version, self._now()
            ),
            signals_epoch=self._signals.epoch,
            signals_version=self._signals.version,
            revision=self.state.revision,
        )

    def list_entries(self) -> tuple[list[str], int]:
        """Return the sorted ids of the live entries and a checksum of the list."""
        now = self._now()
        if now - self._entries_cached_at > ENTRIES_CACHE_S:
            entries = sorted(entry.id for entry in self.directory.list_live(now))
            self._cached_entries = entries, zlib.crc32(",".join(entries).encode())
            self._entries_cached_at = now
        return self._cached_entries

    def _encode_changes_since(self, version: int) -> tuple[bytes | None, bytes | None]:
        """Return the encoded changes since a version, or else the full state.

        Both are None if the version is current.
        """
        if version >= self.state.version:
            return None, None
        changes = self.state.pack_changes(version)
        if changes is not None:
            return compress_payload(changes), None
        return None, encode_payload(self.state.export())

    async def _process_usage_report(
        self, sender: str, request: ReportUsage
    ) -> UsageAnswer:
        if not self.replica.is_leader():
            self._quota.clear()
            return UsageAnswer(is_valid=False)
        usage = {name: Usage(*counts) for name, counts in request.usage.items()}
        table = self._get_routing_table()
        organisations = table.organisations if table is not None else {}
        fractions = self._quota.process_report(
            sender, usage, organisations, self._now()
        )
        return UsageAnswer(is_valid=True, fractions=fractions)

    async def _receive_controller(
        self, sender: str, request: AnnounceController
    ) -> None:
        now = self._now()
        self._known.record_announcement(sender, request.data_centre, now)
        self._known.add(request.controllers)
        self._liveness.merge_shared(request.heard, now)

    async def _gossip(self) -> None:
        """Send the known controllers and recent announcements to all others."""
        message = AnnounceController(
            controllers=self._known.list_known(),
            heard=self._liveness.take_unshared(),
            is_member=self.replica.is_member,
            data_centre=self.settings.data_centre,
        )
        for controller in self._known.list_known():
            self._send(controller, message)

    def _send(self, controller: str, message: Any) -> None:
        try:
            self.network.send(controller, message)
        except PeerUnavailable as error:
            log.debug("controller_unreachable", id=controller, reason=str(error))

    async def _expire(self) -> None:
        """Drop expired entries and, as the leader, remove silent targets."""
        now = self._now()
        self._region_demand.remove_entries(self.directory.expire(now))
        self._signals.expire(self.state.targets, now)
        self._liveness.expire(self.state.targets, now)
        if not self.replica.is_leader():
            self._liveness.stop_checking()
            return
        silent = self._liveness.list_silent(self.state.targets.values(), now)
        for target in silent:
            log.info("target_silent", target=target.id, service=target.service)
        # One after the other, the orders for the targets of a lost data centre would
        # take longer than the interval between two checks may be.
        await asyncio.gather(
            *(
                self.submit(RemoveTarget(item.id, item.start_time_ms, item.sequence))
                for item in silent
            )
        )

    def _set_peer_address(self, controller: str) -> None:
        address = f"{controller}:{self.settings.peer_port}"
        self.network.set_address(controller, address)

    def _list_relays(self, data_centre: str | None) -> list[str]:
        """Return the live controllers of a data centre, which serve as relays."""
        if data_centre is None or self.settings.relay_port is None:
            return []
        return self._known.list_in_data_centre(data_centre, self._now())

    def _is_target_address(self, address: str) -> bool:
        return any(item.address == address for item in self.state.targets.values())

    def _get_routing_table(self) -> RoutingTable | None:
        """Return the routing table of the current revision, built once for each."""
        revision = self.state.revision
        if revision and self._cached_table[0] != revision:
            try:
                table = RoutingTable.from_config(
                    self.state.document, previous=self._cached_table[1]
                )
            except ValidationError as error:
                log.error("routing_unreadable", revision=revision, error=str(error))
                table = None
            self._cached_table = (revision, table)
        return self._cached_table[1]

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
