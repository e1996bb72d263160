"""The directory of the slots at all owners, as known to one instance."""

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import Any

import attrs

from toucanwood.dispatch._messages import DirectoryDelta
from toucanwood.dispatch._registry import Share

# Interval in s at which an owner resends unchanged shares, in case a delta was lost.
REFRESH_INTERVAL_S = 1.0
# Time in s without a delta after which a share is removed.
MAX_AGE_S = 3.5
# Time in s for which an owner is ranked last after it was found unreachable.
SUSPECT_OWNER_DURATION_S = 1.0


@attrs.define
class KnownShare:
    """Hold the last share received from an owner.

    `free` is the number of free slots, corrected by later replies of the owner.
    """

    owner: str
    share: Share
    received_at: float
    free: int

    @property
    def key(self) -> tuple[str, str, str]:
        """Return the owner, service and data centre."""
        return self.owner, self.share.service, self.share.data_centre


class SlotDirectory:
    """Rank the owners of a service in a region by their reported slots.

    Shares that the owner has stopped sending are removed.
    """

    def __init__(
        self,
        *,
        instance_id: str,
        data_centre: str,
        find_region: Callable[[str], str | None],
        random: random.Random,
        is_drained: Callable[[str], bool],
    ) -> None:
        self._instance_id = instance_id
        self._data_centre = data_centre
        self._find_region = find_region
        self._is_drained = is_drained
        self._random = random
        self._shares: dict[tuple[str, str, str], KnownShare] = {}
        self._sequences: dict[str, tuple[int, int]] = {}
        self._suspects: dict[str, float] = {}
        self._watchers: dict[tuple[str, str], set[asyncio.Event]] = {}

    def watch(self, service: str, region: str, event: asyncio.Event) -> None:
        """Set `event` when an owner appears or has a free slot after having none."""
        self._watchers.setdefault((service, region), set()).add(event)

    def unwatch(self, service: str, region: str, event: asyncio.Event) -> None:
        """Stop setting `event` for a service and region."""
        events = self._watchers[service, region]
        events.discard(event)
        if not events:
            del self._watchers[service, region]

    def apply(self, owner: str, delta: DirectoryDelta, now: float) -> None:
        """Store the shares of an owner; ignore an old or duplicate delta."""
        version = delta.incarnation, delta.sequence
        if version <= self._sequences.get(owner, (0, -1)):
            return
        self._sequences[owner] = version
        for fields in delta.shares:
            share = Share(*fields)
            self._replace(KnownShare(owner, share, now, share.free))

    def set_own_shares(self, shares: Iterable[Share], now: float) -> None:
        """Replace this instance's own shares."""
        current = [
            KnownShare(self._instance_id, share, now, share.free) for share in shares
        ]
        keys = {known.key for known in current}
        for key in [key for key in self._shares if key[0] == self._instance_id]:
            if key not in keys:
                del self._shares[key]
        for known in current:
            self._replace(known)

    def set_free_slots(self, owner: str, service: str, free: int) -> None:
        """Set the free slots of an owner to the number in its latest reply."""
        for known in self._shares.values():
            if known.owner == owner and known.share.service == service:
                was_free = known.free > 0
                known.free = free
                if free > 0 and not was_free:
                    self._wake_watchers(known.share)

    def mark_suspect(self, owner: str, now: float) -> None:
        """Rank an unreachable owner last for `SUSPECT_OWNER_DURATION_S`."""
        self._suspects[owner] = now + SUSPECT_OWNER_DURATION_S

    def advance(self, now: float) -> None:
        """Remove the shares that are too old."""
        for key, known in list(self._shares.items()):
            if now >= known.received_at + MAX_AGE_S:
                del self._shares[key]

    def rank(self, service: str, region: str, now: float) -> list[tuple[str, int]]:
        """Return the owners and their free slots, the preferred owner first.

        Owners with free slots come first: this instance, then owners of targets in its
        data centre, then the others, in random order weighted by free slots. Full
        owners follow by the number of waiters per slot. Suspect owners come last.
        """
        free: dict[str, int] = {}
        local: dict[str, bool] = {}
        queue_pressure: dict[str, float] = {}
        for known in self._list_usable(service, region):
            share = known.share
            owner = known.owner
            free[owner] = free.get(owner, 0) + known.free
            is_local = share.data_centre == self._data_centre
            local[owner] = local.get(owner, False) or is_local
            queue_pressure[owner] = share.waiting / share.slots

        def sort_key(owner: str) -> tuple[Any, ...]:
            jitter = self._random.random()
            is_suspect = now < self._suspects.get(owner, 0.0)
            if free[owner] <= 0:
                return is_suspect, True, queue_pressure[owner], not local[owner], jitter
            locality = 0 if owner == self._instance_id else 1 if local[owner] else 2
            return is_suspect, False, locality, -free[owner] * jitter

        return [(owner, free[owner]) for owner in sorted(free, key=sort_key)]

    def count_usage(self, service: str, organisation: str) -> int:
        """Return the number of slots an organisation uses at the other owners."""
        return sum(
            known.share.usage.get(organisation, 0)
            for known in self._shares.values()
            if known.share.service == service and known.owner != self._instance_id
        )

    def list_usage(self, service: str, region: str) -> dict[str, int]:
        """Return the slots in use at the other owners in a region, by organisation."""
        usage: dict[str, int] = {}
        for known in self._list_usable(service, region):
            if known.owner == self._instance_id:
                continue
            for organisation, count in known.share.usage.items():
                usage[organisation] = usage.get(organisation, 0) + count
        return usage

    def count_other_slots(self, service: str, region: str) -> int:
        """Return the number of slots of the other owners in a region."""
        return sum(
            known.share.slots
            for known in self._list_usable(service, region)
            if known.owner != self._instance_id
        )

    def count_slots(self, service: str, region: str) -> int:
        """Return the number of slots of a service in a region."""
        return sum(known.share.slots for known in self._list_usable(service, region))

    def count_free(self, service: str, region: str) -> int:
        """Return the number of free slots of a service in a region."""
        return sum(max(known.free, 0) for known in self._list_usable(service, region))

    def dump(self, now: float) -> list[dict[str, Any]]:
        """Return the known shares and their ages in seconds."""
        return [
            {
                "owner": known.owner,
                **attrs.asdict(known.share),
                "age": now - known.received_at,
            }
            for known in self._shares.values()
        ]

    def _list_usable(self, service: str, region: str) -> list[KnownShare]:
        """Return the shares with slots.

        Shares of drained data centres are left out unless all data centres are drained.
        """
        shares = [
            known
            for known in self._shares.values()
            if known.share.service == service
            and known.share.slots
            and self._find_region(known.share.data_centre) == region
        ]
        usable = [
            known for known in shares if not self._is_drained(known.share.data_centre)
        ]
        return usable or shares

    def _replace(self, known: KnownShare) -> None:
        previous = self._shares.get(known.key)
        self._shares[known.key] = known
        is_new = known.share.slots > 0 and (
            previous is None or not previous.share.slots
        )
        is_freed = known.free > 0 and (previous is None or previous.free <= 0)
        if is_new or is_freed:
            self._wake_watchers(known.share)

    def _wake_watchers(self, share: Share) -> None:
        region = self._find_region(share.data_centre)
        for event in self._watchers.get((share.service, region or ""), ()):
            event.set()


