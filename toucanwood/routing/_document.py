"""Patches and differences of routing documents, which hold named items in sections.

A document is kept as the operator wrote it, so that it can be read back unchanged.
"""

from collections.abc import Mapping
from typing import Any

import attrs

Document = dict[str, Any]

# Sections of a document that hold lists of named items.
SECTIONS = ("routes", "services", "organisations")


@attrs.frozen
class DocumentChange:
    """The difference between two documents, by named item.

    `values` holds the changed values outside the sections, `removed_values` the names
    of those that the new document leaves out.
    """

    upsert: dict[str, list[Any]]
    remove: dict[str, list[str]]
    values: dict[str, Any]
    removed_values: list[str]

    def to_wire(self) -> list[Any]:
        """Return the change as a msgpack list."""
        content = [self.upsert, self.remove, self.values]
        # Instances of earlier versions expect three items.
        return [*content, self.removed_values] if self.removed_values else content


def patch_document(
    document: Mapping[str, Any],
    *,
    upsert: Mapping[str, Any],
    remove: Mapping[str, Any],
) -> Document:
    """Return a copy of a document with named items added, replaced or removed.

    Raises ValueError if the patch does not consist of lists of named items.
    """
    patched = dict(document)
    for section, names in remove.items():
        removed_names = set(_validate_names(section, names))
        patched[section] = [
            item
            for item in patched.get(section) or []
            if item.get("name") not in removed_names
        ]
    for section, items in upsert.items():
        if not isinstance(items, list):
            # A value outside the sections is replaced as a whole.
            patched[section] = items
            continue
        by_name = {item["name"]: item for item in patched.get(section) or []}
        for item in items:
            by_name[_get_item_name(section, item)] = item
        patched[section] = list(by_name.values())
    return patched


def diff_documents(old: Mapping[str, Any], new: Mapping[str, Any]) -> DocumentChange:
    """Return the change that turns the old document into the new one."""
    removed_values = [name for name in old if name not in new and name not in SECTIONS]
    change = DocumentChange({}, {}, {}, removed_values)
    for section in SECTIONS:
        old_items = _index_by_name(old.get(section))
        new_items = _index_by_name(new.get(section))
        changed = [
            item for name, item in new_items.items() if old_items.get(name) != item
        ]
        removed_names = [name for name in old_items if name not in new_items]
        if changed:
            change.upsert[section] = changed
        if removed_names:
            change.remove[section] = removed_names
    for name, value in new.items():
        if name not in SECTIONS and old.get(name) != value:
            change.values[name] = value
    return change


def apply_change(document: Mapping[str, Any], change: list[Any]) -> Document:
    """Apply a change of `diff_documents` in its wire form; item order may differ."""
    upsert, remove, values, *rest = change
    removed_values = rest[0] if rest else []
    patched = patch_document(document, upsert=upsert, remove=remove)
    patched.update(values)
    return {k: item for k, item in patched.items() if k not in removed_values}


def _index_by_name(items: Any) -> dict[str, Any]:
    return {item["name"]: item for item in items or []}


def _validate_names(section: str, names: Any) -> list[Any]:
    if not isinstance(names, list):
        raise ValueError(f"remove.{section} must be a list of names, got {names!r}")
    return names


def _get_item_name(section: str, item: Any) -> str:
    if not isinstance(item, Mapping) or not isinstance(item.get("name"), str):
        raise ValueError(f"upsert.{section} must hold named items, got {item!r}")
    return str(item["name"])
