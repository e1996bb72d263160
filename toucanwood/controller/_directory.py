"""The directory of entries, which answers the look-ups of callers."""

import random
from collections.abc import Mapping, Sequence
from typing import Any

import attrs

# Entries announce themselves every second. An entry whose last announcement is older
# than this is left out of look-up answers.
ENTRY_TIMEOUT_S = 3.0
# Maximum number of addresses in one look-up answer. Callers need only a few entries of
# their region, and the addresses of a large fleet would make a long answer.
MAX_ADDRESSES = 64
# An entry whose load exceeds the mean of its region by this factor is left out of some
# answers. Callers choose entries at random, so smaller differences are normal.
BUSY_FACTOR = 1.2
# An entry below this load serves all requests without delay and is never treated as
# busy, whatever the load of the other entries.
MIN_BUSY_LOAD = 0.15
# Fraction of the callers in excess of the mean that have moved to other entries once
# every caller has looked up again. The reported load is some seconds old, so moving the
# whole excess would move too many callers.
MOVED_FRACTION = 0.8


@attrs.frozen
class EntryInfo:
    """Hold the last announcement of an entry."""

    id: str
    address: str
    region: str
    data_centre: str
    is_ready: bool
    load: float = 0.0


@attrs.define
class EntryDirectory:
    """Track the live entries and choose which of them a caller should use.

    Callers pick one of the returned addresses at random and keep their connections for
    many requests. After some entries have restarted, or by chance, one entry can
    therefore have several times as many callers as another. A caller moves away from an
    entry that is missing from its next answer, so a busy entry is left out of a
    fraction of the answers.
    """

    region_by_data_centre: Mapping[str, str]
    _entries: dict[str, EntryInfo] = attrs.field(factory=dict)
    _received_at: dict[str, float] = attrs.field(factory=dict)
    _generator: random.Random = attrs.field(factory=random.Random, alias="generator")

    def record_announcement(self, entry: EntryInfo, now: float) -> None:
        """Record an announcement, which replaces the previous one of the entry."""
        self._entries[entry.id] = entry
        self._received_at[entry.id] = now

    def list_live(self, now: float) -> list[EntryInfo]:
        """Return the entries with a recent announcement, whether ready or not."""
        oldest = now - ENTRY_TIMEOUT_S
        return [
            entry
            for key, entry in self._entries.items()
            if self._received_at[key] > oldest
        ]

    def look_up(self, region: str, data_centre: str, now: float) -> list[str]:
        """Return addresses for a caller: of its region, or of all regions if none."""
        ready = [entry for entry in self.list_live(now) if entry.is_ready]
        region = region or self.region_by_data_centre.get(data_centre, "")
        in_region = [entry for entry in ready if entry.region == region]
        chosen = self._omit_busy(in_region or ready)
        chosen.sort(key=lambda entry: entry.data_centre != data_centre)
        return [entry.address for entry in chosen[:MAX_ADDRESSES]]

    def _omit_busy(self, entries: Sequence[EntryInfo]) -> list[EntryInfo]:
        """Leave out busy entries at random, but at most half of the entries."""
        if len(entries) < 2:
            return list(entries)
        mean = sum(entry.load for entry in entries) / len(entries)
        busy_load = max(mean * BUSY_FACTOR, MIN_BUSY_LOAD)
        candidates = [
            entry
            for entry in entries
            if entry.load > busy_load
            and self._generator.random() < MOVED_FRACTION * (1.0 - mean / entry.load)
        ]
        candidates.sort(key=lambda entry: -entry.load)
        omitted_ids = {entry.id for entry in candidates[: len(entries) // 2]}
        return [entry for entry in entries if entry.id not in omitted_ids]

    def find_data_centre(self, entry_id: str) -> str | None:
        """Return the data centre of an entry, or None for an unknown entry."""
        entry = self._entries.get(entry_id)
        return entry.data_centre if entry is not None else None

    def expire(self, now: float) -> list[str]:
        """Delete and return the entries that have been silent for a long time."""
        oldest = now - 20 * ENTRY_TIMEOUT_S
        expired = [key for key, at in self._received_at.items() if at < oldest]
        for key in expired:
            del self._entries[key]
            del self._received_at[key]
        return expired

    def dump(self, now: float) -> dict[str, Any]:
        """Return the readiness and the announcement age of each entry, by id."""
        return {
            key: {
                "ready": entry.is_ready,
                "age": round(now - self._received_at[key], 2),
            }
            for key, entry in self._entries.items()
        }
