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
from benchmarks._fleet import CALLERS_PER_REGION, LOOKUP_TTL_S, Fleet, ShiftCap
from toucanwood.utils import run_virtual

WARM_UP_S = 20.0
# Fractions of the load that the eight organisations send; a few of them are large.
ORGANISATION_SHARES = [0.30, 0.25, 0.15, 0.10, 0.08, 0.05, 0.04, 0.03]
GREEDY_ORGANISATION = "o4"
GREEDY_FACTOR = 6.0
# Time from the start of the measurement to the event of the scenario.
EVENT_DELAY_S = 5.0


@attrs.frozen(kw_only=True)
class Deployment:
    """The sizes and delays of one deployment; times are in seconds."""

    regions: dict[str, list[str]]
    centre_delay: float
    caller_delay: float
    region_delay: float = 0.012
    target_count: int = 14
    slots: int = 6
    mean_duration: float = 0.1
    deadline: float = 2.0
    # Shorter than the interval in production, so that a whole drain fits into one run.
    cap: ShiftCap = ShiftCap(fraction=0.1, interval=4.0)

    @property
    def centres(self):
        """Return the data centres, alternating between the regions."""
        pairs = zip(*self.regions.values(), strict=True)
        return [centre for pair in pairs for centre in pair]

    @property
    def entries(self):
        """Return the data centres of the eight entries by entry id."""
        centres = self.centres
        return {f"e{index}": centres[index % len(centres)] for index in range(8)}

    @property
    def target_centres(self):
        """Return the data centre of each target."""
        centres = self.centres
        return [centres[index % len(centres)] for index in range(self.target_count)]


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
    """The load and the event of one run; `seconds` is the duration measured.

    `load` is the fraction of all slots that the requests need.
    """

    load: float
    seconds: float = 30.0
    event: str = ""
    has_greedy_organisation: bool = False


SCENARIOS = {
    "steady60": Scenario(load=0.60),
    "steady95": Scenario(load=0.95),
    "overload150": Scenario(load=1.50, seconds=20.0),
    "greedy": Scenario(load=0.70, has_greedy_organisation=True, seconds=20.0),
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
    """Run one scenario; policies named direct-* do without slot owners."""
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
    spec = DEPLOYMENTS[deployment]
    fleet = Fleet(spec, scenario, policy, seed)
    fleet.homes = list_home_regions(spec, homes)
    run_virtual(run_fleet(fleet, scenario, seed))
    names = {f"o{index}" for index in range(len(ORGANISATION_SHARES))}
    within = (
        names - {GREEDY_ORGANISATION} if scenario.has_greedy_organisation else names
    )
    figures = fleet.metrics.summarise(
        slots=spec.target_count * spec.slots,
        mean_duration=spec.mean_duration,
        seconds=scenario.seconds,
        within_rate=within,
    )
    cpu = time.process_time() - started
    labels = {"scenario": scenario_name, "policy": policy, "deployment": deployment}
    labels["homes"] = homes
    return {**labels, "seed": seed, **figures, "cpu_s": round(cpu, 1)}


async def run_fleet(fleet, scenario, seed):
    """Warm up, measure while the event happens, and let open requests finish."""
    await fleet.start()
    await asyncio.sleep(4.0)
    for index, share in enumerate(ORGANISATION_SHARES):
        name = f"o{index}"
        rate = compute_rate(fleet.deployment, scenario.load) * share
        rng = random.Random(f"{seed}/{name}")
        fleet.spawn(send_requests(fleet, name, rate, scenario, rng))
    await asyncio.sleep(WARM_UP_S)
    fleet.is_measuring = True
    await asyncio.sleep(EVENT_DELAY_S)
    start_event(fleet, scenario.event)
    await asyncio.sleep(scenario.seconds - EVENT_DELAY_S)
    fleet.is_measuring = False
    await asyncio.sleep(fleet.deployment.deadline)


def list_home_regions(deployment, homes):
    """Return home regions, each of which is the home of equally many callers.

    A region is repeated for each of its targets unless `homes` is "even".
    """
    if homes == "even":
        return list(deployment.regions)
    regions = deployment.regions.items()
    return [
        region
        for centre in deployment.target_centres
        for region, centres in regions
        if centre in centres
    ]


def compute_rate(deployment, load):
    """Return the requests per second that occupy a fraction `load` of all slots."""
    return load * deployment.target_count * deployment.slots / deployment.mean_duration


async def send_requests(fleet, name, rate, scenario, rng):
    """Send requests at random times, from callers that cache their lookups."""
    homes = fleet.homes
    cached = {}
    while True:
        is_greedy = (
            scenario.has_greedy_organisation
            and name == GREEDY_ORGANISATION
            and fleet.is_measuring
        )
        await asyncio.sleep(rng.expovariate(rate * (GREEDY_FACTOR if is_greedy else 1)))
        caller = rng.randrange(CALLERS_PER_REGION * len(homes))
        home = homes[caller % len(homes)]
        entries, expires_at = cached.get(caller, (None, 0.0))
        if fleet.now() >= expires_at:
            entries = fleet.look_up(home)
            cached[caller] = entries, fleet.now() + LOOKUP_TTL_S
        fleet.spawn(fleet.request(entries, name, home))


def start_event(fleet, event):
    """Start the fault or the drain of the scenario."""
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
    """Stop all entries and targets of a region at once."""
    for entry in fleet.entries:
        if entry.region == region:
            entry.is_alive = False
            fleet.network.stop(entry.id)
    for worker in fleet.workers.values():
        if worker.region == region:
            worker.is_alive = False
