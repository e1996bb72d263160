"""Failure detection and gossip between instances."""

import asyncio
import random
from collections.abc import Callable, Sequence
from typing import Any

import attrs
import structlog

from toucanwood.membership._member import Member, MemberState
from toucanwood.membership._table import MemberTable
from toucanwood.peering import PeerUnavailable, Transport, message
from toucanwood.utils import TaskGroup

PROBE_INTERVAL_S = 0.5
PROBE_TIMEOUT_S = 0.5
INDIRECT_PROBES = 2
SYNC_INTERVAL_S = 10.0
JOIN_INTERVAL_S = 0.5
REVIVE_INTERVAL_S = 3.0

log = structlog.get_logger()


@message(10)
@attrs.frozen
class Probe:
    """Ask whether an instance runs; `target` asks to probe another one instead."""

    updates: list[Any]
    load: float = 0.0
    target: str = ""


@message(11)
@attrs.frozen
class ProbeReply:
    """Answer a probe."""

    updates: list[Any]
    load: float = 0.0
    is_alive: bool = True


@message(12)
@attrs.frozen
class SyncMembers:
    """Ask for the member table unless the digests are equal."""

    digest: bytes
    own: list[Any]


@message(13)
@attrs.frozen
class SyncReply:
    """Return the whole table, or nothing when the digests are equal."""

    members: list[Any]


