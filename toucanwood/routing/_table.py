"""The routing table, built from a routing document."""

import math
from collections.abc import Callable, Mapping
from typing import Any

import attrs
import msgpack

from toucanwood.routing._model import (
    CallerLimits,
    Organisation,
    Route,
    RouteKind,
    Service,
    Split,
)
from toucanwood.utils import FieldError, MappingReader, ValidationError

# Limit on how far the objective may exceed the timeout. A larger excess cannot be
# intended.
MAX_OBJECTIVE_EXCESS_S = 60.0
MS_PER_S = 1000.0

ItemReader = Callable[[MappingReader, str], Any]


@attrs.define
class RoutingTable:
    """Look up the route of a request and the organisation of an API key."""

    revision: int
    routes: dict[str, Route]
    services: dict[str, Service]
    organisations: dict[str, Organisation]
    caller_limits: CallerLimits
    # The encoded items that the table was built from, by section and name.
    _sources: dict[str, dict[str, bytes]] = attrs.field(factory=dict, eq=False)
    _by_host: dict[str, list[Route]] = attrs.field(factory=dict, init=False)
    _by_key: dict[str, Organisation] = attrs.field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        for route in self.routes.values():
            self._by_host.setdefault(route.host, []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: -len(route.prefix))
        for organisation in self.organisations.values():
            for key in organisation.keys:
                self._by_key[key] = organisation

    @classmethod
    def from_config(
        cls, mapping: Mapping[str, Any], *, previous: "RoutingTable | None" = None
    ) -> "RoutingTable":
        """Build a table; raise ValidationError with all faults of the document.

        Items that are equal in the document of the `previous` table are taken from it,
        so that the time for a change of a large document depends on what has changed.
        """
        errors: list[FieldError] = []
        reader = MappingReader(mapping, "", errors)
        sources: dict[str, dict[str, bytes]] = {}

        def read_items(section: str, read: ItemReader) -> dict[str, Any]:
            sources[section] = {}
            known_items = getattr(previous, section, {})
            known_sources = previous._sources[section] if previous is not None else {}
            return _read_named_items(
                reader, section, read, sources[section], known_items, known_sources
            )

        table = cls(
            revision=reader.read_number("revision", low=1, integer=True) or 0,
            routes=read_items("routes", _read_route),
            services=read_items("services", _read_service),
            organisations=read_items("organisations", _read_organisation),
            caller_limits=_read_limits(reader.read_mapping("caller_limits")),
            sources=sources,
        )
        table._validate(reader)
        if errors:
            raise ValidationError(errors)
        return table

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest prefix that matches a path."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_organisation(self, key: str) -> Organisation | None:
        """Return the organisation that an API key belongs to."""
        return self._by_key.get(key)

    def _validate(self, reader: MappingReader) -> None:
        route_names: dict[tuple[str, str], str] = {}
        for route in self.routes.values():
            for split in route.splits:
                if split.service not in self.services:
                    allowed = "a declared service"
                    reader.add_error(f"routes.{route.name}", split.service, allowed)
            key = (route.host, route.prefix)
            if key in route_names:
                allowed = f"a host and prefix other than those of {route_names[key]}"
                reader.add_error(f"routes.{route.name}", key, allowed)
            route_names[key] = route.name
        key_count = sum(len(item.keys) for item in self.organisations.values())
        if key_count != len(self._by_key):
            reader.add_error("organisations", "duplicate key", "each key once")


def _read_named_items(
    reader: MappingReader,
    section: str,
    read: ItemReader,
    sources: dict[str, bytes],
    known_items: Mapping[str, Any],
    known_sources: Mapping[str, bytes],
) -> dict[str, Any]:
    """Read the items of a section and note the encoded items in `sources`."""
    items: dict[str, Any] = {}
    for index, content in enumerate(reader.read(section, list, [])):
        child = reader.read_item(section, index, content)
        name = child.read("name", str)
        if name in items:
            child.add_error("name", name, "a name that no other item has")
        source = _encode_item(content)
        if source and known_sources.get(name) == source:
            items[name] = known_items[name]
        else:
            items[name] = read(child, name)
        sources[name] = source
    return items


def _encode_item(content: Any) -> bytes:
    """Encode an item for comparison: 1 and True are equal but differ when encoded."""
    try:
        return bytes(msgpack.packb(content))
    except (TypeError, ValueError, OverflowError):
        # An item from a file can hold values that no message can; it is never reused.
        return b""


