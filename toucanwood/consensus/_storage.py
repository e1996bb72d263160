"""Durable state of one replica: hard state, log and snapshot."""

import asyncio
import uuid
from collections.abc import Callable, Coroutine, Iterable, Iterator
from typing import Any, TypeVar

import attrs
import structlog

from toucanwood.consensus._disk import Disk
from toucanwood.consensus._log import Entry, Log
from toucanwood.consensus._members import Members
from toucanwood.consensus._records import (
    DamagedStorageError,
    RecordFile,
    StorageError,
    pack_batches,
    pack_record,
    read_single_record,
)

T = TypeVar("T")
log = structlog.get_logger()

STATE_FILE = "state"
LOG_FILE = "log"
SNAPSHOT_FILE = "snapshot"
TEMPORARY_SUFFIX = ".tmp"
# Data of the entries up to a snapshot that stay in the log for followers that are
# behind. A follower that is further behind receives the snapshot.
KEEP_BYTES = 8 * 1024 * 1024
# Part of a rewritten log that is encoded and written at once.
WRITE_BATCH_BYTES = 1024 * 1024

# Kinds of records in the log file, stored as the first field of a record.
_BASE_RECORD = 0
_ENTRY_RECORD = 1
_TRUNCATE_RECORD = 2


@attrs.frozen
class HardState:
    """The Raft state that must be durable before it takes effect."""

    term: int
    vote: str | None
    incarnation: str


@attrs.frozen
class Snapshot:
    """The state of the state machine after the entry at `index`."""

    index: int
    term: int
    members: Members
    data: bytes


