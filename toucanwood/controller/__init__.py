"""The controller: replicated fleet state, updates for entries, entry directory.

An entry is an instance that callers connect to. It polls the controllers for updates.
"""

from toucanwood.controller._directory import EntryDirectory, EntryInfo
from toucanwood.controller._instance import DEFAULT_SECRET, ControllerInstance
from toucanwood.controller._messages import (
    AnnounceEntry,
    FleetUpdate,
    PollFleet,
    ReportUsage,
    UsageAnswer,
    decode_payload,
)
from toucanwood.controller._settings import ControllerSettings

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
