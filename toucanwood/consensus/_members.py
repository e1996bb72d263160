"""The members of a replication group."""

from collections.abc import Mapping
from enum import StrEnum
from typing import Any

import attrs
import msgpack


class MemberRole(StrEnum):
    """The role of a member in the replication group."""

    VOTER = "voter"
    LEARNER = "learner"
    # A learner that was a voter until it lost its disk; promoted automatically.
    REPAIRING = "repairing"


@attrs.frozen
class Member:
    """A member, identified by the incarnation of its disk."""

    incarnation: str
    role: MemberRole


@attrs.frozen
class Members:
    """The members of a group by id."""

    by_id: Mapping[str, Member] = attrs.field(factory=dict)

    @property
    def voters(self) -> list[str]:
        """Return the ids of the voters."""
        return [
            member_id
            for member_id, member in self.by_id.items()
            if member.role is MemberRole.VOTER
        ]

    def is_voter(self, member_id: str, incarnation: str) -> bool:
        """Return whether this incarnation of a member is a voter."""
        return self.by_id.get(member_id) == Member(incarnation, MemberRole.VOTER)

    def with_member(self, member_id: str, member: Member) -> "Members":
        """Return a copy with one member added or replaced."""
        return Members(dict(sorted({**self.by_id, member_id: member}.items())))

    def without_member(self, member_id: str) -> "Members":
        """Return a copy without one member."""
        rest = {key: value for key, value in self.by_id.items() if key != member_id}
        return Members(rest)

    def describe(self) -> dict[str, Any]:
        """Return a JSON-serialisable description."""
        return {
            member_id: {"incarnation": member.incarnation, "role": member.role.value}
            for member_id, member in self.by_id.items()
        }

    def pack(self) -> bytes:
        """Encode the members for a log entry or a snapshot."""
        rows = [[key, m.incarnation, m.role.value] for key, m in self.by_id.items()]
        return msgpack.packb(rows)

    @classmethod
    def unpack(cls, data: bytes) -> "Members":
        """Decode the members of a log entry or a snapshot."""
        return cls(
            {
                member_id: Member(incarnation, MemberRole(role))
                for member_id, incarnation, role in msgpack.unpackb(data)
            }
        )


def find_majority_value(values: list[Any]) -> Any:
    """Return the highest value that a majority of the values is at or above."""
    return sorted(values, reverse=True)[len(values) // 2]
