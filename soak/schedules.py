"""Run ``python -m soak.schedules --seeds 100``: schedules of faults in virtual time.

Each seed draws crashes, lost and full disks, replaced controllers, cuts that drop or
hold messages, ended connections, partitions into halves and bad links beside changes of
the configuration and evacuations, and checks when these are in force.
"""

import asyncio
import contextlib
import itertools
import logging
import random
import sys
from typing import Annotated

import attrs
import structlog
import typer
from returns.result import Success

from soak._simulated_fleet import SimulatedFleet
from toucanwood.fleet import (
    OrderStatus,
    PutRouting,
    SetEvacuation,
    Target,
    TargetState,
)
from toucanwood.peering.testing import LinkFaults
from toucanwood.utils import run_virtual

CONTROLLERS = 6
ENTRIES = 4
# Time in which an acknowledged change must be in force at an entry, and the maximum by
# which a disturbance of the group of controllers extends it.
APPLY_S = 2.0
MAX_STRETCH_S = 5.0
# Time without a disturbance after which an entry must have every change.
CONTACT_S = 3.0
CHECK_INTERVAL_S = 0.05
START_S = 5.0
RECOVERY_S = 8.0
MEAN_PAUSE_S = 3.0
MAX_FAULT_S = 7.0
# Time between two losses of a disk, in which the group repairs the first one.
DISK_LOSS_INTERVAL_S = 8.0
MAX_VIOLATIONS = 5
# Connections end after this time without a message, and held messages are lost.
MAX_HOLD_S = 1.8
MEAN_RESET_PAUSE_S = 0.002
# How long an operator sends an evacuation order again, to one controller after another.
ORDER_PATIENCE_S = 4.0
ORDER_PAUSES_S = (0.05, 0.2, 4.0)
MAX_DISK_STEPS = 12
ZONE = "a"
FIRST_TARGET_PORT = 1000
# Time from the registration of a target to its leave.
TARGET_LIFE_S = (0.0, 0.0, 0.05, 0.5)
# Maximum delay of an announcement that was sent before the leave.
MAX_LATE_S = 3.0
# Time that callers wait for an answer of a controller.
CALL_TIMEOUT_S = 1.0


