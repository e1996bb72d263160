"""Messages between the holders and the owners of slots.

Durations are relative, because the clocks of two instances are not comparable.
"""

from typing import Any

import attrs

from toucanwood.peering import message


@message(70)
@attrs.frozen
class AcquireSlot:
    """Ask for a slot; the same `number` asked again gets the same answer.

    `remaining` is the time to the request's deadline, `wait` the longest time until
    the reply; both in seconds.
    """

    incarnation: int
    number: int
    service: str
    organisation: str
    region: str
    remaining: float
    wait: float
    exclude: list[str] = attrs.field(factory=list)


@message(71)
@attrs.frozen
class SlotReply:
    """Answer `AcquireSlot`; `valid_for` is the time in s to start the request."""

    status: str
    target_id: str = ""
    address: str = ""
    valid_for: float = 0.0
    owner_incarnation: int = 0
    free: int = 0
    retry_after: float = 0.0


@message(72)
@attrs.frozen
class ReleaseSlot:
    """Return a slot or withdraw from the queue; `duration` is in seconds."""

    incarnation: int
    number: int
    outcome: str
    duration: float


@message(73)
@attrs.frozen
class HoldLeases:
    """List every lease the sender holds or waits for.

    A lease whose number is at most `last_number` and not listed has ended for good, so
    that late and repeated copies of this message do no harm.
    """

    incarnation: int
    last_number: int
    numbers: list[int]


@message(74)
@attrs.frozen
class HoldReply:
    """Confirm the leases that the owner still counts."""

    numbers: list[int]


@message(75)
@attrs.frozen
class ClaimTarget:
    """Tell an instance that the target announced to the sender."""

    target_id: str
    owner_incarnation: int


@message(76)
@attrs.frozen
class ClaimReply:
    """List the leases on a target that the instance holds or has granted.

    Each item is `[holder, incarnation, number, organisation, remaining seconds]`.
    """

    gave_up: bool
    leases: list[list[Any]]


@message(77)
@attrs.frozen
class DirectoryDelta:
    """Carry changed shares: `[service, data centre, free, slots, waiting, usage]`."""

    incarnation: int
    sequence: int
    shares: list[list[Any]]


@message(78)
@attrs.frozen
class LeaveTarget:
    """Tell the owner of a target that the target leaves; answered with a bool."""

    target_id: str


@message(79)
@attrs.frozen
class LeaveReply:
    """Tell whether the instance owns the leaving target."""

    is_owner: bool
