"""Which entries callers are told to use."""

import random
from collections.abc import Mapping, Sequence
from typing import Any

import attrs

# An entry announces itself every second; after this time without a word it is not named
# any more.
ENTRY_TIMEOUT_S = 3.0
# An answer with a whole large fleet would be long; callers need a few of a region.
MAX_ADDRESSES = 64
# An entry whose load is this many times the mean of its region is left out of some
# answers. Callers spread by chance, so smaller differences are usual.
BUSY_FACTOR = 1.2
# Below this load an entry serves everything at once, whatever the others do.
MIN_BUSY_LOAD = 0.15
# Of the callers above the mean, this part is sent elsewhere by one answer each. The
# load is some seconds old, so moving all of them would move too many.
MOVED_PART = 0.8


@attrs.frozen
class EntryInfo:
    """Describe an entry as it announces itself."""

    id: str
    address: str
    region: str
    data_centre: str
    is_ready: bool
    load: float = 0.0


@attrs.define
class EntryDirectory:
    """Know the entries and rank them for callers.

    Callers pick one of the addresses of an answer at random and keep their connections
    for many requests. After some entries have restarted, or by chance, one entry then
    has several times the callers of another. Callers leave an entry that is missing
    from their next answer, so a busy entry is left out of a part of the answers.
    """

    region_by_data_centre: Mapping[str, str]
    _entries: dict[str, EntryInfo] = attrs.field(factory=dict)
    _heard_at: dict[str, float] = attrs.field(factory=dict)
    _generator: random.Random = attrs.field(factory=random.Random, alias="generator")

    def record_announcement(self, entry: EntryInfo, now: float) -> None:
        """Take over what an entry says of itself."""
        self._entries[entry.id] = entry
        self._heard_at[entry.id] = now

    def list_live(self, now: float) -> list[EntryInfo]:
        """Return the entries that were heard lately, ready or not."""
        oldest = now - ENTRY_TIMEOUT_S
        return [
            entry
            for key, entry in self._entries.items()
            if self._heard_at[key] > oldest
        ]

    def look_up(self, region: str, data_centre: str, now: float) -> list[str]:
        """Return addresses for a caller: those of its region, else all others."""
        ready = [entry for entry in self.list_live(now) if entry.is_ready]
        region = region or self.region_by_data_centre.get(data_centre, "")
        near = [entry for entry in ready if entry.region == region]
        chosen = self._thin(near or ready)
        chosen.sort(key=lambda entry: entry.data_centre != data_centre)
        return [entry.address for entry in chosen[:MAX_ADDRESSES]]

    def _thin(self, entries: Sequence[EntryInfo]) -> list[EntryInfo]:
        """Leave out busy entries by chance, never more than half of all."""
        if len(entries) < 2:
            return list(entries)
        mean = sum(entry.load for entry in entries) / len(entries)
        busy = max(mean * BUSY_FACTOR, MIN_BUSY_LOAD)
        left_out = [
            entry
            for entry in entries
            if entry.load > busy
            and self._generator.random() < MOVED_PART * (1.0 - mean / entry.load)
        ]
        left_out.sort(key=lambda entry: -entry.load)
        omitted = {entry.id for entry in left_out[: len(entries) // 2]}
        return [entry for entry in entries if entry.id not in omitted]

    def find_data_centre(self, entry_id: str) -> str | None:
        """Return where an entry is, if it has announced itself."""
        entry = self._entries.get(entry_id)
        return entry.data_centre if entry is not None else None

    def expire(self, now: float) -> None:
        """Forget the entries that have been silent for long."""
        oldest = now - 20 * ENTRY_TIMEOUT_S
        for key in [key for key, at in self._heard_at.items() if at < oldest]:
            del self._entries[key]
            del self._heard_at[key]

    def dump(self, now: float) -> dict[str, Any]:
        """Return the entries with the age of their last announcement."""
        return {
            key: {"ready": entry.is_ready, "age": round(now - self._heard_at[key], 2)}
            for key, entry in self._entries.items()
        }
