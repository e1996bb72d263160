"""What an entry knows of one target."""

import math
from collections import OrderedDict
from typing import Any

import attrs

from toucanwood.fleet import Target
from toucanwood.placement._health import Health

# The objects that an entry remembers to have sent to a target. Targets keep a few
# dozen warm, and those that other entries send count there too.
MAX_REMEMBERED_OBJECTS = 32
# Weight of the last response in the slowdown of a target.
SLOWDOWN_WEIGHT = 0.1
MIN_SLOWDOWN = 0.5
MAX_SLOWDOWN = 10.0
# A request may take longer than expected by this many expected times: its object may
# not be warm although that was likely.
STALL_TOLERANCE = 3.0
# The last report of the load counts for this time, then the mean of the reports does.
REPORT_LIFE_S = 0.3
# Weight of the last report in that mean.
REPORT_WEIGHT = 0.3
# The mean fades with this time constant. A target that seems full gets no request and
# so sends no report; with a longer time it would stay unused while it is idle.
REPORT_FADE_S = 0.5
# Without a recent report, this many entries are taken to send as much as this one:
# objects belong to a region with two or three entries, and after a start of all entries
# none of them knows what the others have just sent.
PEERS = 1


@attrs.frozen
class LoadReport:
    """Hold the load that a target reported with a response."""

    running: int
    waiting: int
    slots: int


@attrs.define
class TargetRecord:
    """Hold the load, health and speed of one target, as seen by one entry.

    `slowdown` is the response time divided by the expected one: 2 is half as fast.
    """

    target: Target
    region: str
    latency_s: float
    appeared_at: float = float("-inf")
    in_flight: int = 0
    cold_until: float = 0.0
    # Coldness that was assumed and not reported; a probe tells the truth.
    is_assumed_cold: bool = False
    slowdown: float = 1.0
    # When the requests in flight were sent, and how long each was expected to take.
    _running: dict[int, tuple[float, float]] = attrs.field(factory=dict)
    _next_number: int = 0
    health: Health = attrs.field(factory=Health)
    _others: float = 0.0
    _others_mean: float = 0.0
    _reported_at: float = float("-inf")
    # When each object was sent to the target.
    _objects: "OrderedDict[str, float]" = attrs.field(factory=OrderedDict)

    @property
    def id(self) -> str:
        """Return the id of the target."""
        return self.target.id

    def is_cold(self, now: float) -> bool:
        """Return whether the target has just started."""
        return self.is_assumed_cold or now < self.cold_until

    def record_load(self, report: LoadReport, now: float) -> None:
        """Take over a report that came with a response, after that request has ended.

        Targets count the request that they answer as running. What is not of this
        entry is the load of others.
        """
        total = report.running + report.waiting - 1
        self._others = max(total - self.in_flight, 0)
        self._others_mean += REPORT_WEIGHT * (self._others - self._others_mean)
        self._reported_at = now

    def get_report_age(self, now: float) -> float:
        """Return for how many seconds the target has not reported its load."""
        return now - self._reported_at

    def estimate_load(self, now: float) -> float:
        """Return the requests that the target has, those of other entries estimated."""
        age = now - self._reported_at
        weight = max(1.0 - age / REPORT_LIFE_S, 0.0)
        mean = self._others_mean * math.exp(-age / REPORT_FADE_S)
        unknown = max(mean, PEERS * self.in_flight)
        return self.in_flight + weight * self._others + (1.0 - weight) * unknown

    def start_request(self, expected_s: float, now: float) -> int:
        """Count a request that is sent and return its number."""
        self.in_flight += 1
        self._next_number += 1
        self._running[self._next_number] = (now, expected_s)
        return self._next_number

    def end_request(self, number: int) -> None:
        """Count the end of a request."""
        if self._running.pop(number, None) is not None:
            self.in_flight -= 1

    def estimate_slowdown(self, now: float) -> float:
        """Return the expected time of a request over that of a usual target.

        Requests that run for longer than expected count before they end, so a target
        that has stopped or become slow is avoided within a few service times.
        """
        estimate = self.slowdown
        for started, expected in self._running.values():
            estimate = max(estimate, (now - started) / expected - STALL_TOLERANCE)
        return estimate

    def record_response_time(self, seconds: float, expected_s: float) -> None:
        """Count the time of one response over what was expected of a usual target."""
        ratio = min(max(seconds / expected_s, MIN_SLOWDOWN), MAX_SLOWDOWN)
        self.slowdown += SLOWDOWN_WEIGHT * (ratio - self.slowdown)

    def record_object(self, key: str, now: float) -> None:
        """Note that the target handles an object."""
        self._objects[key] = now
        self._objects.move_to_end(key)
        if len(self._objects) > MAX_REMEMBERED_OBJECTS:
            self._objects.popitem(last=False)

    def has_object(self, key: str) -> bool:
        """Return whether this entry has sent an object to the target lately."""
        return key in self._objects

    def get_object_age(self, key: str, now: float) -> float | None:
        """Return the time since this entry sent an object, or None if it did not."""
        sent_at = self._objects.get(key)
        return None if sent_at is None else now - sent_at

    def reset_after_restart(self, now: float) -> None:
        """Forget what a new start of the target has lost."""
        self._objects.clear()
        self._others = self._others_mean = 0.0
        self.slowdown = 1.0
        self.appeared_at = now

    def dump(self, now: float) -> dict[str, Any]:
        """Return a JSON-serialisable description."""
        return {
            "service": self.target.service,
            "data_centre": self.target.data_centre,
            "in_flight": self.in_flight,
            "others": round(self._others_mean, 1),
            "report_age": round(min(now - self._reported_at, 1e6), 2),
            "speed": round(self.slowdown, 2),
            "cold": self.is_cold(now),
            **self.health.dump(),
        }
