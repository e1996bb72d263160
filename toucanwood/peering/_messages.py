"""Registry of the message types that instances exchange."""

from collections.abc import Callable
from typing import Any, TypeVar

import attrs

_types_by_number: dict[int, type] = {}
_numbers_by_type: dict[type, int] = {}
_fields_by_type: dict[type, tuple[str, ...]] = {}

C = TypeVar("C", bound=type)


def message(number: int) -> Callable[[C], C]:
    """Register an attrs class under a unique wire number."""

    def register(cls: C) -> C:
        if number in _types_by_number:
            raise ValueError(f"wire number must be unique, got {number} twice")
        _types_by_number[number] = cls
        _numbers_by_type[cls] = number
        _fields_by_type[cls] = tuple(field.name for field in attrs.fields(cls))
        return cls

    return register


def encode_message(body: Any) -> list[Any]:
    """Return `[wire number, field, ...]`; None encodes as wire number 0."""
    if body is None:
        return [0]
    cls = type(body)
    return [
        _numbers_by_type[cls],
        *(getattr(body, name) for name in _fields_by_type[cls]),
    ]


def decode_message(encoded: list[Any]) -> Any:
    """Build a message, or return None for an unknown wire number.

    Fields that a newer version appended are dropped and missing trailing fields take
    their defaults, so that instances of different versions can communicate.
    """
    cls = _types_by_number.get(encoded[0])
    if cls is None:
        return None
    values = encoded[1 : 1 + len(_fields_by_type[cls])]
    return cls(*values)
