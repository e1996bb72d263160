"""Validation of settings and declarations; all errors are reported together."""

import math
import reprlib
from collections.abc import Mapping
from typing import Any

import attrs

_MISSING = object()
# Bounds the length and the depth of rejected values in error messages.
_REPRESENTATION = reprlib.Repr()
_REPRESENTATION.maxstring = _REPRESENTATION.maxother = 200


@attrs.frozen
class FieldError:
    """Invalid value of one field: its path, the value and what is allowed."""

    path: str
    got: Any
    allowed: str
    line: int | None = None

    def __str__(self) -> str:
        place = f"line {self.line}: " if self.line else ""
        got = _REPRESENTATION.repr(self.got)
        return f"{place}{self.path}: got {got}, allowed: {self.allowed}"


class ValidationError(ValueError):
    """Exception with every error found in one document."""

    def __init__(self, errors: list[FieldError]) -> None:
        super().__init__("; ".join(str(field_error) for field_error in errors))
        self.errors = errors


def check_range(
    name: str, value: float, *, low: float | None = None, high: float | None = None
) -> None:
    """Raise ValueError unless `low <= value <= high`."""
    below = low is not None and value < low
    above = high is not None and value > high
    if below or above:
        raise ValueError(f"{name} must be in [{low}, {high}], got {value!r}")


class MappingReader:
    """Reader of one mapping that validates each field and collects the errors."""

    def __init__(
        self,
        mapping: Any,
        path: str,
        errors: list[FieldError],
        lines: Mapping[str, int] | None = None,
    ) -> None:
        self.path = path
        self.errors = errors
        self.lines = lines or {}
        self._known_names: set[str] = set()
        if not isinstance(mapping, Mapping):
            self.add_error("", mapping, "a mapping")
            mapping = {}
        self._mapping = mapping

    def add_error(self, name: str, got: Any, allowed: str) -> None:
        """Record an error for the field `name`."""
        path = self.child_path(name)
        self.errors.append(FieldError(path, got, allowed, self.lines.get(path)))

    def child_path(self, name: str) -> str:
        """Return the path of a field from the root of the document."""
        if not name:
            return self.path or "document"
        return f"{self.path}.{name}" if self.path else name

    def read(
        self, name: str, expected_type: type | tuple[type, ...], default: Any = _MISSING
    ) -> Any:
        """Return a field of the expected type, or its default."""
        self._known_names.add(name)
        if name not in self._mapping:
            if default is _MISSING:
                self.add_error(name, None, f"required, {_format_type(expected_type)}")
                return None
            return default
        value = self._mapping[name]
        is_unexpected_bool = isinstance(value, bool) and expected_type is not bool
        if is_unexpected_bool or not isinstance(value, expected_type):
            self.add_error(name, value, _format_type(expected_type))
            return None if default is _MISSING else default
        return value

    def read_number(
        self,
        name: str,
        default: Any = _MISSING,
        *,
        low: float | None = None,
        high: float | None = None,
        integer: bool = False,
    ) -> Any:
        """Return a number within a range, or its default."""
        value = self.read(name, int if integer else (int, float), default)
        if value is None or value is default:
            return value
        if isinstance(value, float) and not math.isfinite(value):
            self.add_error(name, value, "a finite number")
            return None if default is _MISSING else default
        try:
            check_range(name, value, low=low, high=high)
        except ValueError:
            self.add_error(name, value, f"a number in [{low}, {high}]")
        return value

    def read_choice(
        self, name: str, choices: tuple[str, ...], default: Any = _MISSING
    ) -> Any:
        """Return a string that is one of `choices`, or its default."""
        value = self.read(name, str, default)
        if value is not None and value not in choices:
            self.add_error(name, value, "one of " + ", ".join(choices))
        return value

    def read_items(self, name: str, default: Any = _MISSING) -> list["MappingReader"]:
        """Return a reader for each item of a list of mappings."""
        items = self.read(name, list, default) or []
        return [self.read_item(name, index, item) for index, item in enumerate(items)]

    def read_item(self, name: str, index: int, item: Any) -> "MappingReader":
        """Return a reader for one item of a list of mappings."""
        path = f"{self.child_path(name)}[{index}]"
        return MappingReader(item, path, self.errors, self.lines)

    def read_mapping(self, name: str) -> "MappingReader":
        """Return a reader for a nested mapping, which is empty if it is missing."""
        value = self.read(name, Mapping, {})
        return MappingReader(value, self.child_path(name), self.errors, self.lines)

    def report_unknown_fields(self) -> None:
        """Record an error for every field of the mapping that was not read."""
        known = ", ".join(sorted(self._known_names))
        for name in self._mapping:
            if name not in self._known_names:
                self.add_error(str(name), self._mapping[name], f"one of {known}")


def _format_type(expected_type: type | tuple[type, ...]) -> str:
    types = expected_type if isinstance(expected_type, tuple) else (expected_type,)
    return " or ".join(item.__name__ for item in types)
