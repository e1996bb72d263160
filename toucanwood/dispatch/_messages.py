"""Peer messages between the holders of leases and the owners of slots.

Messages carry durations instead of times, because the clocks of two instances are not
comparable.
"""

from typing import Any

import attrs

from toucanwood.peering import message


@message(70)
@attrs.frozen
class AcquireSlot:
    """Request a slot, idempotently: the same `number` always gets the same answer.

    `remaining` is the time until the request's deadline and `wait` the longest time
    until the reply, both in seconds. `exclude` lists the ids of targets not to use.
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
    """Answer `AcquireSlot`.

    The request must start within `valid_for` seconds. `free` is the owner's number of
    free slots for the service in the region.
    """

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
    """End a lease or leave the queue; `duration` is the time in use in seconds."""

    incarnation: int
    number: int
    outcome: str
    duration: float


@message(73)
@attrs.frozen
class HoldLeases:
    """List every lease that the sender holds or waits for.

    A lease that is not listed and whose number is at most `last_number` has ended and
    its number is never reused, so late and duplicate copies of this message are
    harmless.
    """

    incarnation: int
    last_number: int
    numbers: list[int]


@message(74)
@attrs.frozen
class HoldReply:
    """Answer `HoldLeases` with the numbers of the leases that the owner confirms."""

    numbers: list[int]


@message(75)
@attrs.frozen
class ClaimTarget:
    """Claim the ownership of a target that has announced itself to the sender."""

    target_id: str
    owner_incarnation: int


@message(76)
@attrs.frozen
class ClaimReply:
    """Answer `ClaimTarget` with the leases that the instance holds or has granted.

    `gave_up` is true if the instance owned the target and knew all of its leases.
    Each item of `leases` is
    `[holder, incarnation, number, organisation, remaining seconds]`.
    """

    gave_up: bool
    leases: list[list[Any]]


@message(77)
@attrs.frozen
class DirectoryDelta:
    """Carry the changed shares of an owner.

    Each item is `[service, data centre, free, slots, waiting, usage]`.
    """

    incarnation: int
    sequence: int
    shares: list[list[Any]]


@message(78)
@attrs.frozen
class LeaveTarget:
    """Notify the owner of a target that the target leaves."""

    target_id: str


@message(79)
@attrs.frozen
class LeaveReply:
    """Answer `LeaveTarget`: whether the instance owns the leaving target."""

    is_owner: bool
