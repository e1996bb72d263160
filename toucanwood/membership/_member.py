"""Record of one instance in the member table."""

from enum import IntEnum
from typing import Any

import attrs


class MemberState(IntEnum):
    """State of a member; at equal incarnations the higher state takes precedence."""

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4


@attrs.frozen(kw_only=True)
class Member:
    """Describe one instance; `http` and `peer` are addresses as `ip:port`."""

    id: str
    data_centre: str
    region: str
    http: str
    peer: str
    is_control: bool = False
    incarnation: int = 0
    state: MemberState = MemberState.ALIVE

    @property
    def is_live(self) -> bool:
        """Return whether the instance is not known to be dead or to have left."""
        return self.state <= MemberState.SUSPECT

    @property
    def is_serving(self) -> bool:
        """Return whether lookups may return the instance to callers."""
        return self.state is MemberState.ALIVE

    def supersedes(self, other: "Member") -> bool:
        """Return whether this record is newer than `other`, a record of the same id."""
        return (self.incarnation, self.state) > (other.incarnation, other.state)

    def to_wire(self) -> list[Any]:
        """Return the field values in the order of the wire format."""
        return list(attrs.astuple(self))

    @classmethod
    def from_wire(cls, values: list[Any]) -> "Member":
        """Build a member; extra values from a newer software version are ignored."""
        names = [field.name for field in attrs.fields(cls)]
        fields = dict(zip(names, values, strict=False))
        fields["state"] = MemberState(fields["state"])
        return cls(**fields)
