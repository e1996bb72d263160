"""Demand by service and home region, measured at entries and summed at the leader."""

import math
from collections.abc import Iterable

import attrs

from toucanwood.steering._messages import DemandReport

# Over a shorter time the measured rate is mostly noise; a division by a subnormal time
# gives infinity, and the smoothed level then NaN.
MIN_COLLECT_S = 0.05
SMOOTHING_S = 5.0
MAX_REPORT_AGE_S = 5.0
# Time in s that a request uses a slot, before any has been observed.
FIRST_DURATION_S = 0.1
DURATION_SMOOTHING = 0.05

Demand = dict[str, dict[str, float]]


@attrs.define
class _Flow:
    slot_seconds: float = 0.0
    level: float = 0.0


class DemandMeter:
    """Measure at one entry how many slots the callers of each home region need."""

    def __init__(self, *, now: float) -> None:
        self._flows: dict[tuple[str, str], _Flow] = {}
        self._durations: dict[str, float] = {}
        self._collected_at = now

    def record(self, service: str, home_region: str, duration: float) -> None:
        """Count a request that used a slot for `duration` seconds."""
        known = self._durations.get(service, duration)
        known += DURATION_SMOOTHING * (duration - known)
        self._durations[service] = known
        self._add(service, home_region, duration)

    def record_refusal(self, service: str, home_region: str) -> None:
        """Count a request that got no slot at the usual duration."""
        duration = self._durations.get(service, FIRST_DURATION_S)
        self._add(service, home_region, duration)

    def collect(self, now: float) -> Demand:
        """Return the smoothed demand in slots since the last call."""
        elapsed = now - self._collected_at
        if elapsed < MIN_COLLECT_S:
            return self._list()
        self._collected_at = now
        part = 1.0 - math.exp(-elapsed / SMOOTHING_S)
        for flow in self._flows.values():
            flow.level += part * (flow.slot_seconds / elapsed - flow.level)
            flow.slot_seconds = 0.0
        return self._list()

    def _add(self, service: str, home_region: str, duration: float) -> None:
        flow = self._flows.setdefault((service, home_region), _Flow())
        flow.slot_seconds += duration

    def _list(self) -> Demand:
        demand: Demand = {}
        for (service, home), flow in self._flows.items():
            demand.setdefault(service, {})[home] = flow.level
        return demand


class DemandTable:
    """Sum the reports of all entries at the leader."""

    def __init__(self) -> None:
        self._reports: dict[str, tuple[DemandReport, float]] = {}

    def apply(self, sender: str, report: DemandReport, now: float) -> None:
        """Take over a report; an older one that arrives late is ignored."""
        known = self._reports.get(sender)
        is_old = known is not None and report.sequence <= known[0].sequence
        if not is_old or now >= known[1] + MAX_REPORT_AGE_S:  # type: ignore[index]
            self._reports[sender] = report, now

    def total(self, service: str, now: float) -> dict[str, float]:
        """Return the demand in slots by home region."""
        total: dict[str, float] = {}
        for report in self._list_fresh(now):
            for home, slots in report.demand.get(service, {}).items():
                total[home] = total.get(home, 0.0) + slots
        return total

    def measured_at(self) -> float:
        """Return the time of the newest report."""
        return max((at for _, at in self._reports.values()), default=-math.inf)

    def _list_fresh(self, now: float) -> Iterable[DemandReport]:
        return [
            report
            for report, at in self._reports.values()
            if now < at + MAX_REPORT_AGE_S
        ]
