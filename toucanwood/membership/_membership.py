"""Failure detection and membership gossip (SWIM) between instances."""

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
DEAD_SYNC_INTERVAL_S = 3.0

log = structlog.get_logger()


@message(10)
@attrs.frozen
class Probe:
    """Check that the receiver runs.

    If `target` is set, the receiver probes that instance and returns the outcome.
    """

    updates: list[Any]
    load: float = 0.0
    target: str = ""


@message(11)
@attrs.frozen
class ProbeReply:
    """Reply to a probe."""

    updates: list[Any]
    load: float = 0.0
    is_alive: bool = True


@message(12)
@attrs.frozen
class SyncMembers:
    """Request the member table unless the digests of both tables are equal."""

    digest: bytes
    own: list[Any]


@message(13)
@attrs.frozen
class SyncReply:
    """Return the whole table, or an empty list if the digests are equal."""

    members: list[Any]


class Membership:
    """Keep the member table current by probes and gossip.

    Each instance probes one member per interval, so its load does not depend on the
    number of instances (SWIM: Das, Gupta and Motivala, 2002).
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
        """Join the group through the seeds and start probing."""
        self._tasks.start(self._join(), name="membership-join")
        self._tasks.start(self._run_probes(), name="membership-probe")
        self._tasks.start(self._run_syncs(), name="membership-sync")

    async def stop(self) -> None:
        """Stop probing and announce that this instance has left."""
        await self._tasks.stop()
        self.announce(MemberState.LEFT)

    def add_listener(self, listener: Callable[[Member], None]) -> None:
        """Call `listener` with each member record that changes."""
        self._listeners.append(listener)

    def announce(self, state: MemberState) -> None:
        """Send the new state of this instance to every live instance.

        Gossip alone takes several probe intervals. In that time other instances would
        still return a leaving instance in their lookup responses.
        """
        self.table.change_local_state(state, self._now())
        updates = [self.table.local_member.to_wire()]
        for member in self.table.list_live():
            if member.id != self.table.local_member.id:
                self._transport.send(member.id, Probe(updates, self.local_load))

    def list_live(self) -> list[Member]:
        """Return the live instances, including this one."""
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
                self._process_change(self.table.find(member.id) or member)

    def _process_change(self, member: Member) -> None:
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

    def _encode_updates(self) -> list[Any]:
        return [member.to_wire() for member in self.table.take_updates()]

    async def _handle_probe(self, sender: str, probe: Probe) -> ProbeReply:
        self._merge(probe.updates)
        if probe.target:
            is_alive = await self._probe(probe.target)
            return ProbeReply([], self.local_load, is_alive)
        self.load_by_id[sender] = probe.load
        self._sync_if_not_live(sender)
        return ProbeReply(self._encode_updates(), self.local_load)

    async def _handle_sync(self, _sender: str, body: SyncMembers) -> SyncReply:
        self._merge([body.own])
        if body.digest == self.table.digest():
            return SyncReply([])
        return SyncReply([member.to_wire() for member in self.table.list_members()])

    def _sync_if_not_live(self, sender: str) -> None:
        """Fetch the table of a sender that is unknown or not considered live."""
        member = self.table.find(sender)
        if member is None or not member.is_live:
            self._tasks.start(self._sync(sender), name=f"sync-{sender}")

    async def _join(self) -> None:
        while self._seeds and len(self.table) == 1:
            for peer_id, _address in self._seeds:
                await self._sync(peer_id)
            await asyncio.sleep(JOIN_INTERVAL_S)

    async def _run_probes(self) -> None:
        next_dead_sync_at = self._now()
        while True:
            started_at = self._now()
            self._expire_members()
            member_id = self._pick_probe_target()
            if member_id is not None:
                await self._probe_or_suspect(member_id)
            if started_at >= next_dead_sync_at:
                next_dead_sync_at = started_at + DEAD_SYNC_INTERVAL_S
                self._sync_with_dead_member()
            elapsed = self._now() - started_at
            await asyncio.sleep(max(PROBE_INTERVAL_S - elapsed, 0.05))

    def _expire_members(self) -> None:
        for member in self.table.expire(self._now()):
            self._process_change(member)

    def _pick_probe_target(self) -> str | None:
        """Return the next member of a shuffled round over all live members."""
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
                self._process_change(suspect)

    async def _probe(self, member_id: str) -> bool:
        known = self.table.find(member_id)
        updates = self._encode_updates()
        if known is not None and known.state >= MemberState.SUSPECT:
            # Lets the member refute the suspicion.
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

    def _sync_with_dead_member(self) -> None:
        """Sync with one dead member or unknown seed, to merge healed partitions."""
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

    async def _run_syncs(self) -> None:
        while True:
            await asyncio.sleep(SYNC_INTERVAL_S * self._random.uniform(0.8, 1.2))
            member_id = self._pick_live_member()
            if member_id is not None:
                await self._sync(member_id)

    def _pick_live_member(self) -> str | None:
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
