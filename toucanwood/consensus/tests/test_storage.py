"""Tests of the data directory: crashes, damage and failed operations."""

import asyncio
import errno
import tempfile
import tracemalloc

import attrs

from toucanwood.consensus import DamagedStorageError, FileDisk, Storage, StorageError
from toucanwood.consensus._log import Entry
from toucanwood.consensus._members import Member, MemberRole, Members
from toucanwood.consensus._storage import HardState, Snapshot
from toucanwood.consensus.testing import DISK_STEPS, DiskCrashError, FakeDisk
from toucanwood.consensus.tests.fixtures import in_virtual_time

MEMBERS = Members({"a": Member("x", MemberRole.VOTER)})


def build_entry(index, term=1):
    return Entry(index, term, 0, b"command %d" % index)


async def open_storage(disk):
    storage = Storage(disk)
    snapshot = await storage.open()
    return storage, snapshot


async def append_synced(storage, first, last, term=1):
    for index in range(first, last + 1):
        storage.append(build_entry(index, term))
    await storage.sync()


async def expect_error(main, error_type, text=""):
    try:
        await main
    except error_type as error:
        assert text in str(error), error
    else:
        raise AssertionError(f"{error_type.__name__} was not raised")


async def expect_damage(disk, text):
    await expect_error(open_storage(disk), DamagedStorageError, text)


def test_content_survives_a_restart_on_the_file_system():
    # Guards against a file format that cannot be read back, and against two processes
    # that use the same directory.
    async def main(directory):
        storage, _ = await open_storage(FileDisk(directory))
        await storage.save_state(HardState(3, "b", storage.state.incarnation))
        await append_synced(storage, 1, 10)
        storage.truncate_from(8)
        await append_synced(storage, 8, 9, term=2)
        await storage.save_snapshot(Snapshot(5, 1, MEMBERS, b"five"), keep_entries=2)
        second = open_storage(FileDisk(directory))
        await expect_error(second, StorageError, "data directory failed")
        await storage.close()
        reopened, snapshot = await open_storage(FileDisk(directory))
        assert reopened.state == storage.state
        assert snapshot == Snapshot(5, 1, MEMBERS, b"five")
        assert reopened.log.base_index == 3
        assert reopened.log.entries == storage.log.entries
        assert reopened.synced_index == 9

    with tempfile.TemporaryDirectory() as directory:
        asyncio.run(main(directory))


@in_virtual_time
async def test_torn_tail_is_truncated_at_every_length():
    # Guards against a refused start or the loss of a synced entry after a torn write.
    disk = FakeDisk(1)
    storage, _ = await open_storage(disk)
    await append_synced(storage, 1, 2)
    synced = len(disk.read("log"))
    await append_synced(storage, 3, 3)
    whole = disk.read("log")
    for size in range(synced, len(whole)):
        disk.shorten("log", size)
        reopened, _ = await open_storage(disk)
        assert reopened.log.last_index == 2
        assert len(disk.read("log")) == synced
        await append_synced(reopened, 3, 3)
        assert disk.read("log") == whole


@in_virtual_time
async def test_a_failed_truncation_of_a_torn_tail_refuses_to_start():
    # Guards against a start with a log whose torn tail was not removed.
    for step in ("truncate", "sync"):
        for error in (DiskCrashError, lambda: OSError(errno.EIO, "failed")):
            disk = FakeDisk(1)
            storage, _ = await open_storage(disk)
            await append_synced(storage, 1, 3)
            disk.shorten("log", len(disk.read("log")) - 1)
            disk.fail_at(step, error())
            await expect_error(open_storage(disk), StorageError)
            reopened, _ = await open_storage(disk.restart())
            assert reopened.log.last_index == 2


@in_virtual_time
async def test_damage_before_the_last_sync_refuses_to_start():
    # Guards against the silent loss of entries because of one changed byte.
    disk = FakeDisk(1)
    storage, _ = await open_storage(disk)
    await append_synced(storage, 1, 3)
    synced = len(disk.read("log"))
    await append_synced(storage, 4, 4)
    for offset in range(synced):
        disk.corrupt("log", offset)
        await expect_damage(disk, "file log")
        disk.corrupt("log", offset)


