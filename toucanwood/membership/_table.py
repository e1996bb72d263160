"""The member table aggregate."""

import hashlib
import math

import attrs
import msgpack

from toucanwood.membership._member import Member, MemberState

SUSPECT_TIMEOUT_S = 2.0
FORGET_DEAD_AFTER_S = 3600.0
MAX_UPDATES_PER_MESSAGE = 8
RETRANSMIT_FACTOR = 4


class MemberTable:
    """Merge records by incarnation and choose which ones to pass on."""

    def __init__(self, local_member: Member) -> None:
        self.local_member = local_member
        self._members = {local_member.id: local_member}
        self._changed_at: dict[str, float] = {}
        self._sends_left: dict[str, int] = {}
        self.version = 0
        self._live: tuple[int, list[Member]] = (-1, [])

    def __len__(self) -> int:
        return len(self._members)

    def find(self, member_id: str) -> Member | None:
        """Return the record of an instance."""
        return self._members.get(member_id)

    def list_members(self) -> list[Member]:
        """Return all records, dead ones too, sorted by id."""
        return [self._members[member_id] for member_id in sorted(self._members)]

    def list_live(self) -> list[Member]:
        """Return the instances that run, as far as is known."""
        if self._live[0] != self.version:
            live = [member for member in self.list_members() if member.is_live]
            self._live = self.version, live
        return list(self._live[1])

    def merge(self, member: Member, now: float) -> bool:
        """Take over a record if it is newer; return whether the table changed."""
        if member.id == self.local_member.id:
            return self._defend(member, now)
        known = self._members.get(member.id)
        if known is not None and not member.supersedes(known):
            return False
        self._store(member, now)
        return True

    def change_local_state(self, state: MemberState, now: float) -> None:
        """Publish a new state of this instance."""
        incarnation = self.local_member.incarnation + 1
        self.local_member = attrs.evolve(
            self.local_member, state=state, incarnation=incarnation
        )
        self._store(self.local_member, now)

    def suspect(self, member_id: str, now: float) -> bool:
        """Mark a member that did not answer; return whether the table changed."""
        member = self._members.get(member_id)
        if member is None or member.state >= MemberState.SUSPECT:
            return False
        self._store(attrs.evolve(member, state=MemberState.SUSPECT), now)
        return True

    def expire(self, now: float) -> list[Member]:
        """Declare silent suspects dead and forget members that died long ago."""
        died = []
        for member in self.list_members():
            age = now - self._changed_at.get(member.id, now)
            if member.state is MemberState.SUSPECT and age >= SUSPECT_TIMEOUT_S:
                dead = attrs.evolve(member, state=MemberState.DEAD)
                self._store(dead, now)
                died.append(dead)
            elif member.state >= MemberState.DEAD and age >= FORGET_DEAD_AFTER_S:
                self._forget(member.id)
        return died

    def take_updates(self) -> list[Member]:
        """Return recent changes to pass on; each is sent O(log n) times."""
        pending = sorted(self._sends_left, key=self._sends_left.__getitem__)
        chosen = pending[-MAX_UPDATES_PER_MESSAGE:]
        for member_id in chosen:
            self._sends_left[member_id] -= 1
            if self._sends_left[member_id] <= 0:
                del self._sends_left[member_id]
        return [self._members[member_id] for member_id in chosen]

    def digest(self) -> bytes:
        """Return a hash that is equal on instances with equal tables."""
        content = [member.to_wire() for member in self.list_members()]
        return hashlib.blake2b(msgpack.packb(content), digest_size=8).digest()

    def _defend(self, claim: Member, now: float) -> bool:
        """Outbid a record of this instance that is not its own."""
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
        self._sends_left[member.id] = sends

    def _forget(self, member_id: str) -> None:
        del self._members[member_id]
        self.version += 1
        self._changed_at.pop(member_id, None)
        self._sends_left.pop(member_id, None)
