"""The regions in which the objects of a home region are placed.

An object is requested mostly in one region, its home region.
"""

from collections.abc import Collection, Mapping

from toucanwood.placement._target_record import TargetRecord

# Ranking weight of a target in a region that gets no objects of the home region. It
# ranks behind all targets of other regions, and serves if these have no room.
MIN_WEIGHT = 1e-6


def compute_object_weights(
    records: Collection[TargetRecord], home: str, demand: Mapping[str, float]
) -> dict[str, float]:
    """Return the ranking weights of the targets, by id, for objects of a home region.

    `demand` holds the regions' shares in all requests.
    """
    slots: dict[str, int] = {}
    for record in records:
        slots[record.region] = slots.get(record.region, 0) + record.target.slots
    fractions = compute_region_fractions(home, demand, slots)
    return {
        record.id: max(
            fractions.get(record.region, 0.0)
            * record.target.slots
            / max(slots[record.region], 1),
            MIN_WEIGHT,
        )
        for record in records
    }


def compute_region_fractions(
    home: str, demand: Mapping[str, float], slots: Mapping[str, int]
) -> dict[str, float]:
    """Return the fraction of the home region's objects that each region gets.

    A region keeps what fits into its share of the slots. The rest goes to the regions
    that have slots to spare, in proportion to these. The load of each region is then
    proportional to its slots, with the least traffic between regions.
    """
    total_slots = max(sum(slots.values()), 1)
    total_demand = sum(demand.values()) or 1.0
    share = demand.get(home, 0.0) / total_demand
    excess = {
        region: demand.get(region, 0.0) / total_demand
        - slots.get(region, 0) / total_slots
        for region in {*slots, *demand, home}
    }
    spare = {region: -value for region, value in excess.items() if value < 0}
    if not slots.get(home):
        moved = 1.0
    elif excess[home] > 0 and spare:
        moved = excess[home] / share
    else:
        return {home: 1.0}
    total_spare = sum(spare.values())
    fractions = {region: moved * value / total_spare for region, value in spare.items()}
    return {**fractions, home: 1.0 - moved}


def compute_even_shares(region_by_data_centre: Mapping[str, str]) -> dict[str, float]:
    """Return the share of each region's data centres in all data centres."""
    shares: dict[str, float] = {}
    for region in region_by_data_centre.values():
        shares[region] = shares.get(region, 0.0) + 1.0 / len(region_by_data_centre)
    return shares
