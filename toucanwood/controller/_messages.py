"""Messages between entries and controllers, and among controllers."""

import zlib
from typing import Any

import attrs
import msgpack

from toucanwood.peering import message

# The peer secret of all instances whose settings provide none. Because the value is
# public, only the network protects their internal ports.
DEFAULT_SECRET = b"toucanwood"


@message(100)
@attrs.frozen
class AnnounceEntry:
    """Announce the sender as an entry; callers connect to `address`.

    `load` is the busy fraction of the entry: 1 means that it is always busy. `requests`
    is the number of requests that it has received since its start. `signals` holds what
    it has heard from targets lately: for each the id, start time, rate limit (0 for one
    that has ended), whether it leaves, and the age in seconds.
    """

    address: str = ""
    region: str = ""
    data_centre: str = ""
    is_ready: bool = False
    load: float = 0.0
    requests: int = 0
    signals: list[list[Any]] = attrs.field(factory=list)


@message(101)
@attrs.frozen
class PollFleet:
    """Request the changes of the fleet state since `version`.

    `entries_mark` and `demand_mark` are the checksums of the list of entries and of the
    shares of the regions that the sender has. `signals_epoch` and `signals_version`
    are those of the last signals that it got.
    """

    version: int = 0
    entries_mark: int = 0
    demand_mark: int = 0
    signals_epoch: int = 0
    signals_version: int = 0


@message(102)
@attrs.frozen
class FleetUpdate:
    """Answer a poll with changes, or with the full state if they are no longer kept.

    `age_s` is an upper bound of the age of the controller's state; it is negative if
    the controller knows no bound.
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
    # None if the list still matches the checksum `entries_mark` of the poll.
    entries: list[str] | None = None
    entries_mark: int = 0
    # The regions' shares in all requests; None if they still match `demand_mark`.
    demand: dict[str, float] | None = None
    demand_mark: int = 0
    # Changed signals of targets, in the form of `AnnounceEntry`; None if none changed.
    signals: list[list[Any]] | None = None
    signals_epoch: int = 0
    signals_version: int = 0
    # The revision of the routing document of the controller.
    revision: int = 0


@message(103)
@attrs.frozen
class ReportUsage:
    """Report offered and forwarded requests by organisation since the last report."""

    usage: dict[str, list[int]] = attrs.field(factory=dict)


@message(104)
@attrs.frozen
class UsageAnswer:
    """Answer with the fractions to admit; `is_valid` is set only by the leader."""

    is_valid: bool = False
    fractions: dict[str, float] = attrs.field(factory=dict)


@message(105)
@attrs.frozen
class AnnounceController:
    """Gossip the known controllers and the latest target announcements.

    `heard` holds, for each target, its id and the start time and sequence number of its
    last announcement.
    """

    controllers: list[str] = attrs.field(factory=list)
    heard: list[list[Any]] = attrs.field(factory=list)
    is_member: bool = False
    data_centre: str = ""


@message(106)
@attrs.frozen
class SubmitOrder:
    """Forward an order to the leader, which commits it."""

    order: bytes = b""


@message(107)
@attrs.frozen
class OrderAnswer:
    """Answer with the result of an order.

    If `result` is None and `is_not_run` is not set, the order may have been committed.
    """

    result: list[Any] | None = None
    is_not_run: bool = False


# Level of zlib compression. A configuration with 900 routes has 260 KB and would occupy
# the 2.75 Mbit/s link of a small entry for 0.8 s; it compresses to a tenth.
COMPRESSION_LEVEL = 3


def encode_payload(content: list[Any]) -> bytes:
    """Encode a list of changes or a full state for `FleetUpdate`."""
    return compress_payload(msgpack.packb(content))


def compress_payload(data: bytes) -> bytes:
    """Return the payload for a list that is encoded with msgpack."""
    return zlib.compress(data, COMPRESSION_LEVEL)


def decode_payload(data: bytes) -> list[Any]:
    """Decode a payload from `encode_payload`."""
    content: list[Any] = msgpack.unpackb(zlib.decompress(data), strict_map_key=False)
    return content
