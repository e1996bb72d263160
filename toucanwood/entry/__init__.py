"""The HTTP side of an instance: callers, targets and operators."""

from toucanwood.entry._collaborators import (
    Announcement,
    Answer,
    Outcome,
    OutcomeKind,
)
from toucanwood.entry._decisions import Attempt, Decision
from toucanwood.entry._entry import Entry

__all__ = [
    "Announcement",
    "Answer",
    "Attempt",
    "Decision",
    "Entry",
    "Outcome",
    "OutcomeKind",
]
