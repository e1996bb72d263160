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

    `born_ms` is the Unix time of its start in milliseconds and `sequence` counts the
    announcements of this incarnation. `cold_left_s` was valid when it was announced.
    """

    id: str
    born_ms: int
    sequence: int
    service: str
    address: str
    data_centre: str
    software: str
    slots: int
    state: TargetState
    cold_left_s: float

    @property
    def is_draining(self) -> bool:
        """Return whether the target is about to leave."""
        return self.state is TargetState.DRAINING

    def is_older_than(self, other: "Target") -> bool:
        """Return whether another announcement replaces this one."""
        if self.born_ms != other.born_ms:
            return self.born_ms < other.born_ms
        return self.sequence <= other.sequence

    def is_same_as(self, other: "Target") -> bool:
        """Return whether nothing differs that an instance has to learn."""
        is_cold = self.cold_left_s > 0
        was_cold = other.cold_left_s > 0
        # A cold target becomes warm by itself; only a new cold start is news.
        has_cooled = is_cold and not was_cold
        return not has_cooled and self._identity() == other._identity()

    def _identity(self) -> tuple[Any, ...]:
        return (
            self.id,
            self.born_ms,
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
