"""Selection of a target among those of one owner that have free slots."""

from collections.abc import Sequence
from typing import Protocol

from toucanwood.dispatch._target import Target


class Selector(Protocol):
    """Select a target for the next request."""

    def select(self, targets: Sequence[Target], now: float) -> Target:
        """Return one of the targets, each of which has a free slot."""


class LeastUtilisedSelector:
    """Select the target with the smallest fraction of its slots in use.

    Ties are broken by the shorter mean duration of requests, then by the smaller id.
    """

    def select(self, targets: Sequence[Target], now: float) -> Target:
        """Return one of the targets, each of which has a free slot."""
        return min(targets, key=lambda target: _sort_key(target, now))


def _sort_key(target: Target, now: float) -> tuple[float, float, str]:
    utilisation = (target.in_flight + 1) / target.limit(now)
    return utilisation, target.mean_duration or 0.0, target.id
