"""Checksummed records in append-only files."""

import struct
import zlib
from collections.abc import Callable, Iterator
from typing import Any

import attrs
import msgpack

_MAGIC = b"\xd7W"
_LENGTHS = struct.Struct(">IQ")
_CHECKSUM = struct.Struct(">I")
_HEADER_BYTES = len(_MAGIC) + _LENGTHS.size + _CHECKSUM.size
# Part of a file that is held in memory while its records are read.
_WINDOW_BYTES = 1024 * 1024


class StorageError(Exception):
    """Raised when the data directory can no longer be used."""


class DamagedStorageError(StorageError):
    """Raised when the content of the data directory is damaged."""


@attrs.frozen
class _Record:
    content: Any
    synced: int
    end: int


class RecordFile:
    """The records of a file, read in parts that don't depend on its size.

    `read` returns the bytes at an offset, up to a number, and fewer only at the end of
    the file.
    """

    def __init__(self, read: Callable[[int, int], bytes], size: int, name: str) -> None:
        self.size = size
        # Length of the valid part, once `iterate` has ended.
        self.valid_bytes = 0
        self._read = read
        self._name = name
        self._window = b""
        self._window_offset = 0

    def iterate(self) -> Iterator[Any]:
        """Return the contents of the records in the valid part of the file.

        Raises DamagedStorageError if an invalid record had been synced, which is known
        from the `synced` length of another record. Damage in the last write cannot be
        told from a torn write and is treated as one.
        """
        offset = synced = 0
        while (record := self._read_record(offset)) is not None:
            yield record.content
            offset = record.end
            synced = max(synced, record.synced)
        if offset < synced:
            raise DamagedStorageError(
                f"file {self._name} is damaged at byte {offset}: "
                f"{synced} bytes had been synced"
            )
        self._check_torn_tail(offset)
        self.valid_bytes = offset

    def _get(self, offset: int, size: int) -> bytes:
        start = offset - self._window_offset
        if start < 0 or start + size > len(self._window):
            self._window = self._read(offset, max(size, _WINDOW_BYTES))
            self._window_offset, start = offset, 0
        return self._window[start : start + size]

    def _read_record(self, offset: int) -> _Record | None:
        head = self._get(offset, _HEADER_BYTES)
        size = _read_body_size(head)
        if size is None or offset + _HEADER_BYTES + size > self.size:
            return None
        return _read_record_at(self._get(offset, _HEADER_BYTES + size), offset)

    def _check_torn_tail(self, offset: int) -> None:
        """Raise if a later record proves that the invalid record had been synced."""
        position = self._find_magic(offset + 1)
        while position is not None:
            later = self._read_record(position)
            if later is not None and later.synced > offset:
                raise DamagedStorageError(
                    f"file {self._name} is damaged at byte {offset}: "
                    f"the record had been synced before the record at byte {position}"
                )
            position = self._find_magic(position + 1)

    def _find_magic(self, offset: int) -> int | None:
        while offset < self.size:
            part = self._get(offset, min(_WINDOW_BYTES, self.size - offset))
            found = part.find(_MAGIC)
            if found >= 0:
                return offset + found
            # The last byte may be the first one of the next magic number.
            offset += max(len(part) - 1, 1)
        return None


def pack_record(content: Any, *, synced: int = 0) -> bytes:
    """Encode a record; `synced` is the file length known to be durable before it."""
    body = msgpack.packb(content)
    lengths = _LENGTHS.pack(len(body), synced)
    checksum = zlib.crc32(body, zlib.crc32(lengths))
    return b"".join((_MAGIC, lengths, _CHECKSUM.pack(checksum), body))


def pack_batches(
    contents: Callable[[], Iterator[Any]], max_bytes: int
) -> Iterator[bytes]:
    """Encode the records of a file that is synced as a whole before its first use.

    `contents` is called twice. A batch exceeds `max_bytes` by at most one record.
    """
    size = sum(_HEADER_BYTES + len(msgpack.packb(content)) for content in contents())
    batch = bytearray()
    for content in contents():
        batch += pack_record(content, synced=size)
        if len(batch) >= max_bytes:
            yield bytes(batch)
            batch.clear()
    yield bytes(batch)


def read_single_record(data: bytes, name: str) -> Any:
    """Return the content of a file that holds one record."""
    record = _read_record_at(data, 0)
    if record is None or record.end != len(data):
        raise DamagedStorageError(f"file {name} is damaged: checksum does not match")
    return record.content


def _read_body_size(head: bytes) -> int | None:
    if len(head) < _HEADER_BYTES or not head.startswith(_MAGIC):
        return None
    size, _ = _LENGTHS.unpack_from(head, len(_MAGIC))
    return int(size)


def _read_record_at(data: bytes, offset: int) -> _Record | None:
    """Decode the record at the start of `data`, which stands at `offset` of a file."""
    size = _read_body_size(data[:_HEADER_BYTES])
    if size is None or _HEADER_BYTES + size > len(data):
        return None
    lengths = data[len(_MAGIC) : len(_MAGIC) + _LENGTHS.size]
    _, synced = _LENGTHS.unpack(lengths)
    (checksum,) = _CHECKSUM.unpack_from(data, len(_MAGIC) + _LENGTHS.size)
    body = memoryview(data)[_HEADER_BYTES : _HEADER_BYTES + size]
    if zlib.crc32(body, zlib.crc32(lengths)) != checksum:
        return None
    content = msgpack.unpackb(body, strict_map_key=False)
    return _Record(content, synced, offset + _HEADER_BYTES + size)
