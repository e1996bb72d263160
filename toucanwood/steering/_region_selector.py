"""Selection of the serving region at one entry."""

from collections.abc import Callable, Iterable
from typing import Any

import attrs
from returns.result import Failure, Result, Success

from toucanwood.steering._shift import Cap, ShiftLimiter, Weights, normalise
from toucanwood.verdicts import Verdict, refuse

# Shortest time between two adjustments of the weights.
ADJUST_INTERVAL_S = 0.1
# Time after the start of this entry during which targets may still be unknown.
START_GRACE_S = 10.0
# Fraction of the slots of a region that stays free when traffic moves there from an
# unreachable region.
HEADROOM_FRACTION = 0.1
MAX_RETRY_AFTER_S = 30.0


@attrs.frozen
class Capacity:
    """Number of known slots and of free slots of a service in a region."""

    slots: int = 0
    free: int = 0


@attrs.define
class HomeRotation:
    """Weights and round-robin credits of one service and home region."""

    limiter: ShiftLimiter
    adjusted_at: float
    credits: dict[str, float] = attrs.field(factory=dict)

    def pick(self) -> str:
        """Return the next region by deterministic weighted round robin.

        The region with the largest weight gets every request for which no other region
        has a credit of 1, so that rounding up never exceeds a small weight.
        """
        weights = self.limiter.weights
        base = max(weights, key=lambda name: (weights[name], name))
        chosen = base
        for name, weight in weights.items():
            if name == base:
                continue
            self.credits[name] = self.credits.get(name, 0.0) + weight
            if self.credits[name] >= max(self.credits.get(chosen, 1.0), 1.0):
                chosen = name
        if chosen != base:
            self.credits[chosen] -= 1.0
        return chosen


class RegionSelector:
    """Choose the serving region of each request, within the shift cap of this entry.

    The entry moves its weights towards the published ones by at most `cap.fraction` in
    any window of `cap.interval` seconds. Without a leader or measurements, the last
    published weights stay in force. Traffic for a region without reachable slots moves
    to regions with free slots, also within the cap; requests that may not move are
    refused without being run. After a restart, the entry starts with the published
    weights and moves nothing for one interval.
    """

    def __init__(
        self,
        *,
        cap: Callable[[str], Cap],
        published: Callable[[str, str], Weights],
        capacity: Callable[[str, str], Capacity],
        regions: Callable[[], Iterable[str]],
        now: float,
    ) -> None:
        self._cap = cap
        self._published = published
        self._capacity = capacity
        self._regions = regions
        self._started_at = now
        self._rotations: dict[tuple[str, str], HomeRotation] = {}

    def choose(
        self, service: str, home_region: str, now: float
    ) -> Result[str, Verdict]:
        """Return the serving region for the next request of a home region."""
        rotation = self._get_rotation(service, home_region, now)
        if rotation is None:
            return Success(home_region)
        if now >= rotation.adjusted_at + ADJUST_INTERVAL_S:
            self._adjust(rotation, service, home_region, now)
        region = rotation.pick()
        if self._capacity(service, region).slots or not self._list_reachable(service):
            return Success(region)
        return Failure(self._refuse(rotation, service, region, now))

    def dump(self) -> dict[str, Any]:
        """Return the current weights by service and home region."""
        return {
            f"{service}@{home}": dict(rotation.limiter.weights)
            for (service, home), rotation in self._rotations.items()
        }

    def _get_rotation(
        self, service: str, home_region: str, now: float
    ) -> HomeRotation | None:
        rotation = self._rotations.get((service, home_region))
        if rotation is not None:
            return rotation
        weights = self._published(service, home_region)
        is_resumed = bool(weights)
        if not is_resumed:
            weights = self._compute_first_weights(service, home_region, now)
        if not normalise(weights):
            return None
        limiter = ShiftLimiter(weights, is_resumed=is_resumed, now=now)
        rotation = HomeRotation(limiter, adjusted_at=now)
        self._rotations[service, home_region] = rotation
        return rotation

    def _compute_first_weights(
        self, service: str, home_region: str, now: float
    ) -> Weights:
        """Return the initial weights while none are published.

        They are empty while targets in the home region may still be unknown.
        """
        if self._capacity(service, home_region).slots:
            return {home_region: 1.0}
        if now < self._started_at + START_GRACE_S:
            return {}
        return {
            region: self._capacity(service, region).slots for region in self._regions()
        }

    def _adjust(
        self, rotation: HomeRotation, service: str, home_region: str, now: float
    ) -> None:
        rotation.adjusted_at = now
        desired = self._published(service, home_region) or rotation.limiter.weights
        desired = self._avoid_unreachable(service, normalise(desired))
        rotation.limiter.move(desired, self._cap(service), now)

    def _avoid_unreachable(self, service: str, desired: Weights) -> Weights:
        unreachable = [
            name for name in desired if not self._capacity(service, name).slots
        ]
        if not unreachable:
            return desired
        spare = normalise(
            {name: self._compute_spare_slots(service, name) for name in self._regions()}
        )
        if not spare:
            return desired
        moved = sum(desired[name] for name in unreachable)
        kept = {
            name: weight for name, weight in desired.items() if name not in unreachable
        }
        for name, fraction in spare.items():
            kept[name] = kept.get(name, 0.0) + moved * fraction
        return kept

    def _compute_spare_slots(self, service: str, region: str) -> float:
        capacity = self._capacity(service, region)
        return max(capacity.free - HEADROOM_FRACTION * capacity.slots, 0.0)

    def _list_reachable(self, service: str) -> list[str]:
        return [
            region
            for region in self._regions()
            if self._capacity(service, region).slots
        ]

    def _refuse(
        self, rotation: HomeRotation, service: str, region: str, now: float
    ) -> Verdict:
        delay = rotation.limiter.estimate_wait(self._cap(service), now)
        reason = f"service {service!r}: region {region!r} is unreachable and the cap on"
        return refuse(
            "shift_cap_reached",
            f"{reason} shifts to other regions is reached",
            status=503,
            retry_after=min(max(delay, 1.0), MAX_RETRY_AFTER_S),
        )
