"""Durable replicated log (Raft) with snapshots and membership changes."""

from toucanwood.consensus._core import StateMachine
from toucanwood.consensus._disk import Disk, FileDisk
from toucanwood.consensus._members import MemberRole, Members
from toucanwood.consensus._records import DamagedStorageError, StorageError
from toucanwood.consensus._replica import MAX_COMMAND_BYTES, Replica
from toucanwood.consensus._storage import Storage

__all__ = [
    "MAX_COMMAND_BYTES",
    "DamagedStorageError",
    "Disk",
    "FileDisk",
    "MemberRole",
    "Members",
    "Replica",
    "StateMachine",
    "Storage",
    "StorageError",
]
