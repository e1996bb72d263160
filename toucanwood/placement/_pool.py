"""The targets of one service and the decision on each request for it."""

import math
import random
from typing import Any

import attrs

from toucanwood.placement._health import Outcome
from toucanwood.placement._request import PlacementRequest
from toucanwood.placement._response_times import ResponseTimes
from toucanwood.placement._selector import Choice, TargetSelector
from toucanwood.placement._target_record import LoadReport, TargetRecord

# A refused request is told to come back after at least this time.
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 1.0
# With about this many slots at a target, one becomes free after this part of a run.
SLOTS_PER_TARGET = 4
# Weight of the last response in the common delay of a service.
COMMON_WEIGHT = 0.05
# Weight of the last report in the use of a service, and how fast the use fades without
# reports.
USE_WEIGHT = 0.05
USE_FADE_S = 1.0
MAX_REPORTED_USE = 4.0
MAX_COMMON = 10.0
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
    """Tell why a request is refused and when it may be retried; times in seconds.

    `expected_s` is the expected response time at the best target that has room, or
    None. `utilisation` is the recently reported load of targets divided by their slots.
    """

    reason: str
    retry_after_s: float
    expected_s: float | None = None
    utilisation: float = 0.0


@attrs.define
class ServicePool:
    """Place the requests of one service on its targets.

    A request starts at once or is turned away at once. The load that this answers is
    one that exceeds the slots for seconds: requests for objects wait for different
    targets, so a queue at the entry holds back requests whose targets are free, and
    those that have waited are late in the end. Targets keep a short queue of their own.
    """

    service: str
    selector: TargetSelector
    generator: random.Random = attrs.field(factory=random.Random)
    records: dict[str, TargetRecord] = attrs.field(factory=dict)
    _times: dict[str, ResponseTimes] = attrs.field(factory=dict)
    _most_urgent: tuple[int, ...] | None = None
    # The time of responses over what was expected, over all targets together. Where
    # it is above 1 the entry's own link or processor is busy, and no target is slow.
    _common: float = 1.0
    # The load that targets report over their slots. One of many entries hears of each
    # target every few seconds only, and its own requests say little of the load.
    _use: float = 0.0
    _use_at: float = float("-inf")

    def place(self, request: PlacementRequest, now: float) -> Placed | Refused:
        """Decide on a request that has just arrived."""
        if self._most_urgent is None or request.priorities < self._most_urgent:
            self._most_urgent = request.priorities
        times = self.find_response_times(request)
        is_urgent = request.priorities <= self._most_urgent
        choice = self.selector.choose(
            self.records, request, times, now, is_urgent=is_urgent
        )
        if choice is None:
            records = self.records.values()
            has_target = self.selector.has_candidate(records, request)
            return self.refuse(request, "no_room" if has_target else "no_target", now)
        if now + choice.expected_s <= request.objective_at:
            return Placed(choice, "in_time")
        if self._may_run_late(choice, now):
            return Placed(choice, "late")
        return self.refuse(request, "would_be_late", now, choice.expected_s)

    def start(self, placed: Placed, request: PlacementRequest, now: float) -> int:
        """Count a request that is sent to a target and return its number there."""
        record = placed.record
        expected = self.find_response_times(request).estimate(
            placed.choice.warm_probability
        )
        number = record.start_request(expected * self._common, now)
        self.selector.record_sent(record, now)
        if request.object_key is not None:
            record.record_object(request.object_key, now)
        return number

    def finish(
        self,
        placed: Placed,
        request: PlacementRequest,
        outcome: Outcome,
        *,
        seconds: float,
        report: LoadReport | None,
        now: float,
    ) -> bool:
        """Count the end of an attempt; return whether the target is ejected by it."""
        record = placed.record
        warm_probability = placed.choice.warm_probability
        record.end_request(placed.number)
        if report is not None:
            record.record_load(report, now)
            self._note_use(report, now)
        if outcome is Outcome.OK:
            times = self.find_response_times(request)
            expected = times.estimate(warm_probability)
            record.record_response_time(seconds, expected * self._common)
            self._note_common(seconds / expected)
            times.record(seconds, warm_probability)
        elif outcome is Outcome.TIMED_OUT:
            # It takes at least this long.
            expected = (
                self.find_response_times(request).estimate(warm_probability)
                * self._common
            )
            record.record_response_time(max(seconds, expected), expected)
        elif outcome is Outcome.SHED and report is None:
            # A target that sheds is full, whatever was known of it.
            record.record_load(LoadReport(record.target.slots, 1, 0), now)
        return record.health.record(outcome, now)

    def _note_use(self, report: LoadReport, now: float) -> None:
        use = (report.running + report.waiting - 1) / max(report.slots, 1)
        use = min(max(use, 0.0), MAX_REPORTED_USE)
        self._use += USE_WEIGHT * (use - self._use)
        self._use_at = now

    def estimate_reported_utilisation(self, now: float) -> float:
        """Return the usual load of a target over its slots, by what targets report."""
        return self._use * math.exp(-(now - self._use_at) / USE_FADE_S)

    def _note_common(self, ratio: float) -> None:
        ratio = min(ratio, MAX_COMMON)
        self._common = max(self._common + COMMON_WEIGHT * (ratio - self._common), 1.0)

    def find_response_times(self, request: PlacementRequest) -> ResponseTimes:
        """Return the times of a kind of request."""
        times = self._times.get(request.kind)
        if times is None:
            times = ResponseTimes(max(request.objective_at - request.arrived_at, 0.001))
            self._times[request.kind] = times
        return times

    def refuse(
        self,
        request: PlacementRequest,
        reason: str,
        now: float,
        expected_s: float | None = None,
    ) -> Refused:
        """Turn a request away; it may come back when a slot should be free."""
        wait = self.find_response_times(request).get_warm_median() / SLOTS_PER_TARGET
        wait = min(max(wait, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
        # Requests that are refused together must not come back together.
        wait *= self.generator.uniform(0.7, 1.3)
        return Refused(
            reason, wait, expected_s, self.estimate_reported_utilisation(now)
        )

    def estimate_utilisation(self, now: float) -> float:
        """Return the part of the slots in use, as estimated here."""
        usable = [item for item in self.records.values() if not item.health.is_ejected]
        slots = sum(item.target.slots for item in usable)
        load = sum(item.estimate_load(now) for item in usable)
        estimate = load / slots if slots else 1.0
        return max(estimate, self.estimate_reported_utilisation(now))

    def dump(self, now: float) -> dict[str, Any]:
        """Return a JSON-serialisable description."""
        return {
            "times_ms": {
                kind: [
                    round(1000 * item.get_warm_median()),
                    round(1000 * item.get_cold_median()),
                ]
                for kind, item in self._times.items()
            },
            "targets": {key: item.dump(now) for key, item in self.records.items()},
        }

    def _may_run_late(self, choice: Choice, now: float) -> bool:
        """Return whether a request that will be late may take a slot.

        A target that is to handle an object has to learn it once. Elsewhere a run is
        long and its late answer is worth little, so it takes only what is left over.
        """
        if not choice.has_free_slot:
            return False
        return choice.is_preferred or self.estimate_utilisation(now) < SPARE_USE