@in_virtual_time
async def test_damage_in_a_log_that_was_just_rewritten_refuses_to_start():
    # Guards against damage in a log that was rewritten after a snapshot and that is
    # mistaken for a torn tail.
    disk = FakeDisk(1)
    storage, _ = await open_storage(disk)
    await append_synced(storage, 1, 5)
    await storage.save_snapshot(Snapshot(2, 1, MEMBERS, b"two"), keep_entries=0)
    size = len(disk.read("log"))
    for offset in range(size):
        disk.corrupt("log", offset)
        await expect_damage(disk, "file log is damaged")
        disk.corrupt("log", offset)
    disk.shorten("log", size - 1)
    await expect_damage(disk, "file log is damaged")


@in_virtual_time
async def test_damaged_or_missing_files_refuse_to_start():
    # Guards against a replica that votes twice in a term because its state was reset.
    for name in ("state", "snapshot"):
        disk = await build_used_disk()
        for offset in range(len(disk.read(name))):
            disk.corrupt(name, offset)
            await expect_damage(disk, f"file {name} is damaged")
            disk.corrupt(name, offset)
    for name, text in (
        ("state", "file state is missing"),
        ("log", "file log is missing"),
        ("snapshot", "snapshot must reach index 4"),
    ):
        disk = await build_used_disk()
        disk.remove(name)
        await expect_damage(disk, text)


async def build_used_disk():
    disk = FakeDisk(1)
    storage, _ = await open_storage(disk)
    await append_synced(storage, 1, 5)
    await storage.save_snapshot(Snapshot(4, 1, MEMBERS, b"four"), keep_entries=0)
    await append_synced(storage, 6, 6)
    return disk


@attrs.define
class ConfirmedContent:
    """The content that the storage has confirmed as durable."""

    state: HardState | None = None
    attempted_state: HardState | None = None
    last_index: int = 0
    snapshot_index: int = 0


async def run_all_operations(disk, durable):
    """Run every operation of the storage and record the content it confirms."""
    storage, _ = await open_storage(disk)
    durable.state = storage.state
    for term in range(1, 5):
        state = HardState(term, "a", storage.state.incarnation)
        durable.attempted_state = state
        await storage.save_state(state)
        durable.state = state
        first = storage.log.last_index + 1
        await append_synced(storage, first, first + 3, term)
        durable.last_index = storage.log.last_index
        index = storage.log.last_index - 1
        await storage.save_snapshot(
            Snapshot(index, term, MEMBERS, b"s"), keep_entries=2
        )
        durable.snapshot_index = index
        last = storage.log.last_index
        durable.last_index = last - 1
        storage.truncate_from(last)
        await append_synced(storage, last, last, term + 1)
        durable.last_index = last


async def check_durable(disk, durable):
    storage, snapshot = await open_storage(disk)
    if durable.state is not None:
        assert storage.state in (durable.state, durable.attempted_state)
    assert storage.log.last_index >= durable.last_index
    assert (snapshot.index if snapshot else 0) >= durable.snapshot_index
    for entry in storage.log.entries:
        assert entry.data == b"command %d" % entry.index


@in_virtual_time
async def test_a_crash_at_every_disk_step_keeps_what_was_confirmed():
    # Guards against an order of disk steps that loses confirmed content, and against a
    # storage that continues after a failed write or fsync.
    clean = FakeDisk(1)
    await run_all_operations(clean, ConfirmedContent())
    assert set(clean.steps) >= set(DISK_STEPS) - {"truncate"}
    errors = (DiskCrashError, lambda: OSError(errno.ENOSPC, "disk full"))
    for position in range(1, len(clean.steps) + 1):
        for error in errors:
            for seed in range(4):
                await check_after_failure(seed, position, error())


async def check_after_failure(seed, position, error):
    disk = FakeDisk(seed)
    disk.fail_at("any", error, countdown=position)
    durable = ConfirmedContent()
    await expect_error(run_all_operations(disk, durable), StorageError)
    await check_durable(disk.restart(), durable)


