"""Region weights whose changes are limited in every time window."""

from collections import deque
from collections.abc import Mapping
from typing import Protocol

# Smallest fraction that is moved at once. Smaller moves wait until they add up, which
# bounds the number of moves that are kept.
MIN_MOVE = 0.001
ROUNDING_TOLERANCE = 1e-9

Weights = Mapping[str, float]


class Cap(Protocol):
    """Limit of the fraction of traffic that may move within a time window."""

    @property
    def fraction(self) -> float:
        """Return the largest fraction that may move within a window."""

    @property
    def interval(self) -> float:
        """Return the length of the window in seconds."""


def measure_distance(first: Weights, second: Weights) -> float:
    """Return the fraction of traffic that differs between two sets of weights."""
    names = {*first, *second}
    return sum(abs(first.get(name, 0.0) - second.get(name, 0.0)) for name in names) / 2


def normalise(weights: Weights) -> dict[str, float]:
    """Return the positive weights, scaled to a sum of 1; empty if there are none."""
    total = sum(weight for weight in weights.values() if weight > 0)
    if total <= 0:
        return {}
    return {name: weight / total for name, weight in weights.items() if weight > 0}


class ShiftLimiter:
    """Move weights towards the desired ones and stay under the cap in every window.

    If `is_resumed`, the whole cap counts as used at the start, because an earlier
    process may have moved that much just before.
    """

    def __init__(self, weights: Weights, *, is_resumed: bool, now: float) -> None:
        self.weights = normalise(weights)
        self._moves: deque[tuple[float, float]] = deque()
        self._longest_interval = 0.0
        if is_resumed:
            self._moves.append((now, 1.0))

    def move(self, desired: Weights, cap: Cap, now: float) -> float:
        """Move as far as the cap allows and return the fraction that moved."""
        desired = normalise(desired)
        distance = measure_distance(self.weights, desired)
        if not desired or distance < ROUNDING_TOLERANCE:
            return 0.0
        budget = self.compute_budget(cap, now)
        share = min(distance, budget)
        if share < min(MIN_MOVE, distance):
            return 0.0
        self._blend(desired, share / distance)
        self._moves.append((now, share))
        return share

    def compute_budget(self, cap: Cap, now: float) -> float:
        """Return the fraction that may move now."""
        self._longest_interval = max(self._longest_interval, cap.interval)
        while self._moves and self._moves[0][0] < now - self._longest_interval:
            self._moves.popleft()
        recent = sum(
            share for moved_at, share in self._moves if moved_at >= now - cap.interval
        )
        return max(cap.fraction - recent - ROUNDING_TOLERANCE, 0.0)

    def estimate_wait(self, cap: Cap, now: float) -> float:
        """Return the time in seconds until a larger fraction may move."""
        for moved_at, _ in self._moves:
            if moved_at >= now - cap.interval:
                return max(moved_at + cap.interval - now, 0.0)
        return 0.0

    def _blend(self, desired: Weights, fraction: float) -> None:
        names = {*self.weights, *desired}
        blended = {}
        for name in sorted(names):
            old = self.weights.get(name, 0.0)
            blended[name] = old + fraction * (desired.get(name, 0.0) - old)
        self.weights = normalise(
            {
                name: weight
                for name, weight in blended.items()
                if weight > ROUNDING_TOLERANCE
            }
        )
