"""Weights that move by a limited amount in any window of time."""

from collections import deque
from collections.abc import Mapping
from typing import Protocol

# Smaller moves wait until they add up, which bounds the length of the history.
MIN_MOVE = 0.001
ROUNDING = 1e-9

Weights = Mapping[str, float]


class Cap(Protocol):
    """Limit the share of traffic that moves per interval in seconds."""

    @property
    def fraction(self) -> float:
        """Return the largest share that may move."""

    @property
    def interval(self) -> float:
        """Return the length of the window in seconds."""


def measure_distance(first: Weights, second: Weights) -> float:
    """Return the share of traffic that differs between two sets of weights."""
    names = {*first, *second}
    return sum(abs(first.get(name, 0.0) - second.get(name, 0.0)) for name in names) / 2


def normalise(weights: Weights) -> dict[str, float]:
    """Return positive weights scaled to a sum of 1; empty if there is none."""
    total = sum(weight for weight in weights.values() if weight > 0)
    if total <= 0:
        return {}
    return {name: weight / total for name, weight in weights.items() if weight > 0}


class ShiftLimiter:
    """Move weights towards a goal and stay under the cap in every window.

    `is_resumed` starts with the whole cap used, because an earlier process may have
    moved that much just before.
    """

    def __init__(self, weights: Weights, *, is_resumed: bool, now: float) -> None:
        self.weights = normalise(weights)
        self._moves: deque[tuple[float, float]] = deque()
        self._longest_interval = 0.0
        if is_resumed:
            self._moves.append((now, 1.0))

    def move(self, goal: Weights, cap: Cap, now: float) -> float:
        """Move as far as allowed and return the share that moved."""
        goal = normalise(goal)
        distance = measure_distance(self.weights, goal)
        if not goal or distance < ROUNDING:
            return 0.0
        budget = self.count_budget(cap, now)
        share = min(distance, budget)
        if share < min(MIN_MOVE, distance):
            return 0.0
        self._blend(goal, share / distance)
        self._moves.append((now, share))
        return share

    def count_budget(self, cap: Cap, now: float) -> float:
        """Return the share that may move now."""
        self._longest_interval = max(self._longest_interval, cap.interval)
        while self._moves and self._moves[0][0] < now - self._longest_interval:
            self._moves.popleft()
        recent = sum(share for at, share in self._moves if at >= now - cap.interval)
        return max(cap.fraction - recent - ROUNDING, 0.0)

    def estimate_wait(self, cap: Cap, now: float) -> float:
        """Return the time in seconds until more may move."""
        for at, _ in self._moves:
            if at >= now - cap.interval:
                return max(at + cap.interval - now, 0.0)
        return 0.0

    def _blend(self, goal: Weights, part: float) -> None:
        names = {*self.weights, *goal}
        blended = {}
        for name in sorted(names):
            old = self.weights.get(name, 0.0)
            blended[name] = old + part * (goal.get(name, 0.0) - old)
        self.weights = normalise(
            {name: weight for name, weight in blended.items() if weight > ROUNDING}
        )
