"""The targets of one service and the placement of its requests on them."""

import math
import random
from typing import Any

import attrs

from toucanwood.placement._health import Outcome
from toucanwood.placement._request import PlacementRequest
from toucanwood.placement._response_times import ResponseTimes
from toucanwood.placement._selector import Choice, TargetSelector
from toucanwood.placement._target_record import LoadReport, TargetRecord

# Bounds of the delay after which a refused request may be retried, before jitter.
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 1.0
# Assumed number of slots of a target. With all of them in use, one is expected to
# become free after the response time divided by this number.
ASSUMED_SLOTS_PER_TARGET = 4
# Weight of the latest response in the moving average of the shared slowdown.
SHARED_SLOWDOWN_WEIGHT = 0.05
# Weight of the latest report in the moving average of the reported utilisation, and
# time constant of its exponential decay without reports.
UTILISATION_WEIGHT = 0.05
UTILISATION_DECAY_S = 1.0
# Maximum values that a single report or response contributes to these averages.
MAX_REPORTED_UTILISATION = 4.0
MAX_SHARED_SLOWDOWN = 10.0
# Utilisation below which requests that will be late may run at any target.
MAX_UTILISATION_FOR_LATE = 0.6


@attrs.frozen
class Placed:
    """The target that was chosen for a request, and why."""

    choice: Choice
    reason: str
    # Number of the request at its target; valid once the request has been started.
    number: int = 0

    @property
    def record(self) -> TargetRecord:
        """Return what is known about the target."""
        return self.choice.record


