"""The regions in which the objects of one home region are placed."""

from collections.abc import Mapping


def compute_region_fractions(
    home: str, demand: Mapping[str, float], slots: Mapping[str, int]
) -> dict[str, float]:
    """Return the fraction of the objects of the home region for each region.

    A region keeps what fits into its share of the slots. The rest goes to regions with
    slots to spare, in proportion to these. So every region gets load in proportion to
    its slots, with the least traffic between regions.
    """
    total_slots = sum(slots.values())
    if not total_slots:
        return {}
    total_demand = sum(demand.values()) or 1.0
    spare = {}
    kept = 1.0
    for region in slots.keys() | demand.keys() | {home}:
        share = demand.get(region, 0.0) / total_demand
        capacity = slots.get(region, 0) / total_slots
        if region == home:
            kept = min(capacity / share, 1.0) if share > 0 else 1.0
        else:
            spare[region] = max(capacity - share, 0.0)
    if slots.get(home, 0) == 0:
        kept = 0.0
    total_spare = sum(spare.values())
    if kept >= 1.0 or total_spare <= 0.0:
        spare = {region: float(slots.get(region, 0)) for region in spare}
        total_spare = sum(spare.values())
    fractions = {
        region: (1.0 - kept) * value / total_spare
        for region, value in spare.items()
        if total_spare > 0 and value > 0
    }
    fractions[home] = kept
    return fractions
