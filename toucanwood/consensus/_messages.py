"""Messages between replicas."""

from typing import Any

import attrs

from toucanwood.peering import message


@message(20)
@attrs.frozen
class RequestVote:
    """Ask for a vote; `target` is the incarnation that is asked."""

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
    """Replicate entries; without entries it is a heartbeat."""

    term: int = 0
    target: str = ""
    previous_index: int = 0
    previous_term: int = 0
    entries: list[list[Any]] = attrs.field(factory=list)
    commit_index: int = 0


@message(23)
@attrs.frozen
class AppendReply:
    """Answer with the synced index, or with a hint where to continue."""

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
    """Ask the receiver to campaign at once; the sender has stopped leading."""

    term: int = 0
    target: str = ""


@message(26)
@attrs.frozen
class ConfirmCurrent:
    """Ask the leader for a commit index that was current after the request."""


@message(27)
@attrs.frozen
class Confirmation:
    """Answer with the commit index; `is_valid` needs a leader lease."""

    is_valid: bool = False
    commit_index: int = 0


@message(28)
@attrs.frozen
class Identify:
    """Ask a replica for its incarnation and whether it belongs to a group."""


@message(29)
@attrs.frozen
class Identity:
    """Answer with the incarnation of the disk."""

    incarnation: str = ""
    has_group: bool = False
