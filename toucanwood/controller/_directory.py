"""Which entries callers are told to use."""

from collections.abc import Mapping
from typing import Any

import attrs

# An entry announces itself every second; after this time without a word it is not named
# any more.
ENTRY_TIMEOUT_S = 3.0
# An answer with a whole large fleet would be long; callers need a few of a region.
MAX_ADDRESSES = 64


@attrs.frozen
class EntryInfo:
    """Describe an entry as it announces itself."""

    id: str
    address: str
    region: str
    data_centre: str
    is_ready: bool


@attrs.define
class Directory:
    """Know the entries and rank them for callers."""

    region_by_data_centre: Mapping[str, str]
    _entries: dict[str, EntryInfo] = attrs.field(factory=dict)
    _heard_at: dict[str, float] = attrs.field(factory=dict)

    def note(self, entry: EntryInfo, now: float) -> None:
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
        chosen = near or ready
        chosen.sort(key=lambda entry: entry.data_centre != data_centre)
        return [entry.address for entry in chosen[:MAX_ADDRESSES]]

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
