"""Slot allocation: target registry, leases, fair queues and target selection."""

from toucanwood.dispatch._dispatcher import Dispatcher, TargetLease
from toucanwood.dispatch._holder import SlotLease
from toucanwood.dispatch._selector import LeastUtilisedSelector, Selector
from toucanwood.dispatch._target import Announcement, Outcome, Target

__all__ = [
    "Announcement",
    "Dispatcher",
    "LeastUtilisedSelector",
    "Outcome",
    "Selector",
    "SlotLease",
    "Target",
    "TargetLease",
]
