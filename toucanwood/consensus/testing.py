"""Fake disks with seeded faults and groups of replicas, for tests and benchmarks."""

import asyncio
import errno
import random
from collections.abc import Callable, Iterable
from typing import Any, TypeVar

import attrs

from toucanwood.consensus._core import StateMachine
from toucanwood.consensus._replica import Replica
from toucanwood.consensus._storage import Storage
from toucanwood.peering.testing import FakeNetwork

T = TypeVar("T")

DISK_STEPS = ("create", "append", "truncate", "sync", "rename", "sync_directory")


class DiskCrashError(OSError):
    """Raised by an operation on a disk whose process has crashed."""


@attrs.define(eq=False)
class _File:
    content: bytes = b""
    durable: bytes = b""


@attrs.define
class _InjectedFault:
    step: str
    countdown: int
    error: OSError


class FakeDisk:
    """Keep files in memory; a crash may lose content that has not been synced.

    An operation takes up to `max_delay` seconds of the event loop's time.
    """

    def __init__(self, seed: int, *, max_delay: float = 0.002) -> None:
        self.steps: list[str] = []
        self.max_delay = max_delay
        self.is_crashed = False
        # A full disk refuses to create files and to append to them.
        self.is_full = False
        self.on_crash: Callable[[], None] = lambda: None
        # Called before each step with its name.
        self.on_step: Callable[[str], None] = lambda step: None
        self._random = random.Random(seed)
        self._files: dict[str, _File] = {}
        self._durable_files: dict[str, _File] = {}
        self._fault: _InjectedFault | None = None

    async def run(self, operation: Callable[[], T]) -> T:
        """Run an operation between two random delays, without a thread."""
        await asyncio.sleep(self._random.uniform(0, self.max_delay / 2))
        result = operation()
        await asyncio.sleep(self._random.uniform(0, self.max_delay / 2))
        return result

    def fail_at(self, step: str, error: OSError, *, countdown: int = 1) -> None:
        """Raise `error` at the `countdown`-th next step named `step`.

        The step "any" matches every step. DiskCrashError also crashes the disk.
        """
        self._fault = _InjectedFault(step, countdown, error)

    def crash(self) -> None:
        """Refuse every later operation; `restart` returns a disk that works again."""
        self.is_crashed = True

    def restart(self) -> "FakeDisk":
        """Return a disk with the synced content and a random part of the rest."""
        self.crash()
        keeps_renames = self._random.random() < 0.5
        files = self._files if keeps_renames else self._durable_files
        disk = self.replace()
        disk._files = {
            name: _File(*[self._tear_content(f)] * 2) for name, f in files.items()
        }
        disk._durable_files = dict(disk._files)
        return disk

    def kill(self) -> "FakeDisk":
        """Return a disk with all written content, also what has not been synced."""
        self.crash()
        disk = self.replace()
        disk._files = self._files
        disk._durable_files = self._durable_files
        return disk

    def replace(self) -> "FakeDisk":
        """Return an empty disk in place of this one."""
        self.crash()
        return FakeDisk(self._random.getrandbits(32), max_delay=self.max_delay)

    def corrupt(self, name: str, offset: int) -> None:
        """Invert one byte of a file."""
        file = self._files[name]
        content = bytearray(file.content)
        content[offset] ^= 0xFF
        file.content = file.durable = bytes(content)

    def shorten(self, name: str, size: int) -> None:
        """Shorten a file to `size` bytes, as a torn write does."""
        file = self._files[name]
        file.content = file.durable = file.content[:size]

    def remove(self, name: str) -> None:
        """Remove a file."""
        del self._files[name]

    def lock(self) -> None:
        """Do nothing; a crashed process releases its lock."""

    def close(self) -> None:
        """Do nothing; there is no open file."""

    def names(self) -> list[str]:
        """Return the names of all files."""
        self._check_not_crashed()
        return sorted(self._files)

    def size(self, name: str) -> int:
        """Return the size of a file in bytes."""
        self._check_not_crashed()
        return len(self._files[name].content)

    def read(self, name: str, offset: int = 0, size: int = -1) -> bytes:
        """Return up to `size` bytes of a file from `offset` on; -1 means all."""
        self._check_not_crashed()
        end = None if size < 0 else offset + size
        return self._files[name].content[offset:end]

    def create(self, name: str) -> None:
        """Create an empty file, or empty an existing one."""
        self._begin_step("create")
        self._files[name] = _File()

    def append(self, name: str, data: bytes) -> None:
        """Append data to a file; a failed append may write a part of the data."""
        file = self._files[name]
        written = data[: self._random.randrange(len(data) + 1)]
        try:
            self._begin_step("append")
        except OSError:
            file.content += written
            raise
        file.content += data

    def truncate(self, name: str, size: int) -> None:
        """Shorten a file to `size` bytes."""
        self._begin_step("truncate")
        file = self._files[name]
        file.content = file.content[:size]

    def sync(self, name: str) -> None:
        """Make the content of a file durable.

        After a failure a random part of the content that was not durable is lost.
        """
        file = self._files[name]
        try:
            self._begin_step("sync")
        except OSError:
            file.content = self._tear_content(file)
            file.durable = file.content
            raise
        file.durable = file.content

    def rename(self, source: str, target: str) -> None:
        """Rename `source` to `target`, which is replaced if it exists."""
        self._begin_step("rename")
        self._files[target] = self._files.pop(source)

    def sync_directory(self) -> None:
        """Make file creations and renames durable."""
        self._begin_step("sync_directory")
        self._durable_files = dict(self._files)

    def _tear_content(self, file: _File) -> bytes:
        """Return the durable content with a random part of the content after it."""
        if not file.content.startswith(file.durable):
            return self._random.choice([file.content, file.durable])
        tail = len(file.content) - len(file.durable)
        size = len(file.durable) + self._random.randint(0, tail)
        return file.content[:size]

    def _check_not_crashed(self) -> None:
        if self.is_crashed:
            raise DiskCrashError(errno.EIO, "the process has crashed")

    def _begin_step(self, step: str) -> None:
        self._check_not_crashed()
        self.steps.append(step)
        self.on_step(step)
        if self.is_full and step in ("create", "append"):
            raise OSError(errno.ENOSPC, "the disk is full")
        fault = self._fault
        if fault is None or fault.step not in (step, "any"):
            return
        fault.countdown -= 1
        if fault.countdown > 0:
            return
        self._fault = None
        if isinstance(fault.error, DiskCrashError):
            self.crash()
            self.on_crash()
        raise fault.error


