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
    """Report that the data directory can no longer be used, and why."""


class DamagedStorageError(StorageError):
    """Report a data directory whose content is damaged."""


@attrs.frozen
class _Record:
    content: Any
    synced: int
    end: int


def pack_record(content: Any, *, synced: int = 0) -> bytes:
    """Encode one record; `synced` is the length of the file known to be durable."""
    body = msgpack.packb(content)
    lengths = _LENGTHS.pack(len(body), synced)
    checksum = zlib.crc32(body, zlib.crc32(lengths))
    return b"".join((_MAGIC, lengths, _CHECKSUM.pack(checksum), body))


def read_records(data: bytes, name: str) -> tuple[list[Any], int]:
    """Return the records and the length up to a torn tail.

    Raises DamagedStorageError for a bad record in a part that had been synced, as far
    as another record proves it. Damage in the last write looks like a torn tail.
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
    """Encode the records of a file that is synced as a whole before it is used."""
    size = sum(len(pack_record(content)) for content in contents)
    return b"".join(pack_record(content, synced=size) for content in contents)


def read_single_record(data: bytes, name: str) -> Any:
    """Return the only record of a file that is always written as a whole."""
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
    """Raise if a later record proves that the bad one had been synced."""
    position = data.find(_MAGIC, offset + 1)
    while position >= 0:
        later = _read_record_at(data, position)
        if later is not None and later.synced > offset:
            raise DamagedStorageError(
                f"file {name} is damaged at byte {offset}: "
                f"the record had been synced before the one at byte {position}"
            )
        position = data.find(_MAGIC, position + 1)
