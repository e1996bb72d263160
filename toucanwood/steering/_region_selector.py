"""Selection of the serving region at one entry."""

from collections.abc import Callable, Iterable
from typing import Any

import attrs
from returns.result import Failure, Result, Success

from toucanwood.steering._shift import Cap, ShiftLimiter, Weights, normalise
from toucanwood.verdicts import Verdict, refuse

ADJUST_INTERVAL_S = 0.1
# Time in s after a start in which targets may still be unknown.
START_GRACE_S = 10.0
# Share of a region's slots that traffic from an unreachable region may not take.
HEADROOM = 0.1
MAX_RETRY_AFTER_S = 30.0


@attrs.frozen
class Capacity:
    """Give the known slots of a service in a region and how many are free."""

    slots: int = 0
    free: int = 0


@attrs.define
class HomeRotation:
    """Hold the weights and the rotation for one service and home region."""

    limiter: ShiftLimiter
    adjusted_at: float
    credits: dict[str, float] = attrs.field(factory=dict)

    def pick(self) -> str:
        """Return the next region by deterministic weighted round robin.

        The region with the largest weight gets every request that no other region has
        earned in full, so that a small share is never exceeded by rounding up.
        """
        weights = self.limiter.weights
        base = max(weights, key=lambda name: (weights[name], name))
        earned = base
        for name, weight in weights.items():
            if name == base:
                continue
            self.credits[name] = self.credits.get(name, 0.0) + weight
            if self.credits[name] >= max(self.credits.get(earned, 1.0), 1.0):
                earned = name
        if earned != base:
            self.credits[earned] -= 1.0
        return earned


class RegionSelector:
    """Choose the serving region and keep this entry's shifts under the cap.

    The entry follows the published weights by at most `cap.fraction` per window of
    `cap.interval` seconds. Without a leader or measurements the last published weights
    stay in force. Traffic for a region without reachable slots moves to regions with
    free slots, also within the cap; what may not move is refused as not run. After a
    restart the entry adopts the published weights and moves nothing for one interval.
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
        """Return the region for the next request of a home region."""
        rotation = self._find_rotation(service, home_region, now)
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

    def _find_rotation(
        self, service: str, home_region: str, now: float
    ) -> HomeRotation | None:
        rotation = self._rotations.get((service, home_region))
        if rotation is not None:
            return rotation
        weights = self._published(service, home_region)
        is_resumed = bool(weights)
        if not is_resumed:
            weights = self._place(service, home_region, now)
        if not normalise(weights):
            return None
        limiter = ShiftLimiter(weights, is_resumed=is_resumed, now=now)
        rotation = HomeRotation(limiter, adjusted_at=now)
        self._rotations[service, home_region] = rotation
        return rotation

    def _place(self, service: str, home_region: str, now: float) -> Weights:
        """Return the first weights of traffic that no entry has placed yet."""
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
        goal = self._published(service, home_region) or rotation.limiter.weights
        goal = self._avoid_unreachable(service, normalise(goal))
        rotation.limiter.move(goal, self._cap(service), now)

    def _avoid_unreachable(self, service: str, goal: Weights) -> Weights:
        lost = [name for name in goal if not self._capacity(service, name).slots]
        if not lost:
            return goal
        spare = normalise(
            {name: self._count_spare(service, name) for name in self._regions()}
        )
        if not spare:
            return goal
        moved = sum(goal[name] for name in lost)
        kept = {name: weight for name, weight in goal.items() if name not in lost}
        for name, part in spare.items():
            kept[name] = kept.get(name, 0.0) + moved * part
        return kept

    def _count_spare(self, service: str, region: str) -> float:
        capacity = self._capacity(service, region)
        return max(capacity.free - HEADROOM * capacity.slots, 0.0)

    def _list_reachable(self, service: str) -> list[str]:
        return [
            region
            for region in self._regions()
            if self._capacity(service, region).slots
        ]

    def _refuse(
        self, rotation: HomeRotation, service: str, region: str, now: float
    ) -> Verdict:
        wait = rotation.limiter.estimate_wait(self._cap(service), now)
        text = f"service {service!r}: region {region!r} is unreachable and the cap on"
        return refuse(
            "shift_cap_reached",
            f"{text} shifts to other regions is reached",
            status=503,
            retry_after=min(max(wait, 1.0), MAX_RETRY_AFTER_S),
        )