@attrs.frozen
class Refused:
    """Why a request is refused and when it may be retried; times are in seconds.

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

    A request is sent at once or refused at once; the entry has no queue. When the load
    exceeds the slots for seconds, requests wait for different targets, depending on
    their objects. A queue at the entry would hold back requests whose targets are free,
    and the requests in the queue would be late anyway. Targets have a short queue of
    their own.
    """

    service: str
    selector: TargetSelector
    generator: random.Random = attrs.field(factory=random.Random)
    records: dict[str, TargetRecord] = attrs.field(factory=dict)
    _times: dict[str, ResponseTimes] = attrs.field(factory=dict)
    _most_urgent_priorities: tuple[int, ...] | None = None
    # Moving average of the response time divided by the expected one, over all targets.
    # Above 1, the link or the processor of this entry is busy, and targets are not to
    # be counted as slow.
    _shared_slowdown: float = 1.0
    # Moving average of the load that targets report, divided by their slots. One of
    # many entries gets a report of each target only every few seconds, and its own
    # requests say little about the load of a target.
    _reported_utilisation: float = 0.0
    _utilisation_reported_at: float = float("-inf")

    def place(self, request: PlacementRequest, now: float) -> Placed | Refused:
        """Choose a target for a request that has just arrived, or refuse it."""
        if (
            self._most_urgent_priorities is None
            or request.priorities < self._most_urgent_priorities
        ):
            self._most_urgent_priorities = request.priorities
        times = self.find_response_times(request)
        is_urgent = request.priorities <= self._most_urgent_priorities
        choice = self.selector.choose(
            self.records, request, times, now, is_urgent=is_urgent
        )
        if choice is None:
            return self._refuse_without_choice(request, now)
        if now + choice.expected_s <= request.objective_at:
            return Placed(choice, "in_time")
        if now + choice.expected_s > request.deadline_at:
            # The run would be cut off, after it has taken a slot from other requests.
            return self.refuse(request, "past_deadline", now, choice.expected_s)
        if self._may_run_late(choice, now):
            return Placed(choice, "late")
        return self.refuse(request, "would_be_late", now, choice.expected_s)

    def start(self, placed: Placed, request: PlacementRequest, now: float) -> int:
        """Record that a request is sent; return its number at the target."""
        record = placed.record
        expected = self.find_response_times(request).estimate(
            placed.choice.warm_probability
        )
        number = record.start_request(expected * self._shared_slowdown, now)
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
        """Record the end of an attempt; return whether it ejects the target."""
        record = placed.record
        warm_probability = placed.choice.warm_probability
        record.end_request(placed.number)
        if report is not None:
            record.record_load(report, now)
            self._record_utilisation(report, now)
        if outcome is Outcome.OK:
            times = self.find_response_times(request)
            expected = times.estimate(warm_probability)
            record.record_response_time(seconds, expected * self._shared_slowdown)
            self._record_shared_slowdown(seconds / expected)
            times.record(seconds, warm_probability)
        elif outcome is Outcome.TIMED_OUT:
            # The response would have taken at least this time. Without the runs that
            # are cut off, the median of long runs would seem to be below the time-out.
            times = self.find_response_times(request)
            median = times.estimate(warm_probability)
            expected = median * self._shared_slowdown
            if seconds > median:
                times.record(seconds, warm_probability)
            record.record_response_time(max(seconds, expected), expected)
        elif outcome is Outcome.SHED and report is None:
            # A target that sheds a request is full, whatever its last report was.
            record.record_load(LoadReport(record.target.slots, 1, 0), now)
        return record.health.record(outcome, now)

    def _refuse_without_choice(self, request: PlacementRequest, now: float) -> Refused:
        """Refuse a request for which no target has room; say why."""
        records = self.records.values()
        if not self.selector.has_candidate(records, request):
            return self.refuse(request, "no_target", now)
        explanation = self.selector.explain_delay(records, request, now)
        if explanation is None:
            return self.refuse(request, "no_room", now)
        reason, delay = explanation
        refused = self.refuse(request, reason, now)
        if math.isinf(delay):
            # Other entries may send to the targets.
            return refused
        retry_after = max(refused.retry_after_s, delay)
        return attrs.evolve(refused, retry_after_s=retry_after)

    def _record_utilisation(self, report: LoadReport, now: float) -> None:
        utilisation = (report.running + report.waiting - 1) / max(report.slots, 1)
        utilisation = min(max(utilisation, 0.0), MAX_REPORTED_UTILISATION)
        self._reported_utilisation += UTILISATION_WEIGHT * (
            utilisation - self._reported_utilisation
        )
        self._utilisation_reported_at = now

    def estimate_reported_utilisation(self, now: float) -> float:
        """Return the mean load per slot that targets report, with its decay."""
        return self._reported_utilisation * math.exp(
            -(now - self._utilisation_reported_at) / UTILISATION_DECAY_S
        )

    def _record_shared_slowdown(self, ratio: float) -> None:
        ratio = min(ratio, MAX_SHARED_SLOWDOWN)
        self._shared_slowdown = max(
            self._shared_slowdown
            + SHARED_SLOWDOWN_WEIGHT * (ratio - self._shared_slowdown),
            1.0,
        )

    def find_response_times(self, request: PlacementRequest) -> ResponseTimes:
        """Return the response times of the request's kind."""
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
        """Refuse a request, with a retry delay after which a slot should be free."""
        wait = (
            self.find_response_times(request).get_warm_median()
            / ASSUMED_SLOTS_PER_TARGET
        )
        wait = min(max(wait, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
        # Jitter: requests that are refused together must not be retried together.
        wait *= self.generator.uniform(0.7, 1.3)
        return Refused(
            reason, wait, expected_s, self.estimate_reported_utilisation(now)
        )

    def estimate_utilisation(self, now: float) -> float:
        """Return the estimated fraction of the slots in use.

        This is the larger of the estimate by this entry, over the targets that are not
        ejected, and the utilisation that targets have reported.
        """
        healthy = [item for item in self.records.values() if not item.health.is_ejected]
        slots = sum(item.target.slots for item in healthy)
        load = sum(item.estimate_load(now) for item in healthy)
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

        The preferred target of an object has to load it once. At other targets the
        request takes long and its late response is worth little, so it runs there only
        while slots are left over.
        """
        if not choice.has_free_slot:
            return False
        return (
            choice.is_preferred
            or self.estimate_utilisation(now) < MAX_UTILISATION_FOR_LATE
        )
