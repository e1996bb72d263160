"""Answers to slot requests, and the usage at other owners that they depend on."""

from collections.abc import Callable, Mapping
from enum import Enum
from typing import Protocol

import attrs

from toucanwood.dispatch._target import LeaseKey


class Status(Enum):
    """Result of a slot request."""

    GRANTED = "granted"
    WAITING = "waiting"
    FULL = "full"
    LATE = "late"


@attrs.frozen
class SlotDecision:
    """Answer to a slot request.

    A granted request must start at the target within `valid_for` seconds. A refused
    request may be retried after `retry_after` seconds.
    """

    status: Status
    target_id: str = ""
    address: str = ""
    valid_for: float = 0.0
    retry_after: float = 0.0


class FleetUsage(Protocol):
    """Slots at the other owners and their usage."""

    def count_usage(self, service: str, organisation: str) -> int:
        """Return the number of slots an organisation uses at the other owners."""

    def list_usage(self, service: str, region: str) -> Mapping[str, int]:
        """Return the slots in use at the other owners in a region, by organisation."""

    def count_other_slots(self, service: str, region: str) -> int:
        """Return the number of slots of the other owners in a region."""


OnDecision = Callable[[LeaseKey, SlotDecision], None]
