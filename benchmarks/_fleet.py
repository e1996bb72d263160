"""A fleet of the product's dispatchers and region selectors in virtual time."""

import asyncio
import random

import attrs
from returns.result import Success

from benchmarks._baselines import SELECTORS
from benchmarks._run_metrics import Measures
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

FEED_DELAY_S = 0.05
LOOKUP_TTL_S = 2.0
CALLERS_PER_REGION = 40
SLOW_START_REQUESTS = 30
ERROR_S = 0.001
COLD_FACTOR = 3.0


@attrs.frozen(kw_only=True)
class Cap:
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
    """Run requests on a target; more than its slots wait in its own queue."""

    announcement: Announcement
    region: str
    entry: Entry
    rng: random.Random
    mean_duration: float
    is_alive: bool = True
    is_failing: bool = False
    in_flight: int = 0
    started: int = 0
    reported: float = 0.0
    gate: asyncio.Semaphore

    async def work(self):
        """Return the outcome of one request."""
        self.in_flight += 1
        self.started += 1
        try:
            async with self.gate:
                await asyncio.sleep(self.draw_duration())
        finally:
            self.in_flight -= 1
        return Outcome.OK if self.is_alive and not self.is_failing else Outcome.FAILED

    def draw_duration(self):
        if self.is_failing:
            return ERROR_S
        is_cold = self.started <= SLOW_START_REQUESTS
        mean = self.mean_duration * (COLD_FACTOR if is_cold else 1.0)
        return self.rng.gammavariate(2.0, mean / 2.0)