@attrs.define
class Schedule:
    """One run: its fleet, faults, acknowledged changes and broken invariants."""

    seed: int
    seconds: float
    # Whether targets register and leave. Seeds without them repeat as before.
    has_targets: bool = False
    acknowledged: list = attrs.field(factory=list)
    faults: list = attrs.field(factory=list)
    violations: list = attrs.field(factory=list)
    _rng: random.Random = attrs.field(init=False)
    _fleet: SimulatedFleet = attrs.field(init=False)
    # When the group, and each entry, was last disturbed; -inf before.
    _group_disturbed_at: float = 0.0
    _entry_disturbed_at: dict = attrs.field(factory=dict)
    _running_faults: set = attrs.field(factory=set)
    _cut_entries: set = attrs.field(factory=set)
    _unstable_times: list = attrs.field(factory=list)
    _disk_lost_at: float = float("-inf")
    _last_revision: int = 0
    # When the leave of each target was acknowledged.
    _left_at: dict = attrs.field(factory=dict)
    _target_rng: random.Random = attrs.field(init=False)
    # Whether the zone has to be evacuated and since when, None while that is unknown.
    _evacuation: tuple | None = None
    _tasks: set = attrs.field(factory=set)

    async def run(self):
        """Run the schedule and return it."""
        self._rng = random.Random(self.seed)
        self._target_rng = random.Random(f"targets of {self.seed}")
        self._fleet = SimulatedFleet(self.seed, CONTROLLERS, ENTRIES)
        await self._fleet.start()
        await asyncio.sleep(START_S)
        self._disturb_group()
        for coroutine in (
            self._change(),
            self._evacuate(),
            self._check(),
            self._inject_faults(),
        ):
            self._start(coroutine)
        if self.has_targets:
            self._start(self._start_targets())
        await asyncio.sleep(self.seconds + RECOVERY_S)
        for task in list(self._tasks):
            if task.done() and not task.cancelled() and task.exception() is not None:
                self._add_violation(f"a task ended: {task.exception()!r}")
            task.cancel()
        await self._fleet.stop()
        return self

    def _now(self):
        return asyncio.get_running_loop().time()

    def _start(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)

    def _disturb_group(self):
        self._group_disturbed_at = self._now()

    def _add_violation(self, message):
        if len(self.violations) < MAX_VIOLATIONS:
            self.violations.append(f"{self._now():.2f} s: {message}")

    async def _change(self):
        """Submit changes to random controllers, some of them on an old revision."""
        while True:
            await asyncio.sleep(self._rng.uniform(0.05, 0.6))
            if not self._fleet.running:
                continue
            controller = self._rng.choice(list(self._fleet.running.values()))
            base = self._last_revision
            result = controller.read_routing()
            if isinstance(result, Success) and self._rng.random() < 0.9:
                base = result.unwrap()[0]
            self._last_revision = max(self._last_revision, base)
            self._last_revision += self._rng.randint(1, 3)
            self._start(self._submit(controller, base, self._last_revision))

    async def _submit(self, controller, base, revision):
        document = {"routes": [], "services": [{"name": f"s{revision}"}]}
        result = await controller.submit(PutRouting(base, revision, document))
        if isinstance(result, Success):
            if result.unwrap().status is OrderStatus.ACCEPTED:
                self.acknowledged.append((revision, self._now()))

    async def _evacuate(self):
        """Start and end the evacuation of a zone, one order after the other."""
        while True:
            await asyncio.sleep(self._rng.choice(ORDER_PAUSES_S))
            self._evacuation = None
            is_evacuated = self._rng.random() < 0.5
            give_up_at = self._now() + ORDER_PATIENCE_S
            while self._now() < give_up_at and self._evacuation is None:
                if self._fleet.running:
                    controller = self._rng.choice(list(self._fleet.running.values()))
                    order = SetEvacuation(ZONE, is_evacuated)
                    if isinstance(await controller.submit(order), Success):
                        self._evacuation = is_evacuated, self._now()
                await asyncio.sleep(0.05)

    def _check_evacuation(self, name, controller, now):
        if self._evacuation is None or now - self._evacuation[1] < APPLY_S:
            return
        expected, acknowledged_at = self._evacuation
        if (ZONE in controller.state.evacuated) != expected:
            self._add_violation(
                f"{name} has evacuated={not expected}; {expected} was acknowledged "
                f"{now - acknowledged_at:.1f} s before"
            )

    async def _start_targets(self):
        """Start targets that leave soon after their registration."""
        for number in itertools.count(1):
            await asyncio.sleep(self._target_rng.uniform(0.05, 0.5))
            target = Target(
                id=f"t{number}",
                start_time_ms=number,
                sequence=1,
                service="s1",
                address=f"127.0.0.1:{FIRST_TARGET_PORT + number}",
                data_centre=ZONE,
                software="",
                slots=1,
                state=TargetState.READY,
                remaining_cold_start_s=0.0,
            )
            self._start(self._run_target(target))

    async def _run_target(self, target):
        """Register a target and let it leave; an earlier announcement may be late."""
        rng = self._target_rng
        if not await self._call_any(lambda item: item.announce_target(target)):
            return
        await asyncio.sleep(rng.choice(TARGET_LIFE_S))
        start_time_ms = rng.choice([None, target.start_time_ms])
        if not await self._call_any(
            lambda item: item.remove_target(target.id, start_time_ms)
        ):
            return
        self._left_at[target.id] = self._now()
        if rng.random() < 0.5:
            await asyncio.sleep(rng.uniform(0.0, MAX_LATE_S))
            late = attrs.evolve(target, sequence=2, state=TargetState.DRAINING)
            await self._call_any(lambda item: item.announce_target(late))

    async def _call_any(self, call):
        """Call one controller after another; return whether one has acknowledged."""
        give_up_at = self._now() + ORDER_PATIENCE_S
        while self._now() < give_up_at:
            if self._fleet.running:
                names = list(self._fleet.running)
                controller = self._fleet.running[self._target_rng.choice(names)]
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(CALL_TIMEOUT_S):
                        if isinstance(await call(controller), Success):
                            return True
            await asyncio.sleep(0.05)
        return False

    def _check_targets(self, name, controller, now):
        for target_id, left_at in self._left_at.items():
            if now - left_at > APPLY_S and target_id in controller.state.targets:
                self._add_violation(
                    f"{name} has {target_id}, whose leave was acknowledged "
                    f"{now - left_at:.1f} s before"
                )

    async def _check(self):
        revisions = dict.fromkeys(self._fleet.entry_names, 0)
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now = self._now()
            due = [item for item in self.acknowledged if item[1] < now - APPLY_S]
            newest = max((revision for revision, _ in due), default=0)
            for name, controller in self._fleet.running.items():
                result = controller.read_routing()
                if not isinstance(result, Success):
                    continue
                self._check_evacuation(name, controller, now)
                self._check_targets(name, controller, now)
                if result.unwrap()[0] < newest:
                    self._add_violation(
                        f"{name} read r{result.unwrap()[0]} of r{newest}"
                    )
            is_stable = self._is_group_stable(now)
            if not is_stable:
                self._unstable_times.append(now)
            for name, view in self._fleet.views.items():
                if view.revision < revisions[name]:
                    self._add_violation(f"{name} returned to r{view.revision}")
                revisions[name] = view.revision
                if view.table is not None and view.table.revision != view.revision:
                    self._add_violation(f"{name} has the table of another revision")
                if is_stable and self._is_entry_in_touch(name, now):
                    self._check_in_force(name, view.revision, due, now)

    def _is_group_stable(self, now):
        is_halved = any(kind in ("split", "links") for kind, _ in self._running_faults)
        return not is_halved and now - self._group_disturbed_at >= CONTACT_S

    def _is_entry_in_touch(self, name, now):
        disturbed_at = self._entry_disturbed_at.get(name, 0.0)
        return name not in self._cut_entries and now - disturbed_at >= CONTACT_S

    def _check_in_force(self, name, revision, due, now):
        for acknowledged, at in due:
            if acknowledged <= revision:
                continue
            unstable_s = CHECK_INTERVAL_S * sum(t >= at for t in self._unstable_times)
            allowed_s = APPLY_S + min(unstable_s, MAX_STRETCH_S) + 2 * CHECK_INTERVAL_S
            if now - at > allowed_s:
                self._add_violation(
                    f"{name} has r{revision}; r{acknowledged} was acknowledged "
                    f"{now - at:.1f} s before, allowed are {allowed_s:.1f} s"
                )
                return

    async def _inject_faults(self):
        until = self._now() + self.seconds
        kinds = {
            "crash": self._crash,
            "crash_leader": self._crash_leader,
            "crash_in_recovery": self._crash_in_recovery,
            "lose_disk": self._lose_disk,
            "replace": self._replace,
            "cut": self._cut,
            "cut_leader": self._cut_leader,
            "hold": self._hold,
            "reset": self._reset_connections,
            "fill_disk": self._fill_disk,
            "one_way": self._cut_one_way,
            "split": self._split,
            "links": self._disturb_links,
            "cut_entry": self._cut_entry,
        }
        while self._now() < until:
            await asyncio.sleep(self._rng.expovariate(1 / MEAN_PAUSE_S))
            kind = self._rng.choice(list(kinds))
            duration_s = self._rng.uniform(0.3, MAX_FAULT_S)
            if kind != "cut_entry" and not self._may_disturb_group():
                continue
            self.faults.append(f"{self._now():.1f} s {kind} for {duration_s:.1f} s")
            self._start(self._run_fault(kind, kinds[kind], duration_s))

    def _may_disturb_group(self):
        """Return whether no other fault of the group is running."""
        has_all = len(self._fleet.running) == len(self._fleet.controller_names)
        is_free = all(kind == "cut_entry" for kind, _ in self._running_faults)
        return has_all and is_free

    async def _run_fault(self, kind, inject, duration_s):
        fault = kind, self._now()
        self._running_faults.add(fault)
        if kind != "cut_entry":
            self._disturb_group()
        await inject(duration_s)
        if kind != "cut_entry":
            self._disturb_group()
        self._running_faults.discard(fault)

    def _pick_controller(self):
        return self._rng.choice(list(self._fleet.running))

    def _pick_leader(self):
        return self._fleet.find_leader() or self._pick_controller()

    async def _crash(self, duration_s, name=None):
        name = name or self._pick_controller()
        await self._fleet.crash(name)
        await asyncio.sleep(duration_s)
        await self._fleet.start_controller(name)

    async def _crash_leader(self, duration_s):
        await self._crash(duration_s, self._pick_leader())

    async def _crash_in_recovery(self, duration_s):
        """Crash the leader at any disk step of a controller that catches up."""
        name = self._pick_controller()
        await self._crash(duration_s, name)
        reached = asyncio.Event()
        self._fleet.call_at_disk_step(
            name, self._rng.randint(1, MAX_DISK_STEPS), reached.set
        )
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(reached.wait(), MAX_FAULT_S)
        await self._crash_leader(duration_s)

    def _may_lose_disk(self):
        is_repaired = self._now() - self._disk_lost_at > DISK_LOSS_INTERVAL_S
        if is_repaired:
            self._disk_lost_at = self._now()
        return is_repaired

    async def _lose_disk(self, duration_s):
        if not self._may_lose_disk():
            return
        name = self._pick_controller()
        await self._fleet.crash(name)
        await asyncio.sleep(duration_s / 3)
        await self._fleet.start_controller(name, loses_disk=True)

    async def _replace(self, duration_s):
        """Remove a controller for good and start an empty one with another id."""
        names = self._fleet.controller_names
        if not self._may_lose_disk():
            return
        name = self._pick_controller()
        await self._fleet.crash(name)
        names.remove(name)
        await asyncio.sleep(duration_s / 3)
        new_name = f"{name}x"
        names.append(new_name)
        await self._fleet.start_controller(new_name)

    async def _cut(self, duration_s, name=None, *, is_one_way=False):
        """Cut a controller from the others, and half of the times from all entries."""
        name = name or self._pick_controller()
        others = set(self._fleet.controller_names) - {name}
        if self._rng.random() < 0.5:
            others |= set(self._fleet.entry_names)
        pairs = {(name, other) for other in others}
        if not is_one_way:
            pairs |= {(other, name) for other in others}
        await self._hold_cut(pairs, duration_s)

    async def _cut_leader(self, duration_s):
        await self._cut(duration_s, self._pick_leader())

    async def _cut_one_way(self, duration_s):
        await self._cut(duration_s, self._pick_leader(), is_one_way=True)

    async def _split(self, duration_s):
        names = self._fleet.controller_names
        half = set(self._rng.sample(names, len(names) // 2))
        pairs = {(a, b) for a in names for b in names if (a in half) != (b in half)}
        await self._hold_cut(pairs, duration_s)

    async def _hold(self, duration_s):
        """Cut a controller from the others; its messages arrive when the cut ends."""
        name = self._pick_controller()
        others = set(self._fleet.controller_names) - {name}
        pairs = {(name, other) for other in others}
        pairs |= {(other, name) for other in others}
        await self._hold_cut(pairs, min(duration_s, MAX_HOLD_S), holds=True)

    async def _reset_connections(self, duration_s):
        """End connections between controllers, with the handlers of their messages."""
        until = self._now() + duration_s
        while self._now() < until:
            sender, receiver = self._rng.sample(self._fleet.controller_names, 2)
            self._fleet.network.reset(sender, receiver)
            self._disturb_group()
            await asyncio.sleep(self._rng.expovariate(1 / MEAN_RESET_PAUSE_S))

    async def _fill_disk(self, duration_s):
        """Fill the disk of a controller; a supervisor starts it again and again."""
        name = self._pick_controller()
        until = self._now() + duration_s
        while self._now() < until:
            self._fleet.fill_disk(name)
            failed = asyncio.ensure_future(self._fleet.running[name].wait_failed())
            await asyncio.wait({failed}, timeout=until - self._now())
            failed.cancel()
            await self._crash(0.3, name)
            self._disturb_group()

    async def _hold_cut(self, pairs, duration_s, *, holds=False):
        number = self._fleet.cut(pairs, holds=holds)
        await asyncio.sleep(duration_s)
        self._fleet.join(number)

    async def _disturb_links(self, duration_s):
        self._fleet.network.default_faults = LinkFaults(
            min_delay=0.001,
            max_delay=self._rng.choice([0.05, 0.3, 1.0]),
            drop=self._rng.choice([0.0, 0.1, 0.3]),
            duplicate=0.1,
        )
        await asyncio.sleep(duration_s)
        self._fleet.network.default_faults = LinkFaults()
        for name in self._fleet.entry_names:
            self._entry_disturbed_at[name] = self._now()

    async def _cut_entry(self, duration_s):
        names = [n for n in self._fleet.entry_names if n not in self._cut_entries]
        if not names:
            return
        name = self._rng.choice(names)
        count = self._rng.randint(1, len(self._fleet.controller_names))
        others = self._rng.sample(self._fleet.controller_names, count)
        self._cut_entries.add(name)
        pairs = {(name, other) for other in others}
        await self._hold_cut(pairs | {(b, a) for a, b in pairs}, duration_s)
        self._cut_entries.discard(name)
        self._entry_disturbed_at[name] = self._now()


def run_schedule(seed, seconds, *, has_targets=False):
    """Run the schedule of a seed in virtual time and return it."""
    return run_virtual(Schedule(seed, seconds, has_targets).run())


def main(
    seed: Annotated[
        int | None, typer.Option(help="first seed (default: random)")
    ] = None,
    seeds: Annotated[int, typer.Option(help="number of consecutive seeds")] = 1,
    seconds: Annotated[float, typer.Option(help="simulated seconds of faults")] = 40.0,
    targets: Annotated[bool, typer.Option(help="targets register and leave")] = True,
) -> None:
    """Run the schedules one after another; print the broken ones and a summary."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    first = seed if seed is not None else random.randrange(1_000_000)
    broken = changes = 0
    for current in range(first, first + seeds):
        schedule = run_schedule(current, seconds, has_targets=targets)
        changes += len(schedule.acknowledged)
        broken += bool(schedule.violations)
        for line in schedule.violations:
            print(f"seed={current} {line}", flush=True)
        if schedule.violations:
            print(f"seed={current} faults: {'; '.join(schedule.faults)}", flush=True)
    print(f"seeds={first}..{first + seeds - 1} broken={broken} changes={changes}")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    typer.run(main)
