"""The handshake between an entry and a relay, which precedes the request."""

import math
from enum import Enum
from typing import Any

import attrs
import msgpack

# An instance refuses the head of another version, and the entry then connects to the
# target itself.
PROTOCOL_VERSION = 2
LENGTH_BYTES = 2
# Maximum size of a valid head, which holds an address and two numbers.
MAX_HEAD_BYTES = 256


class Reply(Enum):
    """State whether the relay has connected to the target."""

    CONNECTED = b"\x00"
    # The relay could not connect to the target.
    UNREACHABLE = b"\x01"
    # The relay does not know the target or cannot decode the head.
    REFUSED = b"\x02"


class HeadError(ValueError):
    """Raised if a head is invalid or names an unknown target."""


@attrs.frozen
class RelayHead:
    """Hold the target address, the link rate of the entry and the due time.

    `due_in_s` is the time until the response counts as late.
    """

    address: str
    link_bytes_per_s: float
    due_in_s: float

    def encode(self) -> bytes:
        """Return the encoded head with its length."""
        values = [
            PROTOCOL_VERSION,
            self.address,
            self.link_bytes_per_s,
            self.due_in_s,
        ]
        data: bytes = msgpack.packb(values)
        return len(data).to_bytes(LENGTH_BYTES, "big") + data

    @classmethod
    def decode(cls, data: bytes) -> "RelayHead":
        """Decode a head without its length; raise HeadError if it is invalid."""
        try:
            version, *values = msgpack.unpackb(data)
        except (ValueError, TypeError, msgpack.UnpackException) as error:
            raise HeadError(f"the head cannot be decoded: {error}") from error
        if version != PROTOCOL_VERSION:
            raise HeadError(f"version must be {PROTOCOL_VERSION}, got {version!r}")
        if len(values) != 3:
            raise HeadError(f"a head must have 3 values, got {len(values)}")
        address, link_bytes_per_s, due_in_s = values
        if not isinstance(address, str):
            raise HeadError(f"the address must be a string, got {address!r}")
        if not (
            _is_number(link_bytes_per_s)
            and link_bytes_per_s > 0
            and _is_number(due_in_s)
        ):
            raise HeadError(
                f"link rate {link_bytes_per_s!r} must be positive and due time "
                f"{due_in_s!r} must be finite"
            )
        return cls(address, float(link_bytes_per_s), float(due_in_s))


def _is_number(value: Any) -> bool:
    return isinstance(value, (int, float)) and math.isfinite(value)
