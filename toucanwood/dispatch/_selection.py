"""Choice among the free targets of one owner."""

from collections.abc import Sequence
from typing import Protocol

from toucanwood.dispatch._target import Target


class Selector(Protocol):
    """Choose a target for the next request."""

    def select(self, targets: Sequence[Target], now: float) -> Target:
        """Return one of the targets, each of which has a free slot."""


class LeastUtilisedSelector:
    """Choose the target with the smallest share of its slots in use.

    Ties go to the target with the shorter observed duration, then the smaller id.
    """

    def select(self, targets: Sequence[Target], now: float) -> Target:
        """Return one of the targets, each of which has a free slot."""
        return min(targets, key=lambda target: _rank(target, now))


def _rank(target: Target, now: float) -> tuple[float, float, str]:
    busy = (target.in_flight + 1) / target.limit(now)
    return busy, target.mean_duration or 0.0, target.id
