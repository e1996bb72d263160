"""A simulated fleet around the real dispatchers and region selectors.

Entries, targets and callers run in virtual time on a fake network.
"""

import asyncio
import random

import attrs
from returns.result import Success

from benchmarks._baselines import SELECTORS
from benchmarks._run_metrics import RunMetrics
from toucanwood.dispatch import Announcement, Dispatcher, Outcome
from toucanwood.peering.testing import FakeNetwork, LinkFaults
from toucanwood.steering import (
    Capacity,
    DemandMeter,
    RegionSelector,
    ServiceRules,
    Steering,
    SteeringCallbacks,
    measure_distance,
    rank_entries,
)

# Time until published weights are known to all entries.
FEED_DELAY_S = 0.05
LOOKUP_TTL_S = 2.0
CALLERS_PER_REGION = 40
# The first requests to a target take COLD_START_FACTOR times as long.
COLD_START_REQUESTS = 30
# Duration of a request at a target that fails every request.
ERROR_DURATION_S = 0.001
COLD_START_FACTOR = 3.0

# The next four classes hold what steering reads of the declaration and its view.


@attrs.frozen(kw_only=True)
class ShiftCap:
    fraction: float
    interval: float


@attrs.frozen(kw_only=True)
class Drains:
    regions: frozenset = frozenset()
    data_centres: frozenset = frozenset()


@attrs.frozen(kw_only=True)
class Declaration:
    drains: Drains


@attrs.frozen(kw_only=True)
class View:
    declaration: Declaration


@attrs.define(eq=False, kw_only=True)
class Entry:
    id: str
    region: str
    data_centre: str
    dispatcher: Dispatcher
    region_selector: RegionSelector
    meter: DemandMeter
    is_alive: bool = True
    load: float = 0.0
    is_leaving: bool = False


@attrs.define(eq=False, kw_only=True)
class Worker:
    """The simulated process behind a target.

    Requests beyond its slots wait in its own queue.
    """

    announcement: Announcement
    region: str
    entry: Entry
    rng: random.Random
    mean_duration: float
    is_alive: bool = True
    is_failing: bool = False
    in_flight: int = 0
    started: int = 0
    reported_load: float = 0.0
    slot_semaphore: asyncio.Semaphore

    async def run_request(self):
        """Run one request and return its outcome."""
        self.in_flight += 1
        self.started += 1
        try:
            async with self.slot_semaphore:
                await asyncio.sleep(self.draw_duration())
        finally:
            self.in_flight -= 1
        return Outcome.OK if self.is_alive and not self.is_failing else Outcome.FAILED

    def draw_duration(self):
        if self.is_failing:
            return ERROR_DURATION_S
        is_cold = self.started <= COLD_START_REQUESTS
        mean = self.mean_duration * (COLD_START_FACTOR if is_cold else 1.0)
        return self.rng.gammavariate(2.0, mean / 2.0)


