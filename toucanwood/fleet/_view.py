"""The copy of the fleet state on an instance that receives updates."""

from typing import Any

import attrs

from toucanwood.fleet._changes import Change, ChangeKind
from toucanwood.fleet._target import Target
from toucanwood.routing import RoutingTable, apply_change


@attrs.define
class FleetView:
    """Mirror the fleet state; never return to an earlier revision."""

    version: int = 0
    revision: int = 0
    document: dict[str, Any] = attrs.field(factory=dict)
    evacuated: set[str] = attrs.field(factory=set)
    targets: dict[str, Target] = attrs.field(factory=dict)
    table: RoutingTable | None = None

    def apply_changes(self, version: int, changes: list[Any]) -> list[Change]:
        """Apply the encoded changes up to a version and return the decoded ones.

        The view is unchanged if any of them can't be applied; the error is raised.
        """
        decoded = [Change.from_wire(item) for item in changes]
        copy = attrs.evolve(
            self, evacuated=set(self.evacuated), targets=dict(self.targets)
        )
        for change in decoded:
            copy._apply(change)
        if any(change.kind is ChangeKind.ROUTING for change in decoded):
            copy._build_table()
        copy.version = max(self.version, version)
        self._take_over(copy)
        return decoded

    def replace(self, version: int, state: list[Any]) -> bool:
        """Replace the view with a full state; return False if the state is older.

        The view is unchanged if the state can't be read; the error is raised.
        """
        revision, document, evacuated, targets = state
        if version < self.version or revision < self.revision:
            return False
        copy = FleetView(
            version=version,
            revision=revision,
            document=document,
            evacuated=set(evacuated),
            targets={item[0]: Target.from_wire(item) for item in targets},
            table=self.table,
        )
        if revision != self.revision or document != self.document:
            copy._build_table()
        self._take_over(copy)
        return True

    def dump(self) -> dict[str, Any]:
        """Return a JSON-serialisable description without API keys."""
        return {
            "version": self.version,
            "revision": self.revision,
            "evacuated": sorted(self.evacuated),
            "targets": len(self.targets),
        }

    def _apply(self, change: Change) -> None:
        if change.kind is ChangeKind.ROUTING:
            revision, *difference = change.values
            self.document = apply_change(self.document, difference)
            self.revision = revision
        elif change.kind is ChangeKind.EVACUATION:
            data_centre, is_evacuated = change.values
            if is_evacuated:
                self.evacuated.add(data_centre)
            else:
                self.evacuated.discard(data_centre)
        elif change.kind is ChangeKind.TARGET:
            target = Target.from_wire(change.values)
            self.targets[target.id] = target
        else:
            target_id, start_time_ms = change.values
            known = self.targets.get(target_id)
            if known is not None and known.start_time_ms == start_time_ms:
                del self.targets[target_id]

    def _take_over(self, other: "FleetView") -> None:
        """Take over all values of another view."""
        for field in attrs.fields(FleetView):
            setattr(self, field.name, getattr(other, field.name))

    def _build_table(self) -> None:
        self.table = RoutingTable.from_config(
            {**self.document, "revision": self.revision}, previous=self.table
        )
