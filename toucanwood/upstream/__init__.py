"""Connections to targets, with proof of what was written on them."""

from toucanwood.upstream._client import (
    MAX_IDLE_PER_TARGET,
    MIN_IDLE_S,
    Progress,
    TargetClient,
    TargetConnection,
    TargetError,
    TargetUnreachable,
)

__all__ = [
    "MAX_IDLE_PER_TARGET",
    "MIN_IDLE_S",
    "Progress",
    "TargetClient",
    "TargetConnection",
    "TargetError",
    "TargetUnreachable",
]