@in_virtual_time
async def test_content_read_after_a_kill_survives_a_loss_of_power():
    # Guards against entries, votes and snapshots that a killed process had written and
    # not synced, and that count as synced after its restart.
    clean = FakeDisk(1)
    await run_all_operations(clean, ConfirmedContent())
    for position in range(1, len(clean.steps) + 1):
        for seed in range(4):
            disk = FakeDisk(seed)
            disk.fail_at("any", DiskCrashError(), countdown=position)
            await expect_error(
                run_all_operations(disk, ConfirmedContent()), StorageError
            )
            disk = disk.kill()
            storage, snapshot = await open_storage(disk)
            confirmed = ConfirmedContent(
                storage.state,
                storage.state,
                storage.synced_index,
                snapshot.index if snapshot else 0,
            )
            await check_durable(disk.restart(), confirmed)


@in_virtual_time
async def test_no_operation_succeeds_after_a_failed_fsync():
    # Guards against a retried fsync that succeeds although pages were dropped.
    disk = FakeDisk(1)
    storage, _ = await open_storage(disk)
    reasons = []
    storage.on_failure = reasons.append
    disk.fail_at("sync", OSError(errno.EIO, "input/output error"))
    for _ in range(3):
        operation = append_synced(storage, storage.log.last_index + 1, 3)
        await expect_error(operation, StorageError, "input/output error")
    assert len(reasons) == 1
    assert storage.synced_index == 0


@in_virtual_time
async def test_waiting_callers_share_one_fsync():
    # Guards against a separate fsync for each proposal.
    disk = FakeDisk(1)
    storage, _ = await open_storage(disk)
    before = disk.steps.count("sync")
    waiters = []
    for index in range(1, 101):
        storage.append(build_entry(index))
        waiters.append(asyncio.create_task(storage.sync()))
    await asyncio.gather(*waiters)
    assert storage.synced_index == 100
    assert disk.steps.count("sync") - before <= 2


@in_virtual_time
async def test_entries_truncated_during_a_sync_do_not_count_as_synced():
    # Guards against a leader that counts an entry which was replaced during the sync.
    disk = FakeDisk(1)
    storage, _ = await open_storage(disk)
    sync = asyncio.create_task(append_synced(storage, 1, 5))
    await asyncio.sleep(0.0001)
    storage.truncate_from(3)
    storage.append(build_entry(3, term=2))
    await sync
    assert storage.synced_index == 2
    await storage.sync()
    assert storage.synced_index == 3


MIB = 1024 * 1024


def test_start_and_rewrite_of_a_large_log_need_no_second_copy_of_it():
    # Guards against a controller that runs within its memory limit and exceeds it at
    # each start, because it holds the log file beside its entries.
    async def main(directory):
        storage, _ = await open_storage(FileDisk(directory))
        for index in range(1, 41):
            storage.append(Entry(index, 1, 0, bytes([index]) * MIB))
            await storage.sync()
        await storage.close()
        del storage
        tracemalloc.start()
        reopened, _ = await open_storage(FileDisk(directory))
        assert reopened.log.last_index == 40
        assert tracemalloc.get_traced_memory()[1] < 48 * MIB
        tracemalloc.reset_peak()
        snapshot = Snapshot(20, 1, MEMBERS, b"state")
        await reopened.save_snapshot(snapshot, keep_entries=20)
        assert tracemalloc.get_traced_memory()[1] < 48 * MIB
        await reopened.close()

    with tempfile.TemporaryDirectory() as directory:
        try:
            asyncio.run(main(directory))
        finally:
            tracemalloc.stop()


@in_virtual_time
async def test_torn_tail_longer_than_one_read_is_truncated():
    # Guards against a search for later records that ends where a read ends.
    for padding in (MIB - 1, MIB, MIB + 1, 3 * MIB):
        disk = FakeDisk(1)
        storage, _ = await open_storage(disk)
        await append_synced(storage, 1, 2)
        size = disk.size("log")
        disk.append("log", b"\xd7" * padding + b"W" + b"x" * 40)
        reopened, _ = await open_storage(disk)
        assert reopened.log.last_index == 2
        assert disk.size("log") == size
        await append_synced(reopened, 3, 3)
        await append_synced(reopened, 4, 4)
        whole = disk.read("log")
        disk.truncate("log", size)
        disk.append("log", b"\xd7" * padding + whole[size:])
        await expect_damage(disk, f"file log is damaged at byte {size}")
