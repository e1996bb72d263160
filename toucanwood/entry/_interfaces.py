"""What an entry needs from the other packages, and the values it hands to them."""

from collections.abc import Callable, Collection, Mapping, Sequence
from enum import Enum
from typing import Any, Protocol

import attrs
from returns.result import Result

from toucanwood.verdicts import Verdict


class OutcomeKind(Enum):
    """Tell how one attempt at a target ended."""

    COMPLETED = "completed"
    SHED = "shed"
    UNREACHABLE = "unreachable"
    FAILED = "failed"
    TIMED_OUT = "timed-out"
    CANCELLED = "cancelled"
    UNUSED = "unused"


@attrs.frozen
class Outcome:
    """Describe one attempt to the owner of the slot; `latency` is in seconds."""

    kind: OutcomeKind
    latency: float
    status: int | None = None


@attrs.frozen(kw_only=True)
class Announcement:
    """Describe a target that announces itself or renews its announcement."""

    id: str
    service: str
    address: str
    data_centre: str
    slots: int
    load: float


@attrs.frozen
class RecordedResponse:
    """Keep the response to an operation; `body` is None when it was too large."""

    status: int
    headers: list[list[str]]
    body: bytes | None


class SlotLease(Protocol):
    """Name the target whose slot was acquired; `address` is "host:port".

    The request must start before `start_by` and end when `on_lost` is called.
    """

    on_lost: Callable[[], None] | None

    @property
    def start_by(self) -> float: ...

    @property
    def target_id(self) -> str: ...

    @property
    def address(self) -> str: ...


class TargetLease(Protocol):
    """Give the time in seconds until a target must renew its announcement."""

    @property
    def seconds(self) -> float: ...


class RankedEntry(Protocol):
    """Describe one instance that callers may use."""

    @property
    def id(self) -> str: ...

    @property
    def address(self) -> str: ...

    @property
    def region(self) -> str: ...


class View(Protocol):
    """Read the replicated state; see `feed`."""

    @property
    def is_ready(self) -> bool: ...

    @property
    def revision(self) -> int: ...

    @property
    def declaration(self) -> Any: ...

    def authenticate(self, key: str, now: float) -> Result[str, Verdict]: ...

    def get_age(self, now: float) -> float: ...


class Limiter(Protocol):
    """Take one token of an organisation; see `limits`."""

    async def acquire(
        self, organisation: str, *, deadline: float
    ) -> Result[None, Verdict]: ...

    def refund(self, organisation: str) -> None: ...


class Operations(Protocol):
    """Keep at-most-once records; see `operations`.

    `begin` returns an object with a `response` (recorded) or an `operation` (begun).
    """

    async def begin(
        self, organisation: str, key: str, digest: bytes, *, deadline: float
    ) -> Result[Any, Verdict]: ...

    async def finish(self, operation: Any, response: RecordedResponse) -> Any: ...

    async def release(self, operation: Any) -> Any: ...

    def abandon(self, operation: Any) -> None: ...


class RegionSelector(Protocol):
    """Choose the region that serves a request; see `steering`."""

    def choose(
        self, service: str, home_region: str, now: float
    ) -> Result[str, Verdict]: ...


class Dispatcher(Protocol):
    """Hand out slots and keep the targets that announced; see `dispatch`."""

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
    """Find the home region of a caller's address; see `steering`."""

    def locate(self, address: str) -> str | None: ...


class Operators(Protocol):
    """Serve the operators' part of the HTTP table."""

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
