"""Slots of targets: registry, leases, fair queues and target selection."""

from toucanwood.dispatch._dispatcher import Dispatcher, Lease
from toucanwood.dispatch._holder import SlotLease
from toucanwood.dispatch._selection import LeastBusy, Selector
from toucanwood.dispatch._target import Announcement, Outcome, Target

__all__ = [
    "Announcement",
    "Dispatcher",
    "Lease",
    "LeastBusy",
    "Outcome",
    "Selector",
    "SlotLease",
    "Target",
]
