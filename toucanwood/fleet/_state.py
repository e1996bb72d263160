"""The replicated state: routing document, evacuations and targets."""

from collections import OrderedDict, deque
from functools import singledispatchmethod
from typing import Any

import attrs
import msgpack

from toucanwood.fleet._changes import Change, ChangeKind
from toucanwood.fleet._orders import (
    OrderResult,
    OrderStatus,
    PatchRouting,
    PutRouting,
    RemoveTarget,
    ReportTarget,
    SetEvacuation,
    compute_digest,
    unpack_order,
)
from toucanwood.fleet._target import Target
from toucanwood.routing import RoutingTable, diff_documents, patch_document
from toucanwood.utils import ValidationError

# Maximum number of accepted routing orders whose digests are kept, so that a retried
# order is acknowledged again. This covers seven days of 550 changes each.
MAX_REMEMBERED_ORDERS = 4096
# Limit of the encoded document. Patches must not make it longer than one order that
# replaces it may be; snapshots, updates and the memory of all instances depend on it.
MAX_DOCUMENT_BYTES = 1024 * 1024
# Maximum number of records of departed targets. They identify delayed announcements,
# which must not add the target again.
MAX_DEPARTED_TARGETS = 4096
# Maximum number of data centres whose last evacuation order is remembered.
MAX_REMEMBERED_EVACUATIONS = 1024
# Maximum number of changes kept for updates. Instances that are further behind receive
# the full state.
MAX_KEPT_CHANGES = 2000
# Limit of the encoded size of these changes; a change of every route of a large
# document has about the size of the document.
MAX_KEPT_CHANGE_BYTES = 4 * 1024 * 1024


