"""Max-min fair allocation of the slots of a region."""

import math
from collections.abc import Iterable

import attrs


@attrs.frozen
class OrganisationDemand:
    """Hold the slots that an organisation uses outside a region and its demand there.

    `demand` counts the slots in use in the region and the queued requests.
    """

    used_elsewhere: float
    demand: float


def compute_fair_level(demands: Iterable[OrganisationDemand], capacity: float) -> float:
    """Return the total number of slots up to which each organisation may be served.

    This is the water level of max-min fairness: the region's slots are given to the
    organisations with the fewest slots in total until no slot is left. The level is
    infinite if the region has enough slots for the whole demand.
    """
    slope_changes = []
    for item in demands:
        slope_changes.append((item.used_elsewhere, 1))
        slope_changes.append((item.used_elsewhere + item.demand, -1))
    filled = level = 0.0
    slope = 0
    for next_level, change in sorted(slope_changes):
        step = slope * (next_level - level)
        if slope and filled + step >= capacity:
            return level + (capacity - filled) / slope
        filled += step
        level = next_level
        slope += change
    return math.inf
