"""Decisions at high load: which requests wait, run where, or are turned away.

Nothing here does input or output. Every function takes the time in seconds.
"""

from toucanwood.placement._affinity import OWN_REGION_WEIGHT
from toucanwood.placement._cold_start import ColdStartLimiter
from toucanwood.placement._health import Health, Outcome
from toucanwood.placement._link_schedule import LinkSchedule, Transfer
from toucanwood.placement._pool import Placed, Refused, ServicePool
from toucanwood.placement._region_shift import RegionShiftLimiter
from toucanwood.placement._request import PlacementRequest
from toucanwood.placement._response_times import ResponseTimes
from toucanwood.placement._retry_budget import RetryBudget
from toucanwood.placement._selector import Choice, TargetSelector
from toucanwood.placement._target_record import LoadReport, TargetRecord

__all__ = [
    "OWN_REGION_WEIGHT",
    "Choice",
    "ColdStartLimiter",
    "Health",
    "ResponseTimes",
    "LinkSchedule",
    "LoadReport",
    "PlacementRequest",
    "Outcome",
    "Placed",
    "Refused",
    "RegionShiftLimiter",
    "RetryBudget",
    "TargetSelector",
    "ServicePool",
    "TargetRecord",
    "Transfer",
]
