"""The components of one entry process and their life cycle."""

import asyncio
import math
from typing import Any

import structlog

from toucanwood.controller import DEFAULT_SECRET, AnnounceEntry
from toucanwood.fleet import FleetView
from toucanwood.gateway._admission import Admission
from toucanwood.gateway._dispatcher import Dispatcher
from toucanwood.gateway._exchange import MIN_BUFFER_BYTES, compute_connect_timeout
from toucanwood.gateway._feed_client import FeedClient
from toucanwood.gateway._forwarder import Forwarder
from toucanwood.gateway._handler import RequestHandler
from toucanwood.gateway._headers import HeaderNames
from toucanwood.gateway._large_response_gate import LargeResponseGate
from toucanwood.gateway._load_meter import LoadMeter
from toucanwood.gateway._prober import Prober
from toucanwood.gateway._settings import GatewaySettings
from toucanwood.httpd import (
    BodyBudget,
    ConnectionLimit,
    HttpServer,
    Responder,
    Response,
    get_open_file_limit,
)
from toucanwood.metrics import MetricsRegistry, MetricsServer
from toucanwood.peering import PeerNetwork
from toucanwood.placement import (
    LinkSchedule,
    RegionShiftLimiter,
    RetryBudget,
    compute_even_shares,
)
from toucanwood.quota import QuotaEnforcer
from toucanwood.relay import RelaySelector, StreamPacer
from toucanwood.routing import CallerLimits
from toucanwood.upstream import TargetClient

log = structlog.get_logger()

# Transfer time on the link up to which a response is buffered completely before the
# caller gets its first byte, so that the request can be retried if the response is
# truncated.
BUFFER_TIME_S = 0.01
MAX_BUFFER_BYTES = 1024 * 1024
# Fractions of the grace time of a stop. Until the first, all requests are accepted, and
# until the second, those whose deadline is before the third, at which running requests
# are cut off. The port stays open until STOP_LISTEN_FRACTION.
STOP_ACCEPT_ALL_FRACTION = 0.3
STOP_ACCEPT_FRACTION = 0.5
STOP_LISTEN_FRACTION = 0.6
STOP_FINISH_FRACTION = 0.92
STOP_POLL_INTERVAL_S = 0.02
MAX_IDLE_CONNECTIONS_PER_TARGET = 8
# Fraction of the open files of the process for idle connections to targets.
IDLE_TARGET_FILE_FRACTION = 0.05


