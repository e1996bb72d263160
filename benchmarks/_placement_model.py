"""A discrete-event simulation of targets and callers around real placement pools."""

import heapq
import itertools
import random
from collections import OrderedDict
from collections.abc import Callable, Iterable
from typing import Any

import attrs

from toucanwood.fleet import Target, TargetState
from toucanwood.placement import (
    LoadReport,
    Outcome,
    Placed,
    PlacementRequest,
    ServicePool,
    TargetRecord,
    TargetSelector,
    compute_object_weights,
)

SERVICE = "s"
SAME_REGION_LATENCY_S = 0.001
OTHER_REGION_LATENCY_S = 0.012
# Fraction of the work that remains when the target has the object warm.
WARM_WORK_FRACTION = 0.3
# The work of a request varies by up to this fraction of its mean.
WORK_SPREAD = 0.15
# After a refusal a caller retries within this fraction of its remaining time.
MAX_RETRY_DELAY_FRACTION = 1 / 3


@attrs.frozen
class RequestKind:
    """One kind of request; `rate` is per second.

    `worth` is the value of a response within the objective, `late_worth` that of a
    later response within the deadline. The requests concern `object_count` objects.
    """

    name: str
    rate: float
    work_s: float
    objective_s: float
    deadline_s: float
    worth: float
    late_worth: float
    priority: int
    object_count: int


@attrs.frozen
class Deployment:
    """The targets and entries of one service, and the kinds of requests to it."""

    targets_by_region: dict[str, int]
    slots: int
    queue_limit: int
    max_warm_objects: int
    entries_by_region: dict[str, int]
    kinds: tuple[RequestKind, ...]


@attrs.define
class ModelTarget:
    """A simulated target, which sheds requests when its slots and queue are full."""

    slots: int
    queue_limit: int
    max_warm_objects: int
    slowdown: float = 1.0
    running: int = 0
    queue: list["Job"] = attrs.field(factory=list)
    warm_objects: "OrderedDict[str, None]" = attrs.field(factory=OrderedDict)

    def use_object(self, key: str) -> bool:
        """Make an object the most recently used; return whether it was warm."""
        was_warm = key in self.warm_objects
        self.warm_objects[key] = None
        self.warm_objects.move_to_end(key)
        if len(self.warm_objects) > self.max_warm_objects:
            self.warm_objects.popitem(last=False)
        return was_warm


@attrs.define(eq=False)
class Job:
    """One request of a caller, over all its attempts."""

    kind: RequestKind
    region: str
    key: str
    created_at: float
    attempts: int = 0
    entry_index: int = 0
    request: PlacementRequest | None = None
    placed: Placed | None = None
    sent_at: float = 0.0


