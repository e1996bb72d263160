"""Messages of the feed and of the control calls."""

from typing import Any

import attrs

from toucanwood.peering import message


@message(40)
@attrs.frozen
class PollState:
    """Ask a replica for what follows `version`."""

    version: int = 0


@message(41)
@attrs.frozen
class StateUpdate:
    """Answer a poll: `changes` lead from the polled version to `version`.

    `lease_age` is in seconds. `changes` is None when the replica does not keep them
    all and the whole state must be fetched. `leader` is empty if it is not known.
    """

    version: int = 0
    lease_age: float = float("inf")
    changes: list[bytes] | None = None
    leader: str = ""


@message(42)
@attrs.frozen
class PushChanges:
    """Carry new changes, which follow `base_version`, to a subscriber."""

    base_version: int = 0
    changes: list[bytes] = attrs.Factory(list)


@message(43)
@attrs.frozen
class FetchState:
    """Ask for one part of the whole state; version 0 asks for the current one."""

    version: int = 0
    offset: int = 0


@message(44)
@attrs.frozen
class StatePart:
    """Carry one part of the encoded state; size 0 means that it is not kept."""

    version: int = 0
    offset: int = 0
    size: int = 0
    data: bytes = b""


@message(45)
@attrs.frozen
class WithdrawalNotice:
    """Tell a peer about withdrawn keys."""

    key_ids: list[str] = attrs.Factory(list)


@message(46)
@attrs.frozen
class SubmitCommand:
    """Ask the leader to commit a command within `timeout` seconds."""

    command: bytes = b""
    timeout: float = 0.0


@message(47)
@attrs.frozen
class SubmitReply:
    """Carry an answer, or a refusal by the log, or only the leader as known."""

    leader: str | None = None
    answer: list[Any] | None = None
    refusal: list[Any] | None = None
