"""The leases and queued requests of one instance at all owners."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Any

import attrs

from toucanwood.dispatch._messages import HoldLeases

# Time in s without a confirmation after which the holder gives up a lease, counted from
# the sending of the last message that the owner confirmed. The owner frees the lease
# later, 6 s after it last received a report of the lease.
CONFIRMATION_TIMEOUT_S = 5.0
# Time in s after a claim for which the holder refuses grants of previous owners. A
# previous owner grants nothing later than 2 s after the target's last renewal, and a
# grant is valid for at most 1.5 s.
CLAIM_RETENTION_S = 4.0


@attrs.define(kw_only=True, eq=False)
class SlotLease:
    """Right to send one request to a target until `deadline`, on the loop's clock.

    The request must start before `start_by`. `lost` is set and `on_lost` is called when
    the owner may free the slot because it has not confirmed the lease; the holder must
    then cancel the request.
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
        """Set `lost` and call `on_lost`, both at most once."""
        if self.lost.is_set():
            return
        self.lost.set()
        if self.on_lost is not None:
            self.on_lost()


@attrs.frozen
class OwnershipClaim:
    """Record which instance claimed the ownership of a target, and when."""

    owner: str
    owner_incarnation: int
    at: float


class LeaseHolder:
    """Number the slot requests and track each request and its lease to the end."""

    def __init__(self, *, instance_id: str, incarnation: int) -> None:
        self.instance_id = instance_id
        self.incarnation = incarnation
        self._last_number = 0
        self._pending: dict[int, str] = {}
        self._held: dict[int, SlotLease] = {}
        self._unreported_ends: dict[int, set[str]] = {}
        self._claims: dict[str, OwnershipClaim] = {}

    def allocate_number(self, owner: str) -> int:
        """Return the number of a new slot request to an owner."""
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
                # The new owner may not know of a lease granted by the previous owner.
                self._unreported_ends.setdefault(lease.number, set()).add(claim.owner)
                return False
        self._held[lease.number] = lease
        return True

    def record_end(self, number: int, owner: str) -> None:
        """Record the end of a lease or queued request, to be reported to its owner."""
        self._pending.pop(number, None)
        lease = self._held.pop(number, None)
        owners = self._unreported_ends.setdefault(number, set())
        owners.add(owner if lease is None else lease.owner)

    def discard_pending(self, number: int) -> None:
        """Stop tracking a request that its owner has refused."""
        self._pending.pop(number, None)

    def is_held(self, lease: SlotLease) -> bool:
        """Return whether the lease has not ended."""
        return self._held.get(lease.number) is lease

    def list_owners_to_notify(self) -> set[str]:
        """Return the owners to which this holder must report its leases."""
        owners = set(self._pending.values())
        owners.update(lease.owner for lease in self._held.values())
        return owners.union(*self._unreported_ends.values())

    def build_hold_leases(self) -> HoldLeases:
        """Build the message that lists all pending requests and held leases."""
        numbers = sorted([*self._pending, *self._held])
        return HoldLeases(self.incarnation, self._last_number, numbers)

    def apply_hold_reply(
        self, owner: str, sent: HoldLeases, numbers: Iterable[int], sent_at: float
    ) -> None:
        """Apply an owner's reply to the message `sent` at `sent_at`.

        The reply confirms the end of every lease that the message omits.
        """
        for number in numbers:
            lease = self._held.get(number)
            if lease is not None and lease.owner == owner:
                lease.confirmed_at = max(lease.confirmed_at, sent_at)
        for number in list(self._unreported_ends):
            if number <= sent.last_number and number not in sent.numbers:
                self._record_owner_informed(number, owner)

    def transfer_leases(self, target_id: str, claim: OwnershipClaim) -> list[SlotLease]:
        """Assign the leases on a target to its new owner and return the leases."""
        self._claims[target_id] = claim
        leases = [
            lease for lease in self._held.values() if lease.target_id == target_id
        ]
        for lease in leases:
            lease.owner = claim.owner
        return leases

    def advance(self, now: float) -> None:
        """Mark leases without a recent confirmation as lost; forget old claims."""
        for lease in self._held.values():
            if now >= lease.confirmed_at + CONFIRMATION_TIMEOUT_S:
                lease.mark_lost()
        for target_id, claim in list(self._claims.items()):
            if now >= claim.at + CLAIM_RETENTION_S:
                del self._claims[target_id]

    def remove_owner(self, owner: str) -> None:
        """Stop reporting ended leases to an instance that has left."""
        for number in list(self._unreported_ends):
            self._record_owner_informed(number, owner)

    def dump(self, now: float) -> dict[str, Any]:
        """Return the held leases and the numbers of pending and ended requests."""
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
