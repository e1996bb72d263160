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

# Accepted orders are acknowledged again when they are sent again, so each is
# remembered. A day with 550 changes fits seven times.
MAX_REMEMBERED_ORDERS = 4096
# Late announcements of targets that have left are recognised by these records.
MAX_REMEMBERED_TARGETS = 4096
# Instances that are further behind get the whole state.
MAX_KEPT_CHANGES = 2000


@attrs.define
class FleetState:
    """Apply orders in the order of the log; equal logs give equal states.

    Implements `consensus.StateMachine`. `version` is the log index of the last order.
    """

    version: int = 0
    revision: int = 0
    document: dict[str, Any] = attrs.field(factory=dict)
    evacuated: set[str] = attrs.field(factory=set)
    targets: dict[str, Target] = attrs.field(factory=dict)
    # The birth and last announcement of targets that have left.
    departed: "OrderedDict[str, tuple[int, int]]" = attrs.field(factory=OrderedDict)
    _accepted: "OrderedDict[bytes, int]" = attrs.field(factory=OrderedDict)
    _changes: deque[tuple[int, Change]] = attrs.field(
        factory=lambda: deque(maxlen=MAX_KEPT_CHANGES)
    )
    _first_kept: int = 0

    def apply(self, index: int, command: bytes) -> OrderResult:
        """Apply one order and return its result."""
        self.version = index
        order = unpack_order(command)
        return self._apply(order)

    @singledispatchmethod
    def _apply(self, order: Any) -> OrderResult:
        raise TypeError(f"order must be a known order, got {type(order).__name__}")

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
        if order.is_evacuated:
            self.evacuated.add(order.data_centre)
        else:
            self.evacuated.discard(order.data_centre)
        values = [order.data_centre, order.is_evacuated]
        self._record(Change(ChangeKind.EVACUATION, values))
        return self._accept()

    @_apply.register
    def _(self, order: ReportTarget) -> OrderResult:
        target = order.target
        known = self.targets.get(target.id)
        if known is not None and target.is_superseded_by(known):
            return self._accept()
        if self.is_departed(target) or self._is_replaced(target):
            return self._accept()
        self._drop_address(target)
        self.targets[target.id] = target
        self._record(Change(ChangeKind.TARGET, target.to_wire()))
        return self._accept()

    @_apply.register
    def _(self, order: RemoveTarget) -> OrderResult:
        known = self.targets.get(order.id)
        if known is None:
            return self._accept()
        if (
            order.start_time_ms is not None
            and order.start_time_ms < known.start_time_ms
        ):
            return self._accept()
        # A silent target that has announced itself meanwhile stays.
        if order.sequence is not None and order.sequence < known.sequence:
            return self._accept()
        self._remove(known)
        if order.sequence is None:
            self._remember_departed(known)
        return self._accept()

    def is_departed(self, target: Target) -> bool:
        """Return whether an announcement is of an incarnation that has left."""
        departed = self.departed.get(target.id)
        return departed is not None and target.start_time_ms <= departed[0]

    def snapshot(self) -> bytes:
        """Return the whole state."""
        return msgpack.packb(
            [
                self.version,
                *self.export(),
                [[key, *value] for key, value in self.departed.items()],
                [[key, value] for key, value in self._accepted.items()],
            ]
        )

    def restore(self, data: bytes) -> None:
        """Replace the whole state."""
        content = msgpack.unpackb(data, strict_map_key=False)
        version, revision, document, evacuated, targets, departed, accepted = content
        self.version = version
        self.revision = revision
        self.document = document
        self.evacuated = set(evacuated)
        self.targets = {item[0]: Target.from_wire(item) for item in targets}
        self.departed = OrderedDict((key, (born, seq)) for key, born, seq in departed)
        self._accepted = OrderedDict((key, value) for key, value in accepted)
        self._changes.clear()
        self._first_kept = version

    def export(self) -> list[Any]:
        """Return what instances need: revision, document, evacuations, targets."""
        return [
            self.revision,
            self.document,
            sorted(self.evacuated),
            [target.to_wire() for target in self.targets.values()],
        ]

    def list_changes(self, version: int) -> list[Any] | None:
        """Return the changes after a version, or None where they are not kept."""
        if version < self._first_kept or version > self.version:
            return None
        return [item.to_wire() for index, item in self._changes if index > version]

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
            message = f"revision must be over {self.revision}, got {order.revision}"
            return OrderResult(OrderStatus.INVALID, self.revision, message)
        try:
            RoutingTable.from_config(document)
        except ValidationError as error:
            return OrderResult(OrderStatus.INVALID, self.revision, str(error))
        change = diff_documents(self.document, document)
        self.document = document
        self.revision = order.revision
        self._accepted[digest] = order.revision
        if len(self._accepted) > MAX_REMEMBERED_ORDERS:
            self._accepted.popitem(last=False)
        values = [order.revision, *change.to_wire()]
        self._record(Change(ChangeKind.ROUTING, values))
        return self._accept()

    def _is_replaced(self, target: Target) -> bool:
        """Return whether a later incarnation holds the target's address."""
        return any(
            other.address == target.address
            and other.start_time_ms > target.start_time_ms
            for other in self.targets.values()
            if other.id != target.id
        )

    def _drop_address(self, target: Target) -> None:
        """Remove earlier targets at the address of a new one."""
        for other in list(self.targets.values()):
            if other.address == target.address and other.id != target.id:
                self._remove(other)
                self._remember_departed(other)

    def _remove(self, target: Target) -> None:
        del self.targets[target.id]
        values = [target.id, target.start_time_ms]
        self._record(Change(ChangeKind.TARGET_REMOVED, values))

    def _remember_departed(self, target: Target) -> None:
        self.departed[target.id] = (target.start_time_ms, target.sequence)
        if len(self.departed) > MAX_REMEMBERED_TARGETS:
            self.departed.popitem(last=False)

    def _record(self, change: Change) -> None:
        if len(self._changes) == MAX_KEPT_CHANGES:
            self._first_kept = self._changes[0][0]
        self._changes.append((self.version, change))

    def _accept(self) -> OrderResult:
        return OrderResult(OrderStatus.ACCEPTED, self.revision)
