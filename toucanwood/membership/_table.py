"""Table of all member records that an instance knows."""

import hashlib
import math

import attrs
import msgpack

from toucanwood.membership._member import Member, MemberState

SUSPECT_TIMEOUT_S = 2.0
DEAD_RETENTION_S = 3600.0
MAX_UPDATES_PER_MESSAGE = 8
RETRANSMIT_FACTOR = 4


class MemberTable:
    """Merge member records by incarnation and select updates for gossip."""

    def __init__(self, local_member: Member) -> None:
        self.local_member = local_member
        self._members = {local_member.id: local_member}
        self._changed_at: dict[str, float] = {}
        self._remaining_sends: dict[str, int] = {}
        self.version = 0
        # The table version and its live members.
        self._cached_live: tuple[int, list[Member]] = (-1, [])

    def __len__(self) -> int:
        return len(self._members)

    def find(self, member_id: str) -> Member | None:
        """Return the record of an instance."""
        return self._members.get(member_id)

    def list_members(self) -> list[Member]:
        """Return all records, also of dead members, sorted by id."""
        return [self._members[member_id] for member_id in sorted(self._members)]

    def list_live(self) -> list[Member]:
        """Return the members that are not known to be dead or to have left."""
        if self._cached_live[0] != self.version:
            live = [member for member in self.list_members() if member.is_live]
            self._cached_live = self.version, live
        return list(self._cached_live[1])

    def merge(self, member: Member, now: float) -> bool:
        """Store a record if it is newer; return whether the table changed."""
        if member.id == self.local_member.id:
            return self._refute(member, now)
        known = self._members.get(member.id)
        if known is not None and not member.supersedes(known):
            return False
        self._store(member, now)
        return True

    def change_local_state(self, state: MemberState, now: float) -> None:
        """Set a new state of this instance with the next incarnation."""
        incarnation = self.local_member.incarnation + 1
        self.local_member = attrs.evolve(
            self.local_member, state=state, incarnation=incarnation
        )
        self._store(self.local_member, now)

    def suspect(self, member_id: str, now: float) -> bool:
        """Mark a member that did not reply; return whether the table changed."""
        member = self._members.get(member_id)
        if member is None or member.state >= MemberState.SUSPECT:
            return False
        self._store(attrs.evolve(member, state=MemberState.SUSPECT), now)
        return True

    def expire(self, now: float) -> list[Member]:
        """Mark expired suspects as dead and return them.

        Members that have been dead or gone for a long time are removed.
        """
        died = []
        for member in self.list_members():
            age = now - self._changed_at.get(member.id, now)
            if member.state is MemberState.SUSPECT and age >= SUSPECT_TIMEOUT_S:
                dead = attrs.evolve(member, state=MemberState.DEAD)
                self._store(dead, now)
                died.append(dead)
            elif member.state >= MemberState.DEAD and age >= DEAD_RETENTION_S:
                self._remove(member.id)
        return died

    def take_updates(self) -> list[Member]:
        """Return recent changes for the next message; each is sent O(log n) times."""
        pending = sorted(self._remaining_sends, key=self._remaining_sends.__getitem__)
        chosen = pending[-MAX_UPDATES_PER_MESSAGE:]
        for member_id in chosen:
            self._remaining_sends[member_id] -= 1
            if self._remaining_sends[member_id] <= 0:
                del self._remaining_sends[member_id]
        return [self._members[member_id] for member_id in chosen]

    def digest(self) -> bytes:
        """Return a hash of the table to compare it with other instances."""
        content = [member.to_wire() for member in self.list_members()]
        return hashlib.blake2b(msgpack.packb(content), digest_size=8).digest()

    def _refute(self, claim: Member, now: float) -> bool:
        """Refute a claim about this instance by a higher incarnation."""
        if not claim.supersedes(self.local_member):
            return False
        incarnation = claim.incarnation + 1
        self.local_member = attrs.evolve(self.local_member, incarnation=incarnation)
        self._store(self.local_member, now)
        return True

    def _store(self, member: Member, now: float) -> None:
        self._members[member.id] = member
        self.version += 1
        self._changed_at[member.id] = now
        sends = RETRANSMIT_FACTOR * math.ceil(math.log2(len(self._members) + 1))
        self._remaining_sends[member.id] = sends

    def _remove(self, member_id: str) -> None:
        del self._members[member_id]
        self.version += 1
        self._changed_at.pop(member_id, None)
        self._remaining_sends.pop(member_id, None)