class GatewayInstance:
    """Serve callers according to the fleet state that the controllers publish."""

    def __init__(
        self, settings: GatewaySettings, header_names: HeaderNames | None = None
    ) -> None:
        self.settings = settings
        self.header_names = header_names if header_names is not None else HeaderNames()
        self.view = FleetView()
        self.relays = RelaySelector(settings.link_bytes_per_s)
        self.load_meter = LoadMeter(settings.link_bytes_per_s)
        self.metrics = MetricsRegistry()
        self.metrics.add_gauges(self._read_gauges)
        self.quota = QuotaEnforcer()
        self._retry_budgets: dict[str, RetryBudget] = {}
        self._is_leaving = False
        self._is_refusing_requests = False
        # Latest deadline of a request that may still be accepted.
        self._latest_deadline = math.inf
        self._is_announced = False
        self.network = PeerNetwork(
            instance_id=settings.id, address=settings.peer, secret=DEFAULT_SECRET
        )
        open_files = settings.max_open_files or get_open_file_limit()
        self.body_budget = BodyBudget(settings.body_memory_bytes)
        self.connection_limit = ConnectionLimit.from_open_files(open_files)
        self.client = TargetClient(
            max_idle_per_target=MAX_IDLE_CONNECTIONS_PER_TARGET,
            max_idle=int(open_files * IDLE_TARGET_FILE_FRACTION),
        )
        self._build_dispatch()
        self._build_feed()
        self._build_servers()

    async def start(self) -> None:
        """Start all components; raise OSError if an address is not available."""
        await self.network.start()
        self.server.start(self.settings.listen)
        self.ready_server.start(self.settings.ready)
        self.metrics_server.start()
        self.feed.start()
        self.prober.start()
        log.info("gateway_started", id=self.settings.id, address=self.settings.listen)

    async def stop(self) -> None:
        """Announce the stop, finish running requests within the grace time and stop."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        grace = self.settings.stop_grace_s
        log.info("gateway_leaving", id=self.settings.id, grace_s=grace)
        self._is_leaving = True
        self.feed.announce()
        self.server.stop_keep_alive()
        accept_all_until = started + grace * STOP_ACCEPT_ALL_FRACTION
        await self._wait_until(accept_all_until, when_idle=False)
        self._latest_deadline = started + grace * STOP_FINISH_FRACTION
        await self._wait_until(started + grace * STOP_ACCEPT_FRACTION, when_idle=False)
        self._is_refusing_requests = True
        await self._wait_until(started + grace * STOP_LISTEN_FRACTION, when_idle=False)
        self.server.close()
        self.server.close_idle()
        await self._wait_until(started + grace * STOP_FINISH_FRACTION, when_idle=True)
        unfinished = self.server.count_busy()
        await self.server.stop()
        await self.ready_server.stop()
        await self.metrics_server.stop()
        await self.prober.stop()
        await self.feed.stop()
        self.client.close()
        await self.network.stop()
        log.info("gateway_stopped", id=self.settings.id, unfinished=unfinished)

    async def close(self) -> None:
        """Close the connections between instances without a graceful stop."""
        await self.network.stop()

    def add_controllers(self, controllers: tuple[str, ...]) -> None:
        """Use further controllers, which changed settings name."""
        self.feed.add_controllers(controllers)

    async def wait_failed(self) -> str:
        """Wait forever: an entry has no component that can fail permanently."""
        await asyncio.get_running_loop().create_future()
        raise AssertionError("an entry without a disk can't fail permanently")

    def is_ready(self) -> bool:
        """Return whether callers should connect to this entry."""
        return self.view.table is not None and not self._is_leaving

    def dump(self) -> dict[str, Any]:
        """Return the state of all components, without API keys."""
        return {
            "id": self.settings.id,
            "ready": self.is_ready(),
            "view": self.view.dump(),
            "feed": self.feed.dump(),
            "pools": self.dispatcher.dump(),
            "quota": self.quota.dump(),
            "requests": self.handler.counts_by_code,
            "connections": self.server.dump(),
            "targets": self.client.dump(),
            "network": self.network.dump(),
        }

    def _build_dispatch(self) -> None:
        settings = self.settings
        shift_limiter = None
        if settings.shift_fraction < 1.0:
            shift_limiter = RegionShiftLimiter(
                settings.shift_fraction, settings.shift_window_s
            )
        self.dispatcher = Dispatcher(
            entry_id=settings.id,
            data_centre=settings.data_centre,
            region=settings.region,
            find_region=lambda name: settings.region_by_data_centre.get(name, ""),
            shift_limiter=shift_limiter,
            demand=compute_even_shares(settings.region_by_data_centre),
            close_connections=lambda record: self.client.close_idle_connections(
                record.target.address
            ),
            on_signal=lambda: self.feed.announce_soon(),
        )
        self.prober = Prober(
            dispatcher=self.dispatcher,
            client=self.client,
            header_names=self.header_names,
            find_health_path=self._find_health_path,
        )
        link_buffer_bytes = int(settings.link_bytes_per_s * BUFFER_TIME_S)
        forwarder = Forwarder(
            dispatcher=self.dispatcher,
            client=self.client,
            header_names=self.header_names,
            quota=self.quota,
            find_retry_budget=self._find_retry_budget,
            buffer_bytes=min(
                max(link_buffer_bytes, MIN_BUFFER_BYTES), MAX_BUFFER_BYTES
            ),
            pacer=StreamPacer.from_link(settings.link_bytes_per_s),
            large_responses=LargeResponseGate(
                schedule=LinkSchedule(settings.link_bytes_per_s), relays=self.relays
            ),
            load_meter=self.load_meter,
            connect_timeout_s=compute_connect_timeout(settings.link_bytes_per_s),
        )
        self.admission = Admission(
            view=self.view,
            header_names=self.header_names,
            quota=self.quota,
            is_refusing_requests=lambda: self._is_refusing_requests,
            get_latest_deadline=lambda: self._latest_deadline,
            is_state_current=self._is_state_current,
            has_newest_revision=lambda: self.feed.has_newest_revision(),
        )
        self.handler = RequestHandler(
            admission=self.admission,
            forwarder=forwarder,
            header_names=self.header_names,
            metrics=self.metrics,
            load_meter=self.load_meter,
        )

    def _build_feed(self) -> None:
        settings = self.settings
        self.feed = FeedClient(
            network=self.network,
            view=self.view,
            quota=self.quota,
            build_announcement=self._build_announcement,
            on_update=self._on_update,
            on_relays=self._on_relays,
            on_signals=self.dispatcher.merge_signals,
            peer_port=settings.peer_port,
            controllers=settings.controllers,
        )

    def _build_servers(self) -> None:
        self.server = HttpServer(
            self.handler.handle,
            limits=self._find_caller_limits,
            budget=self.body_budget,
            connection_limit=self.connection_limit,
        )
        self.ready_server = HttpServer(self._answer_ready)
        self.metrics_server = MetricsServer(self.metrics, self.settings.metrics)

    def _is_state_current(self) -> bool:
        now = asyncio.get_running_loop().time()
        return self.feed.measure_state_age(now) <= self.settings.max_state_age_s

    def _read_gauges(self) -> dict[str, float]:
        now = asyncio.get_running_loop().time()
        records = self.dispatcher.list_records()
        return {
            "ready": float(self.is_ready()),
            "state_version": self.view.version,
            "routing_revision": self.view.revision,
            "state_age_seconds": self.feed.measure_state_age(now),
            "entries_known": len(self.feed.entries),
            "targets_known": len(records),
            "targets_ejected": sum(item.health.is_ejected for item in records),
            "target_protocol_violations": self.client.violations,
            "targets_limited": sum(
                item.signals.rate_limit is not None for item in records
            ),
            "targets_waiting": sum(
                item.signals.waiting_until > now for item in records
            ),
            "targets_leaving": sum(item.signals.is_leaving for item in records),
            "requests_at_targets": sum(item.in_flight for item in records),
            "load": self.load_meter.measure(now),
            "connections_open": len(self.server.connections),
            "body_memory_used_bytes": self.body_budget.measure(),
            "connections_closed_for_room": self.connection_limit.closed_idle,
        }

    def _build_announcement(self) -> AnnounceEntry:
        return AnnounceEntry(
            address=self.settings.listen,
            region=self.settings.region,
            data_centre=self.settings.data_centre,
            is_ready=self.is_ready(),
            load=round(self.load_meter.measure(asyncio.get_running_loop().time()), 3),
            requests=sum(self.handler.counts_by_code.values()),
            signals=self.dispatcher.list_heard_signals(),
        )

    def _on_update(self) -> None:
        if self.feed.demand:
            self.dispatcher.demand = self.feed.demand
        self.dispatcher.update(self.view, self.feed.entries)
        if self.view.table is not None:
            self.admission.release_held_requests()
        if self.is_ready() and not self._is_announced:
            # Look-ups return an entry only after it has announced that it is ready.
            self._is_announced = True
            self.feed.announce()

    def _on_relays(self, controllers: list[str]) -> None:
        port = self.settings.relay_port
        if port is not None:
            self.relays.relays = tuple(f"{item}:{port}" for item in controllers)

    async def _answer_ready(self, responder: Responder) -> None:
        is_ready_path = responder.request.path == self.settings.ready_path
        status = 200 if self.is_ready() else 503
        await responder.send(Response(status=status if is_ready_path else 404))

    def _find_caller_limits(self) -> CallerLimits:
        table = self.view.table
        return table.caller_limits if table is not None else CallerLimits()

    def _find_health_path(self, service: str) -> str:
        table = self.view.table
        rules = table.services.get(service) if table is not None else None
        return rules.health_path if rules is not None else "/health"

    def _find_retry_budget(self, service: str) -> RetryBudget:
        budget = self._retry_budgets.get(service)
        if budget is None:
            settings = self.settings
            budget = RetryBudget(
                fraction=settings.retry_fraction,
                slack=settings.retry_slack,
                window_s=settings.retry_window_s,
            )
            self._retry_budgets[service] = budget
        budget.slack = self.settings.retry_slack / max(len(self.feed.entries), 1)
        return budget

    async def _wait_until(self, deadline: float, *, when_idle: bool) -> None:
        """Wait until the deadline; with `when_idle` only while requests run."""
        loop = asyncio.get_running_loop()
        while loop.time() < deadline:
            if when_idle and not self.server.count_busy():
                return
            await asyncio.sleep(STOP_POLL_INTERVAL_S)
