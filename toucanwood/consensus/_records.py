"""Checksummed records in append-only files."""

import struct
import zlib
from typing import Any

import attrs
import msgpack

_MAGIC = b"\xd7W"
_LENGTHS = struct.Struct(">IQ")
_CHECKSUM = struct.Struct(">I")
_HEADER_BYTES = len(_MAGIC) + _LENGTHS.size + _CHECKSUM.size


class StorageError(Exception):
    """Raised when the data directory can no longer be used."""


class DamagedStorageError(StorageError):
    """Raised when the content of the data directory is damaged."""


@attrs.frozen
class _Record:
    content: Any
    synced: int
    end: int


def pack_record(content: Any, *, synced: int = 0) -> bytes:
    """Encode a record; `synced` is the file length known to be durable before it."""
    body = msgpack.packb(content)
    lengths = _LENGTHS.pack(len(body), synced)
    checksum = zlib.crc32(body, zlib.crc32(lengths))
    return b"".join((_MAGIC, lengths, _CHECKSUM.pack(checksum), body))


def read_records(data: bytes, name: str) -> tuple[list[Any], int]:
    """Return the records of a file and the length of its valid part.

    Raises DamagedStorageError if an invalid record had been synced, which is known from
    the `synced` length of another record. Damage in the last write cannot be told from
    a torn write and is treated as one.
    """
    records = []
    offset = synced = 0
    while (record := _read_record_at(data, offset)) is not None:
        records.append(record.content)
        offset = record.end
        synced = max(synced, record.synced)
    if offset < synced:
        raise DamagedStorageError(
            f"file {name} is damaged at byte {offset}: {synced} bytes had been synced"
        )
    _check_torn_tail(data, offset, name)
    return records, offset


def pack_records(contents: list[Any]) -> bytes:
    """Encode the records of a file that is synced as a whole before its first use."""
    size = sum(len(pack_record(content)) for content in contents)
    return b"".join(pack_record(content, synced=size) for content in contents)


def read_single_record(data: bytes, name: str) -> Any:
    """Return the content of a file that holds one record."""
    record = _read_record_at(data, 0)
    if record is None or record.end != len(data):
        raise DamagedStorageError(f"file {name} is damaged: checksum does not match")
    return record.content


def _read_record_at(data: bytes, offset: int) -> _Record | None:
    start = offset + _HEADER_BYTES
    if start > len(data) or data[offset : offset + len(_MAGIC)] != _MAGIC:
        return None
    lengths = data[offset + len(_MAGIC) : start - _CHECKSUM.size]
    size, synced = _LENGTHS.unpack(lengths)
    if start + size > len(data):
        return None
    body = data[start : start + size]
    (checksum,) = _CHECKSUM.unpack(data[start - _CHECKSUM.size : start])
    if zlib.crc32(body, zlib.crc32(lengths)) != checksum:
        return None
    return _Record(msgpack.unpackb(body, strict_map_key=False), synced, start + size)


def _check_torn_tail(data: bytes, offset: int, name: str) -> None:
    """Raise if a later record proves that the invalid record had been synced."""
    position = data.find(_MAGIC, offset + 1)
    while position >= 0:
        later = _read_record_at(data, position)
        if later is not None and later.synced > offset:
            raise DamagedStorageError(
                f"file {name} is damaged at byte {offset}: "
                f"the record had been synced before the record at byte {position}"
            )
        position = data.find(_MAGIC, position + 1)