def _read_route(reader: MappingReader, name: str) -> Route:
    host = reader.read("host", str) or ""
    if not host:
        reader.add_error("host", host, "a host name")
    stated_timeout_ms = reader.read_number("timeout_ms", None, low=0)
    timeout_ms = stated_timeout_ms or 0
    objective_ms = reader.read_number("objective_ms", 0, low=0) or 0
    latest_ms = timeout_ms + MAX_OBJECTIVE_EXCESS_S * MS_PER_S
    if stated_timeout_ms is not None and objective_ms >= latest_ms:
        allowed = f"less than {MAX_OBJECTIVE_EXCESS_S:g} s above timeout_ms"
        reader.add_error("objective_ms", objective_ms, allowed)
    kinds = tuple(kind.value for kind in RouteKind)
    kind = reader.read_choice("kind", kinds)
    return Route(
        name=name,
        host=host.lower(),
        prefix=reader.read("prefix", str) or "",
        kind=RouteKind(kind) if kind in kinds else RouteKind.UNSAFE,
        splits=_read_splits(reader),
        timeout_s=timeout_ms / MS_PER_S if timeout_ms else None,
        objective_s=objective_ms / MS_PER_S if objective_ms else None,
        priority=reader.read_number("priority", 0, integer=True),
        max_attempts=max(reader.read_number("max_attempts", 1, integer=True), 1),
        is_open=reader.read("open", bool, False),
        is_sticky=reader.read("sticky", bool, False),
        regions=_read_string_set(reader, "regions"),
    )


def _read_splits(reader: MappingReader) -> tuple[Split, ...]:
    service = reader.read("service", str, None)
    if service is not None:
        return (Split(service, 1.0),)
    splits = []
    for child in reader.read_items("splits"):
        name = child.read("service", str) or ""
        splits.append(Split(name, child.read_number("weight", low=0) or 0.0))
    total = sum(split.weight for split in splits)
    if total <= 0:
        reader.add_error("splits", len(splits), "weights that add up to more than 0")
    if not math.isfinite(total):
        # Only the proportions count, and shares of an infinite sum are not defined.
        highest = max(split.weight for split in splits)
        splits = [Split(item.service, item.weight / highest) for item in splits]
    return tuple(splits)


def _read_service(reader: MappingReader, name: str) -> Service:
    return Service(
        name=name,
        health_path=reader.read("health_path", str, "/health"),
        max_connections=reader.read_number("max_connections", 0, low=0, integer=True),
        cold_start_s=reader.read_number("cold_start_s", 0.0, low=0),
        cold_rate=reader.read_number("cold_rate", 0.0, low=0),
    )


def _read_organisation(reader: MappingReader, name: str) -> Organisation:
    keys = reader.read("keys", list, [])
    if not all(isinstance(key, str) and key for key in keys):
        reader.add_error("keys", len(keys), "a list of strings")
        keys = []
    return Organisation(
        name=name,
        keys=tuple(keys),
        priority=reader.read_number("priority", None, integer=True),
        rate=reader.read_number("rate", 0.0, low=0),
        burst=reader.read_number("burst", 0.0, low=0),
        regions=_read_string_set(reader, "regions"),
    )


def _read_limits(reader: MappingReader) -> CallerLimits:
    default = CallerLimits()
    header_ms = default.header_timeout_s * MS_PER_S
    idle_ms = default.idle_timeout_s * MS_PER_S
    return CallerLimits(
        header_bytes=reader.read_number(
            "header_bytes", default.header_bytes, low=1, integer=True
        ),
        body_bytes=reader.read_number(
            "body_bytes", default.body_bytes, low=0, integer=True
        ),
        header_timeout_s=reader.read_number("header_timeout_ms", header_ms, low=1)
        / MS_PER_S,
        idle_timeout_s=reader.read_number("idle_timeout_ms", idle_ms, low=1) / MS_PER_S,
    )


def _read_string_set(reader: MappingReader, name: str) -> frozenset[str]:
    names = reader.read(name, list, [])
    if not all(isinstance(item, str) for item in names):
        reader.add_error(name, names, "a list of strings")
        return frozenset()
    return frozenset(names)
