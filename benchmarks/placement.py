"""Compare placement policies side by side in virtual time.

The load, targets and callers follow the two deployments of the design page. Run
``python -m benchmarks placement --json -``; a run of all policies takes about a minute.
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
    Kind,
    PoolBuilder,
    Simulation,
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

SECONDS = 20.0

DEPLOYMENTS = {
    "buscador": Deployment(
        targets_by_region={"norte": 6, "occidente": 2, "sureste": 6},
        slots=6,
        queue=18,
        kept_objects=37,
        entries_by_region={"norte": 3, "occidente": 3, "sureste": 2},
        kinds=(Kind("lookup", 157, 0.64, 0.4, 3.0, 1.0, 0.2, 2, 39),),
    ),
    "kasse": Deployment(
        targets_by_region={"ost": 2, "west": 4, "sued": 6},
        slots=4,
        queue=12,
        kept_objects=30,
        entries_by_region={"ost": 3, "west": 3, "sued": 2},
        kinds=(Kind("order", 119, 0.48, 0.3, 2.5, 2.0, 0.4, 1, 29),),
    ),
    "archiv": Deployment(
        targets_by_region={"ost": 2, "west": 4, "sued": 6},
        slots=3,
        queue=9,
        kept_objects=50,
        entries_by_region={"ost": 3, "west": 3, "sued": 2},
        kinds=(
            Kind("download", 39.4, 0.288, 0.2, 1.5, 1.0, 0.2, 2, 24),
            Kind("urgent", 95.5, 0.144, 0.12, 0.8, 2.0, 0.4, 1, 24),
        ),
    ),
    # retiro-cintas-grown: one of many entries hears of each target seldom.
    "buscador-grown": Deployment(
        targets_by_region={"norte": 24, "occidente": 5, "sureste": 20},
        slots=6,
        queue=18,
        kept_objects=35,
        entries_by_region={"norte": 20, "occidente": 20, "sureste": 19},
        kinds=(Kind("lookup", 536, 0.68, 0.656, 3.93, 1.0, 0.2, 2, 134),),
    ),
    "expedientes-grown": Deployment(
        targets_by_region={"norte": 6, "occidente": 1, "sureste": 5},
        slots=6,
        queue=18,
        kept_objects=61,
        entries_by_region={"norte": 20, "occidente": 20, "sureste": 19},
        kinds=(
            Kind("archive", 94, 0.52, 0.863, 5.39, 1.0, 0.2, 2, 23),
            Kind("batch", 145, 0.268, 0.359, 2.157, 2.0, 0.4, 1, 36),
        ),
    ),
}

Pick = Callable[[list[TargetRecord], float], TargetRecord]


class BaselineSelector(TargetSelector):
    """Choose a target by a simple rule, without regard to room or objects."""

    pick: Pick

    def choose(
        self,
        records: Mapping[str, TargetRecord],
        request: PlacementRequest,
        times: ResponseTimes,
        now: float,
        *,
        is_urgent: bool = True,
    ) -> Choice | None:
        """Return the target that the rule picks."""
        candidates = list_candidates(self, records.values(), request)
        if not candidates:
            return None
        record = self.pick(candidates, now)
        return Choice(record, 0.0, True, 0.5, True)


class UnawarePool(ServicePool):
    """Place by load and time alone, without regard to objects."""

    def place(self, request: PlacementRequest, now: float) -> Placed | Refused:
        """Decide on a request as if it concerned no object."""
        return super().place(attrs.evolve(request, object_key=None), now)


def _build_present(selector: TargetSelector, draw: random.Random) -> ServicePool:
    return ServicePool(selector.entry_id, selector, draw)


def _build_unaware(selector: TargetSelector, draw: random.Random) -> ServicePool:
    return UnawarePool(selector.entry_id, selector, draw)


def _build_baseline(make_pick: Callable[[random.Random], Pick]) -> PoolBuilder:
    def build(selector: TargetSelector, draw: random.Random) -> ServicePool:
        baseline = BaselineSelector(entry_id=selector.entry_id)
        baseline.pick = make_pick(draw)
        return ServicePool(selector.entry_id, baseline, draw)

    return build


def _pick_random(draw: random.Random) -> Pick:
    return lambda candidates, now: draw.choice(candidates)


def _pick_round_robin(draw: random.Random) -> Pick:
    turns = itertools.count(draw.randrange(1000))
    return lambda candidates, now: candidates[next(turns) % len(candidates)]


def _pick_least_load(draw: random.Random) -> Pick:
    def pick(candidates: list[TargetRecord], now: float) -> TargetRecord:
        return min(
            candidates, key=lambda item: (item.estimate_load(now), draw.random())
        )

    return pick


POLICIES: dict[str, PoolBuilder] = {
    "present": _build_present,
    "unaware": _build_unaware,
    "random": _build_baseline(_pick_random),
    "round-robin": _build_baseline(_pick_round_robin),
    "least-load": _build_baseline(_pick_least_load),
}


def measure_placement(
    deployment: Annotated[str, typer.Option(help=", ".join(DEPLOYMENTS))] = "buscador",
    load: Annotated[float, typer.Option(help="times the usual rates")] = 1.0,
    slow: Annotated[int, typer.Option(help="targets that are five times slower")] = 0,
    seconds: Annotated[float, typer.Option(help="virtual seconds")] = SECONDS,
    seed: int = 1,
    json_path: JsonOption = "-",
) -> None:
    """Play one load against every policy and write what became of the requests."""
    figures: dict[str, Any] = {"deployment": deployment, "load": load, "seed": seed}
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