@attrs.define
class FleetState:
    """Apply the orders of the replicated log; equal logs give equal states.

    Implements `consensus.StateMachine`. `version` is the log index of the last order.
    """

    version: int = 0
    revision: int = 0
    document: dict[str, Any] = attrs.field(factory=dict)
    evacuated: set[str] = attrs.field(factory=set)
    targets: dict[str, Target] = attrs.field(factory=dict)
    # The start time and last sequence number of targets that have left, by id.
    departed: "OrderedDict[str, tuple[int, int]]" = attrs.field(factory=OrderedDict)
    _accepted: "OrderedDict[bytes, int]" = attrs.field(factory=OrderedDict)
    # The log index of the last evacuation order of each data centre, and of the order
    # that added each target.
    _evacuation_versions: "OrderedDict[str, int]" = attrs.field(factory=OrderedDict)
    _added_versions: dict[str, int] = attrs.field(factory=dict)
    # The log index and the encoded form of each change.
    _changes: deque[tuple[int, bytes]] = attrs.field(factory=deque)
    _changes_bytes: int = 0
    _oldest_version: int = 0
    # The table of the document, or of an earlier one after `restore`.
    _table: RoutingTable | None = None

    def apply(self, index: int, command: bytes) -> OrderResult:
        """Apply one order and return its result."""
        self.version = index
        order = unpack_order(command)
        return self._apply(order)

    @singledispatchmethod
    def _apply(self, order: Any) -> OrderResult:
        raise TypeError(f"order must be of a known type, got {type(order).__name__}")

    @_apply.register
    def _(self, order: PutRouting) -> OrderResult:
        document = {**order.document, "revision": order.revision}
        return self._replace_routing(order, document)

    @_apply.register
    def _(self, order: PatchRouting) -> OrderResult:
        if order.base_revision != self.revision:
            return self._replace_routing(order, {})
        try:
            document = patch_document(
                self.document, upsert=order.upsert, remove=order.remove
            )
        except (ValueError, TypeError, AttributeError, KeyError) as error:
            return OrderResult(OrderStatus.INVALID, self.revision, str(error))
        return self._replace_routing(order, {**document, "revision": order.revision})

    @_apply.register
    def _(self, order: SetEvacuation) -> OrderResult:
        set_at = self._evacuation_versions.get(order.data_centre, 0)
        if order.seen_version is not None and set_at > order.seen_version:
            return self._refuse_superseded(set_at)
        self._remember_evacuation(order.data_centre)
        if order.is_evacuated:
            self.evacuated.add(order.data_centre)
        else:
            self.evacuated.discard(order.data_centre)
        values = [order.data_centre, order.is_evacuated]
        self._record_change(Change(ChangeKind.EVACUATION, values))
        return self._accept()

    @_apply.register
    def _(self, order: ReportTarget) -> OrderResult:
        target = order.target
        known = self.targets.get(target.id)
        if known is not None and target.is_superseded_by(known):
            return self._accept()
        if self.is_departed(target) or self._is_address_reassigned(target):
            return self._accept()
        self._remove_others_at_address(target)
        if known is None or known.start_time_ms != target.start_time_ms:
            self._added_versions[target.id] = self.version
        self.targets[target.id] = target
        self._record_change(Change(ChangeKind.TARGET, target.to_wire()))
        return self._accept()

    @_apply.register
    def _(self, order: RemoveTarget) -> OrderResult:
        known = self.targets.get(order.id)
        if known is None:
            self._remember_unknown_departed(order)
            return self._accept()
        if (
            order.start_time_ms is not None
            and order.start_time_ms < known.start_time_ms
        ):
            return self._accept()
        added_at = self._added_versions.get(order.id, 0)
        if (
            order.start_time_ms is None
            and order.seen_version is not None
            and added_at > order.seen_version
        ):
            return self._refuse_superseded(added_at)
        # A target that has announced itself since the caller found it silent is kept.
        if order.sequence is not None and order.sequence < known.sequence:
            return self._accept()
        self._remove(known)
        if order.sequence is None:
            self._remember_departed(known)
        return self._accept()

    def is_departed(self, target: Target) -> bool:
        """Return whether this incarnation, or a later one, of a target has left."""
        departed = self.departed.get(target.id)
        return departed is not None and target.start_time_ms <= departed[0]

    def snapshot(self) -> bytes:
        """Return the encoded full state."""
        return msgpack.packb(
            [
                self.version,
                *self.export(),
                [[key, *value] for key, value in self.departed.items()],
                [[key, value] for key, value in self._accepted.items()],
                [[key, value] for key, value in self._evacuation_versions.items()],
                [[key, value] for key, value in self._added_versions.items()],
            ]
        )

    def restore(self, data: bytes) -> None:
        """Replace the state with a snapshot."""
        content = msgpack.unpackb(data, strict_map_key=False)
        version, revision, document, evacuated, targets, departed, accepted = content[
            :7
        ]
        # A snapshot of an earlier release ends here.
        evacuation_versions, added_versions = content[7:] or ([], [])
        self.version = version
        self.revision = revision
        self.document = document
        self.evacuated = set(evacuated)
        self.targets = {item[0]: Target.from_wire(item) for item in targets}
        self.departed = OrderedDict(
            (key, (start_time_ms, sequence))
            for key, start_time_ms, sequence in departed
        )
        self._accepted = OrderedDict((key, value) for key, value in accepted)
        self._evacuation_versions = OrderedDict(
            (key, value) for key, value in evacuation_versions
        )
        self._added_versions = {key: value for key, value in added_versions}
        self._changes.clear()
        self._changes_bytes = 0
        self._oldest_version = version

    def export(self) -> list[Any]:
        """Return the revision, document, evacuations and targets for instances."""
        return [
            self.revision,
            self.document,
            sorted(self.evacuated),
            [target.to_wire() for target in self.targets.values()],
        ]

    def pack_changes(self, version: int) -> bytes | None:
        """Return the changes after a version as a msgpack list.

        None if they are no longer kept.
        """
        if version < self._oldest_version or version > self.version:
            return None
        changes = [item for index, item in self._changes if index > version]
        return bytes(msgpack.Packer().pack_array_header(len(changes))) + b"".join(
            changes
        )

    def _replace_routing(
        self, order: PutRouting | PatchRouting, document: dict[str, Any]
    ) -> OrderResult:
        digest = compute_digest(order)
        if digest in self._accepted:
            return self._accept()
        if order.base_revision != self.revision:
            message = (
                f"base revision must be {self.revision}, got {order.base_revision}"
            )
            return OrderResult(OrderStatus.CONFLICT, self.revision, message)
        if order.revision <= self.revision:
            message = f"revision must exceed {self.revision}, got {order.revision}"
            return OrderResult(OrderStatus.INVALID, self.revision, message)
        try:
            table = RoutingTable.from_config(document, previous=self._table)
        except ValidationError as error:
            return OrderResult(OrderStatus.INVALID, self.revision, str(error))
        size = len(msgpack.packb(document))
        # A document of an earlier release may be longer already, and may shrink.
        if size > MAX_DOCUMENT_BYTES and size > len(msgpack.packb(self.document)):
            message = f"the document must have at most {MAX_DOCUMENT_BYTES} bytes, "
            message += f"got {size}"
            return OrderResult(OrderStatus.INVALID, self.revision, message)
        self._table = table
        change = diff_documents(self.document, document)
        self.document = document
        self.revision = order.revision
        self._accepted[digest] = order.revision
        if len(self._accepted) > MAX_REMEMBERED_ORDERS:
            self._accepted.popitem(last=False)
        values = [order.revision, *change.to_wire()]
        self._record_change(Change(ChangeKind.ROUTING, values))
        return self._accept()

    def _is_address_reassigned(self, target: Target) -> bool:
        """Return whether another target holds the address of this target.

        It does if it started later, or if only its service is known: an announcement of
        an unknown service says nothing about the targets in use.
        """
        others = self._list_others_at_address(target)
        if any(other.start_time_ms > target.start_time_ms for other in others):
            return True
        return any(
            self._has_known_service(other) and not self._has_known_service(target)
            for other in others
        )

    def _remove_others_at_address(self, target: Target) -> None:
        """Remove all other targets that have the address of this target."""
        for other in self._list_others_at_address(target):
            self._remove(other)
            self._remember_departed(other)

    def _list_others_at_address(self, target: Target) -> list[Target]:
        return [
            other
            for other in self.targets.values()
            if other.address == target.address and other.id != target.id
        ]

    def _has_known_service(self, target: Target) -> bool:
        services = self.document.get("services", ())
        return any(item["name"] == target.service for item in services)

    def _remove(self, target: Target) -> None:
        del self.targets[target.id]
        self._added_versions.pop(target.id, None)
        values = [target.id, target.start_time_ms]
        self._record_change(Change(ChangeKind.TARGET_REMOVED, values))

    def _remember_evacuation(self, data_centre: str) -> None:
        self._evacuation_versions[data_centre] = self.version
        self._evacuation_versions.move_to_end(data_centre)
        if len(self._evacuation_versions) > MAX_REMEMBERED_EVACUATIONS:
            self._evacuation_versions.popitem(last=False)

    def _remember_unknown_departed(self, order: RemoveTarget) -> None:
        """Remember an incarnation whose announcements were delayed beyond its leave."""
        departed = self.departed.get(order.id)
        if order.sequence is not None or order.start_time_ms is None:
            return
        if departed is None or departed[0] < order.start_time_ms:
            self._add_departed(order.id, order.start_time_ms, 0)

    def _remember_departed(self, target: Target) -> None:
        self._add_departed(target.id, target.start_time_ms, target.sequence)

    def _add_departed(self, target_id: str, start_time_ms: int, sequence: int) -> None:
        self.departed[target_id] = (start_time_ms, sequence)
        if len(self.departed) > MAX_DEPARTED_TARGETS:
            self.departed.popitem(last=False)

    def _record_change(self, change: Change) -> None:
        encoded = msgpack.packb(change.to_wire())
        self._changes.append((self.version, encoded))
        self._changes_bytes += len(encoded)
        while (
            len(self._changes) > MAX_KEPT_CHANGES
            or self._changes_bytes > MAX_KEPT_CHANGE_BYTES
        ):
            self._oldest_version, removed = self._changes.popleft()
            self._changes_bytes -= len(removed)

    def _accept(self) -> OrderResult:
        return OrderResult(OrderStatus.ACCEPTED, self.revision, version=self.version)

    def _refuse_superseded(self, set_at: int) -> OrderResult:
        message = f"an order at version {set_at} was not seen by the submitter"
        return OrderResult(OrderStatus.SUPERSEDED, self.revision, message, self.version)
