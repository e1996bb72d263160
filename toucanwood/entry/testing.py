"""In-process collaborators of an entry, for tests and benchmarks."""

import asyncio
import hashlib
import math
from collections.abc import Callable, Collection, Mapping, Sequence
from types import SimpleNamespace
from typing import Any

import attrs
from returns.result import Failure, Result, Success

from toucanwood.declaration import Declaration, Link, Route, Service
from toucanwood.entry import Announcement, Entry, Outcome, RecordedResponse
from toucanwood.verdicts import Verdict, build_uncertain_verdict, refuse

OPERATOR_TOKEN = "operator-token"
TARGET_TOKEN = "target-token"
KEY = "key-of-a"


def hash_token(token: str) -> str:
    """Return the form in which the settings keep a token."""
    return hashlib.sha256(token.encode()).hexdigest()


def build_settings(**changes: Any) -> SimpleNamespace:
    """Build the settings that an entry reads."""
    settings = SimpleNamespace(
        id="norte-1-a",
        data_centre="norte-1",
        region="norte",
        http="127.0.0.1:0",
        operator_token_sha256=hash_token(OPERATOR_TOKEN),
        target_token_sha256=hash_token(TARGET_TOKEN),
        lookup_ttl=2.0,
        stop_timeout=10,
    )
    vars(settings).update(changes)
    return settings


def build_service(name: str, prefix: str, **changes: Any) -> Service:
    """Build a declared service with one route."""
    access = changes.pop("access", "keyed")
    fields = {"shed_statuses": frozenset({503}), **changes}
    return Service(name, (Route(prefix, access),), **fields)


def build_declaration(*services: Service, links: Sequence[Link] = ()) -> Declaration:
    """Build the parts of a declaration that an entry reads."""
    return Declaration(services=services, links=tuple(links))


class FakeView:
    """Know a few keys; `withdrawn` keys are refused."""

    def __init__(self, declaration: Any) -> None:
        self.is_ready = True
        self.revision = 1
        self.declaration = declaration
        self.keys = {KEY: "a", "key-of-b": "b"}
        self.withdrawn: set[str] = set()

    def authenticate(self, key: str, now: float) -> Result[str, Verdict]:
        """Return the organisation of a key."""
        organisation = self.keys.get(key)
        if organisation is None or key in self.withdrawn:
            return Failure(refuse("key_unknown", "the key is not valid", status=401))
        return Success(organisation)

    def get_age(self, now: float) -> float:
        """Return a constant age in seconds."""
        return 0.1


class FakeLimiter:
    """Count the tokens of each organisation; `refused` ones get none."""

    def __init__(self) -> None:
        self.spent: dict[str, int] = {}
        self.refused: set[str] = set()

    async def acquire(
        self, organisation: str, *, deadline: float
    ) -> Result[None, Verdict]:
        """Take a token."""
        if organisation in self.refused:
            message = "the rate is exceeded"
            return Failure(
                refuse("rate_exceeded", message, status=429, retry_after=0.5)
            )
        self.spent[organisation] = self.spent.get(organisation, 0) + 1
        return Success(None)

    def refund(self, organisation: str) -> None:
        """Give a token back."""
        self.spent[organisation] -= 1


@attrs.define
class _Record:
    digest: bytes
    response: RecordedResponse | None = None


class FakeOperations:
    """Keep operation records in memory."""

    def __init__(self) -> None:
        self.records: dict[tuple[str, str], _Record] = {}
        self.open: set[tuple[str, str]] = set()

    async def begin(
        self, organisation: str, key: str, digest: bytes, *, deadline: float
    ) -> Result[Any, Verdict]:
        """Begin an operation, or return its recorded response."""
        record = self.records.get((organisation, key))
        if record is None:
            self.records[organisation, key] = _Record(digest)
            self.open.add((organisation, key))
            return Success(SimpleNamespace(operation=(organisation, key)))
        if record.digest != digest:
            message = "the key was used for another request"
            return Failure(refuse("operation_conflict", message, status=409))
        if record.response is None:
            message = "the operation may have run"
            return Failure(
                build_uncertain_verdict("operation_in_doubt", message, status=409)
            )
        return Success(SimpleNamespace(response=record.response))

    async def finish(self, operation: Any, response: RecordedResponse) -> None:
        """Record the response."""
        self.open.remove(operation)
        self.records[operation].response = response

    async def release(self, operation: Any) -> None:
        """Forget an operation that did not run."""
        self.open.remove(operation)
        del self.records[operation]

    def abandon(self, operation: Any) -> None:
        """Leave an operation in doubt."""
        self.open.remove(operation)


@attrs.define
class FakeLease:
    """Name a target."""

    target_id: str
    address: str
    number: int
    start_by: float = math.inf
    on_lost: Callable[[], None] | None = None


