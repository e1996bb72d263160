"""The targets of one service and the requests that wait for them."""

import bisect
import itertools
import random
from collections.abc import Callable
from typing import Any

import attrs

from toucanwood.placement._health import Outcome
from toucanwood.placement._need import Need
from toucanwood.placement._record import LoadReport, TargetRecord
from toucanwood.placement._selection import Choice, Selection
from toucanwood.placement._times import KindTimes

# A refused request is told to come back after at least this time.
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 1.0
# Weight of the last second in the rate of completions.
RATE_WEIGHT = 0.3
RATE_INTERVAL_S = 0.5
# Below this part of slots in use, late requests may run anywhere.
SPARE_USE = 0.6


@attrs.frozen
class Placed:
    """Name the target that a request goes to, and what is expected there."""

    choice: Choice
    reason: str
    # Names the request at its target once it is started.
    number: int = 0

    @property
    def record(self) -> TargetRecord:
        """Return what is known of the target."""
        return self.choice.record


@attrs.frozen
class Refused:
    """Tell why a request is turned away and when it may come back, in seconds."""

    reason: str
    retry_after_s: float


@attrs.define(eq=False)
class Waiting:
    """Hold a request that waits; `leave_at` is when waiting is of no more use."""

    need: Need
    leave_at: float
    order: int

    @property
    def position(self) -> tuple[Any, ...]:
        """Return the key by which waiting requests are ordered."""
        return (*self.need.rank, self.order)


