"""Max-min fair shares of the slots of a region."""

import math
from collections.abc import Iterable

import attrs


@attrs.frozen
class OrganisationDemand:
    """Give an organisation's slots in use elsewhere and its demand in the region."""

    used_elsewhere: float
    demand: float


def compute_fair_level(demands: Iterable[OrganisationDemand], capacity: float) -> float:
    """Return the number of slots up to which every organisation may be served.

    This is the water level of max-min fairness: the region's slots are given to the
    organisations with the fewest slots in total until none is left. It is infinite
    where the region has room for the whole demand.
    """
    changes = []
    for item in demands:
        changes.append((item.used_elsewhere, 1))
        changes.append((item.used_elsewhere + item.demand, -1))
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
