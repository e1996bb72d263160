"""Messages between entries and controllers."""

import zlib
from typing import Any

import attrs
import msgpack

from toucanwood.peering import message


@message(100)
@attrs.frozen
class AnnounceEntry:
    """Tell a controller of an entry; `address` is where callers connect.

    `load` is 1 for an entry that is busy all the time.
    """

    address: str = ""
    region: str = ""
    data_centre: str = ""
    is_ready: bool = False
    load: float = 0.0


@message(101)
@attrs.frozen
class PollFleet:
    """Ask a controller for what has changed after a version.

    `entries_mark` is that of the last list of entries.
    """

    version: int = 0
    entries_mark: int = 0


@message(102)
@attrs.frozen
class FleetUpdate:
    """Answer with changes, or with the whole state where changes are not kept.

    `age_s` bounds how old the controller's state may be; it is negative where the
    controller has no proof.
    """

    version: int = 0
    age_s: float = -1.0
    # Encoded by `encode_payload`. At most one of `changes` and `state` is set.
    changes: bytes | None = None
    state: bytes | None = None
    leader: str = ""
    controllers: list[str] = attrs.field(factory=list)
    # Controllers in the data centre of the entry, which relay large responses.
    relays: list[str] = attrs.field(factory=list)
    # Missing where the list has not changed.
    entries: list[str] | None = None
    entries_mark: int = 0


@message(103)
@attrs.frozen
class ReportUsage:
    """Report requests by organisation: offered and used since the last report."""

    usage: dict[str, list[int]] = attrs.field(factory=dict)


@message(104)
@attrs.frozen
class UsageAnswer:
    """Answer with the fractions to admit; only a leader's answer is valid."""

    is_valid: bool = False
    fractions: dict[str, float] = attrs.field(factory=dict)


@message(105)
@attrs.frozen
class AnnounceController:
    """Tell another controller which ones are known, and which targets were heard.

    `heard` holds id, birth and number of the last announcement of each target.
    """

    controllers: list[str] = attrs.field(factory=list)
    heard: list[list[Any]] = attrs.field(factory=list)
    is_member: bool = False
    data_centre: str = ""


@message(106)
@attrs.frozen
class SubmitOrder:
    """Ask the leader to commit an order."""

    order: bytes = b""


@message(107)
@attrs.frozen
class OrderAnswer:
    """Answer with the result; without one the order may have been committed."""

    result: list[Any] | None = None
    is_not_run: bool = False


# A configuration with 900 routes has 260 KB and would fill the 2.75 Mbit/s link of a
# small entry for 0.8 s; it compresses to a tenth.
COMPRESSION_LEVEL = 3


def encode_payload(content: list[Any]) -> bytes:
    """Encode changes or a whole state for an update."""
    return zlib.compress(msgpack.packb(content), COMPRESSION_LEVEL)


def decode_payload(data: bytes) -> list[Any]:
    """Decode what `encode_payload` has encoded."""
    content: list[Any] = msgpack.unpackb(zlib.decompress(data), strict_map_key=False)
    return content
