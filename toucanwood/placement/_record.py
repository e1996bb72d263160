"""What an entry knows of one target."""

from collections import OrderedDict
from typing import Any

import attrs

from toucanwood.fleet import Target
from toucanwood.placement._health import Health

# The objects that an entry remembers to have sent to a target.
MAX_REMEMBERED_OBJECTS = 64
# Weight of the last response in the mean service time of a target.
TIME_WEIGHT = 0.15
# A report counts fully when it is new and not at all after this many service times.
REPORT_LIFE = 2.0


@attrs.frozen
class LoadReport:
    """Hold the load that a target reported with a response."""

    running: int
    waiting: int
    slots: int


@attrs.define
class TargetRecord:
    """Hold the load, health and speed of one target, as seen by one entry."""

    target: Target
    region: str
    latency_s: float
    in_flight: int = 0
    cold_until: float = 0.0
    # Coldness that was assumed and not reported; a probe tells the truth.
    is_unproven: bool = False
    mean_s: float | None = None
    health: Health = attrs.field(factory=Health)
    _others: float = 0.0
    _reported_at: float = -1e9
    _objects: "OrderedDict[str, None]" = attrs.field(factory=OrderedDict)

    @property
    def id(self) -> str:
        """Return the id of the target."""
        return self.target.id

    def is_cold(self, now: float) -> bool:
        """Return whether the target has just started."""
        return self.is_unproven or now < self.cold_until

    def record_load(self, report: LoadReport, now: float) -> None:
        """Take over a report; what is not of this entry is the load of others."""
        total = report.running + report.waiting
        self._others = max(total - self.in_flight, 0)
        self._reported_at = now

    def estimate_load(self, now: float, mean_s: float) -> float:
        """Return the requests that the target has, those of other entries estimated."""
        life = REPORT_LIFE * mean_s
        age = now - self._reported_at
        weight = max(1.0 - age / life, 0.0) if life > 0 else 0.0
        return self.in_flight + self._others * weight

    def record_time(self, seconds: float) -> None:
        """Count the service time of one response."""
        if self.mean_s is None:
            self.mean_s = seconds
        else:
            self.mean_s += TIME_WEIGHT * (seconds - self.mean_s)

    def remember_object(self, key: str) -> None:
        """Note that the target handles an object."""
        self._objects[key] = None
        self._objects.move_to_end(key)
        if len(self._objects) > MAX_REMEMBERED_OBJECTS:
            self._objects.popitem(last=False)

    def knows_object(self, key: str) -> bool:
        """Return whether this entry has sent the object to the target lately."""
        return key in self._objects

    def restart(self) -> None:
        """Forget what a new start of the target has lost."""
        self._objects.clear()
        self._others = 0.0

    def dump(self, now: float) -> dict[str, Any]:
        """Return a JSON-serialisable description."""
        return {
            "service": self.target.service,
            "data_centre": self.target.data_centre,
            "in_flight": self.in_flight,
            "others": self._others,
            "report_age": round(now - self._reported_at, 2),
            "mean_ms": None if self.mean_s is None else round(self.mean_s * 1000),
            "cold": self.is_cold(now),
            **self.health.dump(),
        }
