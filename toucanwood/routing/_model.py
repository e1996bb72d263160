"""The items of a routing document."""

from enum import StrEnum

import attrs


class RouteKind(StrEnum):
    """Tell what of a route may be repeated."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    DOWNLOAD = "download"


@attrs.frozen
class Split:
    """Name a service and its part of a route's requests."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Hold the rules for the requests of one host and path prefix."""

    name: str
    host: str
    prefix: str
    kind: RouteKind
    splits: tuple[Split, ...]
    timeout_s: float | None
    objective_s: float | None
    priority: int
    max_attempts: int
    is_open: bool
    is_sticky: bool
    regions: frozenset[str]

    @property
    def is_retryable(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind is not RouteKind.UNSAFE


@attrs.frozen
class Service:
    """Hold the rules for the targets of one service."""

    name: str
    health_path: str
    max_connections: int
    cold_start_s: float
    cold_rate: float


@attrs.frozen
class Organisation:
    """Hold the keys and limits of one organisation; a rate of 0 means no limit."""

    name: str
    keys: tuple[str, ...]
    priority: int | None
    rate: float
    burst: float
    regions: frozenset[str]


@attrs.frozen
class CallerLimits:
    """Bound what a caller may send and how long it may take."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0
