"""The components of one entry process and their life cycle."""

import asyncio
from typing import Any

import structlog

from toucanwood.controller import DEFAULT_SECRET, AnnounceEntry
from toucanwood.fleet import FleetView
from toucanwood.gateway._admission import Admission
from toucanwood.gateway._dispatcher import Dispatcher
from toucanwood.gateway._exchange import choose_connect_timeout
from toucanwood.gateway._feed import FeedClient
from toucanwood.gateway._forwarder import Forwarder
from toucanwood.gateway._handler import RequestHandler
from toucanwood.gateway._headers import HeaderNames
from toucanwood.gateway._large import LargeResponses
from toucanwood.gateway._load import LoadMeter
from toucanwood.gateway._prober import Prober
from toucanwood.gateway._settings import GatewaySettings
from toucanwood.httpd import HttpServer, Responder, Response
from toucanwood.metrics import MetricsRegistry, MetricsServer
from toucanwood.peering import PeerNetwork
from toucanwood.placement import LinkSchedule, RegionShiftLimiter, RetryBudget
from toucanwood.quota import QuotaEnforcer
from toucanwood.relay import RelaySelector, StreamPacer
from toucanwood.routing import CallerLimits
from toucanwood.upstream import TargetClient

log = structlog.get_logger()

# A response up to the bytes of this time on the link is received in full before the
# caller gets the first byte, so that a truncated one can be repeated.
HOLD_S = 0.01
# Responses up to this size are always held: one that is cut at the end of its route's
# time would take the answers behind it on the caller's connection with it.
MIN_HOLD_BYTES = 16 * 1024
MAX_HOLD_BYTES = 1024 * 1024
# Parts of the time for a stop: requests are taken until the first, the port is open
# until the second, and running requests may end until the third.
STOP_ACCEPT_PART = 0.5
STOP_LISTEN_PART = 0.6
STOP_FINISH_PART = 0.92
STOP_POLL_S = 0.02
MAX_IDLE_CONNECTIONS = 8


