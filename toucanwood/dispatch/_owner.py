"""The slots of the targets that announced to one instance."""

from collections.abc import Callable, Iterable
from enum import Enum
from typing import Any

import attrs

from toucanwood.dispatch._queue import FairQueue, Waiter
from toucanwood.dispatch._selection import LeastBusy, Selector
from toucanwood.dispatch._target import (
    FAILING_RATE,
    TARGET_LEASE_S,
    Announcement,
    LeaseKey,
    Outcome,
    OwnedLease,
    Target,
)

# Holders give up a lease 5 s after the owner last confirmed it. The owner waits longer.
HOLDER_TIMEOUT_S = 6.0
# Longest time in s between the grant of a slot and the start of the request, so that no
# request starts 2 s after its target left.
START_LIMIT_S = 1.5
FORGET_TARGET_S = 60.0
# A target counts as failing only when its failure rate is this many times that of the
# other targets, because requests that fail everywhere say nothing about the target.
FAILING_RATIO = 2.0
# Smoothed time in s that a request uses a slot, before any has been observed.
FIRST_HOLD_TIME_S = 0.1
HOLD_TIME_SMOOTHING = 0.05


class Status(Enum):
    """Answer a request for a slot."""

    GRANTED = "granted"
    WAITING = "waiting"
    FULL = "full"
    LATE = "late"


@attrs.frozen
class Decision:
    """Tell the holder which target to use and for how long the grant is valid."""

    status: Status
    target_id: str = ""
    address: str = ""
    valid_for: float = 0.0
    retry_after: float = 0.0


@attrs.frozen
class Share:
    """Summarise an owner's targets of one service in one data centre."""

    service: str
    data_centre: str
    free: int
    slots: int
    waiting: int
    usage: dict[str, int]


Usage = Callable[[str, str], int]
OnDecision = Callable[[LeaseKey, Decision], None]


