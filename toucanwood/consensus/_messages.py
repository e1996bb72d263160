"""Messages between replicas.

The field `target` holds the incarnation of the disk that a message is meant for.
"""

from typing import Any

import attrs

from toucanwood.peering import message


@message(20)
@attrs.frozen
class RequestVote:
    """Request a vote; `incarnation` is that of the candidate."""

    term: int = 0
    target: str = ""
    incarnation: str = ""
    last_index: int = 0
    last_term: int = 0
    is_pre_vote: bool = False
    is_transfer: bool = False


@message(21)
@attrs.frozen
class VoteReply:
    """Answer a vote request."""

    term: int = 0
    granted: bool = False


@message(22)
@attrs.frozen
class AppendEntries:
    """Replicate entries; a message without entries is a heartbeat."""

    term: int = 0
    target: str = ""
    previous_index: int = 0
    previous_term: int = 0
    entries: list[list[Any]] = attrs.field(factory=list)
    commit_index: int = 0


@message(23)
@attrs.frozen
class AppendReply:
    """Answer AppendEntries or InstallSnapshot.

    `index` is the last index known to match the leader and to be durable. After a
    failure `index` is a hint: the last index at which the logs may match.
    """

    term: int = 0
    incarnation: str = ""
    success: bool = False
    index: int = 0


@message(24)
@attrs.frozen
class InstallSnapshot:
    """Transfer one chunk of a snapshot."""

    term: int = 0
    target: str = ""
    index: int = 0
    snapshot_term: int = 0
    members: bytes = b""
    offset: int = 0
    data: bytes = b""
    is_last: bool = False


@message(25)
@attrs.frozen
class TimeoutNow:
    """Ask the receiver to start an election at once; the sender no longer leads."""

    term: int = 0
    target: str = ""


@message(26)
@attrs.frozen
class ConfirmCurrent:
    """Request the commit index that is current when the leader answers."""


@message(27)
@attrs.frozen
class Confirmation:
    """Answer with the commit index; `is_valid` is true only under a valid lease."""

    is_valid: bool = False
    commit_index: int = 0


@message(28)
@attrs.frozen
class Identify:
    """Request the incarnation of a replica and whether it belongs to a group."""


@message(29)
@attrs.frozen
class Identity:
    """Answer with the incarnation of the disk and whether it belongs to a group."""

    incarnation: str = ""
    has_group: bool = False