class GatewayInstance:
    """Serve callers by the fleet state that controllers publish."""

    def __init__(
        self, settings: GatewaySettings, names: HeaderNames | None = None
    ) -> None:
        self.settings = settings
        self.names = names if names is not None else HeaderNames()
        self.view = FleetView()
        self.relays = RelaySelector(settings.link_bytes_per_s)
        self.load = LoadMeter(settings.link_bytes_per_s)
        self.metrics = MetricsRegistry()
        self.metrics.add_gauges(self._read_gauges)
        self.quota = QuotaEnforcer()
        self._budgets: dict[str, RetryBudget] = {}
        self._is_leaving = False
        self._is_refusing = False
        self._is_announced = False
        self.network = PeerNetwork(
            instance_id=settings.id, address=settings.peer, secret=DEFAULT_SECRET
        )
        self.client = TargetClient(max_idle_per_target=MAX_IDLE_CONNECTIONS)
        self._build_dispatch()
        self._build_feed()
        self._build_servers()

    async def start(self) -> None:
        """Start every component; raise OSError when an address is not available."""
        await self.network.start()
        self.server.start(self.settings.listen)
        self.ready_server.start(self.settings.ready)
        self.metrics_server.start()
        self.feed.start()
        self.prober.start()
        log.info("gateway_started", id=self.settings.id, address=self.settings.listen)

    async def stop(self) -> None:
        """Leave the directory, finish every running request, then stop."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        grace = self.settings.stop_grace_s
        log.info("gateway_leaving", id=self.settings.id, grace_s=grace)
        self._is_leaving = True
        self.feed.announce()
        self.server.stop_keep_alive()
        await self._wait_until(started + grace * STOP_ACCEPT_PART, when_idle=False)
        self._is_refusing = True
        await self._wait_until(started + grace * STOP_LISTEN_PART, when_idle=False)
        self.server.close()
        self.server.close_idle()
        await self._wait_until(started + grace * STOP_FINISH_PART, when_idle=True)
        left = self.server.count_busy()
        await self.server.stop()
        await self.ready_server.stop()
        await self.metrics_server.stop()
        await self.prober.stop()
        await self.feed.stop()
        self.client.close()
        await self.network.stop()
        log.info("gateway_stopped", id=self.settings.id, unfinished=left)

    async def wait_failed(self) -> str:
        """Wait for ever: nothing that an entry holds can fail for good."""
        await asyncio.get_running_loop().create_future()
        raise AssertionError("an entry without a disk can't fail this way")

    def is_ready(self) -> bool:
        """Return whether callers should connect here."""
        return self.view.table is not None and not self._is_leaving

    def dump(self) -> dict[str, Any]:
        """Return the state of every component, without keys."""
        return {
            "id": self.settings.id,
            "ready": self.is_ready(),
            "view": self.view.dump(),
            "feed": self.feed.dump(),
            "pools": self.dispatcher.dump(),
            "quota": self.quota.dump(),
            "requests": self.handler.counts,
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
            region_by_data_centre=lambda name: settings.region_by_data_centre.get(
                name, ""
            ),
            shift_limiter=shift_limiter,
            on_ejected=lambda record: self.client.close_idle_connections(
                record.target.address
            ),
        )
        self.prober = Prober(
            dispatcher=self.dispatcher,
            client=self.client,
            names=self.names,
            find_health_path=self._find_health_path,
        )
        hold = int(settings.link_bytes_per_s * HOLD_S)
        forwarder = Forwarder(
            dispatcher=self.dispatcher,
            client=self.client,
            names=self.names,
            quota=self.quota,
            find_budget=self._find_budget,
            hold_bytes=min(max(hold, MIN_HOLD_BYTES), MAX_HOLD_BYTES),
            pacer=StreamPacer.from_link(settings.link_bytes_per_s),
            large=LargeResponses(
                schedule=LinkSchedule(settings.link_bytes_per_s), relays=self.relays
            ),
            load=self.load,
            connect_timeout_s=choose_connect_timeout(settings.link_bytes_per_s),
        )
        admission = Admission(
            view=self.view,
            names=self.names,
            quota=self.quota,
            is_refusing=lambda: self._is_refusing,
            is_current=self._is_current,
        )
        self.handler = RequestHandler(
            admission=admission,
            forwarder=forwarder,
            names=self.names,
            metrics=self.metrics,
            load=self.load,
        )

    def _build_feed(self) -> None:
        settings = self.settings
        self.feed = FeedClient(
            network=self.network,
            view=self.view,
            quota=self.quota,
            describe=self._describe,
            on_update=self._on_update,
            on_relays=self._on_relays,
            peer_port=settings.peer_port,
            controllers=settings.controllers,
        )

    def _build_servers(self) -> None:
        self.server = HttpServer(self.handler.handle, limits=self._find_limits)
        self.ready_server = HttpServer(self._answer_ready)
        self.metrics_server = MetricsServer(self.metrics, self.settings.metrics)

    def _is_current(self) -> bool:
        now = asyncio.get_running_loop().time()
        return self.feed.measure_age(now) <= self.settings.max_state_age_s

    def _read_gauges(self) -> dict[str, float]:
        now = asyncio.get_running_loop().time()
        records = self.dispatcher.list_records()
        return {
            "ready": float(self.is_ready()),
            "state_version": self.view.version,
            "routing_revision": self.view.revision,
            "state_age_seconds": self.feed.measure_age(now),
            "entries_known": len(self.feed.entries),
            "targets_known": len(records),
            "targets_ejected": sum(item.health.is_ejected for item in records),
            "requests_at_targets": sum(item.in_flight for item in records),
            "load": self.load.measure(now),
            "connections_open": len(self.server.connections),
        }

    def _describe(self) -> AnnounceEntry:
        return AnnounceEntry(
            address=self.settings.listen,
            region=self.settings.region,
            data_centre=self.settings.data_centre,
            is_ready=self.is_ready(),
            load=round(self.load.measure(asyncio.get_running_loop().time()), 3),
        )

    def _on_update(self) -> None:
        self.dispatcher.update(self.view, self.feed.entries)
        if self.is_ready() and not self._is_announced:
            # Look-ups name an entry only once it has said that it is ready.
            self._is_announced = True
            self.feed.announce()

    def _on_relays(self, controllers: list[str]) -> None:
        port = self.settings.relay_port
        if port is not None:
            self.relays.relays = tuple(f"{item}:{port}" for item in controllers)

    async def _answer_ready(self, responder: Responder) -> None:
        is_right = responder.request.path == self.settings.ready_path
        status = 200 if self.is_ready() else 503
        await responder.send(Response(status=status if is_right else 404))

    def _find_limits(self) -> CallerLimits:
        table = self.view.table
        return table.caller_limits if table is not None else CallerLimits()

    def _find_health_path(self, service: str) -> str:
        table = self.view.table
        rules = table.services.get(service) if table is not None else None
        return rules.health_path if rules is not None else "/health"

    def _find_budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            settings = self.settings
            budget = RetryBudget(
                fraction=settings.retry_fraction,
                slack=settings.retry_slack,
                window_s=settings.retry_window_s,
            )
            self._budgets[service] = budget
        budget.slack = self.settings.retry_slack / max(len(self.feed.entries), 1)
        return budget

    async def _wait_until(self, deadline: float, *, when_idle: bool) -> None:
        """Wait until a time, or until no request runs."""
        loop = asyncio.get_running_loop()
        while loop.time() < deadline:
            if when_idle and not self.server.count_busy():
                return
            await asyncio.sleep(STOP_POLL_S)