class DeltaBuilder:
    """Build the deltas that one owner sends periodically."""

    def __init__(self, *, incarnation: int) -> None:
        self._incarnation = incarnation
        self._sequence = 0
        self._sent: dict[tuple[str, str], tuple[Share, float]] = {}

    def build(self, shares: Iterable[Share], now: float) -> DirectoryDelta | None:
        """Build a delta of the shares that changed or are due for a refresh, if any."""
        current = {(share.service, share.data_centre): share for share in shares}
        for key, (sent, _) in self._sent.items():
            # A share that no longer exists is sent once more, without slots.
            removed = Share(sent.service, sent.data_centre, 0, 0, 0, {})
            current.setdefault(key, removed)
        due = [share for share in current.values() if self._is_due(share, now)]
        if not due:
            return None
        for share in due:
            self._record_sent(share, now)
        self._sequence += 1
        fields = [list(attrs.astuple(share, recurse=False)) for share in due]
        return DirectoryDelta(self._incarnation, self._sequence, fields)

    def _is_due(self, share: Share, now: float) -> bool:
        sent = self._sent.get((share.service, share.data_centre))
        if sent is None:
            return bool(share.slots or share.usage)
        return sent[0] != share or now >= sent[1] + REFRESH_INTERVAL_S

    def _record_sent(self, share: Share, now: float) -> None:
        key = share.service, share.data_centre
        if share.slots or share.usage:
            self._sent[key] = share, now
        else:
            self._sent.pop(key, None)
