"""The state of one target at its owner."""

import math
from enum import Enum
from typing import Any

import attrs

from toucanwood.utils import check_range

# Time in s for which an announcement is valid without a renewal.
TARGET_LEASE_S = 2.0
# Duration in s of the ramp-up, in which a target may use a growing fraction of its
# slots.
RAMP_UP_S = 5.0
RAMP_UP_START_FRACTION = 0.25
# Weight of the latest outcome in the moving average of the failure rate.
FAILURE_RATE_WEIGHT = 0.1
# Weight of the latest duration in the moving average of the durations.
DURATION_WEIGHT = 0.1
# Failure rate above which a target may be failing. Seven consecutive failures raise the
# moving average above it.
FAILING_RATE = 0.5
# Interval in s between requests to a failing target, which serve as probes.
PROBE_INTERVAL_S = 1.0
# Largest accepted difference between the reported and the observed load.
MAX_LOAD_ERROR = 0.4
LOAD_CONTRADICTIONS_TO_FLAG = 5
MAX_SLOTS = 100_000


class Outcome(Enum):
    """Outcome of one attempt to send a request to a target."""

    OK = "ok"
    FAILED = "failed"
    SHED = "shed"
    CANCELLED = "cancelled"


@attrs.frozen(kw_only=True)
class Announcement:
    """Registration of a target, or the renewal of its registration.

    `load` is the fraction of slots in use that the target reports.
    """

    id: str
    service: str
    address: str
    data_centre: str
    slots: int
    load: float | None = None

    def __attrs_post_init__(self) -> None:
        check_range("slots", self.slots, low=1, high=MAX_SLOTS)


@attrs.frozen
class LeaseKey:
    """Identify a lease.

    `incarnation` identifies the start of the holder's process, `number` the lease
    within it.
    """

    holder: str
    incarnation: int
    number: int


@attrs.define
class OwnedLease:
    """Record one slot in use; times are on the owner's clock.

    `reported_at` is the time at which the holder last reported the lease, at first the
    time of the grant.
    """

    key: LeaseKey
    organisation: str
    deadline: float
    granted_at: float
    reported_at: float


@attrs.define(kw_only=True)
class Target:
    """Track the slots in use, failures and durations of one target.

    `started` and `ended` count the leases since the target was added.
    """

    announcement: Announcement
    region: str
    renewed_at: float
    is_open: bool = False
    left_at: float | None = None
    ramp_started_at: float = -math.inf
    leases: dict[LeaseKey, OwnedLease] = attrs.field(factory=dict)
    started: int = 0
    ended: int = 0
    failure_rate: float = 0.0
    mean_duration: float | None = None
    last_started_at: float = -math.inf
    is_failing: bool = False
    load_contradictions: int = 0
    _peak_utilisation_since_renewal: float = 0.0

    @property
    def id(self) -> str:
        """Return the target's id."""
        return self.announcement.id

    @property
    def is_leaving(self) -> bool:
        """Return whether the target has announced that it leaves."""
        return self.left_at is not None

    @property
    def pool_key(self) -> tuple[str, str]:
        """Return the service and region, which identify a pool of targets."""
        return self.announcement.service, self.region

    @property
    def in_flight(self) -> int:
        """Return the number of slots in use."""
        return len(self.leases)

    @property
    def slots(self) -> int:
        """Return the announced number of slots."""
        return self.announcement.slots

    def is_available(self, now: float) -> bool:
        """Return whether the target has a valid announcement and has not left."""
        return not self.is_leaving and now < self.renewed_at + TARGET_LEASE_S

    def limit(self, now: float) -> int:
        """Return the number of usable slots, which is lower during ramp-up."""
        age = (now - self.ramp_started_at) / RAMP_UP_S
        if age >= 1.0:
            return self.slots
        fraction = RAMP_UP_START_FRACTION + (1.0 - RAMP_UP_START_FRACTION) * age
        return max(1, math.floor(self.slots * fraction))

    def count_free(self, now: float) -> int:
        """Return the number of requests that may start now."""
        if not self.is_open or not self.is_available(now):
            return 0
        free = max(self.limit(now) - self.in_flight, 0)
        if not self.is_failing:
            return free
        is_paused = now < self.last_started_at + PROBE_INTERVAL_S
        return 0 if is_paused else min(free, 1)

    def renew(self, announcement: Announcement, now: float) -> None:
        """Record a renewal and compare the reported load with the observed one."""
        self._check_reported_load(announcement.load)
        self.announcement = announcement
        self.renewed_at = now

    def resume(self, now: float) -> None:
        """Bring a target that left or fell silent back into service, with a ramp-up."""
        self.left_at = None
        self.ramp_started_at = now
        self.is_failing = False
        self.failure_rate = 0.0

    def add_lease(self, lease: OwnedLease, now: float) -> None:
        """Occupy a slot with a granted lease."""
        self.leases[lease.key] = lease
        self.started += 1
        self.last_started_at = now
        self._record_utilisation()

    def remove_lease(self, key: LeaseKey) -> OwnedLease:
        """Free the slot of a lease."""
        self.ended += 1
        return self.leases.pop(key)

    def record_outcome(self, outcome: Outcome, duration: float) -> None:
        """Record how a request ended; `duration` is in seconds."""
        if outcome is Outcome.CANCELLED:
            return
        failed = 1.0 if outcome is Outcome.FAILED else 0.0
        self.failure_rate += FAILURE_RATE_WEIGHT * (failed - self.failure_rate)
        if outcome is not Outcome.OK:
            return
        if self.mean_duration is None:
            self.mean_duration = duration
        self.mean_duration += DURATION_WEIGHT * (duration - self.mean_duration)

    def dump(self, now: float) -> dict[str, Any]:
        """Return the target's state."""
        return {
            "service": self.announcement.service,
            "address": self.announcement.address,
            "data_centre": self.announcement.data_centre,
            "slots": self.slots,
            "limit": self.limit(now),
            "in_flight": self.in_flight,
            "is_open": self.is_open,
            "is_leaving": self.is_leaving,
            "is_failing": self.is_failing,
            "renewal_age": now - self.renewed_at,
            "reported_load": self.announcement.load,
            "is_load_misreported": self.is_load_misreported,
            "failure_rate": self.failure_rate,
            "mean_duration": self.mean_duration,
        }

    @property
    def is_load_misreported(self) -> bool:
        """Return whether consecutive load reports contradict the slots in use."""
        return self.load_contradictions >= LOAD_CONTRADICTIONS_TO_FLAG

    def _record_utilisation(self) -> None:
        utilisation = self.in_flight / self.slots
        self._peak_utilisation_since_renewal = max(
            self._peak_utilisation_since_renewal, utilisation
        )

    def _check_reported_load(self, load: float | None) -> None:
        lowest = self.in_flight / self.slots
        highest = max(self._peak_utilisation_since_renewal, lowest)
        self._peak_utilisation_since_renewal = lowest
        if load is None:
            return
        error = max(lowest - load, load - highest)
        is_wrong = not error <= MAX_LOAD_ERROR
        self.load_contradictions = self.load_contradictions + 1 if is_wrong else 0
