"""The description of a target in its announcements."""

from enum import StrEnum
from typing import Any

import attrs


class TargetState(StrEnum):
    """State whether a target accepts new requests."""

    READY = "ready"
    DRAINING = "draining"


@attrs.frozen
class Target:
    """Describe one incarnation of a target.

    `start_time_ms` is the Unix time at which this incarnation started, and `sequence`
    numbers its announcements. `remaining_cold_start_s` is the remaining duration of the
    cold start at the time of the announcement.
    """

    id: str
    start_time_ms: int
    sequence: int
    service: str
    address: str
    data_centre: str
    software: str
    slots: int
    state: TargetState
    remaining_cold_start_s: float

    @property
    def is_draining(self) -> bool:
        """Return whether the target is shutting down."""
        return self.state is TargetState.DRAINING

    def is_superseded_by(self, other: "Target") -> bool:
        """Return whether another announcement is equally recent or later."""
        if self.start_time_ms != other.start_time_ms:
            return self.start_time_ms < other.start_time_ms
        return self.sequence <= other.sequence

    def is_equivalent_to(self, other: "Target") -> bool:
        """Return whether instances need no update from `other` to this target."""
        return self._comparison_key() == other._comparison_key()

    def _comparison_key(self) -> tuple[Any, ...]:
        return (
            self.id,
            self.start_time_ms,
            self.service,
            self.address,
            self.data_centre,
            self.slots,
            self.state,
            # Instances count down the remaining cold start themselves. Its end is a
            # difference for those that start later.
            self.remaining_cold_start_s > 0,
        )

    def to_wire(self) -> list[Any]:
        """Return the fields as a list for messages and snapshots."""
        return [*attrs.astuple(self)]

    @classmethod
    def from_wire(cls, fields: list[Any]) -> "Target":
        """Decode a target; ignore fields that a newer version has appended."""
        values = dict(zip((f.name for f in attrs.fields(cls)), fields, strict=False))
        values["state"] = TargetState(values["state"])
        return cls(**values)
