"""Changes of the fleet state, as they are sent to instances."""

from enum import IntEnum
from typing import Any

import attrs


class ChangeKind(IntEnum):
    """Name the part of the fleet state that changed."""

    ROUTING = 0
    EVACUATION = 1
    TARGET = 2
    TARGET_REMOVED = 3


@attrs.frozen
class Change:
    """Hold one change; `values` can be encoded with msgpack."""

    kind: ChangeKind
    values: list[Any]

    def to_wire(self) -> list[Any]:
        """Return the change as a msgpack list."""
        return [int(self.kind), self.values]

    @classmethod
    def from_wire(cls, content: list[Any]) -> "Change":
        """Decode a change from a msgpack list."""
        return cls(ChangeKind(content[0]), content[1])