@attrs.define
class OutcomeCounts:
    """Outcomes of the requests of one kind."""

    requests: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    durations: list[float] = attrs.field(factory=list)

    def summarise(self, kind: RequestKind) -> dict[str, float]:
        """Return the fraction of each outcome, the mean worth and the latency.

        The worth is relative to the case that all responses are in time.
        """
        requests = max(self.requests, 1)
        earned_worth = self.in_time * kind.worth + self.late * kind.late_worth
        durations = sorted(self.durations) or [0.0]
        return {
            "asked": self.requests,
            "in_time": round(self.in_time / requests, 3),
            "late": round(self.late / requests, 3),
            "refused": round(self.refused / requests, 3),
            "worth": round(earned_worth / (requests * kind.worth), 3),
            "p50_ms": round(durations[len(durations) // 2] * 1000),
            "p99_ms": round(durations[int(len(durations) * 0.99)] * 1000),
        }


PoolBuilder = Callable[[TargetSelector, random.Random], ServicePool]


class Simulation:
    """Simulate a load on the placement pools of all entries."""

    def __init__(
        self,
        deployment: Deployment,
        build_pool: PoolBuilder,
        *,
        load: float,
        seconds: float,
        seed: int,
        slow_targets: int = 0,
        slow_factor: float = 5.0,
    ) -> None:
        self._deployment = deployment
        self._load = load
        self._seconds = seconds
        self._random = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._now = 0.0
        self.counts_by_kind = {kind.name: OutcomeCounts() for kind in deployment.kinds}
        self._build_targets(slow_targets, slow_factor)
        self._build_entries(build_pool)

    def run(self) -> dict[str, Any]:
        """Run the simulation; return the worth and the outcomes by kind of request."""
        for kind in self._deployment.kinds:
            self._schedule_arrival(kind)
        while self._events:
            at, _, callback = heapq.heappop(self._events)
            self._now = at
            callback()
        summaries = {
            kind.name: self.counts_by_kind[kind.name].summarise(kind)
            for kind in self._deployment.kinds
        }
        max_worth = sum(
            k.worth * self.counts_by_kind[k.name].requests
            for k in self._deployment.kinds
        )
        earned_worth = sum(
            k.worth * self.counts_by_kind[k.name].in_time
            + k.late_worth * self.counts_by_kind[k.name].late
            for k in self._deployment.kinds
        )
        return {
            "worth": round(earned_worth / max(max_worth, 1e-9), 3),
            "kinds": summaries,
        }

    def _build_targets(self, slow_targets: int, slow_factor: float) -> None:
        self._targets: dict[str, ModelTarget] = {}
        self._regions: dict[str, str] = {}
        deployment = self._deployment
        for region, count in deployment.targets_by_region.items():
            for number in range(count):
                name = f"{region}-{number}"
                self._regions[name] = region
                self._targets[name] = ModelTarget(
                    deployment.slots,
                    deployment.queue_limit,
                    deployment.max_warm_objects,
                )
        for name in self._random.sample(sorted(self._targets), slow_targets):
            self._targets[name].slowdown = slow_factor

    def _build_entries(self, build_pool: PoolBuilder) -> None:
        # Requests arrive in each region at the same rate.
        self._demand = dict.fromkeys(self._deployment.entries_by_region, 1.0)
        self._pools: list[ServicePool] = []
        self._pool_indices: dict[str, list[int]] = {}
        for region, count in self._deployment.entries_by_region.items():
            for _ in range(count):
                self._pool_indices.setdefault(region, []).append(len(self._pools))
                self._pools.append(self._build_pool(region, build_pool))

    def _build_pool(self, region: str, build_pool: PoolBuilder) -> ServicePool:
        pool = build_pool(TargetSelector(entry_id=region), self._random)
        for name, target_region in self._regions.items():
            is_own = target_region == region
            latency = SAME_REGION_LATENCY_S if is_own else OTHER_REGION_LATENCY_S
            target = Target(
                id=name,
                start_time_ms=0,
                sequence=0,
                service=SERVICE,
                address=name,
                data_centre=target_region,
                software="",
                slots=self._deployment.slots,
                state=TargetState.READY,
                remaining_cold_start_s=0.0,
            )
            pool.records[name] = TargetRecord(target, target_region, latency)
        records = pool.records.values()
        pool.selector.ranking.set_targets(
            compute_object_weights(records, region, self._demand)
        )
        return pool

    def _schedule(self, at: float, callback: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._sequence), callback))

    def _schedule_arrival(self, kind: RequestKind) -> None:
        at = self._now + self._random.expovariate(kind.rate * self._load)
        if at < self._seconds:
            self._schedule(at, lambda: self._handle_arrival(kind))

    def _handle_arrival(self, kind: RequestKind) -> None:
        self._schedule_arrival(kind)
        region = self._random.choice(sorted(self._pool_indices))
        number = self._random.randrange(kind.object_count)
        job = Job(kind, region, f"{kind.name}|{region}|{number}", self._now)
        self.counts_by_kind[kind.name].requests += 1
        self._submit(job)

    def _submit(self, job: Job) -> None:
        job.attempts += 1
        job.entry_index = self._random.choice(self._pool_indices[job.region])
        job.request = PlacementRequest(
            service=SERVICE,
            priorities=(job.kind.priority, job.kind.priority),
            arrived_at=self._now,
            objective_at=self._now + job.kind.objective_s,
            deadline_at=job.created_at + job.kind.deadline_s,
            kind=job.kind.name,
            object_key=job.key,
        )
        pool = self._pools[job.entry_index]
        decision = pool.place(job.request, self._now)
        if isinstance(decision, Placed):
            number = pool.start(decision, job.request, self._now)
            self._send(job, attrs.evolve(decision, number=number))
        else:
            self._retry_or_refuse(job, decision.retry_after_s)

    def _send(self, job: Job, placed: Placed) -> None:
        job.placed = placed
        job.sent_at = self._now
        latency = placed.record.latency_s
        self._schedule(self._now + latency, lambda: self._reach_target(job))

    def _reach_target(self, job: Job) -> None:
        assert job.placed is not None
        target = self._targets[job.placed.record.id]
        if target.running < target.slots:
            self._start_work(job, target)
        elif len(target.queue) < target.queue_limit:
            target.queue.append(job)
        else:
            self._send_response(job, target, Outcome.SHED)

    def _start_work(self, job: Job, target: ModelTarget) -> None:
        target.running += 1
        fraction = WARM_WORK_FRACTION if target.use_object(job.key) else 1.0
        spread = self._random.uniform(1 - WORK_SPREAD, 1 + WORK_SPREAD)
        work = job.kind.work_s * fraction * spread * target.slowdown
        self._schedule(self._now + work, lambda: self._finish_work(job, target))

    def _finish_work(self, job: Job, target: ModelTarget) -> None:
        self._send_response(job, target, Outcome.OK)
        target.running -= 1
        if target.queue:
            self._start_work(target.queue.pop(0), target)

    def _send_response(self, job: Job, target: ModelTarget, outcome: Outcome) -> None:
        assert job.placed is not None
        report = LoadReport(target.running, len(target.queue), target.slots)
        at = self._now + job.placed.record.latency_s
        self._schedule(at, lambda: self._receive_response(job, outcome, report))

    def _receive_response(self, job: Job, outcome: Outcome, report: LoadReport) -> None:
        assert job.placed is not None and job.request is not None
        pool = self._pools[job.entry_index]
        pool.finish(
            job.placed,
            job.request,
            outcome,
            seconds=self._now - job.sent_at,
            report=report,
            now=self._now,
        )
        if outcome is Outcome.OK:
            self._count_response(job)
        else:
            self._retry_or_refuse(job, 0.1)

    def _count_response(self, job: Job) -> None:
        duration = self._now - job.created_at
        counts = self.counts_by_kind[job.kind.name]
        counts.durations.append(duration)
        if duration <= job.kind.objective_s:
            counts.in_time += 1
        elif duration <= job.kind.deadline_s:
            counts.late += 1
        else:
            counts.refused += 1

    def _retry_or_refuse(self, job: Job, retry_after_s: float) -> None:
        remaining_s = job.created_at + job.kind.deadline_s - self._now
        if job.attempts > 1 or remaining_s <= 0:
            self.counts_by_kind[job.kind.name].refused += 1
            return
        delay = min(retry_after_s, remaining_s * MAX_RETRY_DELAY_FRACTION)
        self._schedule(self._now + delay, lambda: self._submit(job))


