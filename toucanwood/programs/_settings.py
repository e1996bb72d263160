"""The settings files of the roles, which `toucanwood serve` reads."""

import re
from collections.abc import Mapping
from typing import Any

import attrs

from toucanwood.controller import ControllerSettings
from toucanwood.gateway import GatewaySettings
from toucanwood.settings import is_address
from toucanwood.utils import FieldError, MappingReader, ValidationError

ROLES = ("entry", "controller")
SHA256_PATTERN = re.compile(r"[0-9a-f]{64}")
TOKEN_FIELDS = ("operator_token_sha256", "target_token_sha256")


@attrs.frozen
class EntryRole:
    """The settings of an entry."""

    gateway: GatewaySettings


@attrs.frozen(kw_only=True)
class ControllerRole:
    """The settings of a controller and the hashes of the tokens of its callers."""

    controller: ControllerSettings
    operator_token_sha256: str = attrs.field(repr=False)
    target_token_sha256: str = attrs.field(repr=False)


def read_role(
    mapping: Any, lines: Mapping[str, int] | None = None
) -> EntryRole | ControllerRole:
    """Build the settings of a role; raise a ValidationError with every error."""
    errors: list[FieldError] = []
    reader = MappingReader(mapping, "", errors, lines)
    role = reader.read_choice("role", ROLES)
    if role not in ROLES:
        raise ValidationError(errors)
    if role == "entry":
        return _read_entry(reader, mapping)
    return _read_controller(reader, mapping)


def _read_entry(reader: MappingReader, mapping: Mapping[str, Any]) -> EntryRole:
    _check_addresses(reader, mapping, ("listen", "ready", "metrics"))
    names = _list_fields(GatewaySettings) - {"peer"}
    settings = _build(GatewaySettings, reader, mapping, names, {})
    return EntryRole(settings)


def _read_controller(
    reader: MappingReader, mapping: Mapping[str, Any]
) -> ControllerRole:
    _check_addresses(reader, mapping, ("http", "metrics"))
    tokens = {}
    for name in TOKEN_FIELDS:
        tokens[name] = reader.read(name, str)
        if tokens[name] is not None and not SHA256_PATTERN.fullmatch(tokens[name]):
            # The message must not contain the value, which may be the token itself.
            got = f"{len(tokens[name])} characters"
            allowed = "a SHA-256 as 64 lower-case hexadecimal digits"
            reader.add_error(name, got, allowed)
    # One server answers operators, targets and callers.
    http = mapping.get("http", "")
    derived = {"control": http, "directory": http, "founders": []}
    names = _list_fields(ControllerSettings) - {"peer", "control", "directory"}
    names |= {"http", *TOKEN_FIELDS}
    settings = _build(ControllerSettings, reader, mapping, names, derived)
    return ControllerRole(controller=settings, **tokens)


def _build(
    settings_type: Any,
    reader: MappingReader,
    mapping: Mapping[str, Any],
    names: set[str],
    derived: dict[str, Any],
) -> Any:
    """Build the settings of a process; raise a ValidationError with every error."""
    names |= {"role"}
    for name in mapping:
        if name not in names:
            allowed = "one of " + ", ".join(sorted(names))
            reader.add_error(str(name), mapping[name], allowed)
    peer = f"{mapping.get('id', '')}:{mapping.get('peer_port', '')}"
    try:
        settings = settings_type.from_config(
            {**derived, "peer": peer, **mapping}, reader.lines
        )
    except ValidationError as error:
        raise ValidationError([*reader.errors, *error.errors]) from None
    if reader.errors:
        raise ValidationError(reader.errors)
    return settings


def _list_fields(settings_type: Any) -> set[str]:
    return {field.name for field in attrs.fields(settings_type)}


def _check_addresses(
    reader: MappingReader, mapping: Mapping[str, Any], names: tuple[str, ...]
) -> None:
    for name in names:
        value = mapping.get(name)
        if isinstance(value, str) and not is_address(value):
            allowed = "an IP address and port such as 127.0.0.1:8101"
            reader.add_error(name, value, allowed)
