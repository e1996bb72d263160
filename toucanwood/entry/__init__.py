"""HTTP server of an instance for callers, targets and operators."""

from toucanwood.entry._decisions import Attempt, Decision
from toucanwood.entry._entry import Entry
from toucanwood.entry._interfaces import (
    Announcement,
    Outcome,
    OutcomeKind,
    RecordedResponse,
)

__all__ = [
    "Announcement",
    "Attempt",
    "Decision",
    "Entry",
    "Outcome",
    "OutcomeKind",
    "RecordedResponse",
]
