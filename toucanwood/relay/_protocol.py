"""The few bytes that an entry and a relay exchange before those of the request."""

import math
from enum import Enum
from typing import Any

import attrs
import msgpack

PROTOCOL_VERSION = 1
LENGTH_BYTES = 2
# An address and two numbers; a longer head is none of ours.
MAX_HEAD_BYTES = 256


class Reply(Enum):
    """Tell whether the bytes that follow come from the target."""

    CONNECTED = b"\x00"
    # The target did not accept a connection.
    UNREACHABLE = b"\x01"
    # The relay does not know the target, or can't read the head.
    REFUSED = b"\x02"


class HeadError(ValueError):
    """Report a head that can't be read."""


@attrs.frozen
class RelayHead:
    """Name the target, the link rate of the entry and when the response is due."""

    address: str
    link_bytes_per_s: float
    due_in_s: float

    def encode(self) -> bytes:
        """Return the head as it is sent."""
        values = [PROTOCOL_VERSION, self.address, self.link_bytes_per_s, self.due_in_s]
        data: bytes = msgpack.packb(values)
        return len(data).to_bytes(LENGTH_BYTES, "big") + data

    @classmethod
    def decode(cls, data: bytes) -> "RelayHead":
        """Read a head without its length; raise HeadError."""
        try:
            version, address, link, due_in_s = msgpack.unpackb(data)
        except (ValueError, TypeError, msgpack.UnpackException) as error:
            raise HeadError(f"unreadable: {error}") from error
        if version != PROTOCOL_VERSION or not isinstance(address, str):
            raise HeadError(f"version {version!r} is not {PROTOCOL_VERSION}")
        if not (_is_number(link) and link > 0 and _is_number(due_in_s)):
            raise HeadError(f"link {link!r} and due {due_in_s!r} must be numbers")
        return cls(address, float(link), float(due_in_s))


def _is_number(value: Any) -> bool:
    return isinstance(value, (int, float)) and math.isfinite(value)
