"""The controller: replicated fleet state, updates for gateways, entry directory.

In this package an entry is a gateway as it announces itself to the controllers.
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
