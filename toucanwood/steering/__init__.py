"""Client blocks, region selection, shift cap and lookup ranking."""

from toucanwood.steering._blocks import ClientBlocks
from toucanwood.steering._demand import DemandMeter
from toucanwood.steering._entries import (
    group_entries,
    order_group,
    rank_entries,
    sample_group,
)
from toucanwood.steering._planner import Measurement, RegionPlanner, ServiceRules
from toucanwood.steering._region_selector import Capacity, RegionSelector
from toucanwood.steering._shift import ShiftLimiter, measure_distance
from toucanwood.steering._steering import Steering, SteeringCallbacks

__all__ = [
    "Capacity",
    "ClientBlocks",
    "DemandMeter",
    "Measurement",
    "RegionPlanner",
    "RegionSelector",
    "ServiceRules",
    "ShiftLimiter",
    "Steering",
    "SteeringCallbacks",
    "group_entries",
    "measure_distance",
    "order_group",
    "rank_entries",
    "sample_group",
]
