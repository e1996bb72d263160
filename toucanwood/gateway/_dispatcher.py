"""The target pools of all services, kept up to date with the fleet view."""

import asyncio
import random
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import attrs
import structlog

from toucanwood.fleet import FleetView, Target
from toucanwood.placement import (
    NO_SIGNALS,
    LoadReport,
    Outcome,
    Placed,
    PlacementRequest,
    Refused,
    RegionShiftLimiter,
    ResponseSignals,
    ServicePool,
    SharedSignal,
    TargetRecord,
    TargetSelector,
    TargetSignals,
    compute_object_weights,
)

log = structlog.get_logger()

# Assumed one-way network latency between an entry and a target.
SAME_DATA_CENTRE_LATENCY_S = 0.0002
SAME_REGION_LATENCY_S = 0.001
OTHER_REGION_LATENCY_S = 0.012
# Time for which a signal is kept for a target that this entry may learn of later.
SHARED_SIGNAL_TIMEOUT_S = 60.0


@attrs.define(eq=False)
class Lease:
    """The assignment of a request to a target, until it is released."""

    placed: Placed
    request: PlacementRequest
    started_at: float
    # Start time of the incarnation of the target when the request was assigned.
    start_time_ms: int

    @property
    def record(self) -> TargetRecord:
        """Return the record of the target: its load, health and speed."""
        return self.placed.record

    @property
    def target(self) -> Target:
        """Return the target that the request is assigned to."""
        return self.record.target