class SlotOwner:
    """Grant slots so that no target ever has more leases than slots.

    `remote_usage(service, organisation)` returns the slots in use at other owners.
    `on_decision` hears what became of a waiter.
    """

    def __init__(
        self,
        *,
        remote_usage: Usage,
        on_decision: OnDecision,
        selector: Selector | None = None,
    ) -> None:
        self._remote_usage = remote_usage
        self._on_decision = on_decision
        self._selector = selector or LeastBusy()
        self.targets: dict[str, Target] = {}
        self._queues: dict[tuple[str, str], FairQueue] = {}
        self._waiters: dict[LeaseKey, Waiter] = {}
        self._target_of: dict[LeaseKey, Target] = {}
        self._usage: dict[tuple[str, str], int] = {}
        self._incarnations: dict[str, int] = {}
        self._hold_times: dict[str, float] = {}

    # Targets

    def announce(self, announcement: Announcement, region: str, now: float) -> bool:
        """Add or renew a target; return whether its ownership must be claimed first."""
        target = self.targets.get(announcement.id)
        if target is None or target.announcement.service != announcement.service:
            self._add(announcement, region, now)
            return True
        self._end_absence(target, now)
        target.renew(announcement, now)
        self._pump(announcement.service, target.region, now)
        return False

    def adopt(self, target_id: str, leases: Iterable[OwnedLease], now: float) -> None:
        """Count leases that an earlier owner granted."""
        target = self.targets.get(target_id)
        if target is None:
            return
        for lease in leases:
            self._count(target, lease, now)

    def open(self, target_id: str, *, ramp: bool, now: float) -> None:
        """Start granting slots of a claimed target."""
        target = self.targets.get(target_id)
        if target is None or target.is_open:
            return
        target.is_open = True
        target.ramp_from = now if ramp else target.ramp_from
        self._pump(target.announcement.service, target.region, now)

    def give_up(self, target_id: str) -> list[OwnedLease] | None:
        """Stop owning a target and return its leases; None if it is not owned."""
        target = self.targets.pop(target_id, None)
        if target is None:
            return None
        leases = list(target.leases.values())
        for lease in leases:
            self._uncount(target, lease.key)
        return leases

    def has_just_left(self, target_id: str, now: float) -> bool:
        """Return whether an announcement may have been sent before the leave."""
        target = self.targets.get(target_id)
        if target is None or target.left_at is None:
            return False
        return now < target.left_at + TARGET_LEASE_S

    def leave(self, target_id: str, now: float) -> bool:
        """Grant no further slot of a target; return whether it is owned here."""
        target = self.targets.get(target_id)
        if target is None:
            return False
        target.left_at = now
        return True

    def _add(self, announcement: Announcement, region: str, now: float) -> None:
        self.give_up(announcement.id)
        target = Target(announcement=announcement, region=region, renewed_at=now)
        self.targets[announcement.id] = target

    def _end_absence(self, target: Target, now: float) -> None:
        if target.is_current(now):
            return
        target.left_at = None
        target.ramp_from = now
        target.is_failing = False
        target.failure_rate = 0.0

    # Slots

    def request(self, waiter: Waiter, *, wait: float, now: float) -> Decision | None:
        """Grant a slot now, refuse it, or queue the request and return None."""
        if not self._accept(waiter.key):
            return Decision(Status.LATE)
        granted = self._target_of.get(waiter.key)
        if granted is not None:
            return self._describe_grant(granted, waiter.key, now)
        known = self._waiters.get(waiter.key)
        if known is not None:
            known.poll_until = waiter.poll_until
            return None
        return self._enqueue(waiter, wait, now)

    def release(
        self, key: LeaseKey, outcome: Outcome, duration: float | None, now: float
    ) -> None:
        """End a lease, or withdraw its request from the queue."""
        waiter = self._waiters.pop(key, None)
        if waiter is not None:
            self._queues[waiter.service, waiter.region].remove(waiter)
            self._on_decision(key, Decision(Status.LATE))
        target = self._target_of.get(key)
        if target is None:
            return
        if duration is not None:
            target.observe(outcome, duration)
            self._judge(target)
            self._note_hold_time(target.announcement.service, duration)
        self._free(target, key, now)

    def remove_holder(self, holder: str, now: float) -> None:
        """End every lease and wait of an instance that is known to be gone."""
        for key in self._list_keys(holder):
            self.release(key, Outcome.CANCELLED, None, now)

    def hold(
        self,
        holder: str,
        incarnation: int,
        last_number: int,
        numbers: Iterable[int],
        now: float,
        *,
        is_isolated: bool = False,
    ) -> list[int]:
        """Compare the holder's list with the leases here and return those confirmed.

        An isolated owner does not confirm leases on a target that went silent, because
        the target may have announced to an instance that cannot be reached.
        """
        if incarnation < self._incarnations.get(holder, 0):
            return []
        self._incarnations[holder] = incarnation
        held = set(numbers)
        confirmed = []
        for key in self._list_keys(holder):
            is_held = key.incarnation == incarnation and key.number in held
            is_newer = key.incarnation == incarnation and key.number > last_number
            if not (is_held or is_newer):
                self.release(key, Outcome.CANCELLED, None, now)
                continue
            self._note_heard(key, now)
            if not (is_isolated and self._is_silent(key, now)):
                confirmed.append(key.number)
        return confirmed

    def advance(self, now: float) -> None:
        """End what is over and serve waiters whose turn depends on the time."""
        self._end_leases(now)
        self._expire_waiters(now)
        self._forget_targets(now)
        for service, region in list(self._queues):
            self._pump(service, region, now)

    # Views

    def count_usage(self, service: str, organisation: str) -> int:
        """Return the slots of an organisation in use at this owner."""
        return self._usage.get((service, organisation), 0)

    def count_free(self, service: str, region: str, now: float) -> int:
        """Return the slots that can be granted now."""
        targets = self._list_targets(service, region)
        return sum(target.count_free(now) for target in targets)

    def list_shares(self, now: float) -> list[Share]:
        """Return a summary per service and data centre."""
        groups: dict[tuple[str, str], list[Target]] = {}
        for target in self.targets.values():
            place = target.announcement.service, target.announcement.data_centre
            groups.setdefault(place, []).append(target)
        return [
            self._summarise(service, data_centre, targets, now)
            for (service, data_centre), targets in groups.items()
        ]

    def dump(self, now: float) -> dict[str, Any]:
        """Return the state of the targets and queues."""
        targets = {name: target.dump(now) for name, target in self.targets.items()}
        queues = {
            f"{service}@{region}": {
                "waiting": len(queue),
                "organisations": queue.count_organisations(),
            }
            for (service, region), queue in self._queues.items()
        }
        return {"targets": targets, "queues": queues}

    # Private

    def _accept(self, key: LeaseKey) -> bool:
        newest = self._incarnations.get(key.holder, 0)
        self._incarnations[key.holder] = max(newest, key.incarnation)
        return key.incarnation >= newest

    def _enqueue(self, waiter: Waiter, wait: float, now: float) -> Decision | None:
        queue = self._find_queue(waiter)
        if wait > 0 and self._estimate_wait(waiter, queue) > waiter.deadline - now:
            return Decision(Status.LATE, retry_after=self._hint(waiter.service))
        self._waiters[waiter.key] = waiter
        dropped = queue.add(waiter)
        if dropped is not None:
            self._drop(dropped, Status.FULL)
        self._pump(waiter.service, waiter.region, now)
        target = self._target_of.get(waiter.key)
        if target is not None:
            return self._describe_grant(target, waiter.key, now)
        if wait > 0 and waiter.key in self._waiters:
            return None
        self._waiters.pop(waiter.key, None)
        queue.remove(waiter)
        return Decision(Status.FULL, retry_after=self._hint(waiter.service))

    def _pump(self, service: str, region: str, now: float) -> None:
        queue = self._queues.get((service, region))
        if not queue:
            return
        while (match := self._match(queue, service, region, now)) is not None:
            waiter, target = match
            queue.take(waiter)
            del self._waiters[waiter.key]
            lease = OwnedLease(
                waiter.key, waiter.organisation, waiter.deadline, now, now
            )
            self._count(target, lease, now)
            self._on_decision(waiter.key, self._describe_grant(target, waiter.key, now))

    def _match(
        self, queue: FairQueue, service: str, region: str, now: float
    ) -> tuple[Waiter, Target] | None:
        targets = self._list_targets(service, region)
        free = [target for target in targets if target.count_free(now) > 0]
        if not free:
            return None

        def count_fleet_usage(organisation: str) -> int:
            remote = self._remote_usage(service, organisation)
            return remote + self.count_usage(service, organisation)

        for waiter in queue.iterate_fairly(count_fleet_usage):
            allowed = [target for target in free if target.id not in waiter.exclude]
            if allowed and not waiter.is_over(now):
                return waiter, self._selector.select(allowed, now)
        return None

    def _describe_grant(self, target: Target, key: LeaseKey, now: float) -> Decision:
        granted_at = target.leases[key].granted_at
        start_by = min(granted_at + START_LIMIT_S, target.renewed_at + TARGET_LEASE_S)
        return Decision(
            Status.GRANTED,
            target_id=target.id,
            address=target.announcement.address,
            valid_for=0.0 if target.is_leaving else start_by - now,
        )

    def _count(self, target: Target, lease: OwnedLease, now: float) -> None:
        if lease.key in self._target_of:
            return
        target.start(lease, now)
        self._target_of[lease.key] = target
        place = target.announcement.service, lease.organisation
        self._usage[place] = self._usage.get(place, 0) + 1

    def _uncount(self, target: Target, key: LeaseKey) -> None:
        lease = target.end(key)
        if lease is None:
            return
        del self._target_of[key]
        place = target.announcement.service, lease.organisation
        self._usage[place] -= 1
        if not self._usage[place]:
            del self._usage[place]

    def _free(self, target: Target, key: LeaseKey, now: float) -> None:
        self._uncount(target, key)
        self._pump(target.announcement.service, target.region, now)

    def _judge(self, target: Target) -> None:
        service = target.announcement.service
        others = [
            other.failure_rate
            for other in self.targets.values()
            if other.announcement.service == service and other is not target
        ]
        usual = sum(others) / len(others) if others else 1.0
        rate = target.failure_rate
        target.is_failing = rate > FAILING_RATE and rate > FAILING_RATIO * usual

    def _end_leases(self, now: float) -> None:
        for target in list(self.targets.values()):
            for lease in list(target.leases.values()):
                is_silent = now >= lease.heard_at + HOLDER_TIMEOUT_S
                if now >= lease.deadline or is_silent:
                    self._free(target, lease.key, now)

    def _expire_waiters(self, now: float) -> None:
        for queue in self._queues.values():
            for waiter in queue.expire(now):
                self._drop(waiter, Status.LATE)

    def _drop(self, waiter: Waiter, status: Status) -> None:
        del self._waiters[waiter.key]
        hint = self._hint(waiter.service)
        self._on_decision(waiter.key, Decision(status, retry_after=hint))

    def _forget_targets(self, now: float) -> None:
        for target in list(self.targets.values()):
            is_old = now >= target.renewed_at + FORGET_TARGET_S
            if is_old and not target.leases:
                del self.targets[target.id]

    def _list_targets(self, service: str, region: str) -> list[Target]:
        return [
            target
            for target in self.targets.values()
            if target.announcement.service == service and target.region == region
        ]

    def _list_keys(self, holder: str) -> list[LeaseKey]:
        keys = [*self._target_of, *self._waiters]
        return [key for key in keys if key.holder == holder]

    def _is_silent(self, key: LeaseKey, now: float) -> bool:
        target = self._target_of.get(key)
        if target is None or target.is_leaving:
            return False
        return not target.is_current(now)

    def _note_heard(self, key: LeaseKey, now: float) -> None:
        target = self._target_of.get(key)
        if target is not None:
            target.leases[key].heard_at = now

    def _find_queue(self, waiter: Waiter) -> FairQueue:
        return self._queues.setdefault((waiter.service, waiter.region), FairQueue())

    def _note_hold_time(self, service: str, duration: float) -> None:
        known = self._hold_times.get(service, duration)
        self._hold_times[service] = known + HOLD_TIME_SMOOTHING * (duration - known)

    def _hint(self, service: str) -> float:
        return max(1.0, self._hold_times.get(service, FIRST_HOLD_TIME_S))

    def _estimate_wait(self, waiter: Waiter, queue: FairQueue) -> float:
        targets = self._list_targets(waiter.service, waiter.region)
        slots = sum(target.slots for target in targets)
        competitors = max(queue.count_organisations(), 1)
        fair_slots = max(slots / competitors, 1.0)
        hold_time = self._hold_times.get(waiter.service, FIRST_HOLD_TIME_S)
        return queue.count(waiter.organisation) * hold_time / fair_slots

    def _summarise(
        self, service: str, data_centre: str, targets: list[Target], now: float
    ) -> Share:
        usage: dict[str, int] = {}
        for target in targets:
            for lease in target.leases.values():
                usage[lease.organisation] = usage.get(lease.organisation, 0) + 1
        queue = self._queues.get((service, targets[0].region), ())
        current = [target for target in targets if target.is_current(now)]
        return Share(
            service=service,
            data_centre=data_centre,
            free=sum(target.count_free(now) for target in current),
            slots=sum(target.slots for target in current if target.is_open),
            waiting=len(queue),
            usage=usage,
        )
