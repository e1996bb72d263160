"""The declaration and its parts."""

from collections.abc import Mapping
from functools import cached_property
from typing import Any

import attrs

from toucanwood.declaration._reading import read_declaration
from toucanwood.utils import FieldError, ValidationError

SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


@attrs.frozen
class Region:
    """Region and its data centres."""

    name: str
    data_centres: tuple[str, ...] = attrs.field(converter=tuple)


@attrs.frozen
class Organisation:
    """Organisation, limited to `rate` requests per second and bursts of `burst`."""

    name: str
    rate: float
    burst: float


@attrs.frozen
class Route:
    """Route from a path prefix to a service; `access` is "keyed" or "open"."""

    prefix: str
    access: str = "keyed"

    def matches(self, path: str) -> bool:
        """Return whether `path` starts with all segments of the prefix."""
        return path == self.prefix or path.startswith(self.prefix.rstrip("/") + "/")

    @property
    def is_open(self) -> bool:
        """Return whether requests on this route need no key."""
        return self.access == "open"


@attrs.frozen
class ShiftCap:
    """Limit on shifts: `fraction` of a home region's traffic per `interval` seconds."""

    fraction: float = 1.0
    interval: float = 30.0


@attrs.frozen
class Service:
    """Service and its routes; `deadline` is in seconds."""

    name: str
    routes: tuple[Route, ...]
    idempotent: bool = True
    deadline: float = 2.0
    shed_statuses: frozenset[int] = frozenset()
    shift_cap: ShiftCap = ShiftCap()
    weight_by_region: Mapping[str, float] = attrs.field(factory=dict)

    def allows_retry(self, method: str) -> bool:
        """Return whether a request with this method may run more than once."""
        return self.idempotent or method in SAFE_METHODS


@attrs.frozen
class Drains:
    """Regions and data centres that receive no new traffic."""

    regions: frozenset[str] = frozenset()
    data_centres: frozenset[str] = frozenset()


@attrs.frozen
class Link:
    """Link between two regions; downloads may use `bulk_share` of its capacity."""

    regions: tuple[str, str]
    capacity_mbit: float
    bulk_share: float = 0.5


@attrs.frozen
class ClientBlock:
    """IP prefix of client addresses and their region."""

    block: str
    region: str


@attrs.define(frozen=True, slots=False)
class Declaration:
    """Everything that operators declare; a declaration is applied as a whole."""

    regions: tuple[Region, ...] = ()
    organisations: tuple[Organisation, ...] = ()
    services: tuple[Service, ...] = ()
    drains: Drains = Drains()
    links: tuple[Link, ...] = ()
    client_blocks: tuple[ClientBlock, ...] = ()

    @classmethod
    def from_config(
        cls, mapping: Any, lines: Mapping[str, int] | None = None
    ) -> "Declaration":
        """Build a declaration; raise a ValidationError with every error."""
        errors: list[FieldError] = []
        fields = read_declaration(mapping, errors, lines)
        if errors:
            raise ValidationError(errors)
        return cls(
            regions=tuple(Region(**item) for item in fields["regions"]),
            organisations=tuple(
                Organisation(**item) for item in fields["organisations"]
            ),
            services=tuple(_build_service(item) for item in fields["services"]),
            drains=Drains(
                frozenset(fields["drains"]["regions"]),
                frozenset(fields["drains"]["data_centres"]),
            ),
            links=tuple(_build_link(item) for item in fields["links"]),
            client_blocks=tuple(ClientBlock(**item) for item in fields["blocks"]),
        )

    def to_config(self) -> dict[str, Any]:
        """Return the mapping from which `from_config` builds an equal declaration."""
        return attrs.asdict(self, value_serializer=_serialize)

    @cached_property
    def service_by_name(self) -> dict[str, Service]:
        """Return the services by name."""
        return {service.name: service for service in self.services}

    @cached_property
    def organisation_by_name(self) -> dict[str, Organisation]:
        """Return the organisations by name."""
        return {item.name: item for item in self.organisations}

    @cached_property
    def region_by_data_centre(self) -> dict[str, str]:
        """Return the region of each data centre."""
        return {
            data_centre: region.name
            for region in self.regions
            for data_centre in region.data_centres
        }

    @cached_property
    def _routes(self) -> list[tuple[Route, Service]]:
        pairs = [
            (route, service) for service in self.services for route in service.routes
        ]
        return sorted(pairs, key=lambda pair: len(pair[0].prefix), reverse=True)

    def find_route(self, path: str) -> tuple[Route, Service] | None:
        """Return the longest matching route of `path` and its service."""
        for route, service in self._routes:
            if route.matches(path):
                return route, service
        return None

    def is_drained(self, data_centre: str) -> bool:
        """Return whether the data centre or its region is drained."""
        region = self.region_by_data_centre.get(data_centre)
        return data_centre in self.drains.data_centres or region in self.drains.regions


def _build_service(item: dict[str, Any]) -> Service:
    routes = tuple(Route(**route) for route in item["routes"])
    shift_cap = ShiftCap(**item["shift_cap"])
    shed_statuses = frozenset(item["shed_statuses"])
    return Service(
        **{
            **item,
            "routes": routes,
            "shift_cap": shift_cap,
            "shed_statuses": shed_statuses,
        }
    )


def _build_link(item: dict[str, Any]) -> Link:
    return Link(**{**item, "regions": tuple(item["regions"])})


def _serialize(_instance: Any, _field: Any, value: Any) -> Any:
    if isinstance(value, frozenset):
        return sorted(value)
    if isinstance(value, tuple):
        return list(value)
    return value
