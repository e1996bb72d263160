"""The handshake between an entry and a relay, which precedes the request."""

import math
from enum import Enum
from typing import Any

import attrs
import msgpack

PROTOCOL_VERSION = 1
LENGTH_BYTES = 2
# Maximum size of a valid head, which holds an address, two numbers and an end mark.
MAX_HEAD_BYTES = 256
END_MARK_BYTES = 16


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

    `due_in_s` is the time until the response counts as late. The relay sends `end_mark`
    after all bytes of a target that has closed its connection. Without it, the end of a
    relay would look like the end of a response without a length.
    """

    address: str
    link_bytes_per_s: float
    due_in_s: float
    end_mark: bytes = b""

    def encode(self) -> bytes:
        """Return the encoded head with its length."""
        values = [
            PROTOCOL_VERSION,
            self.address,
            self.link_bytes_per_s,
            self.due_in_s,
            self.end_mark,
        ]
        data: bytes = msgpack.packb(values)
        return len(data).to_bytes(LENGTH_BYTES, "big") + data

    @classmethod
    def decode(cls, data: bytes) -> "RelayHead":
        """Decode a head without its length; raise HeadError if it is invalid."""
        try:
            version, address, link_bytes_per_s, due_in_s, *rest = msgpack.unpackb(data)
        except (ValueError, TypeError, msgpack.UnpackException) as error:
            raise HeadError(f"the head cannot be decoded: {error}") from error
        if version != PROTOCOL_VERSION or not isinstance(address, str):
            raise HeadError(f"version must be {PROTOCOL_VERSION}, got {version!r}")
        if not (
            _is_number(link_bytes_per_s)
            and link_bytes_per_s > 0
            and _is_number(due_in_s)
        ):
            raise HeadError(
                f"link rate {link_bytes_per_s!r} must be positive and due time "
                f"{due_in_s!r} must be finite"
            )
        end_mark = rest[0] if rest else b""
        if not isinstance(end_mark, bytes) or len(end_mark) > END_MARK_BYTES:
            raise HeadError(f"the end mark must have at most {END_MARK_BYTES} bytes")
        return cls(address, float(link_bytes_per_s), float(due_in_s), end_mark)


def _is_number(value: Any) -> bool:
    return isinstance(value, (int, float)) and math.isfinite(value)
