"""Interfaces that an entry requires from other packages, and their value types."""

from collections.abc import Callable, Collection, Mapping, Sequence
from enum import Enum
from typing import Any, Protocol

import attrs
from returns.result import Result

from toucanwood.verdicts import Verdict


class OutcomeKind(Enum):
    """Outcome of one attempt to send a request to a target."""

    COMPLETED = "completed"
    SHED = "shed"
    UNREACHABLE = "unreachable"
    FAILED = "failed"
    TIMED_OUT = "timed-out"
    CANCELLED = "cancelled"
    UNUSED = "unused"


@attrs.frozen
class Outcome:
    """Report of an attempt to the dispatcher; `latency` is in seconds."""

    kind: OutcomeKind
    latency: float
    status: int | None = None


@attrs.frozen(kw_only=True)
class Announcement:
    """Registration of a target, or the renewal of its registration."""

    id: str
    service: str
    address: str
    data_centre: str
    slots: int
    load: float


@attrs.frozen
class RecordedResponse:
    """Stored response to an operation; `body` is None if it was too large to store."""

    status: int
    headers: list[list[str]]
    body: bytes | None


class SlotLease(Protocol):
    """Right to send one request to a target; `address` is "host:port".

    The request must start before the time `start_by` and stop when `on_lost` is called.
    """

    on_lost: Callable[[], None] | None

    @property
    def start_by(self) -> float: ...

    @property
    def target_id(self) -> str: ...

    @property
    def address(self) -> str: ...


class TargetLease(Protocol):
    """Validity in seconds of an announcement that is not renewed."""

    @property
    def seconds(self) -> float: ...


class RankedEntry(Protocol):
    """Entry that a lookup response offers to callers."""

    @property
    def id(self) -> str: ...

    @property
    def address(self) -> str: ...

    @property
    def region(self) -> str: ...


class CatalogView(Protocol):
    """Read access to the replicated state; implemented in `feed`."""

    @property
    def is_ready(self) -> bool: ...

    @property
    def revision(self) -> int: ...

    @property
    def declaration(self) -> Any: ...

    def authenticate(self, key: str, now: float) -> Result[str, Verdict]: ...

    def get_age(self, now: float) -> float: ...


class Limiter(Protocol):
    """Rate limiter with a token per request of an organisation; see `limits`."""

    async def acquire(
        self, organisation: str, *, deadline: float
    ) -> Result[None, Verdict]: ...

    def refund(self, organisation: str) -> None: ...


class OperationClient(Protocol):
    """Access to the operation records that ensure at-most-once execution.

    `begin` returns an object with a `response` if the operation has already run, or
    with an `operation` if it may run now. The implementation is in `operations`.
    """

    async def begin(
        self, organisation: str, key: str, digest: bytes, *, deadline: float
    ) -> Result[Any, Verdict]: ...

    async def finish(self, operation: Any, response: RecordedResponse) -> Any: ...

    async def release(self, operation: Any) -> Any: ...

    def abandon(self, operation: Any) -> None: ...


class RegionSelector(Protocol):
    """Selection of the region that serves a request; see `steering`."""

    def choose(
        self, service: str, home_region: str, now: float
    ) -> Result[str, Verdict]: ...


class Dispatcher(Protocol):
    """Assignment of target slots and registry of targets; see `dispatch`."""

    async def acquire(
        self,
        service: str,
        organisation: str,
        region: str,
        *,
        deadline: float,
        exclude: Collection[str] = (),
    ) -> Result[Any, Verdict]: ...

    def release(self, lease: Any, outcome: Outcome) -> None: ...

    async def announce(self, announcement: Announcement) -> Result[Any, Verdict]: ...

    async def leave(self, target_id: str) -> Any: ...


class ClientBlocks(Protocol):
    """Mapping of caller addresses to their home regions; see `steering`."""

    def locate(self, address: str) -> str | None: ...


class Operators(Protocol):
    """Implementation of the operator requests of the HTTP API."""

    async def apply_declaration(
        self, text: str, *, base_revision: int, request_id: str
    ) -> Result[Mapping[str, Any], Verdict]: ...

    def read_declaration(self) -> tuple[int, str]: ...

    async def issue_key(
        self, organisation: str, *, request_id: str
    ) -> Result[Mapping[str, Any], Verdict]: ...

    async def withdraw_key(
        self, key_id: str, *, request_id: str
    ) -> Result[Mapping[str, Any], Verdict]: ...

    async def add_voter(
        self, instance_id: str
    ) -> Result[Mapping[str, Any], Verdict]: ...

    async def remove_voter(
        self, instance_id: str
    ) -> Result[Mapping[str, Any], Verdict]: ...

    async def dump(self) -> Mapping[str, Any]: ...


RankEntries = Callable[[str, float], Sequence[RankedEntry]]
