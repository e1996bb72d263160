"""The leases and queue places that one instance holds at all owners."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Any

import attrs

from toucanwood.dispatch._messages import HoldLeases

# An owner frees a lease 6 s after it last heard of it. The holder gives up earlier,
# counted from when it sent the message that the owner confirmed.
CONFIRMATION_TIMEOUT_S = 5.0
# An old owner grants nothing 2 s after the target's last renewal; a grant is valid for
# at most 1.5 s.
CLAIM_RETENTION_S = 4.0


@attrs.define(kw_only=True, eq=False)
class SlotLease:
    """Allow one request at one target until `deadline`, on the loop's clock.

    The request must start before `start_by`. When `lost` is set, the owner can no
    longer be sure of the lease and the holder must cancel the request; `on_lost` is
    called then.
    """

    number: int
    service: str
    organisation: str
    region: str
    target_id: str
    address: str
    owner: str
    deadline: float
    start_by: float
    granted_at: float
    confirmed_at: float
    lost: asyncio.Event = attrs.field(factory=asyncio.Event)
    on_lost: Callable[[], None] | None = None

    def mark_lost(self) -> None:
        """Tell the holder, once, that the slot is lost."""
        if self.lost.is_set():
            return
        self.lost.set()
        if self.on_lost is not None:
            self.on_lost()


@attrs.frozen
class OwnershipClaim:
    """Remember which instance took over a target."""

    owner: str
    owner_incarnation: int
    at: float


class LeaseHolder:
    """Number the requests for slots and keep track of every one until it has ended."""

    def __init__(self, *, instance_id: str, incarnation: int) -> None:
        self.instance_id = instance_id
        self.incarnation = incarnation
        self._last_number = 0
        self._pending: dict[int, str] = {}
        self._held: dict[int, SlotLease] = {}
        self._unreported_ends: dict[int, set[str]] = {}
        self._claims: dict[str, OwnershipClaim] = {}

    def allocate_number(self, owner: str) -> int:
        """Return a new number for a request for a slot at an owner."""
        self._last_number += 1
        self._pending[self._last_number] = owner
        return self._last_number

    def accept(self, lease: SlotLease, owner_incarnation: int, now: float) -> bool:
        """Hold a granted lease; return False if it may not be used."""
        self._pending.pop(lease.number, None)
        if now >= min(lease.start_by, lease.deadline):
            return False
        claim = self._claims.get(lease.target_id)
        if claim is not None and now < claim.at + CLAIM_RETENTION_S:
            if (claim.owner, claim.owner_incarnation) != (
                lease.owner,
                owner_incarnation,
            ):
                # The new owner may not count a lease that the earlier owner granted.
                self._unreported_ends.setdefault(lease.number, set()).add(claim.owner)
                return False
        self._held[lease.number] = lease
        return True

    def record_end(self, number: int, owner: str) -> None:
        """Record that a lease or queue place has ended and its owner must hear so."""
        self._pending.pop(number, None)
        lease = self._held.pop(number, None)
        owners = self._unreported_ends.setdefault(number, set())
        owners.add(owner if lease is None else lease.owner)

    def discard_pending(self, number: int) -> None:
        """Drop a request that its owner has refused."""
        self._pending.pop(number, None)

    def is_held(self, lease: SlotLease) -> bool:
        """Return whether the lease has not ended."""
        return self._held.get(lease.number) is lease

    def list_owners_to_notify(self) -> set[str]:
        """Return the owners that must hear about leases from this holder."""
        owners = set(self._pending.values())
        owners.update(lease.owner for lease in self._held.values())
        return owners.union(*self._unreported_ends.values())

    def build_hold_leases(self) -> HoldLeases:
        """List everything that has not ended."""
        numbers = sorted([*self._pending, *self._held])
        return HoldLeases(self.incarnation, self._last_number, numbers)

    def apply_hold_reply(
        self, owner: str, sent: HoldLeases, numbers: Iterable[int], sent_at: float
    ) -> None:
        """Take over an owner's reply to a message sent at `sent_at`."""
        for number in numbers:
            lease = self._held.get(number)
            if lease is not None and lease.owner == owner:
                lease.confirmed_at = max(lease.confirmed_at, sent_at)
        for number in list(self._unreported_ends):
            if number <= sent.last_number and number not in sent.numbers:
                self._record_owner_informed(number, owner)

    def transfer_leases(self, target_id: str, claim: OwnershipClaim) -> list[SlotLease]:
        """Move the leases on a target to its new owner and return them."""
        self._claims[target_id] = claim
        leases = [
            lease for lease in self._held.values() if lease.target_id == target_id
        ]
        for lease in leases:
            lease.owner = claim.owner
        return leases

    def advance(self, now: float) -> None:
        """Mark the leases as lost that no owner has confirmed for too long."""
        for lease in self._held.values():
            if now >= lease.confirmed_at + CONFIRMATION_TIMEOUT_S:
                lease.mark_lost()
        for target_id, claim in list(self._claims.items()):
            if now >= claim.at + CLAIM_RETENTION_S:
                del self._claims[target_id]

    def forget_owner(self, owner: str) -> None:
        """Stop reporting ended leases to an instance that is gone."""
        for number in list(self._unreported_ends):
            self._record_owner_informed(number, owner)

    def dump(self, now: float) -> dict[str, Any]:
        """Return counts and the leases held."""
        leases = [
            {
                "number": lease.number,
                "target": lease.target_id,
                "owner": lease.owner,
                "organisation": lease.organisation,
                "remaining": lease.deadline - now,
                "confirmation_age": now - lease.confirmed_at,
                "is_lost": lease.lost.is_set(),
            }
            for lease in self._held.values()
        ]
        counts = {"pending": len(self._pending), "ended": len(self._unreported_ends)}
        return {**counts, "held": leases}

    def _record_owner_informed(self, number: int, owner: str) -> None:
        self._unreported_ends[number].discard(owner)
        if not self._unreported_ends[number]:
            del self._unreported_ends[number]
