"""The entries of the replicated log in memory."""

from enum import IntEnum

import attrs


class EntryKind(IntEnum):
    """The kind of a log entry."""

    COMMAND = 0
    MEMBERS = 1


@attrs.frozen
class Entry:
    """An entry of the replicated log."""

    index: int
    term: int
    kind: int
    data: bytes

    def pack(self) -> list[int | bytes]:
        """Return the fields as a list, for a log record or an AppendEntries message."""
        return [self.index, self.term, self.kind, self.data]


class Log:
    """Consecutive entries that follow the entry at `base_index`."""

    def __init__(self, base_index: int = 0, base_term: int = 0) -> None:
        self.base_index = base_index
        self.base_term = base_term
        self.entries: list[Entry] = []
        # For each entry the bytes of data up to its end, counted from any origin.
        self._ends: list[int] = []
        self._base_end = 0

    @property
    def last_index(self) -> int:
        """Return the index of the last entry, or `base_index` if the log is empty."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry, or `base_term` if the log is empty."""
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or None if the log does not contain it."""
        if index == self.base_index:
            return self.base_term
        if not self.base_index < index <= self.last_index:
            return None
        return self.entries[index - self.base_index - 1].term

    def get(self, index: int) -> Entry:
        """Return one entry; raise IndexError for an index outside the log."""
        if not self.base_index < index <= self.last_index:
            raise IndexError(
                f"index must be in [{self.base_index + 1}, {self.last_index}], "
                f"got {index}"
            )
        return self.entries[index - self.base_index - 1]

    def count_bytes(self, first: int, last: int) -> int:
        """Return the bytes of data in the entries from `first` to `last`.

        Indexes outside the log count as the nearest one inside.
        """
        return max(self._end_at(last) - self._end_at(first - 1), 0)

    def read_batch(self, first: int, max_bytes: int) -> list[Entry]:
        """Return the entries from `first` on, up to `max_bytes` of data.

        The first entry is returned even if it exceeds `max_bytes`.
        """
        batch: list[Entry] = []
        size = 0
        for index in range(first, self.last_index + 1):
            entry = self.get(index)
            size += len(entry.data)
            if batch and size > max_bytes:
                break
            batch.append(entry)
        return batch

    def append(self, entry: Entry) -> None:
        """Add an entry at the end."""
        if entry.index != self.last_index + 1:
            raise ValueError(f"index must be {self.last_index + 1}, got {entry.index}")
        self._ends.append(self._end_at(self.last_index) + len(entry.data))
        self.entries.append(entry)

    def truncate_from(self, index: int) -> None:
        """Remove the entries from `index` on."""
        if index <= self.base_index:
            raise ValueError(f"index must be above {self.base_index}, got {index}")
        del self.entries[index - self.base_index - 1 :]
        del self._ends[index - self.base_index - 1 :]

    def compact(self, index: int) -> None:
        """Remove the entries up to and including `index`, which must be in the log."""
        term = self.term_at(index)
        if term is None:
            raise ValueError(f"index must be in the log, got {index}")
        self._base_end = self._end_at(index)
        del self.entries[: index - self.base_index]
        del self._ends[: index - self.base_index]
        self.base_index = index
        self.base_term = term

    def reset(self, index: int, term: int) -> None:
        """Remove every entry and set another base index and term."""
        self.entries.clear()
        self._ends.clear()
        self._base_end = 0
        self.base_index = index
        self.base_term = term

    def find_conflict_hint(self, index: int) -> int:
        """Return the last index at which the log of the leader may match this log.

        All entries of the conflicting term are skipped at once, so that the leader
        needs one request per term and not one per entry.
        """
        if index > self.last_index:
            return self.last_index
        term = self.term_at(index)
        while index > self.base_index and self.term_at(index) == term:
            index -= 1
        return index

    def _end_at(self, index: int) -> int:
        position = min(index, self.last_index) - self.base_index - 1
        return self._ends[position] if position >= 0 else self._base_end
