"""Answers to requests for slots, and what the owner needs to know of the fleet."""

from collections.abc import Callable, Mapping
from enum import Enum
from typing import Protocol

import attrs

from toucanwood.dispatch._target import LeaseKey


class Status(Enum):
    """Answer a request for a slot."""

    GRANTED = "granted"
    WAITING = "waiting"
    FULL = "full"
    LATE = "late"


@attrs.frozen
class Decision:
    """Tell the holder which target to use and for how long the grant is valid."""

    status: Status
    target_id: str = ""
    address: str = ""
    valid_for: float = 0.0
    retry_after: float = 0.0


class FleetUsage(Protocol):
    """Tell what the other owners have in use."""

    def count_usage(self, service: str, organisation: str) -> int:
        """Return the slots of an organisation in use at the other owners."""

    def list_usage(self, service: str, region: str) -> Mapping[str, int]:
        """Return the slots in use at the other owners in a region by organisation."""

    def count_other_slots(self, service: str, region: str) -> int:
        """Return the slots of the other owners in a region."""


OnDecision = Callable[[LeaseKey, Decision], None]