class Storage:
    """The files of one replica; after any I/O error the storage stays unusable."""

    def __init__(self, disk: Disk) -> None:
        self.state = HardState(0, None, "")
        self.log = Log()
        self.snapshot_index = 0
        self.snapshot_members = Members()
        self.synced_index = 0
        self.failure: str | None = None
        self.on_failure: Callable[[str], None] = lambda reason: None
        self._disk = disk
        self._unwritten_records: list[list[Any]] = []
        self._log_bytes = 0
        self._appended_records = 0
        self._durable_records = 0
        self._flush_task: asyncio.Task[None] | None = None
        self._log_lock = asyncio.Lock()
        self._state_lock = asyncio.Lock()
        self._snapshot_lock = asyncio.Lock()

    async def open(self) -> Snapshot | None:
        """Load the files and return the snapshot; initialise an empty directory.

        Raises DamagedStorageError when a file is damaged or missing, and StorageError
        when another process uses the directory.
        """
        # Two processes with the same directory could vote twice in one term.
        await self._run_on_disk(self._disk.lock)
        names = await self._run_on_disk(self._disk.names)
        if STATE_FILE in names:
            return await self._load(names)
        await self._initialise(names)
        return None

    async def save_state(self, state: HardState) -> None:
        """Store the term, vote and incarnation durably before they take effect."""
        await self._run_shielded(self._save_state(state))

    def append(self, entry: Entry) -> None:
        """Append an entry to the log; `sync` makes it durable."""
        self.log.append(entry)
        self._add_record([_ENTRY_RECORD, *entry.pack()])

    def truncate_from(self, index: int) -> None:
        """Remove the entries from `index` on; `sync` makes the removal durable."""
        self.log.truncate_from(index)
        self.synced_index = min(self.synced_index, index - 1)
        self._add_record([_TRUNCATE_RECORD, index])

    async def sync(self) -> None:
        """Wait until all records so far are durable; waiting callers share an fsync."""
        target = self._appended_records
        while self._durable_records < target:
            if self.failure is not None:
                raise StorageError(self.failure)
            if self._flush_task is None:
                self._flush_task = asyncio.create_task(self._flush())
            await asyncio.shield(self._flush_task)

    async def save_snapshot(
        self, snapshot: Snapshot, *, keep_entries: int, keep_bytes: int = KEEP_BYTES
    ) -> None:
        """Store a snapshot and remove the log entries up to it.

        The last `keep_entries` entries up to the snapshot stay in the log, or fewer if
        their data exceeds `keep_bytes`.
        """
        await self._run_shielded(
            self._save_snapshot(snapshot, keep_entries, keep_bytes)
        )

    async def read_snapshot(self) -> Snapshot:
        """Return the stored snapshot."""
        data = await self._run_on_disk(lambda: self._disk.read(SNAPSHOT_FILE))
        return _unpack_snapshot(data)

    async def close(self) -> None:
        """Wait for writes in progress and release the lock of the directory."""
        async with self._log_lock, self._state_lock, self._snapshot_lock:
            self._disk.close()

    async def _save_state(self, state: HardState) -> None:
        async with self._state_lock:
            await self._replace_file(STATE_FILE, [pack_record(attrs.astuple(state))])
            self.state = state

    async def _save_snapshot(
        self, snapshot: Snapshot, keep_entries: int, keep_bytes: int
    ) -> None:
        async with self._snapshot_lock:
            if snapshot.index < self.snapshot_index:
                return
            members = snapshot.members.pack()
            content = [snapshot.index, snapshot.term, members, snapshot.data]
            await self._replace_file(SNAPSHOT_FILE, [pack_record(content)])
            self.snapshot_index = snapshot.index
            self.snapshot_members = snapshot.members
            async with self._log_lock:
                self._compact_log(snapshot, keep_entries, keep_bytes)
                await self._rewrite_log()

    def _compact_log(
        self, snapshot: Snapshot, keep_entries: int, keep_bytes: int
    ) -> None:
        if self.log.term_at(snapshot.index) == snapshot.term:
            base = max(snapshot.index - keep_entries, self.log.base_index)
            while self.log.count_bytes(base + 1, snapshot.index) > keep_bytes:
                base += 1
            self.log.compact(base)
        elif snapshot.index > self.log.base_index:
            self.log.reset(snapshot.index, snapshot.term)

    async def _rewrite_log(self) -> None:
        """Replace the log file by a file with the entries in memory."""
        self._unwritten_records.clear()
        target = self._appended_records
        last_index = self.log.last_index
        base = [_BASE_RECORD, self.log.base_index, self.log.base_term]
        # Entries that follow while the file is written are not part of it.
        entries = list(self.log.entries)
        written_bytes = 0

        def iterate_records() -> Iterator[list[Any]]:
            yield base
            for entry in entries:
                yield [_ENTRY_RECORD, *entry.pack()]

        def encode() -> Iterator[bytes]:
            nonlocal written_bytes
            for batch in pack_batches(iterate_records, WRITE_BATCH_BYTES):
                written_bytes += len(batch)
                yield batch

        await self._replace_file(LOG_FILE, encode())
        self._log_bytes = written_bytes
        self._record_sync(target, last_index)

    def _add_record(self, record: list[Any]) -> None:
        self._unwritten_records.append(record)
        self._appended_records += 1

    async def _flush(self) -> None:
        try:
            async with self._log_lock:
                await self._write_records()
        except StorageError:
            # Every caller that waits in `sync` raises the recorded failure.
            return
        finally:
            self._flush_task = None

    async def _write_records(self) -> None:
        records = self._unwritten_records
        self._unwritten_records = []
        target = self._appended_records
        last_index = self.log.last_index
        synced = self._log_bytes
        data = b"".join(pack_record(record, synced=synced) for record in records)

        def write() -> None:
            self._disk.append(LOG_FILE, data)
            self._disk.sync(LOG_FILE)

        await self._run_on_disk(write)
        self._log_bytes += len(data)
        self._record_sync(target, last_index)

    def _record_sync(self, target: int, last_index: int) -> None:
        """Record the first `target` records as durable.

        Entries that were truncated during the write do not count as synced.
        """
        self._durable_records = target
        truncations = [
            r[1] - 1 for r in self._unwritten_records if r[0] == _TRUNCATE_RECORD
        ]
        self.synced_index = min([last_index, *truncations])

    async def _replace_file(self, name: str, batches: Iterable[bytes]) -> None:
        temporary = name + TEMPORARY_SUFFIX

        def write() -> None:
            self._disk.create(temporary)
            for batch in batches:
                self._disk.append(temporary, batch)
            self._disk.sync(temporary)
            self._disk.rename(temporary, name)
            self._disk.sync_directory()

        await self._run_on_disk(write)

    async def _initialise(self, names: list[str]) -> None:
        """Create the log, then the state file, which marks the end of the creation."""
        if SNAPSHOT_FILE in names:
            raise DamagedStorageError(f"file {STATE_FILE} is missing")
        if LOG_FILE in names:
            records = await self._run_on_disk(
                lambda: sum(1 for _ in self._open_log().iterate())
            )
            if records > 1:
                raise DamagedStorageError(f"file {STATE_FILE} is missing")
        await self._rewrite_log()
        await self.save_state(HardState(0, None, uuid.uuid4().hex))

    async def _load(self, names: list[str]) -> Snapshot | None:
        if LOG_FILE not in names:
            raise DamagedStorageError(f"file {LOG_FILE} is missing")
        await self._run_on_disk(self._sync_files)
        state = await self._run_on_disk(lambda: self._disk.read(STATE_FILE))
        self.state = HardState(*read_single_record(state, STATE_FILE))
        snapshot = None
        if SNAPSHOT_FILE in names:
            snapshot = await self.read_snapshot()
            self.snapshot_index = snapshot.index
            self.snapshot_members = snapshot.members
        await self._load_log()
        await self._reconcile_log(snapshot)
        return snapshot

    def _sync_files(self) -> None:
        """Make durable what a killed process may have written or renamed only.

        The state and the snapshot were synced before they got their names.
        """
        self._disk.sync(LOG_FILE)
        self._disk.sync_directory()

    async def _load_log(self) -> None:
        file = await self._run_on_disk(self._replay_log)
        if file.valid_bytes < file.size:
            log.warning("log_tail_truncated", bytes=file.size - file.valid_bytes)
            await self._run_on_disk(lambda: self._truncate_file(file.valid_bytes))
        self._log_bytes = file.valid_bytes
        self.synced_index = self.log.last_index

    def _open_log(self) -> RecordFile:
        return RecordFile(
            lambda offset, size: self._disk.read(LOG_FILE, offset, size),
            self._disk.size(LOG_FILE),
            LOG_FILE,
        )

    def _replay_log(self) -> RecordFile:
        """Load the entries while the file is read, so that it isn't held as well."""
        file = self._open_log()
        records = file.iterate()
        base = next(records, None)
        if base is None or base[0] != _BASE_RECORD:
            raise DamagedStorageError(f"file {LOG_FILE} has no base record")
        self.log.reset(base[1], base[2])
        for record in records:
            self._replay(record)
        return file

    def _truncate_file(self, size: int) -> None:
        self._disk.truncate(LOG_FILE, size)
        self._disk.sync(LOG_FILE)

    def _replay(self, record: list[Any]) -> None:
        try:
            if record[0] == _ENTRY_RECORD:
                self.log.append(Entry(*record[1:]))
            else:
                self.log.truncate_from(record[1])
        except ValueError as error:
            raise DamagedStorageError(f"file {LOG_FILE} is damaged: {error}") from error

    async def _reconcile_log(self, snapshot: Snapshot | None) -> None:
        """Check that the log continues the snapshot, or reset an outdated log."""
        if self.log.base_index > self.snapshot_index:
            raise DamagedStorageError(
                f"snapshot must reach index {self.log.base_index}, "
                f"got {self.snapshot_index}"
            )
        if snapshot and self.log.term_at(snapshot.index) != snapshot.term:
            # The process ended after it had stored a received snapshot and before it
            # replaced the log.
            self.log.reset(snapshot.index, snapshot.term)
            await self._rewrite_log()

    async def _run_shielded(self, write: Coroutine[Any, Any, T]) -> T:
        """Run a write to its end even if the caller is cancelled."""
        task = asyncio.ensure_future(write)
        task.add_done_callback(_mark_error_retrieved)
        return await asyncio.shield(task)

    async def _run_on_disk(self, operation: Callable[[], T]) -> T:
        if self.failure is not None:
            raise StorageError(self.failure)
        try:
            return await self._disk.run(operation)
        except OSError as error:
            # After a failed fsync the kernel may have dropped the unwritten pages, so a
            # second fsync would succeed without them. No operation is ever retried.
            self.failure = f"data directory failed: {error}"
            self.on_failure(self.failure)
            raise StorageError(self.failure) from error


def _mark_error_retrieved(task: "asyncio.Future[Any]") -> None:
    """Retrieve the exception, so that asyncio does not log it; it was reported."""
    if not task.cancelled():
        task.exception()


def _unpack_snapshot(data: bytes) -> Snapshot:
    index, term, members, content = read_single_record(data, SNAPSHOT_FILE)
    return Snapshot(index, term, Members.unpack(members), content)
