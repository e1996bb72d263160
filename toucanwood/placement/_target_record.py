"""What an entry knows about one target."""

import math
from collections import OrderedDict
from typing import Any

import attrs

from toucanwood.fleet import Target
from toucanwood.placement._health import Health
from toucanwood.placement._signals import TargetSignals

# Number of objects that an entry remembers to have sent to a target. A target keeps a
# few dozen objects warm, and these include objects that other entries have sent.
MAX_REMEMBERED_OBJECTS = 32
# Weight of the latest response in the moving average of the slowdown of a target.
SLOWDOWN_WEIGHT = 0.1
# Bounds of the ratio by which one response changes the slowdown.
MIN_SLOWDOWN = 0.5
MAX_SLOWDOWN = 10.0
# Multiple of its expected response time by which a running request may exceed that time
# before its target is treated as slow: the object of the request may be cold at the
# target although it was likely to be warm.
STALL_TOLERANCE = 3.0
# Time in which the weight of the last load report falls from 1 to 0. The moving average
# of the reports takes the remaining weight.
REPORT_VALIDITY_S = 0.3
# Weight of the latest report in the moving average.
REPORT_WEIGHT = 0.3
# Time constant of the exponential decay of the moving average. A target that seems full
# gets no requests and so sends no reports; with a longer time constant it would stay
# unused while it is idle.
REPORT_DECAY_S = 0.5
# Number of other entries that are assumed to send as many requests as this one when
# there is no recent load report. An object belongs to a region with two or three
# entries, and after a start of all entries none of them knows what the others have just
# sent.
ASSUMED_OTHER_ENTRIES = 1


@attrs.frozen
class LoadReport:
    """The load that a target reported with a response."""

    running: int
    waiting: int
    slots: int


@attrs.define
class TargetRecord:
    """The load, health and slowdown of one target, as seen by one entry.

    `latency_s` is the one-way network latency. `slowdown` is the moving average of the
    response time divided by the expected one; 2 means half as fast as expected.
    """

    target: Target
    region: str
    latency_s: float
    # When the target appeared or last restarted; -inf if it is older than this entry.
    appeared_at: float = float("-inf")
    in_flight: int = 0
    cold_until: float = 0.0
    # Whether the target is assumed to be in its cold start although it has not reported
    # that; a probe gets its actual state.
    is_assumed_cold: bool = False
    slowdown: float = 1.0
    # Sending time and expected response time of the requests in flight, by number.
    _running_requests: dict[int, tuple[float, float]] = attrs.field(factory=dict)
    _last_number: int = 0
    health: Health = attrs.field(factory=Health)
    signals: TargetSignals = attrs.field(factory=TargetSignals)
    # Requests of other entries at the target: by the last report, and on average.
    _other_load: float = 0.0
    _mean_other_load: float = 0.0
    _reported_at: float = float("-inf")
    # When this entry last sent a request for each object, oldest first.
    _sent_objects: "OrderedDict[str, float]" = attrs.field(factory=OrderedDict)

    @property
    def id(self) -> str:
        """Return the id of the target."""
        return self.target.id

    def is_cold(self, now: float) -> bool:
        """Return whether the target has just started, or may have."""
        return self.is_assumed_cold or now < self.cold_until

    def record_load(self, report: LoadReport, now: float) -> None:
        """Record the load report of a response; call it after `end_request`.

        A target counts the request that it answers as running, so one is subtracted.
        The remaining load beyond the requests of this entry comes from other entries.
        """
        total = report.running + report.waiting - 1
        self._other_load = max(total - self.in_flight, 0)
        self._mean_other_load += REPORT_WEIGHT * (
            self._other_load - self._mean_other_load
        )
        self._reported_at = now

    def get_report_age(self, now: float) -> float:
        """Return the seconds since the target last reported its load."""
        return now - self._reported_at

    def estimate_load(self, now: float) -> float:
        """Return the estimated number of requests at the target, of all entries."""
        age = now - self._reported_at
        report_weight = max(1.0 - age / REPORT_VALIDITY_S, 0.0)
        mean = self._mean_other_load * math.exp(-age / REPORT_DECAY_S)
        estimate = max(mean, ASSUMED_OTHER_ENTRIES * self.in_flight)
        return (
            self.in_flight
            + report_weight * self._other_load
            + (1.0 - report_weight) * estimate
        )

    def start_request(self, expected_s: float, now: float) -> int:
        """Record a request that is sent and return its number."""
        self.in_flight += 1
        self._last_number += 1
        self._running_requests[self._last_number] = (now, expected_s)
        return self._last_number

    def end_request(self, number: int) -> None:
        """Record the end of a request; a second call has no effect."""
        if self._running_requests.pop(number, None) is not None:
            self.in_flight -= 1

    def estimate_slowdown(self, now: float) -> float:
        """Return how many times slower than usual the target is expected to be.

        Requests that have run for longer than expected are included before they end,
        so a target that has hung or become slow is avoided within a few response times.
        """
        estimate = self.slowdown
        for sent_at, expected_s in self._running_requests.values():
            estimate = max(estimate, (now - sent_at) / expected_s - STALL_TOLERANCE)
        return estimate

    def record_response_time(self, seconds: float, expected_s: float) -> None:
        """Update the slowdown by one response time and the one usually expected."""
        ratio = min(max(seconds / expected_s, MIN_SLOWDOWN), MAX_SLOWDOWN)
        self.slowdown += SLOWDOWN_WEIGHT * (ratio - self.slowdown)

    def record_object(self, key: str, now: float) -> None:
        """Record that a request for an object is sent to the target."""
        self._sent_objects[key] = now
        self._sent_objects.move_to_end(key)
        if len(self._sent_objects) > MAX_REMEMBERED_OBJECTS:
            self._sent_objects.popitem(last=False)

    def has_object(self, key: str) -> bool:
        """Return whether this entry has recently sent the object to the target."""
        return key in self._sent_objects

    def get_object_age(self, key: str, now: float) -> float | None:
        """Return the seconds since this entry sent an object, None if it has not."""
        sent_at = self._sent_objects.get(key)
        return None if sent_at is None else now - sent_at

    def reset_after_restart(self, now: float) -> None:
        """Reset the state that the target has lost by its restart."""
        self._sent_objects.clear()
        self._other_load = self._mean_other_load = 0.0
        self.slowdown = 1.0
        self.signals = TargetSignals()
        self.appeared_at = now

    def dump(self, now: float) -> dict[str, Any]:
        """Return a JSON-serialisable description."""
        return {
            "service": self.target.service,
            "data_centre": self.target.data_centre,
            "in_flight": self.in_flight,
            "others": round(self._mean_other_load, 1),
            "report_age": round(min(now - self._reported_at, 1e6), 2),
            "speed": round(self.slowdown, 2),
            "cold": self.is_cold(now),
            "rate_limit": self.signals.rate_limit,
            "leaving": self.signals.is_leaving,
            "waiting": round(max(self.signals.waiting_until - now, 0.0), 2),
            **self.health.dump(),
        }
