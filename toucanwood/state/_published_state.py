"""Part of the catalog state that is replicated to every instance."""

from collections.abc import Mapping
from typing import Any

import attrs

# A change of the published state: a msgpack list whose first item is the kind.
Change = list[Any]

# Kinds of changes.
DECLARATION = "declaration"
KEY = "key"
WITHDRAWAL = "withdrawal"
WEIGHTS = "weights"


@attrs.frozen
class KeyRecord:
    """Hold the SHA-256 of a key and the organisation that it authenticates."""

    sha256: bytes
    organisation: str


@attrs.define
class PublishedState:
    """Hold declaration, keys, withdrawals and weights; `version` counts the changes.

    Replicas and catalog views apply the same changes by `apply_change`, so equal
    versions mean equal states.
    """

    version: int = 0
    revision: int = 0
    declaration: dict[str, Any] = attrs.Factory(dict)
    keys: dict[str, KeyRecord] = attrs.Factory(dict)
    withdrawn: set[str] = attrs.Factory(set)
    weights: dict[tuple[str, str], dict[str, float]] = attrs.Factory(dict)

    def apply_change(self, change: Change) -> None:
        """Apply one change; an unknown kind only increments `version`."""
        kind, *values = change
        if kind == DECLARATION:
            revision, patch = values
            self.declaration = patch_mapping(self.declaration, patch)
            self.revision = revision
        elif kind == KEY:
            key_id, sha256, organisation = values
            self.keys[key_id] = KeyRecord(sha256, organisation)
        elif kind == WITHDRAWAL:
            self.withdrawn.add(values[0])
        elif kind == WEIGHTS:
            service, home_region, weights = values
            self.weights[service, home_region] = weights
        self.version += 1

    def to_wire(self) -> list[Any]:
        """Return the whole state as a msgpack list."""
        return [
            self.version,
            self.revision,
            self.declaration,
            [[key_id, *attrs.astuple(key)] for key_id, key in self.keys.items()],
            sorted(self.withdrawn),
            [[*pair, weights] for pair, weights in self.weights.items()],
        ]

    @classmethod
    def from_wire(cls, content: list[Any]) -> "PublishedState":
        """Build the state; extra items from a newer software version are ignored."""
        version, revision, declaration, keys, withdrawn, weights = content[:6]
        return cls(
            version=version,
            revision=revision,
            declaration=declaration,
            keys={key_id: KeyRecord(*values) for key_id, *values in keys},
            withdrawn=set(withdrawn),
            weights={(service, home): value for service, home, value in weights},
        )


def diff_mapping(old: Mapping[str, Any], new: Mapping[str, Any]) -> dict[str, Any]:
    """Return the patch from one declaration to the next.

    The patch of a list replaces one contiguous run of items, so that a change of one
    client block does not transfer the whole table.
    """
    removed = [name for name in old if name not in new]
    replaced = {}
    spliced = {}
    for name, value in new.items():
        if name in old and old[name] == value:
            continue
        if isinstance(value, list) and isinstance(old.get(name), list):
            spliced[name] = _diff_list(old[name], value)
        else:
            replaced[name] = value
    return {"removed": removed, "replaced": replaced, "spliced": spliced}


def patch_mapping(old: Mapping[str, Any], patch: Mapping[str, Any]) -> dict[str, Any]:
    """Apply a patch that `diff_mapping` returned."""
    new = {name: value for name, value in old.items() if name not in patch["removed"]}
    new.update(patch["replaced"])
    for name, (start, end, items) in patch["spliced"].items():
        new[name] = [*old[name][:start], *items, *old[name][end:]]
    return new


def _diff_list(old: list[Any], new: list[Any]) -> list[Any]:
    shorter_length = min(len(old), len(new))
    start = 0
    while start < shorter_length and old[start] == new[start]:
        start += 1
    suffix_length = 0
    while (
        suffix_length < shorter_length - start
        and old[-1 - suffix_length] == new[-1 - suffix_length]
    ):
        suffix_length += 1
    return [start, len(old) - suffix_length, new[start : len(new) - suffix_length]]
