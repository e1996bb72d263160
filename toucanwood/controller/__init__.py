"""The controller: replicated fleet state, updates for entries, entry directory.

An entry is an instance that callers connect to. It polls the controllers for updates.
"""

from typing import TYPE_CHECKING, Any

from toucanwood.controller._directory import EntryDirectory, EntryInfo
from toucanwood.controller._messages import (
    DEFAULT_SECRET,
    AnnounceEntry,
    FleetUpdate,
    PollFleet,
    ReportUsage,
    UsageAnswer,
    decode_payload,
)
from toucanwood.controller._settings import ControllerSettings

if TYPE_CHECKING:
    from toucanwood.controller._instance import ControllerInstance

__all__ = [
    "DEFAULT_SECRET",
    "AnnounceEntry",
    "ControllerInstance",
    "ControllerSettings",
    "EntryDirectory",
    "EntryInfo",
    "FleetUpdate",
    "PollFleet",
    "ReportUsage",
    "UsageAnswer",
    "decode_payload",
]


def __getattr__(name: str) -> Any:
    """Import the controller on first use: entries need its messages only."""
    if name == "ControllerInstance":
        from toucanwood.controller._instance import ControllerInstance

        return ControllerInstance
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
