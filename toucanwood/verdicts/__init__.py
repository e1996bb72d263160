"""Verdicts: why a request failed and whether a target may have executed it."""

from toucanwood.verdicts._verdict import (
    Execution,
    Verdict,
    build_uncertain_verdict,
    refuse,
)

__all__ = ["Execution", "Verdict", "build_uncertain_verdict", "refuse"]
