"""Length-prefixed msgpack frames and the connection handshake."""

import asyncio
import hashlib
import hmac
import secrets
import struct
from typing import Any

import msgpack

FORMAT_VERSION = 1
MAX_FRAME_BYTES = 16 * 1024 * 1024
MAX_HANDSHAKE_BYTES = 4096
HANDSHAKE_TIMEOUT_S = 2.0

_LENGTH = struct.Struct(">I")


class HandshakeError(Exception):
    """Report a wrong peer id, or a peer that does not know the cluster secret."""


def pack_frame(content: Any) -> bytes:
    """Encode one frame."""
    body = msgpack.packb(content)
    return _LENGTH.pack(len(body)) + body


async def read_frame(
    reader: asyncio.StreamReader, *, limit: int = MAX_FRAME_BYTES
) -> Any:
    """Read one frame; raise ValueError if it is longer than `limit` bytes."""
    content, _size = await read_sized_frame(reader, limit=limit)
    return content


async def read_sized_frame(
    reader: asyncio.StreamReader,
    *,
    limit: int = MAX_FRAME_BYTES,
    silence_timeout_s: float | None = None,
) -> tuple[Any, int]:
    """Read one frame and return it with its size in bytes.

    Raise TimeoutError if no byte arrives for `silence_timeout_s` seconds. A long frame
    on a slow link may take longer than that.
    """
    header = await _read_exactly(reader, _LENGTH.size, silence_timeout_s)
    (length,) = _LENGTH.unpack(header)
    if length > limit:
        raise ValueError(f"frame length must be at most {limit} bytes, got {length}")
    body = await _read_exactly(reader, length, silence_timeout_s)
    content = msgpack.unpackb(body, strict_map_key=False)
    return content, _LENGTH.size + length


async def _read_exactly(
    reader: asyncio.StreamReader, size: int, silence_timeout_s: float | None
) -> bytes:
    data = bytearray()
    while len(data) < size:
        async with asyncio.timeout(silence_timeout_s):
            part = await reader.read(size - len(data))
        if not part:
            raise asyncio.IncompleteReadError(bytes(data), size)
        data += part
    return bytes(data)


async def accept_handshake(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    *,
    instance_id: str,
    secret: bytes,
) -> str:
    """Authenticate a dialing peer and return its instance id."""
    challenge = secrets.token_bytes(16)
    writer.write(pack_frame([FORMAT_VERSION, instance_id, challenge]))
    reply = await read_frame(reader, limit=MAX_HANDSHAKE_BYTES)
    _version, peer_id, dialer_challenge, proof = reply
    context = [peer_id, instance_id, challenge, dialer_challenge]
    _verify(secret, "dial", context, proof)
    writer.write(pack_frame([_compute_proof(secret, "accept", context)]))
    return peer_id


async def dial_handshake(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    *,
    instance_id: str,
    peer_id: str,
    secret: bytes,
) -> None:
    """Authenticate to the accepting peer and check its identity and proof."""
    hello = await read_frame(reader, limit=MAX_HANDSHAKE_BYTES)
    _version, actual_id, challenge = hello
    if actual_id != peer_id:
        raise HandshakeError(f"expected instance {peer_id}, reached {actual_id}")
    dialer_challenge = secrets.token_bytes(16)
    context = [instance_id, peer_id, challenge, dialer_challenge]
    proof = _compute_proof(secret, "dial", context)
    writer.write(pack_frame([FORMAT_VERSION, instance_id, dialer_challenge, proof]))
    (peer_proof,) = await read_frame(reader, limit=MAX_HANDSHAKE_BYTES)
    _verify(secret, "accept", context, peer_proof)


def _compute_proof(secret: bytes, role: str, context: list[Any]) -> bytes:
    content = msgpack.packb([role, *context])
    return hmac.new(secret, content, hashlib.sha256).digest()


def _verify(secret: bytes, role: str, context: list[Any], proof: Any) -> None:
    expected = _compute_proof(secret, role, context)
    if not isinstance(proof, bytes) or not hmac.compare_digest(expected, proof):
        raise HandshakeError("peer does not know the cluster secret")