class FakeDispatcher:
    """Hand out targets in turn and count the leases."""

    def __init__(self, targets: Mapping[str, str]) -> None:
        self.targets = dict(targets)
        self.granted = 0
        self.outcomes: list[tuple[str, Outcome]] = []
        self.held: set[int] = set()
        self.announced: list[Announcement] = []
        self.gate: asyncio.Event | None = None
        self.is_round_robin = False
        self.start_by = math.inf
        self.last_lease: FakeLease | None = None

    async def acquire(
        self,
        service: str,
        organisation: str,
        region: str,
        *,
        deadline: float,
        exclude: Collection[str] = (),
    ) -> Result[FakeLease, Verdict]:
        """Return the first target that is not excluded, or the next in turn."""
        if self.gate is not None:
            await self.gate.wait()
        names = [name for name in self.targets if name not in exclude]
        if not names:
            message = "no target has a free slot"
            return Failure(refuse("no_target", message, status=503, retry_after=1))
        name = names[self.granted % len(names) if self.is_round_robin else 0]
        self.granted += 1
        self.held.add(self.granted)
        address = self.targets[name]
        self.last_lease = FakeLease(name, address, self.granted, self.start_by)
        return Success(self.last_lease)

    def release(self, lease: FakeLease, outcome: Outcome) -> None:
        """Take a slot back; a second release of one lease is an error."""
        self.held.remove(lease.number)
        self.outcomes.append((lease.target_id, outcome))

    async def announce(self, announcement: Announcement) -> Result[Any, Verdict]:
        """Accept an announcement."""
        self.announced.append(announcement)
        self.targets[announcement.id] = announcement.address
        return Success(SimpleNamespace(seconds=2.0))

    async def leave(self, target_id: str) -> None:
        """Forget a target."""
        self.targets.pop(target_id, None)


class FakeRegionSelector:
    """Choose one fixed region."""

    def __init__(self, region: str = "norte") -> None:
        self.region = region

    def choose(
        self, service: str, home_region: str, now: float
    ) -> Result[str, Verdict]:
        """Return the region."""
        return Success(self.region)


class FakeClientBlocks:
    """Know no caller."""

    def locate(self, address: str) -> str | None:
        """Return no region."""
        return None


class FakeOperators:
    """Keep what operators submit."""

    def __init__(self) -> None:
        self.revision = 1
        self.text = ""
        self.withdrawn: list[str] = []

    async def apply_declaration(
        self, text: str, *, base_revision: int, request_id: str
    ) -> Result[Mapping[str, Any], Verdict]:
        """Accept a declaration on the current revision."""
        if base_revision != self.revision:
            message = f"revision {self.revision} won"
            return Failure(refuse("revision_conflict", message, status=409))
        self.revision += 1
        self.text = text
        return Success({"revision": self.revision})

    def read_declaration(self) -> tuple[int, str]:
        """Return the declaration."""
        return self.revision, self.text

    async def issue_key(
        self, organisation: str, *, request_id: str
    ) -> Result[Mapping[str, Any], Verdict]:
        """Issue a key."""
        return Success({"id": "k1", "key": "secret", "organisation": organisation})

    async def withdraw_key(
        self, key_id: str, *, request_id: str
    ) -> Result[Mapping[str, Any], Verdict]:
        """Withdraw a key."""
        self.withdrawn.append(key_id)
        return Success({"id": key_id})

    async def add_voter(self, instance_id: str) -> Result[Mapping[str, Any], Verdict]:
        """Add a voter."""
        return Success({"instance": instance_id, "role": "voter"})

    async def remove_voter(
        self, instance_id: str
    ) -> Result[Mapping[str, Any], Verdict]:
        """Remove a voter."""
        return Success({"instance": instance_id, "role": "removed"})

    async def dump(self) -> Mapping[str, Any]:
        """Return an empty state."""
        return {"state": {}}


class Fixture:
    """Hold an entry and its collaborators."""

    def __init__(
        self, declaration: Any, targets: Mapping[str, str], **settings: Any
    ) -> None:
        self.view = FakeView(declaration)
        self.limiter = FakeLimiter()
        self.operations = FakeOperations()
        self.region_selector = FakeRegionSelector()
        self.dispatcher = FakeDispatcher(targets)
        self.operators = FakeOperators()
        self.settings = build_settings(**settings)
        self.entry = Entry(
            settings=self.settings,
            view=self.view,
            limiter=self.limiter,
            operations=self.operations,
            region_selector=self.region_selector,
            dispatcher=self.dispatcher,
            client_blocks=FakeClientBlocks(),
            rank_entries=self._rank,
            operators=self.operators,
        )

    def _rank(self, home_region: str, now: float) -> list[Any]:
        settings = self.settings
        return [
            SimpleNamespace(
                id=settings.id, address=self.entry.address, region=settings.region
            )
        ]

    async def __aenter__(self) -> "Fixture":
        await self.entry.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.entry.stop()
