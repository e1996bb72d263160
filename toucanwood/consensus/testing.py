"""Disks with seeded faults and groups of replicas, for tests and benchmarks."""

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
    """Report an operation on a disk whose process has crashed."""


@attrs.define(eq=False)
class _File:
    content: bytes = b""
    durable: bytes = b""


@attrs.define
class _Trigger:
    step: str
    countdown: int
    error: OSError


class FakeDisk:
    """Keep files in memory; a crash loses what has not been synced.

    An operation takes up to `max_delay` seconds of the event loop's time.
    """

    def __init__(self, seed: int, *, max_delay: float = 0.002) -> None:
        self.steps: list[str] = []
        self.max_delay = max_delay
        self.is_crashed = False
        self.on_crash: Callable[[], None] = lambda: None
        self._random = random.Random(seed)
        self._names: dict[str, _File] = {}
        self._durable_names: dict[str, _File] = {}
        self._trigger: _Trigger | None = None

    async def run(self, operation: Callable[[], T]) -> T:
        """Run an operation at once, between two delays."""
        await asyncio.sleep(self._random.uniform(0, self.max_delay / 2))
        result = operation()
        await asyncio.sleep(self._random.uniform(0, self.max_delay / 2))
        return result

    def fail_at(self, step: str, error: OSError, *, countdown: int = 1) -> None:
        """Make the n-th next step of one kind fail; DiskCrashError also crashes."""
        self._trigger = _Trigger(step, countdown, error)

    def crash(self) -> None:
        """Refuse every later operation; `restart` gives the disk of a new process."""
        self.is_crashed = True

    def restart(self) -> "FakeDisk":
        """Return a disk with what was synced and a random part of the rest."""
        self.crash()
        keeps_names = self._random.random() < 0.5
        names = self._names if keeps_names else self._durable_names
        disk = self.replace()
        disk._names = {name: _File(*[self._tear(f)] * 2) for name, f in names.items()}
        disk._durable_names = dict(disk._names)
        return disk

    def replace(self) -> "FakeDisk":
        """Return an empty disk in place of this one."""
        self.crash()
        return FakeDisk(self._random.getrandbits(32), max_delay=self.max_delay)

    def corrupt(self, name: str, offset: int) -> None:
        """Flip one byte of a file."""
        file = self._names[name]
        content = bytearray(file.content)
        content[offset] ^= 0xFF
        file.content = file.durable = bytes(content)

    def cut(self, name: str, size: int) -> None:
        """Shorten a file as a torn write does."""
        file = self._names[name]
        file.content = file.durable = file.content[:size]

    def remove(self, name: str) -> None:
        """Remove a file."""
        del self._names[name]

    def lock(self) -> None:
        """Do nothing; a crashed process gives up its lock."""

    def close(self) -> None:
        """Do nothing; no file is open."""

    def names(self) -> list[str]:
        """Return the names of all files."""
        self._check()
        return sorted(self._names)

    def read(self, name: str) -> bytes:
        """Return the content of a file."""
        self._check()
        return self._names[name].content

    def create(self, name: str) -> None:
        """Create an empty file; an existing one is emptied."""
        self._enter("create")
        self._names[name] = _File()

    def append(self, name: str, data: bytes) -> None:
        """Write at the end of a file; a failure may leave a part."""
        file = self._names[name]
        part = data[: self._random.randrange(len(data) + 1)]
        try:
            self._enter("append")
        except OSError:
            file.content += part
            raise
        file.content += data

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to `size` bytes."""
        self._enter("truncate")
        file = self._names[name]
        file.content = file.content[:size]

    def sync(self, name: str) -> None:
        """Make the content of a file durable; after a failure it never will be."""
        file = self._names[name]
        try:
            self._enter("sync")
        except OSError:
            file.content = self._tear(file)
            file.durable = file.content
            raise
        file.durable = file.content

    def rename(self, source: str, target: str) -> None:
        """Replace `target` by `source`."""
        self._enter("rename")
        self._names[target] = self._names.pop(source)

    def sync_directory(self) -> None:
        """Make created and renamed files durable."""
        self._enter("sync_directory")
        self._durable_names = dict(self._names)

    def _tear(self, file: _File) -> bytes:
        """Return the durable content with a random part of what followed."""
        if not file.content.startswith(file.durable):
            return self._random.choice([file.content, file.durable])
        tail = len(file.content) - len(file.durable)
        size = len(file.durable) + self._random.randint(0, tail)
        return file.content[:size]

    def _check(self) -> None:
        if self.is_crashed:
            raise DiskCrashError(errno.EIO, "the process has crashed")

    def _enter(self, step: str) -> None:
        self._check()
        self.steps.append(step)
        trigger = self._trigger
        if trigger is None or trigger.step not in (step, "any"):
            return
        trigger.countdown -= 1
        if trigger.countdown > 0:
            return
        self._trigger = None
        if isinstance(trigger.error, DiskCrashError):
            self.crash()
            self.on_crash()
        raise trigger.error


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
        self._starts = 0

    async def start(self, *ids: str) -> None:
        """Start some replicas, or all."""
        for replica_id in ids or self.ids:
            await self._start_one(replica_id)

    async def crash(self, replica_id: str) -> None:
        """Stop a process without any warning."""
        self.network.stop(replica_id)
        self.disks[replica_id].crash()
        replica = self.replicas.pop(replica_id, None)
        if replica is not None:
            replica._core.close("crashed")
            await replica._core.tasks.stop()

    async def restart(self, replica_id: str, *, lose_disk: bool = False) -> None:
        """Crash a process and start it on its disk, or on an empty one."""
        await self.crash(replica_id)
        disk = self.disks[replica_id]
        self.disks[replica_id] = disk.replace() if lose_disk else disk.restart()
        await self._start_one(replica_id)

    def leaders(self) -> list[str]:
        """Return the replicas that hold a leader lease."""
        return [key for key, replica in self.replicas.items() if replica.is_leader()]

    async def _start_one(self, replica_id: str) -> None:
        self._starts += 1
        self.state_machines[replica_id] = self._build_state_machine()
        replica = Replica(
            transport=self.network.create_transport(replica_id),
            storage=Storage(self.disks[replica_id]),
            state_machine=self.state_machines[replica_id],
            voters=self.voters,
            seed=self.seed * 1000 + self._starts,
            **self.options,
        )
        self.replicas[replica_id] = replica
        await replica.start()
