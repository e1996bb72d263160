"""Compare placement policies under the same load in virtual time.

The load, targets and callers follow the two deployments of the design page. Run it with
``python -m benchmarks placement --json -``; all policies take about a minute.
"""

import itertools
import random
from collections.abc import Callable, Mapping
from typing import Annotated, Any

import attrs
import typer

from benchmarks._output import JsonOption, write_json
from benchmarks._placement_model import (
    Deployment,
    PoolBuilder,
    RequestKind,
    Simulation,
    compute_worth_bound,
    list_candidates,
)
from toucanwood.placement import (
    Choice,
    Placed,
    PlacementRequest,
    Refused,
    ResponseTimes,
    ServicePool,
    TargetRecord,
    TargetSelector,
)

DEFAULT_SECONDS = 20.0

DEPLOYMENTS = {
    "buscador": Deployment(
        targets_by_region={"norte": 6, "occidente": 2, "sureste": 6},
        slots=6,
        queue_limit=18,
        max_warm_objects=37,
        entries_by_region={"norte": 3, "occidente": 3, "sureste": 2},
        kinds=(RequestKind("lookup", 157, 0.64, 0.4, 3.0, 1.0, 0.2, 2, 39),),
    ),
    "kasse": Deployment(
        targets_by_region={"ost": 2, "west": 4, "sued": 6},
        slots=4,
        queue_limit=12,
        max_warm_objects=30,
        entries_by_region={"ost": 3, "west": 3, "sued": 2},
        kinds=(RequestKind("order", 119, 0.48, 0.3, 2.5, 2.0, 0.4, 1, 29),),
    ),
    "archiv": Deployment(
        targets_by_region={"ost": 2, "west": 4, "sued": 6},
        slots=3,
        queue_limit=9,
        max_warm_objects=50,
        entries_by_region={"ost": 3, "west": 3, "sued": 2},
        kinds=(
            RequestKind("download", 39.4, 0.288, 0.2, 1.5, 1.0, 0.2, 2, 24),
            RequestKind("urgent", 95.5, 0.144, 0.12, 0.8, 2.0, 0.4, 1, 24),
        ),
    ),
    # The deployment retiro-cintas after its growth: with many entries, each of them
    # rarely learns the state of a given target.
    "buscador-grown": Deployment(
        targets_by_region={"norte": 24, "occidente": 5, "sureste": 20},
        slots=6,
        queue_limit=18,
        max_warm_objects=35,
        entries_by_region={"norte": 20, "occidente": 20, "sureste": 19},
        kinds=(RequestKind("lookup", 536, 0.68, 0.656, 3.93, 1.0, 0.2, 2, 134),),
    ),
    "expedientes-grown": Deployment(
        targets_by_region={"norte": 6, "occidente": 1, "sureste": 5},
        slots=6,
        queue_limit=18,
        max_warm_objects=61,
        entries_by_region={"norte": 20, "occidente": 20, "sureste": 19},
        kinds=(
            RequestKind("archive", 94, 0.52, 0.863, 5.39, 1.0, 0.2, 2, 23),
            RequestKind("batch", 145, 0.268, 0.359, 2.157, 2.0, 0.4, 1, 36),
        ),
    ),
}

PickTarget = Callable[[list[TargetRecord], float], TargetRecord]


class BaselineSelector(TargetSelector):
    """Choose a target by a simple rule that ignores free capacity and objects."""

    pick: PickTarget

    def choose(
        self,
        records: Mapping[str, TargetRecord],
        request: PlacementRequest,
        times: ResponseTimes,
        now: float,
        *,
        is_urgent: bool = True,
    ) -> Choice | None:
        """Return the candidate that the rule picks, or None if there is none."""
        candidates = list_candidates(self, records.values(), request)
        if not candidates:
            return None
        record = self.pick(candidates, now)
        return Choice(record, 0.0, True, 0.5, True)


class ObjectUnawarePool(ServicePool):
    """Place requests by load and response time alone, ignoring their objects."""

    def place(self, request: PlacementRequest, now: float) -> Placed | Refused:
        """Place a request as if it had no object."""
        return super().place(attrs.evolve(request, object_key=None), now)


def _build_current(selector: TargetSelector, rng: random.Random) -> ServicePool:
    return ServicePool(selector.entry_id, selector, rng)


def _build_unaware(selector: TargetSelector, rng: random.Random) -> ServicePool:
    return ObjectUnawarePool(selector.entry_id, selector, rng)


def _build_baseline(build_pick: Callable[[random.Random], PickTarget]) -> PoolBuilder:
    def build(selector: TargetSelector, rng: random.Random) -> ServicePool:
        baseline = BaselineSelector(entry_id=selector.entry_id)
        baseline.pick = build_pick(rng)
        return ServicePool(selector.entry_id, baseline, rng)

    return build


def _pick_random(rng: random.Random) -> PickTarget:
    return lambda candidates, now: rng.choice(candidates)


def _pick_round_robin(rng: random.Random) -> PickTarget:
    counter = itertools.count(rng.randrange(1000))
    return lambda candidates, now: candidates[next(counter) % len(candidates)]


def _pick_least_load(rng: random.Random) -> PickTarget:
    def pick(candidates: list[TargetRecord], now: float) -> TargetRecord:
        return min(candidates, key=lambda item: (item.estimate_load(now), rng.random()))

    return pick


POLICIES: dict[str, PoolBuilder] = {
    "present": _build_current,
    "unaware": _build_unaware,
    "random": _build_baseline(_pick_random),
    "round-robin": _build_baseline(_pick_round_robin),
    "least-load": _build_baseline(_pick_least_load),
}


def measure_placement(
    deployment: Annotated[str, typer.Option(help=", ".join(DEPLOYMENTS))] = "buscador",
    load: Annotated[
        float, typer.Option(help="factor on the usual request rates")
    ] = 1.0,
    slow: Annotated[
        int, typer.Option(help="number of targets that are five times slower")
    ] = 0,
    seconds: Annotated[
        float, typer.Option(help="duration of the load in virtual seconds")
    ] = DEFAULT_SECONDS,
    seed: int = 1,
    json_path: JsonOption = "-",
) -> None:
    """Simulate one load with every policy and write the outcomes of the requests."""
    figures: dict[str, Any] = {"deployment": deployment, "load": load, "seed": seed}
    bound = compute_worth_bound(
        DEPLOYMENTS[deployment], load=load, seconds=seconds, slow_targets=slow
    )
    figures["worth_bound"] = round(bound, 3)
    for name, build_pool in POLICIES.items():
        simulation = Simulation(
            DEPLOYMENTS[deployment],
            build_pool,
            load=load,
            seconds=seconds,
            seed=seed,
            slow_targets=slow,
        )
        figures[name] = simulation.run()
    write_json(figures, json_path)
