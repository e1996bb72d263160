"""Formation of a group at its first start."""

import asyncio

from toucanwood.consensus._core import CALL_TIMEOUT_S, HEARTBEAT_INTERVAL_S, RaftCore
from toucanwood.consensus._members import Member, MemberRole, Members
from toucanwood.consensus._messages import Identify, Identity
from toucanwood.consensus._records import StorageError
from toucanwood.consensus._storage import Snapshot
from toucanwood.peering import PeerUnavailable


class GroupFormation:
    """Form a group once all initial voters are reachable and have empty disks.

    A replica that lost its disk finds that others already belong to a group. It then
    forms no group and waits until the leader adds it with its new incarnation.
    """

    def __init__(self, core: RaftCore, voters: list[str]) -> None:
        self._core = core
        self._voters = sorted(voters)
        core.transport.register(Identify, self._handle_identify)

    async def run(self) -> None:
        """Try to form the group until this replica belongs to a group."""
        core = self._core
        if core.id not in self._voters:
            return
        while not core.members.by_id and not core.is_closed:
            try:
                await self._try_form()
            except StorageError:
                return
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def _try_form(self) -> None:
        core = self._core
        others = [voter for voter in self._voters if voter != core.id]
        identities = await asyncio.gather(*(self._identify(other) for other in others))
        members = {core.id: Member(core.incarnation, MemberRole.VOTER)}
        for other, identity in zip(others, identities, strict=True):
            if identity is None or identity.has_group:
                return
            members[other] = Member(identity.incarnation, MemberRole.VOTER)
        async with core.lock:
            if not core.members.by_id:
                ordered = Members(dict(sorted(members.items())))
                data = core.state_machine.snapshot()
                await core.install(Snapshot(0, 0, ordered, data))

    async def _identify(self, voter: str) -> Identity | None:
        call = self._core.transport.call
        try:
            reply = await call(voter, Identify(), timeout=CALL_TIMEOUT_S)
        except PeerUnavailable:
            return None
        return reply if isinstance(reply, Identity) else None

    async def _handle_identify(self, sender: str, request: Identify) -> Identity | None:
        core = self._core
        if core.is_closed:
            return None
        has_group = bool(core.members.by_id)
        return Identity(core.incarnation, has_group)
