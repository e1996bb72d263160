"""Routing documents: named items in sections, with patches and differences.

A document is kept as the operator wrote it, so that it can be read back unchanged.
"""

from collections.abc import Mapping
from typing import Any

import attrs

Document = dict[str, Any]

# The sections that hold lists of named items.
SECTIONS = ("routes", "services", "organisations")


@attrs.frozen
class DocumentChange:
    """Hold what differs between two documents, item by item."""

    upsert: dict[str, list[Any]]
    remove: dict[str, list[str]]
    values: dict[str, Any]

    def to_wire(self) -> list[Any]:
        """Return the change as a msgpack list."""
        return [self.upsert, self.remove, self.values]


def patch_document(
    document: Mapping[str, Any],
    *,
    upsert: Mapping[str, Any],
    remove: Mapping[str, Any],
) -> Document:
    """Return a document with named items added, replaced or removed.

    Raises ValueError when the patch is not made of lists of named items.
    """
    patched = dict(document)
    for section, names in remove.items():
        gone = set(_check_list(section, names))
        patched[section] = [
            item for item in patched.get(section) or [] if item.get("name") not in gone
        ]
    for section, items in upsert.items():
        if not isinstance(items, list):
            # Values outside the sections are replaced as a whole.
            patched[section] = items
            continue
        by_name = {item["name"]: item for item in patched.get(section) or []}
        for item in items:
            by_name[_read_name(section, item)] = item
        patched[section] = list(by_name.values())
    return patched


def diff_documents(old: Mapping[str, Any], new: Mapping[str, Any]) -> DocumentChange:
    """Return the change from one document to the next."""
    change = DocumentChange(upsert={}, remove={}, values={})
    for section in SECTIONS:
        before = _index(old.get(section))
        after = _index(new.get(section))
        changed = [item for name, item in after.items() if before.get(name) != item]
        gone = [name for name in before if name not in after]
        if changed:
            change.upsert[section] = changed
        if gone:
            change.remove[section] = gone
    for name, value in new.items():
        if name not in SECTIONS and old.get(name) != value:
            change.values[name] = value
    return change


def apply_change(document: Mapping[str, Any], change: list[Any]) -> Document:
    """Return the document after a change of `diff_documents`; item order may differ."""
    upsert, remove, values = change
    patched = patch_document(document, upsert=upsert, remove=remove)
    patched.update(values)
    return patched


def _index(items: Any) -> dict[str, Any]:
    return {item["name"]: item for item in items or []}


def _check_list(section: str, names: Any) -> list[Any]:
    if not isinstance(names, list):
        raise ValueError(f"remove.{section} must be a list of names, got {names!r}")
    return names


def _read_name(section: str, item: Any) -> str:
    if not isinstance(item, Mapping) or not isinstance(item.get("name"), str):
        raise ValueError(f"upsert.{section} must hold named items, got {item!r}")
    return str(item["name"])
