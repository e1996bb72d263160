"""One target as it announces itself."""

from enum import StrEnum
from typing import Any

import attrs


class TargetState(StrEnum):
    """Tell whether a target takes new requests."""

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
        """Return whether the target is about to leave."""
        return self.state is TargetState.DRAINING

    def is_superseded_by(self, other: "Target") -> bool:
        """Return whether another announcement replaces this one."""
        if self.start_time_ms != other.start_time_ms:
            return self.start_time_ms < other.start_time_ms
        return self.sequence <= other.sequence

    def is_equivalent_to(self, other: "Target") -> bool:
        """Return whether nothing differs that an instance has to learn."""
        is_cold = self.remaining_cold_start_s > 0
        was_cold = other.remaining_cold_start_s > 0
        # A cold target becomes warm by itself; only a new cold start is news.
        has_cooled = is_cold and not was_cold
        return not has_cooled and self._identity() == other._identity()

    def _identity(self) -> tuple[Any, ...]:
        return (
            self.id,
            self.start_time_ms,
            self.service,
            self.address,
            self.data_centre,
            self.slots,
            self.state,
        )

    def to_wire(self) -> list[Any]:
        """Return the fields for a message or a snapshot."""
        return [*attrs.astuple(self)]

    @classmethod
    def from_wire(cls, fields: list[Any]) -> "Target":
        """Build a target; fields that a newer version appended are dropped."""
        values = dict(zip((f.name for f in attrs.fields(cls)), fields, strict=False))
        values["state"] = TargetState(values["state"])
        return cls(**values)
