"""A model of targets and callers, in virtual time, around the placement decisions."""

import heapq
import itertools
import random
from collections import OrderedDict
from collections.abc import Callable, Iterable
from typing import Any

import attrs

from toucanwood.fleet import Target, TargetState
from toucanwood.placement import (
    OWN_REGION_WEIGHT,
    LoadReport,
    Outcome,
    Placed,
    PlacementRequest,
    ServicePool,
    TargetRecord,
    TargetSelector,
)

SERVICE = "s"
SAME_REGION_S = 0.001
OTHER_REGION_S = 0.012
# Part of the work that an object which the target has warm takes.
WARM_PART = 0.3
# The work of one request varies by this part of its mean.
WORK_SPREAD = 0.15
# A caller comes back within this part of the time that it has left.
MAX_RETURN_PART = 1 / 3


@attrs.frozen
class Kind:
    """Describe one kind of request; times are in seconds."""

    name: str
    rate: float
    work_s: float
    objective_s: float
    deadline_s: float
    worth: float
    late_worth: float
    priority: int
    objects: int


@attrs.frozen
class Deployment:
    """Describe the targets of one service, and what is asked of them."""

    targets_by_region: dict[str, int]
    slots: int
    queue: int
    kept_objects: int
    entries_by_region: dict[str, int]
    kinds: tuple[Kind, ...]


@attrs.define
class ModelTarget:
    """Run up to its slots at once, queue some more, and shed the rest."""

    slots: int
    queue_limit: int
    kept_objects: int
    slowness: float = 1.0
    running: int = 0
    queue: list["Job"] = attrs.field(factory=list)
    warm: "OrderedDict[str, None]" = attrs.field(factory=OrderedDict)

    def learn(self, key: str) -> bool:
        """Note an object; return whether it was warm."""
        was_warm = key in self.warm
        self.warm[key] = None
        self.warm.move_to_end(key)
        if len(self.warm) > self.kept_objects:
            self.warm.popitem(last=False)
        return was_warm


@attrs.define(eq=False)
class Job:
    """Hold one request of a caller."""

    kind: Kind
    region: str
    key: str
    first_at: float
    tries: int = 0
    entry: int = 0
    request: PlacementRequest | None = None
    placed: Placed | None = None
    sent_at: float = 0.0


