"""Verdicts: why a request failed and whether it may have run."""

from toucanwood.verdicts._verdict import (
    Execution,
    Verdict,
    build_uncertain_verdict,
    refuse,
)

__all__ = ["Execution", "Verdict", "build_uncertain_verdict", "refuse"]
