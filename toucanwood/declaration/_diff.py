"""Comparison of two declarations."""

from typing import Any

import attrs

from toucanwood.declaration._declaration import Declaration


@attrs.frozen
class Change:
    """Value that differs; None means that the declaration lacks the value."""

    path: str
    before: Any
    after: Any

    def __str__(self) -> str:
        if self.before is None:
            return f"+ {self.path}: {self.after!r}"
        if self.after is None:
            return f"- {self.path}: {self.before!r}"
        return f"~ {self.path}: {self.before!r} -> {self.after!r}"


def diff(before: Declaration, after: Declaration) -> list[Change]:
    """Return the changes from one declaration to another, sorted by path."""
    old = _flatten(before.to_config(), "")
    new = _flatten(after.to_config(), "")
    paths = sorted(set(old) | set(new))
    return [
        Change(path, old.get(path), new.get(path))
        for path in paths
        if old.get(path) != new.get(path)
    ]


def _flatten(value: Any, path: str) -> dict[str, Any]:
    if isinstance(value, dict):
        items = [
            (f"{path}.{key}" if path else key, item) for key, item in value.items()
        ]
    elif isinstance(value, list) and value and isinstance(value[0], dict):
        items = [(f"{path}[{_get_item_key(item)}]", item) for item in value]
    else:
        return {path: value}
    values_by_path: dict[str, Any] = {}
    for child_path, item in items:
        values_by_path.update(_flatten(item, child_path))
    return values_by_path


def _get_item_key(item: dict[str, Any]) -> str:
    """Return the key of a list item, so that reordering items is not a change."""
    for key in ("name", "prefix", "block", "regions"):
        if key in item:
            return str(item[key])
    return repr(item)
