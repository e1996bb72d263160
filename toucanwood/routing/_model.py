"""Typed items of a routing document."""

from enum import StrEnum

import attrs


class RouteKind(StrEnum):
    """The kind of requests of a route; an unsafe request must not run twice."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    DOWNLOAD = "download"


@attrs.frozen
class Split:
    """A service and its relative weight in the traffic split of a route."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """The rules for requests with one host and path prefix.

    A response that takes longer than `objective_s` is late. The lowest `priority` is
    the most urgent. An open route accepts requests without an API key. On a sticky
    route, requests for the same object go to the same few targets. `regions` are the
    regions where requests may run; the empty set allows all.
    """

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
    def is_idempotent(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind is not RouteKind.UNSAFE


@attrs.frozen
class Service:
    """The rules for the targets of one service."""

    name: str
    health_path: str
    max_connections: int
    cold_start_s: float
    cold_rate: float


@attrs.frozen
class Organisation:
    """The API keys and limits of one organisation; a rate of 0 means no limit."""

    name: str
    keys: tuple[str, ...]
    priority: int | None
    rate: float
    burst: float
    regions: frozenset[str]


@attrs.frozen
class CallerLimits:
    """The limits on the size and the duration of what a caller sends."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0
