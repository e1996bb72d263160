"""Client blocks, region plan, shift cap and lookup ranking."""

from toucanwood.steering._blocks import ClientBlocks
from toucanwood.steering._entries import rank_entries
from toucanwood.steering._plan import Capacity, RegionPlan
from toucanwood.steering._shift import ShiftLimiter, measure_distance

__all__ = [
    "Capacity",
    "ClientBlocks",
    "RegionPlan",
    "ShiftLimiter",
    "measure_distance",
    "rank_entries",
]
