"""The HTTP side of an instance: callers, targets and operators."""

from toucanwood.entry._collaborators import (
    Announcement,
    Outcome,
    OutcomeKind,
    RecordedResponse,
)
from toucanwood.entry._decisions import Attempt, Decision
from toucanwood.entry._entry import Entry

__all__ = [
    "Announcement",
    "Attempt",
    "Decision",
    "Entry",
    "Outcome",
    "OutcomeKind",
    "RecordedResponse",
]
