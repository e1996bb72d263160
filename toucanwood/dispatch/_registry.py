"""The targets that announced to one instance and the leases on them."""

from collections.abc import Callable, Iterable
from typing import Any

import attrs

from toucanwood.dispatch._target import (
    FAILING_RATE,
    TARGET_LEASE_S,
    Announcement,
    LeaseKey,
    Outcome,
    OwnedLease,
    Target,
)

# Time in s without a renewal after which a target without leases is removed.
SILENT_TARGET_RETENTION_S = 60.0
# Factor by which the failure rate of a failing target exceeds the mean rate of the
# other targets: requests that fail everywhere say nothing about one target.
FAILING_RATIO = 2.0


@attrs.frozen
class Share:
    """Summarise an owner's targets of one service in one data centre."""

    service: str
    data_centre: str
    free: int
    slots: int
    waiting: int
    usage: dict[str, int]


class TargetRegistry:
    """Index targets by service and region, and count every lease exactly once.

    Targets of a drained data centre get requests only if this owner has no other target
    of the service in the region.
    """

    def __init__(self, *, is_drained: Callable[[str], bool]) -> None:
        self._is_drained = is_drained
        self._targets: dict[str, Target] = {}
        self._by_pool: dict[tuple[str, str], list[Target]] = {}
        self._target_by_lease: dict[LeaseKey, Target] = {}
        self._usage: dict[tuple[str, str], int] = {}

    def get(self, target_id: str) -> Target | None:
        """Return a target by its id."""
        return self._targets.get(target_id)

    def find(self, key: LeaseKey) -> Target | None:
        """Return the target of a lease."""
        return self._target_by_lease.get(key)

    def list_all(self) -> list[Target]:
        """Return all targets."""
        return list(self._targets.values())

    def list_usable(self, service: str, region: str) -> list[Target]:
        """Return the targets that may get requests for a service in a region."""
        targets = self._by_pool.get((service, region), [])
        usable = [
            target
            for target in targets
            if not self._is_drained(target.announcement.data_centre)
        ]
        return usable or targets

    def list_keys_of_holder(self, holder: str) -> list[LeaseKey]:
        """Return the keys of an instance's leases."""
        return [key for key in self._target_by_lease if key.holder == holder]

    def announce(self, announcement: Announcement, region: str, now: float) -> bool:
        """Add or renew a target; return whether it is new here."""
        target = self._targets.get(announcement.id)
        if target is None or target.pool_key != (announcement.service, region):
            self.remove(announcement.id)
            self._add(announcement, region, now)
            return True
        if not target.is_available(now):
            target.resume(now)
        target.renew(announcement, now)
        return False

    def remove(self, target_id: str) -> list[OwnedLease] | None:
        """Remove a target and return its leases; None if there is no such target."""
        target = self._targets.pop(target_id, None)
        if target is None:
            return None
        self._by_pool[target.pool_key].remove(target)
        leases = list(target.leases.values())
        for lease in leases:
            self.remove_lease(lease.key)
        return leases

    def has_recently_left(self, target_id: str, now: float) -> bool:
        """Return whether an announcement may have been sent before the target left."""
        target = self._targets.get(target_id)
        if target is None or target.left_at is None:
            return False
        return now < target.left_at + TARGET_LEASE_S

    def add_lease(self, target: Target, lease: OwnedLease, now: float) -> None:
        """Add a lease to a target; a lease that is already known is ignored."""
        if lease.key in self._target_by_lease:
            return
        target.add_lease(lease, now)
        self._target_by_lease[lease.key] = target
        usage_key = target.announcement.service, lease.organisation
        self._usage[usage_key] = self._usage.get(usage_key, 0) + 1

    def remove_lease(self, key: LeaseKey) -> Target | None:
        """Free the slot of a lease and return its target."""
        target = self._target_by_lease.pop(key, None)
        if target is None:
            return None
        lease = target.remove_lease(key)
        usage_key = target.announcement.service, lease.organisation
        self._usage[usage_key] -= 1
        if not self._usage[usage_key]:
            del self._usage[usage_key]
        return target

    def record_outcome(self, target: Target, outcome: Outcome, duration: float) -> None:
        """Record the outcome of a request and update whether the target is failing."""
        target.record_outcome(outcome, duration)
        others = [
            other.failure_rate
            for other in self._by_pool[target.pool_key]
            if other is not target
        ]
        mean_rate = sum(others) / len(others) if others else 1.0
        rate = target.failure_rate
        target.is_failing = rate > FAILING_RATE and rate > FAILING_RATIO * mean_rate

    def list_expired(self, now: float, holder_timeout: float) -> list[LeaseKey]:
        """Return the leases past their deadline or not reported for too long."""
        return [
            lease.key
            for target in self._targets.values()
            for lease in target.leases.values()
            if now >= min(lease.deadline, lease.reported_at + holder_timeout)
        ]

    def remove_silent_targets(self, now: float) -> None:
        """Remove targets without leases whose last renewal is too old."""
        for target in self.list_all():
            if (
                now >= target.renewed_at + SILENT_TARGET_RETENTION_S
                and not target.leases
            ):
                self.remove(target.id)

    def count_usage(self, service: str, organisation: str) -> int:
        """Return the slots that an organisation uses at this owner."""
        return self._usage.get((service, organisation), 0)

    def count_free(self, service: str, region: str, now: float) -> int:
        """Return the number of slots that can be granted now."""
        targets = self.list_usable(service, region)
        return sum(target.count_free(now) for target in targets)

    def list_shares(
        self, count_waiting: Callable[[str, str], int], now: float
    ) -> list[Share]:
        """Summarise the targets per service and data centre."""
        groups: dict[tuple[str, str], list[Target]] = {}
        for target in self._targets.values():
            group_key = target.announcement.service, target.announcement.data_centre
            groups.setdefault(group_key, []).append(target)
        return [
            _summarise(group_key, targets, count_waiting(*targets[0].pool_key), now)
            for group_key, targets in groups.items()
        ]

    def dump(self, now: float) -> dict[str, Any]:
        """Return the state of all targets."""
        return {name: target.dump(now) for name, target in self._targets.items()}

    def _add(self, announcement: Announcement, region: str, now: float) -> None:
        target = Target(announcement=announcement, region=region, renewed_at=now)
        self._targets[target.id] = target
        self._by_pool.setdefault(target.pool_key, []).append(target)


def _summarise(
    group_key: tuple[str, str], targets: Iterable[Target], waiting: int, now: float
) -> Share:
    usage: dict[str, int] = {}
    slots = free = 0
    for target in targets:
        for lease in target.leases.values():
            usage[lease.organisation] = usage.get(lease.organisation, 0) + 1
        if target.is_open and target.is_available(now):
            slots += target.slots
            free += target.count_free(now)
    service, data_centre = group_key
    return Share(service, data_centre, free, slots, waiting, usage)