class Dispatcher:
    """Choose targets for requests, from one pool of targets for each service."""

    def __init__(
        self,
        *,
        entry_id: str,
        data_centre: str,
        region: str,
        find_region: Callable[[str], str],
        shift_limiter: RegionShiftLimiter | None,
        demand: Mapping[str, float],
        close_connections: Callable[[TargetRecord], None],
        on_signal: Callable[[], None],
    ) -> None:
        self._entry_id = entry_id
        self._data_centre = data_centre
        self._region = region
        self._find_region = find_region
        self._shift_limiter = shift_limiter
        # The regions' shares in all requests.
        self.demand = demand
        self._close_connections = close_connections
        # Called when a response has changed what is known of its target.
        self._on_signal = on_signal
        # The latest signals that other entries have heard, by target.
        self._shared_signals: dict[str, SharedSignal] = {}
        self._pools: dict[str, ServicePool] = {}
        self._entries: frozenset[str] = frozenset()
        self._evacuated: frozenset[str] = frozenset()
        self._random = random.Random()

    def acquire(self, request: PlacementRequest) -> Lease | Refused:
        """Assign a request to a target, or return why it is refused."""
        now = asyncio.get_running_loop().time()
        pool = self._get_or_create_pool(request.service)
        decision = pool.place(request, now)
        if isinstance(decision, Refused):
            return decision
        number = pool.start(decision, request, now)
        start_time_ms = decision.record.target.start_time_ms
        placed = attrs.evolve(decision, number=number)
        return Lease(placed, request, now, start_time_ms)

    def release(
        self, lease: Lease, outcome: Outcome, report: LoadReport | None = None
    ) -> None:
        """End an assignment; record its outcome and the target's load report."""
        now = asyncio.get_running_loop().time()
        pool = self._get_or_create_pool(lease.request.service)
        is_ejected = pool.finish(
            lease.placed,
            lease.request,
            outcome,
            seconds=now - lease.started_at,
            report=report,
            now=now,
        )
        if is_ejected:
            self._eject(lease, outcome)

    def record_signals(self, lease: Lease, signals: ResponseSignals) -> None:
        """Record what a response says of its target, unless it has restarted since."""
        record = lease.record
        if signals == NO_SIGNALS and record.signals.rate_limit is None:
            return
        if record.target.start_time_ms != lease.start_time_ms:
            return
        now = asyncio.get_running_loop().time()
        if not signals.is_limit_valid:
            log.warning("target_signal_invalid", target=record.id)
        before = attrs.evolve(record.signals)
        record.signals.record(signals, now)
        if self._apply_signals(record, before, "response", 0.0):
            self._on_signal()

    def take_probe(self, record: TargetRecord) -> bool:
        """Return whether a target may be probed now; count the probe in its rate."""
        now = asyncio.get_running_loop().time()
        pool = self._get_or_create_pool(record.target.service)
        return pool.selector.take_probe(record, now)

    def list_heard_signals(self) -> list[list[Any]]:
        """Return what this entry has heard lately, in the form of `AnnounceEntry`."""
        now = asyncio.get_running_loop().time()
        return [
            [
                record.id,
                record.target.start_time_ms,
                record.signals.rate_limit or 0.0,
                record.signals.is_leaving,
                round(now - record.signals.reported_at, 3),
            ]
            for record in self.list_records()
            if record.signals.has_news(now)
        ]

    def merge_signals(self, signals: Iterable[list[Any]]) -> None:
        """Take over what other entries have heard, in the form of `AnnounceEntry`."""
        now = asyncio.get_running_loop().time()
        self._shared_signals = {
            key: item
            for key, item in self._shared_signals.items()
            if now - item.heard_at < SHARED_SIGNAL_TIMEOUT_S
        }
        records = {record.id: record for record in self.list_records()}
        # Later versions may append items.
        for target_id, start_time_ms, rate_limit, is_leaving, age_s, *_ in signals:
            self._shared_signals[target_id] = SharedSignal(
                target_id, start_time_ms, rate_limit or None, is_leaving, now - age_s
            )
            if target_id in records:
                self._merge_signal(records[target_id], now)

    def _merge_signal(self, record: TargetRecord, now: float) -> None:
        shared = self._shared_signals.get(record.id)
        if shared is None or shared.start_time_ms != record.target.start_time_ms:
            return
        before = attrs.evolve(record.signals)
        record.signals.merge(shared)
        self._apply_signals(record, before, "entries", now - shared.heard_at)

    def _apply_signals(
        self, record: TargetRecord, before: TargetSignals, source: str, age_s: float
    ) -> bool:
        """Log what has changed and stop using a target that leaves.

        Return whether there is anything new for other entries.
        """
        now = asyncio.get_running_loop().time()
        signals = record.signals
        event = log.bind(
            target=record.id,
            service=record.target.service,
            start_time_ms=record.target.start_time_ms,
            source=source,
            age_s=round(age_s, 2),
        )
        if signals.rate_limit != before.rate_limit:
            event.info(
                "target_limit_changed",
                limit=signals.rate_limit,
                before=before.rate_limit,
            )
        if signals.waiting_until > before.waiting_until:
            event.info("target_waiting", wait_s=round(signals.waiting_until - now, 3))
        if signals.is_leaving and not before.is_leaving:
            event.info("target_leaving")
            self._close_connections(record)
            self._update_ranking(self._get_or_create_pool(record.target.service))
        return (signals.rate_limit, signals.is_leaving) != (
            before.rate_limit,
            before.is_leaving,
        )

    def _update_ranking(self, pool: ServicePool) -> None:
        pool.selector.ranking.set_targets(self._compute_target_weights(pool))

    def record_broken(self, lease: Lease) -> None:
        """Record a response that broke off after its lease was released."""
        now = asyncio.get_running_loop().time()
        if lease.record.health.record(Outcome.BROKEN, now):
            self._eject(lease, Outcome.BROKEN)

    def estimate_processing_time(self, request: PlacementRequest) -> float:
        """Return the median time of such a request with a warm object, in seconds."""
        return (
            self._get_or_create_pool(request.service)
            .find_response_times(request)
            .get_warm_median()
        )

    def update(self, view: FleetView, entries: frozenset[str]) -> None:
        """Apply the targets and evacuations of the fleet, and its list of entries."""
        now = asyncio.get_running_loop().time()
        self._entries = entries
        self._update_evacuations(frozenset(view.evacuated))
        # An entry that has just started doesn't know how long the targets in its
        # first state have been running. Only targets added later are treated as new.
        appeared_at = now if self._pools else float("-inf")
        for target in view.targets.values():
            self._update_target(target, now, appeared_at)
        for pool in self._pools.values():
            for key in [key for key in pool.records if key not in view.targets]:
                del pool.records[key]
                pool.selector.remove_target(key)
            rules = view.table.services.get(pool.service) if view.table else None
            pool.selector.cold_rate = rules.cold_rate if rules is not None else 0.0
            pool.selector.entries = entries
            pool.selector.evacuated = self._evacuated
            self._update_ranking(pool)

    def list_records(self) -> list[TargetRecord]:
        """Return the records of all targets."""
        return [
            record for pool in self._pools.values() for record in pool.records.values()
        ]

    def dump(self) -> dict[str, Any]:
        """Return a JSON-serialisable description."""
        now = asyncio.get_running_loop().time()
        return {name: pool.dump(now) for name, pool in self._pools.items()}

    def _eject(self, lease: Lease, outcome: Outcome) -> None:
        log.info(
            "target_ejected",
            target=lease.record.id,
            outcome=outcome.value,
            success_rate=round(lease.record.health.success_rate, 2),
        )
        self._close_connections(lease.record)

    def _compute_target_weights(self, pool: ServicePool) -> dict[str, float]:
        """Return the targets that objects may be assigned to, with their weights."""
        usable = [
            record
            for record in pool.records.values()
            if not record.target.is_draining
            and not record.signals.is_leaving
            and record.target.data_centre not in self._evacuated
        ]
        return compute_object_weights(usable, self._region, self.demand)

    def _update_target(self, target: Target, now: float, appeared_at: float) -> None:
        pool = self._get_or_create_pool(target.service)
        record = pool.records.get(target.id)
        if record is None:
            region = self._find_region(target.data_centre)
            record = TargetRecord(
                target, region, self._estimate_latency(target), appeared_at=appeared_at
            )
            pool.records[target.id] = record
            self._merge_signal(record, now)
            if appeared_at == float("-inf"):
                # The first state holds the remaining cold start time at the target's
                # last update, which may be long ago. A probe gets the current value.
                record.is_assumed_cold = target.remaining_cold_start_s > 0
            else:
                record.cold_until = now + target.remaining_cold_start_s
            self._remove_from_other_pools(target)
            return
        if record.target == target:
            return
        if record.target.start_time_ms != target.start_time_ms:
            record.reset_after_restart(now)
            record.health.is_ejected = False
            record.health.strikes = 0.0
        if target.remaining_cold_start_s > 0:
            record.cold_until = now + target.remaining_cold_start_s
        record.target = target
        self._merge_signal(record, now)

    def _remove_from_other_pools(self, target: Target) -> None:
        """Remove a target from the pools of other services, which it may have left."""
        for pool in self._pools.values():
            if pool.service != target.service:
                pool.records.pop(target.id, None)

    def _update_evacuations(self, evacuated: frozenset[str]) -> None:
        """Store which data centres are evacuated.

        When the evacuation of a data centre ends, its targets are assumed to be
        in a cold start, which may have begun meanwhile: their next announcement may be
        late.
        """
        returned = self._evacuated - evacuated
        self._evacuated = evacuated
        for record in self.list_records():
            if record.target.data_centre in returned:
                record.is_assumed_cold = True

    def _estimate_latency(self, target: Target) -> float:
        if target.data_centre == self._data_centre:
            return SAME_DATA_CENTRE_LATENCY_S
        if self._find_region(target.data_centre) == self._region:
            return SAME_REGION_LATENCY_S
        return OTHER_REGION_LATENCY_S

    def _get_or_create_pool(self, service: str) -> ServicePool:
        pool = self._pools.get(service)
        if pool is None:
            selector = TargetSelector(
                entry_id=self._entry_id,
                evacuated=self._evacuated,
                entries=self._entries,
                shift_limiter=self._shift_limiter,
                generator=self._random,
            )
            pool = ServicePool(service, selector, self._random)
            self._pools[service] = pool
        return pool