class Membership:
    """Keep the member table current.

    Probing one member per interval costs each instance the same at any fleet size
    (SWIM: Das, Gupta and Motivala, 2002).
    """

    def __init__(
        self,
        *,
        transport: Transport,
        local_member: Member,
        seeds: Sequence[tuple[str, str]],
        set_address: Callable[[str, str], None],
        seed: int | None = None,
    ) -> None:
        self.table = MemberTable(local_member)
        self.load_by_id: dict[str, float] = {}
        self.local_load = 0.0
        self._transport = transport
        self._seeds = [item for item in seeds if item[0] != local_member.id]
        self._set_address = set_address
        self._random = random.Random(seed)
        self._probe_order: list[str] = []
        self._tasks = TaskGroup()
        self._listeners: list[Callable[[Member], None]] = []
        for peer_id, address in self._seeds:
            set_address(peer_id, address)
        transport.register(Probe, self._handle_probe)
        transport.register(SyncMembers, self._handle_sync)

    async def start(self) -> None:
        """Join through the seeds and start probing."""
        self._tasks.start(self._join(), name="membership-join")
        self._tasks.start(self._probe_all(), name="membership-probe")
        self._tasks.start(self._sync_all(), name="membership-sync")

    async def stop(self) -> None:
        """Tell other instances that this one has left and stop probing."""
        await self._tasks.stop()
        self.announce(MemberState.LEFT)

    def add_listener(self, listener: Callable[[Member], None]) -> None:
        """Call `listener` with each record that changes."""
        self._listeners.append(listener)

    def announce(self, state: MemberState) -> None:
        """Tell every live instance a new state of this one.

        Gossip alone takes several probe intervals, in which others would go on
        listing an instance that leaves.
        """
        self.table.change_local_state(state, self._now())
        updates = [self.table.local_member.to_wire()]
        for member in self.table.list_live():
            if member.id != self.table.local_member.id:
                self._transport.send(member.id, Probe(updates, self.local_load))

    def list_live(self) -> list[Member]:
        """Return the instances that run, this one too."""
        return self.table.list_live()

    def dump(self) -> dict[str, Any]:
        """Return the member table."""
        members = self.table.list_members()
        return {
            member.id: {
                **attrs.asdict(member),
                "state": member.state.name.lower(),
                "load": self.load_by_id.get(member.id, 0.0),
            }
            for member in members
        }

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _merge(self, wire_members: list[Any]) -> None:
        for values in wire_members:
            member = Member.from_wire(values)
            if self.table.merge(member, self._now()):
                self._publish(self.table.find(member.id) or member)

    def _publish(self, member: Member) -> None:
        if member.id != self.table.local_member.id:
            self._set_address(member.id, member.peer)
        log.info(
            "member_changed",
            member=member.id,
            state=member.state.name.lower(),
            incarnation=member.incarnation,
        )
        for listener in self._listeners:
            listener(member)

    def _take_updates(self) -> list[Any]:
        return [member.to_wire() for member in self.table.take_updates()]

    async def _handle_probe(self, sender: str, probe: Probe) -> ProbeReply:
        self._merge(probe.updates)
        if probe.target:
            is_alive = await self._probe(probe.target)
            return ProbeReply([], self.local_load, is_alive)
        self.load_by_id[sender] = probe.load
        self._sync_stranger(sender)
        return ProbeReply(self._take_updates(), self.local_load)

    async def _handle_sync(self, _sender: str, body: SyncMembers) -> SyncReply:
        self._merge([body.own])
        if body.digest == self.table.digest():
            return SyncReply([])
        return SyncReply([member.to_wire() for member in self.table.list_members()])

    def _sync_stranger(self, sender: str) -> None:
        """Fetch the table of a prober that is thought to be dead or is unknown."""
        member = self.table.find(sender)
        if member is None or not member.is_live:
            self._tasks.start(self._sync(sender), name=f"sync-{sender}")

    async def _join(self) -> None:
        while self._seeds and len(self.table) == 1:
            for peer_id, _address in self._seeds:
                await self._sync(peer_id)
            await asyncio.sleep(JOIN_INTERVAL_S)

    async def _probe_all(self) -> None:
        revive_at = self._now()
        while True:
            started = self._now()
            self._expire()
            member_id = self._pick_next()
            if member_id is not None:
                await self._probe_or_suspect(member_id)
            if started >= revive_at:
                revive_at = started + REVIVE_INTERVAL_S
                self._revive_one()
            elapsed = self._now() - started
            await asyncio.sleep(max(PROBE_INTERVAL_S - elapsed, 0.05))

    def _expire(self) -> None:
        for member in self.table.expire(self._now()):
            self._publish(member)

    def _pick_next(self) -> str | None:
        """Return the next live member of a shuffled round over all of them."""
        if not self._probe_order:
            self._probe_order = [
                member.id
                for member in self.table.list_live()
                if member.id != self.table.local_member.id
            ]
            self._random.shuffle(self._probe_order)
        return self._probe_order.pop() if self._probe_order else None

    async def _probe_or_suspect(self, member_id: str) -> None:
        if await self._probe(member_id) or await self._probe_indirectly(member_id):
            return
        if self.table.suspect(member_id, self._now()):
            suspect = self.table.find(member_id)
            if suspect is not None:
                self._publish(suspect)

    async def _probe(self, member_id: str) -> bool:
        known = self.table.find(member_id)
        updates = self._take_updates()
        if known is not None and known.state >= MemberState.SUSPECT:
            # The member learns of the suspicion and can refute it.
            updates.append(known.to_wire())
        try:
            reply = await self._transport.call(
                member_id, Probe(updates, self.local_load), timeout=PROBE_TIMEOUT_S
            )
        except PeerUnavailable:
            return False
        if reply is None:
            return False
        self.load_by_id[member_id] = reply.load
        self._merge(reply.updates)
        return True

    async def _probe_indirectly(self, member_id: str) -> bool:
        others = [
            member.id
            for member in self.table.list_live()
            if member.id not in (member_id, self.table.local_member.id)
        ]
        helpers = self._random.sample(others, min(INDIRECT_PROBES, len(others)))
        calls = [self._ask_to_probe(helper, member_id) for helper in helpers]
        return any(await asyncio.gather(*calls))

    async def _ask_to_probe(self, helper: str, member_id: str) -> bool:
        probe = Probe([], self.local_load, member_id)
        try:
            reply = await self._transport.call(
                helper, probe, timeout=2 * PROBE_TIMEOUT_S
            )
        except PeerUnavailable:
            return False
        return reply is not None and reply.is_alive

    def _revive_one(self) -> None:
        """Try one dead member or seed, so that healed partitions merge."""
        dead = [
            member.id
            for member in self.table.list_members()
            if member.state is MemberState.DEAD
        ]
        known = {member.id for member in self.table.list_members()}
        dead += [peer_id for peer_id, _ in self._seeds if peer_id not in known]
        if dead:
            member_id = self._random.choice(dead)
            self._tasks.start(self._sync(member_id), name=f"sync-{member_id}")

    async def _sync_all(self) -> None:
        while True:
            await asyncio.sleep(SYNC_INTERVAL_S * self._random.uniform(0.8, 1.2))
            member_id = self._pick_random()
            if member_id is not None:
                await self._sync(member_id)

    def _pick_random(self) -> str | None:
        ids = [
            member.id
            for member in self.table.list_live()
            if member.id != self.table.local_member.id
        ]
        return self._random.choice(ids) if ids else None

    async def _sync(self, peer_id: str) -> None:
        body = SyncMembers(self.table.digest(), self.table.local_member.to_wire())
        try:
            reply = await self._transport.call(peer_id, body, timeout=PROBE_TIMEOUT_S)
        except PeerUnavailable:
            return
        if reply is not None:
            self._merge(reply.members)
