"""Durable replicated log (Raft) with snapshots and membership changes."""

from toucanwood.consensus._core import StateMachine
from toucanwood.consensus._disk import Disk, FileDisk
from toucanwood.consensus._members import MemberRole, Members
from toucanwood.consensus._records import DamagedStorageError, StorageError
from toucanwood.consensus._replica import Replica
from toucanwood.consensus._storage import Storage

__all__ = [
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
