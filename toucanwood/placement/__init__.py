"""Placement of requests on targets: where a request runs, or why it is refused.

The package does no I/O. Functions take the current time in seconds as `now`.
"""

from toucanwood.placement._cold_start import ColdStartLimiter
from toucanwood.placement._health import Health, Outcome
from toucanwood.placement._link_schedule import LinkSchedule, Transfer
from toucanwood.placement._pool import Placed, Refused, ServicePool
from toucanwood.placement._rate_limit import RateShare, choose_senders
from toucanwood.placement._region_fractions import (
    compute_even_shares,
    compute_object_weights,
)
from toucanwood.placement._region_shift import RegionShiftLimiter
from toucanwood.placement._request import PlacementRequest
from toucanwood.placement._response_times import ResponseTimes
from toucanwood.placement._retry_budget import RetryBudget
from toucanwood.placement._selector import Choice, TargetSelector
from toucanwood.placement._signals import (
    MAX_RATE_LIMIT,
    MAX_WAIT_S,
    MIN_RATE_LIMIT,
    NO_SIGNALS,
    ResponseSignals,
    SharedSignal,
    TargetSignals,
)
from toucanwood.placement._target_record import LoadReport, TargetRecord

__all__ = [
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
    "RateShare",
    "ResponseSignals",
    "SharedSignal",
    "TargetSignals",
    "MAX_RATE_LIMIT",
    "MAX_WAIT_S",
    "MIN_RATE_LIMIT",
    "NO_SIGNALS",
    "choose_senders",
    "compute_even_shares",
    "compute_object_weights",
]
