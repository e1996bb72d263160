"""Connections to targets that record whether a request was written."""

from toucanwood.upstream._client import (
    MAX_IDLE_PER_TARGET,
    MIN_IDLE_S,
    NoFreeFile,
    Progress,
    RelayLost,
    TargetClient,
    TargetConnection,
    TargetError,
    TargetUnreachable,
)

__all__ = [
    "MAX_IDLE_PER_TARGET",
    "MIN_IDLE_S",
    "NoFreeFile",
    "Progress",
    "RelayLost",
    "TargetClient",
    "TargetConnection",
    "TargetError",
    "TargetUnreachable",
]