@attrs.define
class ServicePool:
    """Place the requests of one service on its targets.

    While targets have room, each request starts at once. When there is none, requests
    wait by rank, for as long as they can still be answered within their objective. A
    request that would surely be late is turned away at once, so that the slots serve
    those that are still in time.
    """

    service: str
    selection: Selection
    generator: random.Random = attrs.field(factory=random.Random)
    records: dict[str, TargetRecord] = attrs.field(factory=dict)
    _queue: list[Waiting] = attrs.field(factory=list)
    _order: Any = attrs.field(factory=itertools.count)
    _times: dict[str, KindTimes] = attrs.field(factory=dict)
    _rate: float = 0.0
    _completed: int = 0
    _rate_at: float = 0.0

    def place(self, need: Need, now: float) -> Placed | Waiting | Refused:
        """Decide on a request that has just arrived."""
        if not self._queue or need.rank < self._queue[0].need.rank:
            placed = self._try_place(need, now)
            if placed is not None:
                return placed
        if not self.selection.has_candidate(self.records.values(), need):
            return self.refuse(need, "no_target", now)
        return self._wait(need, now)

    def place_waiting(self, now: float) -> list[tuple[Waiting, Placed | Refused]]:
        """Start or turn away what has waited, after something has changed."""
        done: list[tuple[Waiting, Placed | Refused]] = []
        kept: list[Waiting] = []
        is_full = False
        for item in self._queue:
            placed = None if is_full else self._try_place(item.need, now)
            if placed is not None:
                # The next decision must see this one.
                number = self.start(placed, item.need, now)
                done.append((item, attrs.evolve(placed, number=number)))
            elif now >= item.leave_at:
                done.append((item, self.refuse(item.need, "waited", now)))
            else:
                kept.append(item)
                # Requests without restrictions all see the same targets.
                is_full = is_full or not (item.need.regions or item.need.excluded)
        self._queue = kept
        return done

    def withdraw(self, item: Waiting) -> None:
        """Remove a request whose caller has left."""
        if item in self._queue:
            self._queue.remove(item)

    def start(self, placed: Placed, need: Need, now: float) -> int:
        """Count a request that is sent to a target and return its number there."""
        record = placed.record
        expected = self.find_times(need).estimate(placed.choice.warm_chance)
        number = record.start_request(expected, now)
        self.selection.note_sent(record, now)
        if need.object_key is not None:
            record.remember_object(need.object_key, now)
        return number

    def finish(
        self,
        placed: Placed,
        need: Need,
        outcome: Outcome,
        *,
        seconds: float,
        report: LoadReport | None,
        now: float,
    ) -> bool:
        """Count the end of an attempt; return whether the target is ejected by it."""
        record = placed.record
        warm_chance = placed.choice.warm_chance
        record.end_request(placed.number)
        if report is not None:
            record.record_load(report, now)
        if outcome is Outcome.OK:
            times = self.find_times(need)
            record.record_time(seconds, times.estimate(warm_chance))
            times.record(seconds, warm_chance)
            self._completed += 1
        elif outcome is Outcome.TIMED_OUT:
            # It takes at least this long.
            expected = self.find_times(need).estimate(warm_chance)
            record.record_time(max(seconds, expected), expected)
        elif outcome is Outcome.SHED and report is None:
            # A target that sheds is full, whatever was known of it.
            record.record_load(LoadReport(record.target.slots, 1, 0), now)
        return record.health.record(outcome, now)

    def find_next_leave(self) -> float | None:
        """Return when the next waiting request is to be turned away."""
        return min((item.leave_at for item in self._queue), default=None)

    def count_waiting(self) -> int:
        """Return the number of requests that wait."""
        return len(self._queue)

    def find_times(self, need: Need) -> KindTimes:
        """Return the times of a kind of request."""
        times = self._times.get(need.kind)
        if times is None:
            times = KindTimes(max(need.objective_at - need.arrived_at, 0.001))
            self._times[need.kind] = times
        return times

    def estimate_wait(self, need: Need, now: float) -> float:
        """Return the expected wait until a request of this rank starts."""
        ahead = sum(1 for item in self._queue if item.need.rank <= need.rank)
        rate = self._measure_rate(now)
        return (ahead + 1) / rate if rate > 0 else 0.0

    def refuse(self, need: Need, reason: str, now: float) -> Refused:
        """Turn a request away; it may come back when there should be room."""
        wait = self.estimate_wait(need, now)
        wait = min(max(wait, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
        # Requests that are refused together must not come back together.
        return Refused(reason, wait * self.generator.uniform(0.7, 1.3))

    def dump(self, now: float) -> dict[str, Any]:
        """Return a JSON-serialisable description."""
        return {
            "waiting": len(self._queue),
            "times_ms": {
                kind: [round(1000 * item.get_warm()), round(1000 * item.get_other())]
                for kind, item in self._times.items()
            },
            "completions_per_s": round(self._rate, 1),
            "targets": {key: item.dump(now) for key, item in self.records.items()},
        }

    def _try_place(self, need: Need, now: float) -> Placed | None:
        times = self.find_times(need)
        choice = self.selection.choose(self.records.values(), need, times, now)
        if choice is None:
            return None
        if now + choice.expected_s <= need.objective_at:
            return Placed(choice, "in_time")
        return Placed(choice, "late") if self._may_run_late(choice, now) else None

    def _may_run_late(self, choice: Choice, now: float) -> bool:
        """Return whether a request that will be late may take a slot.

        A target that is to handle an object has to learn it once. Elsewhere a run is
        long and its late answer is worth little, so it takes only what is left over.
        """
        if not choice.has_free_slot:
            return False
        return choice.is_preferred or self.measure_use(now) < SPARE_USE

    def measure_use(self, now: float) -> float:
        """Return the part of the slots in use, as estimated here."""
        usable = [item for item in self.records.values() if not item.health.is_ejected]
        slots = sum(item.target.slots for item in usable)
        load = sum(item.estimate_load(now) for item in usable)
        return load / slots if slots else 1.0

    def _wait(self, need: Need, now: float) -> Waiting | Refused:
        leave_at = need.objective_at - self.find_times(need).get_warm()
        wait = self.estimate_wait(need, now)
        if now + wait > leave_at:
            return self.refuse(need, "would_be_late", now)
        item = Waiting(need, leave_at, next(self._order))
        bisect.insort(self._queue, item, key=_get_position)
        return item

    def _measure_rate(self, now: float) -> float:
        """Return the completions a second at this entry."""
        elapsed = now - self._rate_at
        if elapsed >= RATE_INTERVAL_S:
            rate = self._completed / elapsed
            self._rate += RATE_WEIGHT * (rate - self._rate)
            self._completed = 0
            self._rate_at = now
        return self._rate


PoolFactory = Callable[[str], ServicePool]


def _get_position(item: Waiting) -> tuple[Any, ...]:
    return item.position
