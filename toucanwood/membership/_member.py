"""What instances know of one another."""

from enum import IntEnum
from typing import Any

import attrs


class MemberState(IntEnum):
    """Order the states of a member: of two equal incarnations the higher one holds."""

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4


@attrs.frozen(kw_only=True)
class Member:
    """Describe one instance; addresses are `ip:port`."""

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
        """Return whether the instance runs, as far as is known."""
        return self.state <= MemberState.SUSPECT

    @property
    def is_serving(self) -> bool:
        """Return whether callers may be sent to the instance."""
        return self.state is MemberState.ALIVE

    def supersedes(self, other: "Member") -> bool:
        """Return whether this record is newer than another one of the same id."""
        return (self.incarnation, self.state) > (other.incarnation, other.state)

    def to_wire(self) -> list[Any]:
        """Return the fields in their wire order."""
        return list(attrs.astuple(self))

    @classmethod
    def from_wire(cls, values: list[Any]) -> "Member":
        """Build a member from its wire fields; fields of newer versions are dropped."""
        names = [field.name for field in attrs.fields(cls)]
        fields = dict(zip(names, values, strict=False))
        fields["state"] = MemberState(fields["state"])
        return cls(**fields)
