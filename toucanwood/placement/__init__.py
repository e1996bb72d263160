"""Decisions at high load: which requests wait, run where, or are turned away.

Nothing here does input or output. Every function takes the time in seconds.
"""

from toucanwood.placement._affinity import OWN_REGION_WEIGHT
from toucanwood.placement._cold_start import ColdStartGate
from toucanwood.placement._health import Health, Outcome
from toucanwood.placement._link_schedule import LinkSchedule, Transfer
from toucanwood.placement._pool import Placed, Refused, ServicePool
from toucanwood.placement._region_shift import RegionShare
from toucanwood.placement._request import Need
from toucanwood.placement._response_times import KindTimes
from toucanwood.placement._retry_budget import RetryBudget
from toucanwood.placement._selector import Choice, Selection
from toucanwood.placement._target_record import LoadReport, TargetRecord

__all__ = [
    "OWN_REGION_WEIGHT",
    "Choice",
    "ColdStartGate",
    "Health",
    "KindTimes",
    "LinkSchedule",
    "LoadReport",
    "Need",
    "Outcome",
    "Placed",
    "Refused",
    "RegionShare",
    "RetryBudget",
    "Selection",
    "ServicePool",
    "TargetRecord",
    "Transfer",
]