class Fleet:
    """Simulate the entries, targets and callers of one deployment."""

    def __init__(self, deployment, scenario, policy, seed):
        self.deployment = deployment
        self.scenario = scenario
        self.policy = policy
        self.rng = random.Random(seed)
        self.network = FakeNetwork(seed)
        self.metrics = RunMetrics()
        self.published = {}
        self.drained = frozenset()
        self.region_of = {
            centre: region
            for region, centres in deployment.regions.items()
            for centre in centres
        }
        self.entries = []
        self.workers = {}
        self.is_measuring = False
        self.are_measurements_frozen = False
        self.weight_history = []
        self.direct_selectors = {}
        self.homes = []
        self.tasks = set()

    # Construction

    async def start(self):
        """Start every entry and target."""
        for name, centre in self.deployment.entries.items():
            await self.add_entry(name, centre)
        self.set_delays()
        for index, centre in enumerate(self.deployment.target_centres):
            self.add_worker(f"t{index:02}", centre)
        for worker in self.workers.values():
            self.spawn(self.announce(worker))
        self.spawn(self.sample())

    async def add_entry(self, name, centre):
        transport = self.network.create_transport(name)
        rng = random.Random(f"{name}/{self.rng.random()}")
        selector = SELECTORS.get(self.policy, SELECTORS["default"])(rng.random())
        dispatcher = Dispatcher(
            transport=transport,
            data_centre=centre,
            incarnation=1,
            members=lambda: [entry.id for entry in self.entries if entry.is_alive],
            find_region=self.region_of.get,
            random=rng,
            selector=selector,
        )
        now = self.now()
        meter = DemandMeter(now=now)
        region_selector = RegionSelector(
            cap=lambda service: self.deployment.cap,
            published=lambda service, home: self.published.get(home, {}),
            capacity=lambda service, region: Capacity(
                dispatcher.count_slots(service, region),
                dispatcher.count_free(service, region),
            ),
            regions=lambda: self.deployment.regions,
            now=now,
        )
        entry = Entry(
            id=name,
            region=self.region_of[centre],
            data_centre=centre,
            dispatcher=dispatcher,
            region_selector=region_selector,
            meter=meter,
        )
        self.entries.append(entry)
        await dispatcher.start()
        steering = Steering(
            transport=transport, meter=meter, callbacks=self.build_callbacks(entry)
        )
        await steering.start()

    def build_callbacks(self, entry):
        rules = {"s": ServiceRules(cap=self.deployment.cap)}
        return SteeringCallbacks(
            leader=lambda: (
                None if self.are_measurements_frozen else self.find_leader().id
            ),
            is_leader=lambda: self.find_leader() is entry,
            services=lambda: rules,
            regions=lambda: self.deployment.regions,
            drained=lambda: self.drained,
            slots=entry.dispatcher.count_slots,
            published=lambda service, home: self.published.get(home, {}),
            publish=self.publish,
        )

    def find_leader(self):
        # The last entry is outside the region that the scenarios drain or lose.
        return [entry for entry in self.entries if entry.is_alive][-1]

    async def publish(self, service, home, weights):
        await asyncio.sleep(FEED_DELAY_S)
        self.published[home] = weights
        return True

    def set_delays(self):
        for first in self.entries:
            for second in self.entries:
                delay = self.get_delay(first.data_centre, second.data_centre)
                faults = LinkFaults(min_delay=delay, max_delay=delay)
                self.network.set_faults(first.id, second.id, faults)

    def get_delay(self, first_centre, second_centre):
        if self.region_of[first_centre] != self.region_of[second_centre]:
            return self.deployment.region_delay
        return self.deployment.centre_delay if first_centre != second_centre else 0.0001

    def add_worker(self, name, centre):
        nearby = [e for e in self.entries if e.data_centre == centre]
        region = self.region_of[centre]
        nearby = nearby or [e for e in self.entries if e.region == region]
        announcement = Announcement(
            id=name,
            service="s",
            address=name,
            data_centre=centre,
            slots=self.deployment.slots,
            load=0.0,
        )
        self.workers[name] = Worker(
            announcement=announcement,
            region=region,
            entry=nearby[len(self.workers) % len(nearby)],
            rng=random.Random(self.rng.random()),
            mean_duration=self.deployment.mean_duration,
            slot_semaphore=asyncio.Semaphore(self.deployment.slots),
        )

    # Periodic work

    def spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def announce(self, worker):
        await asyncio.sleep(self.rng.random())
        while worker.is_alive:
            if not self.are_measurements_frozen:
                worker.reported_load = min(
                    worker.in_flight / worker.announcement.slots, 1.0
                )
            announcement = attrs.evolve(worker.announcement, load=worker.reported_load)
            worker.announcement = announcement
            if worker.entry.is_alive:
                await worker.entry.dispatcher.announce(announcement)
            await asyncio.sleep(1.0)

    async def sample(self):
        while True:
            await asyncio.sleep(0.5)
            self.sample_region_shift()
            if self.is_measuring:
                self.sample_headroom()

    def sample_region_shift(self):
        now = self.now()
        cap = self.deployment.cap
        weights = {
            entry.id: entry.region_selector.dump()
            for entry in self.entries
            if entry.is_alive
        }
        window = [item for item in self.weight_history if item[0] >= now - cap.interval]
        for home in self.deployment.regions:
            for _, earlier in window:
                shift = self.measure_shift(earlier, weights, f"s@{home}")
                excess = shift - cap.fraction
                self.metrics.max_over_cap = max(self.metrics.max_over_cap, excess)
        self.weight_history = [*window, (now, weights)]

    def measure_shift(self, earlier, later, key):
        distances = [
            measure_distance(earlier[name][key], weights[key])
            for name, weights in later.items()
            if key in weights and key in earlier.get(name, {})
        ]
        return sum(distances) / len(distances) if distances else 0.0

    def sample_headroom(self):
        """Record the fraction of free slots in the busiest region."""
        headrooms = []
        for region in self.deployment.regions:
            workers = [w for w in self.workers.values() if w.region == region]
            slots = sum(w.announcement.slots for w in workers if w.is_alive)
            if not slots or region in self.drained:
                continue
            busy = sum(min(w.in_flight, w.announcement.slots) for w in workers)
            headrooms.append(1.0 - busy / slots)
        self.metrics.headrooms.append(min(headrooms))

    def now(self):
        return asyncio.get_running_loop().time()

    # Requests

    def look_up(self, home):
        """Return the entries in the order in which a caller should try them."""
        drains = Drains(regions=self.drained)
        members = [entry for entry in self.entries if entry.is_alive]
        view = View(declaration=Declaration(drains=drains))
        return rank_entries(view, members, home, self.now())

    async def request(self, entries, organisation, home):
        """Send one request from a caller and record its outcome."""
        is_counted = self.is_measuring
        started = self.now()
        await asyncio.sleep(self.deployment.caller_delay)
        entry = next((entry for entry in entries if entry.is_alive), None)
        entry = entry or self.look_up(home)[0]
        outcome, code = await self.serve(entry, organisation, home, started)
        await asyncio.sleep(self.deployment.caller_delay)
        if not is_counted:
            return
        metrics = self.metrics
        metrics.offered[organisation] += 1
        if outcome is Outcome.OK:
            metrics.served[organisation] += 1
            metrics.record_latency(self.now() - started)
        elif outcome is None:
            metrics.refused[organisation] += 1
            metrics.codes[code] += 1
        else:
            metrics.failed[organisation] += 1

    async def serve(self, entry, organisation, home, started):
        region = entry.region_selector.choose("s", home, self.now())
        if not isinstance(region, Success):
            entry.meter.record_refusal("s", home)
            return None, region.failure().code
        deadline = started + self.deployment.deadline
        if self.policy.startswith("direct-"):
            return await self.serve_without_owners(
                entry, home, region.unwrap(), deadline
            )
        result = await entry.dispatcher.acquire(
            "s", organisation, region.unwrap(), deadline=deadline
        )
        if not isinstance(result, Success):
            entry.meter.record_refusal("s", home)
            return None, result.failure().code
        lease = result.unwrap()
        worker = self.workers[lease.target_id]
        sent_at = self.now()
        outcome = await self.run_on_worker(worker, entry, deadline)
        entry.meter.record("s", home, self.now() - sent_at)
        entry.dispatcher.release(lease, outcome)
        return outcome, ""

    async def run_on_worker(self, worker, entry, deadline):
        delay = self.get_delay(entry.data_centre, worker.announcement.data_centre)
        if not worker.is_alive:
            await asyncio.sleep(delay * 2)
            return Outcome.FAILED
        self.record_start(worker)
        try:
            async with asyncio.timeout_at(deadline):
                await asyncio.sleep(delay)
                outcome = await worker.run_request()
                await asyncio.sleep(delay)
        except TimeoutError:
            return Outcome.FAILED
        return outcome if entry.is_alive else Outcome.FAILED

    def record_start(self, worker):
        excess = worker.in_flight + 1 - worker.announcement.slots
        self.metrics.max_over_slots = max(self.metrics.max_over_slots, excess)
        if worker.region in self.drained:
            self.metrics.drain_time = self.now() - self.drained_at

    async def serve_without_owners(self, entry, home, region, deadline):
        """Run a request on a target that the entry chooses without slot owners."""
        name = self.policy.removeprefix("direct-")
        key = entry.id, region
        if key not in self.direct_selectors:
            self.direct_selectors[key] = SELECTORS[name](self.rng.random()), {}
        selector, known_targets = self.direct_selectors[key]
        workers = [
            w for w in self.workers.values() if w.region == region and w.is_alive
        ]
        if not workers:
            return None, "no_target"
        targets = [
            known_targets.setdefault(w.announcement.id, KnownTarget()) for w in workers
        ]
        for target, worker in zip(targets, workers, strict=True):
            target.id = worker.announcement.id
            target.announcement = worker.announcement
        target = selector.select(targets, self.now())
        target.started += 1
        target.in_flight += 1
        worker = self.workers[target.id]
        outcome = await self.run_on_worker(worker, entry, deadline)
        # The observed time would include the wait in the target's queue, which is not
        # part of the demand.
        entry.meter.record("s", home, self.deployment.mean_duration)
        target.in_flight -= 1
        target.ended += 1
        return outcome, ""


@attrs.define(eq=False)
class KnownTarget:
    """What one entry knows of a target to which it sends without slot owners."""

    id: str = ""
    announcement: Announcement | None = None
    started: int = 0
    ended: int = 0
    in_flight: int = 0

    mean_duration: float | None = None

    @property
    def slots(self):
        return self.announcement.slots

    def limit(self, now):
        return self.announcement.slots
