"""Demand by service and home region: measured by entries, summed by the leader."""

import math
from collections.abc import Iterable

import attrs

from toucanwood.steering._messages import DemandReport

# Shortest time over which demand is measured. Over a shorter time the rate is mostly
# noise, and the division by a subnormal time gives infinity and then a smoothed demand
# of NaN.
MIN_COLLECT_INTERVAL_S = 0.05
# Time constant of the smoothed demand.
DEMAND_SMOOTHING_S = 5.0
# Age from which on the report of an entry is ignored.
MAX_REPORT_AGE_S = 5.0
# Assumed time that a request uses a slot, until the first request has ended.
DEFAULT_DURATION_S = 0.1
# Weight of a new duration in the average duration of a service.
DURATION_WEIGHT = 0.05

# Demand in slots by service and home region.
Demand = dict[str, dict[str, float]]


@attrs.define
class _Flow:
    slot_seconds: float = 0.0
    smoothed_slots: float = 0.0


class DemandMeter:
    """Measure how many slots the requests of each home region need at one entry."""

    def __init__(self, *, now: float) -> None:
        self._flows: dict[tuple[str, str], _Flow] = {}
        self._durations: dict[str, float] = {}
        self._collected_at = now

    def record(self, service: str, home_region: str, duration: float) -> None:
        """Count a request that used a slot for `duration` seconds."""
        average = self._durations.get(service, duration)
        average += DURATION_WEIGHT * (duration - average)
        self._durations[service] = average
        self._add(service, home_region, duration)

    def record_refusal(self, service: str, home_region: str) -> None:
        """Count a request that got no slot at the average duration of its service."""
        duration = self._durations.get(service, DEFAULT_DURATION_S)
        self._add(service, home_region, duration)

    def collect(self, now: float) -> Demand:
        """Update and return the smoothed demand in slots."""
        elapsed = now - self._collected_at
        if elapsed < MIN_COLLECT_INTERVAL_S:
            return self._list_demand()
        self._collected_at = now
        weight = 1.0 - math.exp(-elapsed / DEMAND_SMOOTHING_S)
        for flow in self._flows.values():
            flow.smoothed_slots += weight * (
                flow.slot_seconds / elapsed - flow.smoothed_slots
            )
            flow.slot_seconds = 0.0
        return self._list_demand()

    def _add(self, service: str, home_region: str, duration: float) -> None:
        flow = self._flows.setdefault((service, home_region), _Flow())
        flow.slot_seconds += duration

    def _list_demand(self) -> Demand:
        demand: Demand = {}
        for (service, home_region), flow in self._flows.items():
            demand.setdefault(service, {})[home_region] = flow.smoothed_slots
        return demand


class DemandTable:
    """Demand reports of all entries, kept by the leader."""

    def __init__(self) -> None:
        self._reports: dict[str, tuple[DemandReport, float]] = {}

    def apply(self, sender: str, report: DemandReport, now: float) -> None:
        """Store a report.

        A report that arrives after a newer one of the same entry is ignored until that
        one reaches `MAX_REPORT_AGE_S`.
        """
        previous = self._reports.get(sender)
        is_outdated = previous is not None and report.sequence <= previous[0].sequence
        if not is_outdated or now >= previous[1] + MAX_REPORT_AGE_S:  # type: ignore[index]
            self._reports[sender] = report, now

    def total(self, service: str, now: float) -> dict[str, float]:
        """Return the demand for a service in slots by home region."""
        total: dict[str, float] = {}
        for report in self._list_fresh(now):
            for home_region, slots in report.demand.get(service, {}).items():
                total[home_region] = total.get(home_region, 0.0) + slots
        return total

    def measured_at(self) -> float:
        """Return the time at which the newest report was received."""
        return max(
            (received_at for _, received_at in self._reports.values()),
            default=-math.inf,
        )

    def _list_fresh(self, now: float) -> Iterable[DemandReport]:
        return [
            report
            for report, received_at in self._reports.values()
            if now < received_at + MAX_REPORT_AGE_S
        ]
