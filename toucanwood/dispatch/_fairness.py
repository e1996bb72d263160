"""Max-min fair shares of the slots of a region."""

import math
from collections.abc import Iterable

import attrs


@attrs.frozen
class Claim:
    """Give an organisation's slots in use elsewhere and its demand in the region."""

    elsewhere: float
    demand: float


def find_level(claims: Iterable[Claim], capacity: float) -> float:
    """Return the number of slots up to which every organisation may be served.

    This is the water level of max-min fairness: the region's slots are given to the
    organisations with the fewest slots in total until none is left. It is infinite
    where the region has room for the whole demand.
    """
    changes = []
    for claim in claims:
        changes.append((claim.elsewhere, 1))
        changes.append((claim.elsewhere + claim.demand, -1))
    filled = level = 0.0
    slope = 0
    for at, change in sorted(changes):
        step = slope * (at - level)
        if slope and filled + step >= capacity:
            return level + (capacity - filled) / slope
        filled += step
        level = at
        slope += change
    return math.inf
