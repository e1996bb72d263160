"""Orders, the commands that change the fleet state, and their results."""

import hashlib
from enum import StrEnum
from typing import Any

import attrs
import msgpack

from toucanwood.fleet._target import Target


class OrderStatus(StrEnum):
    """State the outcome of an order."""

    ACCEPTED = "accepted"
    # The base revision of the order is not the current revision.
    CONFLICT = "conflict"
    INVALID = "invalid"
    # The submitter had not seen a later order for the same item.
    SUPERSEDED = "superseded"


@attrs.frozen
class OrderResult:
    """Hold the status, the current revision and a message for the operator.

    `version` is the log index at which the order was applied.
    """

    status: OrderStatus
    revision: int
    message: str = ""
    version: int = 0

    def to_wire(self) -> list[Any]:
        """Return the result as a msgpack list."""
        return [self.status.value, self.revision, self.message, self.version]

    @classmethod
    def from_wire(cls, content: list[Any]) -> "OrderResult":
        """Decode a result from a msgpack list."""
        return cls(OrderStatus(content[0]), *content[1:])


@attrs.frozen
class PutRouting:
    """Replace the routing document.

    `base_revision` must be the current revision when the order is applied.
    """

    base_revision: int
    revision: int
    document: dict[str, Any]


@attrs.frozen
class PatchRouting:
    """Insert, replace or remove named items of the routing document."""

    base_revision: int
    revision: int
    upsert: dict[str, Any]
    remove: dict[str, Any]


@attrs.frozen
class SetEvacuation:
    """Start or end the evacuation of the targets in a data centre.

    `seen_version` is the version of the state at the submitter. The order has no effect
    if the evacuation was set after it; None sets it in any case.
    """

    data_centre: str
    is_evacuated: bool
    seen_version: int | None = None


@attrs.frozen
class ReportTarget:
    """Add a target or update its description."""

    target: Target


@attrs.frozen
class RemoveTarget:
    """Remove a target that has left or no longer announces itself.

    An incarnation that started after `start_time_ms` is kept; None removes any
    incarnation. `sequence` is the number of the last announcement that the caller has
    seen, or None if the target itself asked to be removed. Without a start time, an
    incarnation that was added after `seen_version` is kept too.
    """

    id: str
    start_time_ms: int | None
    sequence: int | None
    seen_version: int | None = None


Order = PutRouting | PatchRouting | SetEvacuation | ReportTarget | RemoveTarget

_CLASS_BY_KIND: dict[str, type] = {
    "put_routing": PutRouting,
    "patch_routing": PatchRouting,
    "set_evacuation": SetEvacuation,
    "report_target": ReportTarget,
    "remove_target": RemoveTarget,
}
_KIND_BY_CLASS = {cls: name for name, cls in _CLASS_BY_KIND.items()}


def pack_order(order: Order) -> bytes:
    """Encode an order for the replicated log.

    Raises ValueError if a value, such as a large integer, can't be encoded.
    """
    values = [getattr(order, field.name) for field in attrs.fields(type(order))]
    values = [item.to_wire() if isinstance(item, Target) else item for item in values]
    try:
        return msgpack.packb([_KIND_BY_CLASS[type(order)], *values])
    except OverflowError as error:
        raise ValueError(f"{_KIND_BY_CLASS[type(order)]}: {error}") from error


def unpack_order(data: bytes) -> Order:
    """Decode an order; raise ValueError for a kind of a newer version."""
    name, *values = msgpack.unpackb(data, strict_map_key=False)
    cls = _CLASS_BY_KIND.get(name)
    if cls is None:
        raise ValueError(
            f"order kind must be one of {sorted(_CLASS_BY_KIND)}, got {name!r}"
        )
    if cls is ReportTarget:
        return ReportTarget(Target.from_wire(values[0]))
    return cls(*values)


def compute_digest(order: Order) -> bytes:
    """Return the SHA-256 of an order, which identifies a retried order."""
    return hashlib.sha256(pack_order(order)).digest()
