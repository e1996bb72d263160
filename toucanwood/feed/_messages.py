"""Peer messages that replicate the catalog and submit commands."""

from typing import Any

import attrs

from toucanwood.peering import message


@message(40)
@attrs.frozen
class PollState:
    """Request the changes that follow `version`."""

    version: int = 0


@message(41)
@attrs.frozen
class StateUpdate:
    """Reply to a poll: `changes` lead from the polled version to `version`.

    `lease_age` is the time in s since a majority confirmed the state of the replica.
    `changes` is None if the replica no longer has all of them; the subscriber must
    then fetch the whole state. `leader` is empty if it is unknown.
    """

    version: int = 0
    lease_age: float = float("inf")
    changes: list[bytes] | None = None
    leader: str = ""


@message(42)
@attrs.frozen
class PushChanges:
    """Send a subscriber the new changes that follow `base_version`."""

    base_version: int = 0
    changes: list[bytes] = attrs.Factory(list)


@message(43)
@attrs.frozen
class FetchState:
    """Request one part of the whole state; version 0 is the current version."""

    version: int = 0
    offset: int = 0


@message(44)
@attrs.frozen
class StatePart:
    """Return one part of the encoded state; `size` is 0 if the version is not kept."""

    version: int = 0
    offset: int = 0
    size: int = 0
    data: bytes = b""


@message(45)
@attrs.frozen
class WithdrawalNotice:
    """Inform a peer of withdrawn keys."""

    key_ids: list[str] = attrs.Factory(list)


@message(46)
@attrs.frozen
class SubmitCommand:
    """Request that the leader commits a command within `timeout` seconds."""

    command: bytes = b""
    timeout: float = 0.0


@message(47)
@attrs.frozen
class SubmitReply:
    """Return the result of a command, a refusal, or only the leader.

    `answer` is the result from the catalog, `refusal` the verdict of the leader or of
    its replicated log, and `leader` the leader as far as the replica knows.
    """

    leader: str | None = None
    answer: list[Any] | None = None
    refusal: list[Any] | None = None