class Fleet:
    """Build entries, targets and callers of one deployment."""

    def __init__(self, deployment, scenario, policy, seed):
        self.deployment = deployment
        self.scenario = scenario
        self.policy = policy
        self.rng = random.Random(seed)
        self.network = FakeNetwork(seed)
        self.measures = Measures()
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
        self.history = []
        self.direct = {}
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
            region_of=self.region_of.get,
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
        # The last entry is not in the region that the scenarios drain or lose.
        return [entry for entry in self.entries if entry.is_alive][-1]

    async def publish(self, service, home, weights):
        await asyncio.sleep(FEED_DELAY_S)
        self.published[home] = weights
        return True

    def set_delays(self):
        for first in self.entries:
            for second in self.entries:
                delay = self.find_delay(first.data_centre, second.data_centre)
                faults = LinkFaults(min_delay=delay, max_delay=delay)
                self.network.set_faults(first.id, second.id, faults)

    def find_delay(self, first, second):
        if self.region_of[first] != self.region_of[second]:
            return self.deployment.region_delay
        return self.deployment.centre_delay if first != second else 0.0001

    def add_worker(self, name, centre):
        near = [e for e in self.entries if e.data_centre == centre]
        region = self.region_of[centre]
        near = near or [e for e in self.entries if e.region == region]
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
            entry=near[len(self.workers) % len(near)],
            rng=random.Random(self.rng.random()),
            mean_duration=self.deployment.mean_duration,
            gate=asyncio.Semaphore(self.deployment.slots),
        )

    # Periodic work

    def spawn(self, main):
        task = asyncio.get_running_loop().create_task(main)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def announce(self, worker):
        await asyncio.sleep(self.rng.random())
        while worker.is_alive:
            if not self.are_measurements_frozen:
                worker.reported = min(worker.in_flight / worker.announcement.slots, 1.0)
            announcement = attrs.evolve(worker.announcement, load=worker.reported)
            worker.announcement = announcement
            if worker.entry.is_alive:
                await worker.entry.dispatcher.announce(announcement)
            await asyncio.sleep(1.0)

    async def sample(self):
        while True:
            await asyncio.sleep(0.5)
            self.sample_shift()
            if self.is_measuring:
                self.sample_headroom()

    def sample_shift(self):
        now = self.now()
        cap = self.deployment.cap
        plans = {
            entry.id: entry.region_selector.dump()
            for entry in self.entries
            if entry.is_alive
        }
        window = [item for item in self.history if item[0] >= now - cap.interval]
        for home in self.deployment.regions:
            for _, earlier in window:
                moved = self.measure_moved(earlier, plans, f"s@{home}")
                over = moved - cap.fraction
                self.measures.most_over_cap = max(self.measures.most_over_cap, over)
        self.history = [*window, (now, plans)]

    def measure_moved(self, earlier, later, key):
        distances = [
            measure_distance(earlier[name][key], plans[key])
            for name, plans in later.items()
            if key in plans and key in earlier.get(name, {})
        ]
        return sum(distances) / len(distances) if distances else 0.0

    def sample_headroom(self):
        """Record the free share of the slots of the busiest region."""
        headrooms = []
        for region in self.deployment.regions:
            workers = [w for w in self.workers.values() if w.region == region]
            slots = sum(w.announcement.slots for w in workers if w.is_alive)
            if not slots or region in self.drained:
                continue
            busy = sum(min(w.in_flight, w.announcement.slots) for w in workers)
            headrooms.append(1.0 - busy / slots)
        self.measures.headrooms.append(min(headrooms))

    def now(self):
        return asyncio.get_running_loop().time()

    # Requests

    def look_up(self, home):
        """Return the entries in the order in which a caller tries them."""
        drains = Drains(regions=self.drained)
        members = [entry for entry in self.entries if entry.is_alive]
        view = View(declaration=Declaration(drains=drains))
        return rank_entries(view, members, home, self.now())

    async def request(self, entries, organisation, home):
        """Run one request from its caller and record the outcome."""
        counts = self.is_measuring
        started = self.now()
        await asyncio.sleep(self.deployment.caller_delay)
        entry = next((entry for entry in entries if entry.is_alive), None)
        entry = entry or self.look_up(home)[0]
        outcome, code = await self.serve(entry, organisation, home, started)
        await asyncio.sleep(self.deployment.caller_delay)
        if not counts:
            return
        measures = self.measures
        measures.offered[organisation] += 1
        if outcome is Outcome.OK:
            measures.served[organisation] += 1
            measures.add_latency(self.now() - started)
        elif outcome is None:
            measures.refused[organisation] += 1
            measures.codes[code] += 1
        else:
            measures.failed[organisation] += 1

    async def serve(self, entry, organisation, home, started):
        region = entry.region_selector.choose("s", home, self.now())
        if not isinstance(region, Success):
            entry.meter.record_refusal("s", home)
            return None, region.failure().code
        deadline = started + self.deployment.deadline
        if self.policy.startswith("direct-"):
            return await self.serve_directly(entry, home, region.unwrap(), deadline)
        result = await entry.dispatcher.acquire(
            "s", organisation, region.unwrap(), deadline=deadline
        )
        if not isinstance(result, Success):
            entry.meter.record_refusal("s", home)
            return None, result.failure().code
        lease = result.unwrap()
        worker = self.workers[lease.target_id]
        begun = self.now()
        outcome = await self.run_at(worker, entry, deadline)
        entry.meter.record("s", home, self.now() - begun)
        entry.dispatcher.release(lease, outcome)
        return outcome, ""

    async def run_at(self, worker, entry, deadline):
        delay = self.find_delay(entry.data_centre, worker.announcement.data_centre)
        if not worker.is_alive:
            await asyncio.sleep(delay * 2)
            return Outcome.FAILED
        self.note_start(worker)
        try:
            async with asyncio.timeout_at(deadline):
                await asyncio.sleep(delay)
                outcome = await worker.work()
                await asyncio.sleep(delay)
        except TimeoutError:
            return Outcome.FAILED
        return outcome if entry.is_alive else Outcome.FAILED

    def note_start(self, worker):
        over = worker.in_flight + 1 - worker.announcement.slots
        self.measures.most_over_slots = max(self.measures.most_over_slots, over)
        if worker.region in self.drained:
            self.measures.drain_time = self.now() - self.drained_at

    async def serve_directly(self, entry, home, region, deadline):
        """Choose a target at the entry, without slot owners."""
        name = self.policy.removeprefix("direct-")
        key = entry.id, region
        if key not in self.direct:
            self.direct[key] = SELECTORS[name](self.rng.random()), {}
        selector, known = self.direct[key]
        workers = [
            w for w in self.workers.values() if w.region == region and w.is_alive
        ]
        if not workers:
            return None, "no_target"
        targets = [known.setdefault(w.announcement.id, Known()) for w in workers]
        for target, worker in zip(targets, workers, strict=True):
            target.id = worker.announcement.id
            target.announcement = worker.announcement
        target = selector.select(targets, self.now())
        target.started += 1
        target.in_flight += 1
        worker = self.workers[target.id]
        outcome = await self.run_at(worker, entry, deadline)
        # The observed time includes the target's queue, which is no demand.
        entry.meter.record("s", home, self.deployment.mean_duration)
        target.in_flight -= 1
        target.ended += 1
        return outcome, ""


@attrs.define(eq=False)
class Known:
    """Hold what one entry knows of a target that it uses without an owner."""

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