@attrs.define
class Tally:
    """Count what became of the requests of one kind."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    waits: list[float] = attrs.field(factory=list)

    def describe(self, kind: Kind) -> dict[str, float]:
        """Return the parts and the worth per request."""
        asked = max(self.asked, 1)
        earned = self.in_time * kind.worth + self.late * kind.late_worth
        waits = sorted(self.waits) or [0.0]
        return {
            "asked": self.asked,
            "in_time": round(self.in_time / asked, 3),
            "late": round(self.late / asked, 3),
            "refused": round(self.refused / asked, 3),
            "worth": round(earned / (asked * kind.worth), 3),
            "p50_ms": round(waits[len(waits) // 2] * 1000),
            "p99_ms": round(waits[int(len(waits) * 0.99)] * 1000),
        }


PoolBuilder = Callable[[TargetSelector, random.Random], ServicePool]


class Simulation:
    """Play a load against the pools of all entries."""

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
        self._order = itertools.count()
        self._now = 0.0
        self.tallies = {kind.name: Tally() for kind in deployment.kinds}
        self._build_targets(slow_targets, slow_factor)
        self._build_entries(build_pool)

    def run(self) -> dict[str, Any]:
        """Play the load and return what became of the requests, by kind."""
        for kind in self._deployment.kinds:
            self._schedule_arrival(kind)
        while self._events:
            at, _, act = heapq.heappop(self._events)
            self._now = at
            act()
        described = {
            kind.name: self.tallies[kind.name].describe(kind)
            for kind in self._deployment.kinds
        }
        total = sum(
            k.worth * self.tallies[k.name].asked for k in self._deployment.kinds
        )
        earned = sum(
            k.worth * self.tallies[k.name].in_time
            + k.late_worth * self.tallies[k.name].late
            for k in self._deployment.kinds
        )
        return {"worth": round(earned / max(total, 1e-9), 3), "kinds": described}

    def _build_targets(self, slow_targets: int, slow_factor: float) -> None:
        self._targets: dict[str, ModelTarget] = {}
        self._regions: dict[str, str] = {}
        deployment = self._deployment
        for region, count in deployment.targets_by_region.items():
            for number in range(count):
                name = f"{region}-{number}"
                self._regions[name] = region
                self._targets[name] = ModelTarget(
                    deployment.slots, deployment.queue, deployment.kept_objects
                )
        for name in self._random.sample(sorted(self._targets), slow_targets):
            self._targets[name].slowness = slow_factor

    def _build_entries(self, build_pool: PoolBuilder) -> None:
        self._pools: list[ServicePool] = []
        self._entries: dict[str, list[int]] = {}
        for region, count in self._deployment.entries_by_region.items():
            for _ in range(count):
                self._entries.setdefault(region, []).append(len(self._pools))
                self._pools.append(self._build_pool(region, build_pool))

    def _build_pool(self, region: str, build_pool: PoolBuilder) -> ServicePool:
        pool = build_pool(TargetSelector(entry_id=region), self._random)
        weights = {}
        for name, target_region in self._regions.items():
            is_own = target_region == region
            latency = SAME_REGION_S if is_own else OTHER_REGION_S
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
            weights[name] = OWN_REGION_WEIGHT if is_own else 1.0
        pool.selector.ranking.set_targets(weights)
        return pool

    def _schedule(self, at: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._order), act))

    def _schedule_arrival(self, kind: Kind) -> None:
        at = self._now + self._random.expovariate(kind.rate * self._load)
        if at < self._seconds:
            self._schedule(at, lambda: self._arrive(kind))

    def _arrive(self, kind: Kind) -> None:
        self._schedule_arrival(kind)
        region = self._random.choice(sorted(self._entries))
        number = self._random.randrange(kind.objects)
        job = Job(kind, region, f"{kind.name}|{region}|{number}", self._now)
        self.tallies[kind.name].asked += 1
        self._submit(job)

    def _submit(self, job: Job) -> None:
        job.tries += 1
        job.entry = self._random.choice(self._entries[job.region])
        job.request = PlacementRequest(
            service=SERVICE,
            priorities=(job.kind.priority, job.kind.priority),
            arrived_at=self._now,
            objective_at=self._now + job.kind.objective_s,
            deadline_at=job.first_at + job.kind.deadline_s,
            kind=job.kind.name,
            object_key=job.key,
        )
        pool = self._pools[job.entry]
        decision = pool.place(job.request, self._now)
        if isinstance(decision, Placed):
            number = pool.start(decision, job.request, self._now)
            self._send(job, attrs.evolve(decision, number=number))
        else:
            self._refuse(job, decision.retry_after_s)

    def _send(self, job: Job, placed: Placed) -> None:
        job.placed = placed
        job.sent_at = self._now
        latency = placed.record.latency_s
        self._schedule(self._now + latency, lambda: self._reach(job))

    def _reach(self, job: Job) -> None:
        assert job.placed is not None
        target = self._targets[job.placed.record.id]
        if target.running < target.slots:
            self._run(job, target)
        elif len(target.queue) < target.queue_limit:
            target.queue.append(job)
        else:
            self._answer(job, target, Outcome.SHED)

    def _run(self, job: Job, target: ModelTarget) -> None:
        target.running += 1
        part = WARM_PART if target.learn(job.key) else 1.0
        spread = self._random.uniform(1 - WORK_SPREAD, 1 + WORK_SPREAD)
        work = job.kind.work_s * part * spread * target.slowness
        self._schedule(self._now + work, lambda: self._finish(job, target))

    def _finish(self, job: Job, target: ModelTarget) -> None:
        self._answer(job, target, Outcome.OK)
        target.running -= 1
        if target.queue:
            self._run(target.queue.pop(0), target)

    def _answer(self, job: Job, target: ModelTarget, outcome: Outcome) -> None:
        assert job.placed is not None
        report = LoadReport(target.running, len(target.queue), target.slots)
        at = self._now + job.placed.record.latency_s
        self._schedule(at, lambda: self._conclude(job, outcome, report))

    def _conclude(self, job: Job, outcome: Outcome, report: LoadReport) -> None:
        assert job.placed is not None and job.request is not None
        pool = self._pools[job.entry]
        pool.finish(
            job.placed,
            job.request,
            outcome,
            seconds=self._now - job.sent_at,
            report=report,
            now=self._now,
        )
        if outcome is Outcome.OK:
            self._count(job)
        else:
            self._refuse(job, 0.1)

    def _count(self, job: Job) -> None:
        took = self._now - job.first_at
        tally = self.tallies[job.kind.name]
        tally.waits.append(took)
        if took <= job.kind.objective_s:
            tally.in_time += 1
        elif took <= job.kind.deadline_s:
            tally.late += 1
        else:
            tally.refused += 1

    def _refuse(self, job: Job, retry_after_s: float) -> None:
        left = job.first_at + job.kind.deadline_s - self._now
        if job.tries > 1 or left <= 0:
            self.tallies[job.kind.name].refused += 1
            return
        delay = min(retry_after_s, left * MAX_RETURN_PART)
        self._schedule(self._now + delay, lambda: self._submit(job))


def list_candidates(
    selector: TargetSelector, records: Iterable[TargetRecord], request: PlacementRequest
) -> list[TargetRecord]:
    """Return the targets that a baseline may choose from."""
    return [item for item in records if selector.has_candidate([item], request)]