def compute_worth_bound(
    deployment: Deployment,
    *,
    load: float,
    seconds: float,
    slow_targets: int = 0,
    slow_factor: float = 5.0,
) -> float:
    """Return an upper bound of the worth that any placement can earn.

    The first request for each object is cold. All others are warm, wait for nothing and
    fill the slots in the order of their worth for each second of work.
    """
    target_count = sum(deployment.targets_by_region.values())
    speed = target_count - slow_targets + slow_targets / slow_factor
    capacity_s = speed * deployment.slots * seconds
    max_worth = earned_worth = 0.0
    kinds = sorted(deployment.kinds, key=lambda item: -item.worth / item.work_s)
    for kind in kinds:
        requests = kind.rate * load * seconds
        max_worth += kind.worth * requests
        objects = kind.object_count * len(deployment.entries_by_region)
        cold = min(objects, requests, capacity_s / kind.work_s)
        is_in_time = kind.work_s * (1 - WORK_SPREAD) <= kind.objective_s
        earned_worth += cold * (kind.worth if is_in_time else kind.late_worth)
        capacity_s -= cold * kind.work_s
        warm_work_s = kind.work_s * WARM_WORK_FRACTION
        warm = max(min(requests - cold, capacity_s / warm_work_s), 0.0)
        earned_worth += warm * kind.worth
        capacity_s -= warm * warm_work_s
    return earned_worth / max(max_worth, 1e-9)


def list_candidates(
    selector: TargetSelector, records: Iterable[TargetRecord], request: PlacementRequest
) -> list[TargetRecord]:
    """Return the targets from which a baseline may choose."""
    return [item for item in records if selector.has_candidate([item], request)]
