"""Test harness: dispatchers, targets and requests in virtual time.

The harness counts the running requests independently of the dispatchers.
"""

import asyncio
import random

import attrs
from returns.result import Success

from toucanwood.dispatch import Announcement, Dispatcher, Outcome
from toucanwood.peering.testing import FakeNetwork
from toucanwood.utils import VirtualTimeLoop

REGION_BY_DATA_CENTRE = {"n1": "norte", "n2": "norte", "s1": "sureste"}
DATA_CENTRE_BY_INSTANCE = {"a": "n1", "b": "n2", "c": "s1"}
TIME_TOLERANCE_S = 1e-6


@attrs.define(eq=False)
class FakeTarget:
    """Target that announces every second to one instance and records its requests."""

    id: str
    data_centre: str
    slots: int
    instance: str
    is_announcing: bool = True
    left_at: float | None = None
    renewed_at: float = -1.0
    running: set = attrs.field(factory=set)
    peak_running: int = 0


@attrs.define(slots=False)
class Harness:
    """Run instances and targets; `problems` lists the violated invariants.

    `instances` maps the name of an instance to its data centre.
    """

    seed: int = 1
    instances: dict = attrs.field(factory=lambda: dict(DATA_CENTRE_BY_INSTANCE))
    selector: object = None
    network: FakeNetwork | None = None
    problems: list = attrs.field(factory=list)
    results: list = attrs.field(factory=list)

    def __attrs_post_init__(self):
        self.loop = VirtualTimeLoop()
        self.network = self.network or FakeNetwork(self.seed)
        self.incarnations = dict.fromkeys(self.instances, 0)
        self.dispatchers = {}
        self.targets = {}
        self.tasks = {name: set() for name in self.instances}
        for name in self.instances:
            self.start(name)

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    def wait(self, seconds):
        self.run(asyncio.sleep(seconds))

    def close(self):
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        self.run(asyncio.gather(*tasks, return_exceptions=True))
        self.loop.close()

    def start(self, name):
        if name in self.dispatchers:
            return
        self.incarnations[name] += 1
        dispatcher = Dispatcher(
            transport=self.network.create_transport(name),
            data_centre=self.instances[name],
            incarnation=self.incarnations[name],
            members=lambda: self.instances,
            find_region=REGION_BY_DATA_CENTRE.get,
            random=random.Random(self.seed),
            selector=self.selector,
        )
        self.dispatchers[name] = dispatcher
        self.loop.create_task(dispatcher.start())

    def crash(self, name):
        dispatcher = self.dispatchers.pop(name, None)
        if dispatcher is None:
            return
        self.network.stop(name)
        for task in self.tasks[name]:
            task.cancel()
        self.loop.create_task(dispatcher.stop())

    def cancel_requests(self):
        for task in [task for tasks in self.tasks.values() for task in tasks]:
            task.cancel()

    def add_target(self, name, data_centre, slots, instance):
        target = FakeTarget(name, data_centre, slots, instance)
        self.targets[name] = target
        self.loop.create_task(self._announce(target))

    async def _announce(self, target):
        while True:
            if target.is_announcing:
                await self._announce_once(target)
            await asyncio.sleep(1.0)

    async def _announce_once(self, target):
        dispatcher = self.dispatchers.get(target.instance)
        if dispatcher is None:
            target.instance = next(iter(self.dispatchers), target.instance)
            return
        announcement = Announcement(
            id=target.id,
            service="s",
            address=target.id,
            data_centre=target.data_centre,
            slots=target.slots,
            load=len(target.running) / target.slots,
        )
        if isinstance(await dispatcher.announce(announcement), Success):
            target.renewed_at = self.loop.time()
            target.left_at = None

    def leave(self, name, instance):
        target = self.targets[name]
        dispatcher = self.dispatchers.get(instance)
        if dispatcher is None:
            return
        target.is_announcing = False
        target.left_at = self.loop.time()
        self.loop.create_task(dispatcher.leave(name))

    def request(
        self, name, organisation, region="norte", *, duration=0.2, deadline=2.0
    ):
        if name not in self.dispatchers:
            return
        coroutine = self._request(name, organisation, region, duration, deadline)
        task = self.loop.create_task(coroutine)
        self.tasks[name].add(task)
        task.add_done_callback(self.tasks[name].discard)

    async def _request(self, name, organisation, region, duration, time_limit):
        dispatcher = self.dispatchers[name]
        deadline = self.loop.time() + time_limit
        result = await dispatcher.acquire("s", organisation, region, deadline=deadline)
        self.results.append((organisation, isinstance(result, Success)))
        if not isinstance(result, Success):
            self._check_refusal(result.failure(), deadline)
            return
        lease = result.unwrap()
        target = self.targets[lease.target_id]
        key = name, self.incarnations[name], lease.number
        self._record_start(target, key)
        try:
            remaining_duration = max(min(duration, deadline - self.loop.time()), 0.0)
            await asyncio.wait_for(lease.lost.wait(), remaining_duration)
        except TimeoutError:
            pass
        finally:
            target.running.discard(key)
            dispatcher.release(lease, Outcome.OK)

    def _record_start(self, target, key):
        now = self.loop.time()
        target.running.add(key)
        target.peak_running = max(target.peak_running, len(target.running))
        if len(target.running) > target.slots:
            self.problems.append(f"{now}: {target.id} runs {len(target.running)}")
        if target.left_at is not None and now > target.left_at + 2.0 + TIME_TOLERANCE_S:
            self.problems.append(f"{now}: {target.id} left at {target.left_at}")
        if now > target.renewed_at + 2.0 + TIME_TOLERANCE_S:
            self.problems.append(f"{now}: {target.id} renewed at {target.renewed_at}")

    def _check_refusal(self, verdict, deadline):
        if not verdict.is_not_run or verdict.retry_after is None:
            self.problems.append(f"refusal without retry: {verdict}")
        if self.loop.time() > deadline + TIME_TOLERANCE_S:
            self.problems.append(f"refused {self.loop.time() - deadline} s too late")

    def dump(self):
        async def dump_dispatchers():
            return {
                name: dispatcher.dump() for name, dispatcher in self.dispatchers.items()
            }

        return self.run(dump_dispatchers())

    def count_leases(self):
        states = self.dump().values()
        return sum(
            target["in_flight"]
            for state in states
            for target in state["owner"]["targets"].values()
        )
