"""Latency, fairness and safety of dispatch and steering under load and faults."""

import asyncio
import json
import pathlib
import random
import time
from typing import Annotated

import attrs
import structlog
import typer

from benchmarks._baselines import SELECTORS
from benchmarks._fleet import CALLERS_PER_REGION, LOOKUP_TTL_S, Cap, Fleet
from toucanwood.utils import run_virtual

WARM_UP_S = 20.0
# Eight organisations, a few of them large.
SHARES = [0.30, 0.25, 0.15, 0.10, 0.08, 0.05, 0.04, 0.03]
GREEDY = "o4"
GREEDY_FACTOR = 6.0
DRAIN_AFTER_S = 5.0


@attrs.frozen(kw_only=True)
class Deployment:
    """Describe the sizes and delays of one deployment; times in seconds."""

    regions: dict[str, list[str]]
    centre_delay: float
    caller_delay: float
    region_delay: float = 0.012
    workers: int = 14
    slots: int = 6
    mean_duration: float = 0.1
    deadline: float = 2.0
    # A shorter interval than deployed, so that a whole drain fits into one run.
    cap: Cap = Cap(fraction=0.1, interval=4.0)

    @property
    def centres(self):
        """Return the data centres, alternating between the regions."""
        pairs = zip(*self.regions.values(), strict=True)
        return [centre for pair in pairs for centre in pair]

    @property
    def entries(self):
        """Return eight entries by id."""
        centres = self.centres
        return {f"e{index}": centres[index % len(centres)] for index in range(8)}

    @property
    def target_centres(self):
        """Return the data centre of each worker."""
        centres = self.centres
        return [centres[index % len(centres)] for index in range(self.workers)]


def build_regions(*names):
    """Return two data centres for each region."""
    return {name: [f"{name}-1", f"{name}-2"] for name in names}


DEPLOYMENTS = {
    "A": Deployment(
        regions=build_regions("norte", "occidente", "sureste"),
        centre_delay=0.0005,
        caller_delay=0.001,
    ),
    "B": Deployment(
        regions=build_regions("ost", "west", "sued"),
        centre_delay=0.0014,
        caller_delay=0.003,
    ),
}


@attrs.frozen(kw_only=True)
class Scenario:
    """Describe the load and the event of one run; times in seconds."""

    load: float
    seconds: float = 30.0
    event: str = ""
    has_greedy: bool = False


SCENARIOS = {
    "steady60": Scenario(load=0.60),
    "steady95": Scenario(load=0.95),
    "overload150": Scenario(load=1.50, seconds=20.0),
    "greedy": Scenario(load=0.70, has_greedy=True, seconds=20.0),
    "drain": Scenario(load=0.40, event="drain", seconds=60.0),
    "region-loss": Scenario(load=0.40, event="lose", seconds=60.0),
    "frozen": Scenario(load=0.90, event="freeze"),
    "fast-errors": Scenario(load=0.60, event="fail"),
}
POLICIES = [*SELECTORS, *(f"direct-{name}" for name in SELECTORS if name != "default")]


def measure_steering(
    scenario: Annotated[str, typer.Option(help=", ".join(SCENARIOS))] = "steady95",
    policy: Annotated[str, typer.Option(help="all, " + ", ".join(POLICIES))] = (
        "default"
    ),
    deployment: Annotated[str, typer.Option(help="A or B")] = "A",
    seed: int = 1,
    homes: Annotated[
        str, typer.Option(help="even, or by-slots of the region")
    ] = "even",
    output: Annotated[str, typer.Option("--json", help="A file, or - ")] = "-",
) -> None:
    """Run one scenario; policies named direct-* use no slot owners."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(40),
    )
    policies = POLICIES if policy == "all" else policy.split(",")
    lines = [
        json.dumps(run(scenario, name, deployment=deployment, seed=seed, homes=homes))
        for name in policies
    ]
    if output == "-":
        print("\n".join(lines))
    else:
        pathlib.Path(output).write_text("\n".join(lines) + "\n")


def run(scenario_name, policy, *, deployment="A", seed=1, homes="even"):
    """Run one scenario in virtual time and return its figures."""
    started = time.process_time()
    scenario = SCENARIOS[scenario_name]
    place = DEPLOYMENTS[deployment]
    fleet = Fleet(place, scenario, policy, seed)
    fleet.homes = list_homes(place, homes)
    run_virtual(run_fleet(fleet, scenario, seed))
    names = {f"o{index}" for index in range(len(SHARES))}
    within = names - {GREEDY} if scenario.has_greedy else names
    figures = fleet.measures.summarise(
        slots=place.workers * place.slots,
        mean_duration=place.mean_duration,
        seconds=scenario.seconds,
        wrongful=within,
    )
    cpu = time.process_time() - started
    head = {"scenario": scenario_name, "policy": policy, "deployment": deployment}
    head["homes"] = homes
    return {**head, "seed": seed, **figures, "cpu_s": round(cpu, 1)}


async def run_fleet(fleet, scenario, seed):
    """Warm up, measure with the scenario's event, and let requests end."""
    await fleet.start()
    await asyncio.sleep(4.0)
    for index, share in enumerate(SHARES):
        name = f"o{index}"
        rate = find_rate(fleet.deployment, scenario.load) * share
        rng = random.Random(f"{seed}/{name}")
        fleet.spawn(send_requests(fleet, name, rate, scenario, rng))
    await asyncio.sleep(WARM_UP_S)
    fleet.is_measuring = True
    await asyncio.sleep(DRAIN_AFTER_S)
    start_event(fleet, scenario.event)
    await asyncio.sleep(scenario.seconds - DRAIN_AFTER_S)
    fleet.is_measuring = False
    await asyncio.sleep(fleet.deployment.deadline)


def list_homes(deployment, homes):
    """Return the home regions that callers have equally often."""
    if homes == "even":
        return list(deployment.regions)
    regions = deployment.regions.items()
    return [
        region
        for centre in deployment.target_centres
        for region, centres in regions
        if centre in centres
    ]


def find_rate(deployment, load):
    """Return the requests per second that use a share of all slots."""
    return load * deployment.workers * deployment.slots / deployment.mean_duration


async def send_requests(fleet, name, rate, scenario, rng):
    """Send requests at random times from callers that cache their lookups."""
    homes = fleet.homes
    cached = {}
    while True:
        is_greedy = scenario.has_greedy and name == GREEDY and fleet.is_measuring
        await asyncio.sleep(rng.expovariate(rate * (GREEDY_FACTOR if is_greedy else 1)))
        caller = rng.randrange(CALLERS_PER_REGION * len(homes))
        home = homes[caller % len(homes)]
        entries, until = cached.get(caller, (None, 0.0))
        if fleet.now() >= until:
            entries = fleet.look_up(home)
            cached[caller] = entries, fleet.now() + LOOKUP_TTL_S
        fleet.spawn(fleet.request(entries, name, home))


def start_event(fleet, event):
    """Inject the scenario's fault or change."""
    first = next(iter(fleet.deployment.regions))
    if event == "drain":
        fleet.drained = frozenset({first})
        fleet.drained_at = fleet.now()
    elif event == "lose":
        lose_region(fleet, first)
    elif event == "freeze":
        fleet.are_measurements_frozen = True
    elif event == "fail":
        fleet.workers["t00"].is_failing = True


def lose_region(fleet, region):
    """Stop every entry and target of a region at once."""
    for entry in fleet.entries:
        if entry.region == region:
            entry.is_alive = False
            fleet.network.stop(entry.id)
    for worker in fleet.workers.values():
        if worker.region == region:
            worker.is_alive = False
