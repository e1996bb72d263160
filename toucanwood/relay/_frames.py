"""The frames in which a relay sends the bytes and the end of a target's connection.

The end of a connection travels in a frame of its own, so no byte of a response can be
taken for an end, and no end for a byte of a response.
"""

import struct
from enum import IntEnum

# A kind and the number of bytes that follow.
_HEADER = struct.Struct("!BI")
HEADER_BYTES = _HEADER.size
# Maximum bytes of one frame, without its header.
MAX_FRAME_BYTES = 64 * 1024
_DATA = 0


class ConnectionEnd(IntEnum):
    """Why no more bytes of a target follow."""

    # The target closed its connection.
    CLOSED = 1
    # The connection to the target failed.
    RESET = 2
    # The process of the relay stops.
    RELAY_STOPPED = 3
    # The connection exceeded the maximum duration of a relayed connection.
    EXPIRED = 4


class FrameError(ValueError):
    """Raised if received bytes are not valid frames."""


def encode_data(data: bytes) -> bytes:
    """Return a frame with bytes of the target."""
    return _HEADER.pack(_DATA, len(data)) + data


def encode_end(end: ConnectionEnd) -> bytes:
    """Return the frame that ends the stream."""
    return _HEADER.pack(end, 0)


class FrameDecoder:
    """Decode a stream of frames that arrives in segments of any size.

    `end` is set once the frame that ends the stream has been decoded.
    """

    def __init__(self) -> None:
        self.end: ConnectionEnd | None = None
        # The received part of a header.
        self._header = b""
        self._bytes_left = 0

    def decode(self, segment: bytes) -> bytes:
        """Return the target's bytes in a segment; raise FrameError if it is invalid."""
        pieces = []
        position = 0
        while position < len(segment):
            if self.end is not None:
                raise FrameError("bytes follow the end of the stream")
            if self._bytes_left:
                piece = segment[position : position + self._bytes_left]
                self._bytes_left -= len(piece)
                position += len(piece)
                pieces.append(piece)
                continue
            missing = HEADER_BYTES - len(self._header)
            part = segment[position : position + missing]
            self._header += part
            position += len(part)
            if len(self._header) == HEADER_BYTES:
                self._read_header()
        return b"".join(pieces)

    def _read_header(self) -> None:
        kind, size = _HEADER.unpack(self._header)
        self._header = b""
        if kind == _DATA:
            if size > MAX_FRAME_BYTES:
                raise FrameError(
                    f"a frame must have at most {MAX_FRAME_BYTES} bytes, got {size}"
                )
            self._bytes_left = size
            return
        if size:
            raise FrameError(f"a frame of kind {kind} must be empty, got {size} bytes")
        try:
            self.end = ConnectionEnd(kind)
        except ValueError as error:
            raise FrameError(f"unknown frame kind {kind}") from error
