"""Decisions at high load: which requests wait, run where, or are turned away.

Nothing here does input or output. Every function takes the time in seconds.
"""

from toucanwood.placement._affinity import OWN_REGION_WEIGHT
from toucanwood.placement._budget import RetryBudget
from toucanwood.placement._cold import ColdStartGate
from toucanwood.placement._health import Health, Outcome
from toucanwood.placement._link import LinkSchedule, Transfer
from toucanwood.placement._need import Need
from toucanwood.placement._pool import Placed, Refused, ServicePool
from toucanwood.placement._record import LoadReport, TargetRecord
from toucanwood.placement._selection import Choice, Selection
from toucanwood.placement._shift import RegionShare
from toucanwood.placement._times import KindTimes

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