class ReplicaGroup:
    """Run replicas in one process on a fake network and fake disks.

    `build_state_machine` is called for each new process; `options` go to each replica.
    """

    def __init__(
        self,
        ids: Iterable[str],
        *,
        build_state_machine: Callable[[], StateMachine],
        voters: Iterable[str] | None = None,
        seed: int = 1,
        **options: Any,
    ) -> None:
        self.ids = list(ids)
        self.voters = list(voters or self.ids)
        self.seed = seed
        self.options = options
        self.network = FakeNetwork(seed)
        self.disks = {key: FakeDisk(seed * 100 + n) for n, key in enumerate(self.ids)}
        self.state_machines: dict[str, Any] = {}
        self.replicas: dict[str, Replica] = {}
        self._build_state_machine = build_state_machine
        self._start_count = 0

    async def start(self, *ids: str) -> None:
        """Start the replicas with these ids, or all replicas if there are none."""
        for replica_id in ids or self.ids:
            await self._start_one(replica_id)

    async def crash(self, replica_id: str) -> None:
        """Stop a replica at once, without a leadership transfer or a last write."""
        self.network.stop(replica_id)
        self.disks[replica_id].crash()
        replica = self.replicas.pop(replica_id, None)
        if replica is not None:
            replica._core.close("crashed")
            await replica._core.tasks.stop()

    async def restart(self, replica_id: str, *, lose_disk: bool = False) -> None:
        """Crash a replica and start it again on its disk or on an empty disk."""
        await self.crash(replica_id)
        disk = self.disks[replica_id]
        self.disks[replica_id] = disk.replace() if lose_disk else disk.restart()
        await self._start_one(replica_id)

    def leaders(self) -> list[str]:
        """Return the replicas that hold a leader lease."""
        return [key for key, replica in self.replicas.items() if replica.is_leader()]

    async def _start_one(self, replica_id: str) -> None:
        self._start_count += 1
        self.state_machines[replica_id] = self._build_state_machine()
        replica = Replica(
            transport=self.network.create_transport(replica_id),
            storage=Storage(self.disks[replica_id]),
            state_machine=self.state_machines[replica_id],
            voters=self.voters,
            seed=self.seed * 1000 + self._start_count,
            **self.options,
        )
        self.replicas[replica_id] = replica
        await replica.start()
