"""Blocking file operations in a data directory, behind a replaceable interface."""

import asyncio
import fcntl
import os
import pathlib
from collections.abc import Callable
from typing import BinaryIO, Protocol, TypeVar

T = TypeVar("T")

LOCK_FILE = "lock"


class Disk(Protocol):
    """Access the files of one data directory; every operation may raise OSError."""

    async def run(self, operation: Callable[[], T]) -> T:
        """Run a blocking operation without blocking the event loop."""

    def lock(self) -> None:
        """Lock the directory; raise BlockingIOError if it is locked already."""

    def close(self) -> None:
        """Release the lock."""

    def names(self) -> list[str]:
        """Return the names of all files."""

    def size(self, name: str) -> int:
        """Return the size of a file in bytes."""

    def read(self, name: str, offset: int = 0, size: int = -1) -> bytes:
        """Return up to `size` bytes of a file from `offset` on; -1 means all."""

    def create(self, name: str) -> None:
        """Create an empty file, or empty an existing one."""

    def append(self, name: str, data: bytes) -> None:
        """Append data to a file."""

    def truncate(self, name: str, size: int) -> None:
        """Shorten a file to `size` bytes."""

    def sync(self, name: str) -> None:
        """Make the content of a file durable (fsync)."""

    def rename(self, source: str, target: str) -> None:
        """Rename `source` to `target`, which is replaced if it exists."""

    def sync_directory(self) -> None:
        """Make file creations and renames durable (fsync of the directory)."""


class FileDisk:
    """Implement `Disk` for a directory of the file system."""

    def __init__(self, directory: str | os.PathLike[str]) -> None:
        self._directory = pathlib.Path(directory)
        self._directory.mkdir(parents=True, exist_ok=True)
        self._lock_file: BinaryIO | None = None

    async def run(self, operation: Callable[[], T]) -> T:
        """Run a blocking operation in a thread."""
        return await asyncio.to_thread(operation)

    def lock(self) -> None:
        """Lock the directory; raise BlockingIOError if it is locked already."""
        file = open(self._directory / LOCK_FILE, "ab")
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            file.close()
            raise
        self._lock_file = file

    def close(self) -> None:
        """Release the lock."""
        if self._lock_file is not None:
            self._lock_file.close()
            self._lock_file = None

    def names(self) -> list[str]:
        """Return the names of all files."""
        return sorted(path.name for path in self._directory.iterdir())

    def size(self, name: str) -> int:
        """Return the size of a file in bytes."""
        return (self._directory / name).stat().st_size

    def read(self, name: str, offset: int = 0, size: int = -1) -> bytes:
        """Return up to `size` bytes of a file from `offset` on; -1 means all."""
        with open(self._directory / name, "rb") as file:
            file.seek(offset)
            return file.read(size)

    def create(self, name: str) -> None:
        """Create an empty file, or empty an existing one."""
        (self._directory / name).write_bytes(b"")

    def append(self, name: str, data: bytes) -> None:
        """Append data to a file."""
        with open(self._directory / name, "ab", buffering=0) as file:
            view = memoryview(data)
            while view:
                view = view[file.write(view) :]

    def truncate(self, name: str, size: int) -> None:
        """Shorten a file to `size` bytes."""
        os.truncate(self._directory / name, size)

    def sync(self, name: str) -> None:
        """Make the content of a file durable (fsync)."""
        _sync_path(self._directory / name, os.O_RDWR)

    def rename(self, source: str, target: str) -> None:
        """Rename `source` to `target`, which is replaced if it exists."""
        os.replace(self._directory / source, self._directory / target)

    def sync_directory(self) -> None:
        """Make file creations and renames durable (fsync of the directory)."""
        _sync_path(self._directory, os.O_RDONLY)


def _sync_path(path: pathlib.Path, flags: int) -> None:
    descriptor = os.open(path, flags)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
