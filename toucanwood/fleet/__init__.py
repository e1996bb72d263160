"""The state shared by all instances of a fleet: routing, evacuations, targets."""

from toucanwood.fleet._changes import Change, ChangeKind
from toucanwood.fleet._orders import (
    Order,
    OrderResult,
    OrderStatus,
    PatchRouting,
    PutRouting,
    RemoveTarget,
    ReportTarget,
    SetEvacuation,
    pack_order,
)
from toucanwood.fleet._state import FleetState
from toucanwood.fleet._target import Target, TargetState
from toucanwood.fleet._validation import check_target
from toucanwood.fleet._view import FleetView

__all__ = [
    "Change",
    "ChangeKind",
    "FleetState",
    "FleetView",
    "Order",
    "OrderResult",
    "OrderStatus",
    "PatchRouting",
    "PutRouting",
    "RemoveTarget",
    "ReportTarget",
    "SetEvacuation",
    "Target",
    "TargetState",
    "check_target",
    "pack_order",
]
