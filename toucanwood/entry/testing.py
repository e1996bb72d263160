"""Entry with in-memory fakes of its dependencies, for tests and benchmarks."""

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
    """Return the hash of a token, as stored in the settings."""
    return hashlib.sha256(token.encode()).hexdigest()


def build_settings(**changes: Any) -> SimpleNamespace:
    """Build settings with the fields that an entry reads."""
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
    """Build a declaration with the fields that an entry reads."""
    return Declaration(services=services, links=tuple(links))


class FakeCatalogView:
    """View with two keys; keys in `withdrawn` are refused."""

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
    """Limiter that counts tokens and refuses `refused_organisations`."""

    def __init__(self) -> None:
        self.consumed_tokens: dict[str, int] = {}
        self.refused_organisations: set[str] = set()

    async def acquire(
        self, organisation: str, *, deadline: float
    ) -> Result[None, Verdict]:
        """Consume a token."""
        if organisation in self.refused_organisations:
            message = "the rate is exceeded"
            return Failure(
                refuse("rate_exceeded", message, status=429, retry_after=0.5)
            )
        self.consumed_tokens[organisation] = (
            self.consumed_tokens.get(organisation, 0) + 1
        )
        return Success(None)

    def refund(self, organisation: str) -> None:
        """Return a consumed token."""
        self.consumed_tokens[organisation] -= 1


@attrs.define
class _OperationRecord:
    digest: bytes
    response: RecordedResponse | None = None


class FakeOperationClient:
    """In-memory operation records."""

    def __init__(self) -> None:
        self.records: dict[tuple[str, str], _OperationRecord] = {}
        self.open_operations: set[tuple[str, str]] = set()

    async def begin(
        self, organisation: str, key: str, digest: bytes, *, deadline: float
    ) -> Result[Any, Verdict]:
        """Begin an operation, or return its recorded response."""
        record = self.records.get((organisation, key))
        if record is None:
            self.records[organisation, key] = _OperationRecord(digest)
            self.open_operations.add((organisation, key))
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
        self.open_operations.remove(operation)
        self.records[operation].response = response

    async def release(self, operation: Any) -> None:
        """Delete the record of an operation that did not run."""
        self.open_operations.remove(operation)
        del self.records[operation]

    def abandon(self, operation: Any) -> None:
        """Leave the outcome of an operation uncertain."""
        self.open_operations.remove(operation)


@attrs.define
class FakeLease:
    """Lease of a slot of one target."""

    target_id: str
    address: str
    number: int
    start_by: float = math.inf
    on_lost: Callable[[], None] | None = None


class FakeDispatcher:
    """Dispatcher with unlimited slots that counts leases and collects outcomes.

    If `grant_event` is set to an event, leases are granted only after the event.
    """

    def __init__(self, targets: Mapping[str, str]) -> None:
        self.targets = dict(targets)
        self.granted_count = 0
        self.outcomes: list[tuple[str, Outcome]] = []
        self.held_leases: set[int] = set()
        self.announced: list[Announcement] = []
        self.grant_event: asyncio.Event | None = None
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
        """Return the first target not excluded, or the next with `is_round_robin`."""
        if self.grant_event is not None:
            await self.grant_event.wait()
        names = [name for name in self.targets if name not in exclude]
        if not names:
            message = "no target has a free slot"
            return Failure(refuse("no_target", message, status=503, retry_after=1))
        name = names[self.granted_count % len(names) if self.is_round_robin else 0]
        self.granted_count += 1
        self.held_leases.add(self.granted_count)
        address = self.targets[name]
        self.last_lease = FakeLease(name, address, self.granted_count, self.start_by)
        return Success(self.last_lease)

    def release(self, lease: FakeLease, outcome: Outcome) -> None:
        """Release a slot; raise `KeyError` if the lease was already released."""
        self.held_leases.remove(lease.number)
        self.outcomes.append((lease.target_id, outcome))

    async def announce(self, announcement: Announcement) -> Result[Any, Verdict]:
        """Accept an announcement."""
        self.announced.append(announcement)
        self.targets[announcement.id] = announcement.address
        return Success(SimpleNamespace(seconds=2.0))

    async def leave(self, target_id: str) -> None:
        """Remove a target."""
        self.targets.pop(target_id, None)


class FakeRegionSelector:
    """Region selector that always selects one region."""

    def __init__(self, region: str = "norte") -> None:
        self.region = region
        self.choice_count = 0

    def choose(
        self, service: str, home_region: str, now: float
    ) -> Result[str, Verdict]:
        """Count the choice and return the region."""
        self.choice_count += 1
        return Success(self.region)


class FakeClientBlocks:
    """Client blocks that contain no addresses."""

    def locate(self, address: str) -> str | None:
        """Return None: the home region is unknown."""
        return None


class FakeOperators:
    """In-memory store of operator changes."""

    def __init__(self) -> None:
        self.revision = 1
        self.text = ""
        self.withdrawn: list[str] = []

    async def apply_declaration(
        self, text: str, *, base_revision: int, request_id: str
    ) -> Result[Mapping[str, Any], Verdict]:
        """Accept a declaration that is based on the current revision."""
        if base_revision != self.revision:
            message = f"the current revision is {self.revision}"
            return Failure(refuse("revision_conflict", message, status=409))
        self.revision += 1
        self.text = text
        return Success({"revision": self.revision})

    def read_declaration(self) -> tuple[int, str]:
        """Return the revision and the text of the declaration."""
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


class Harness:
    """Entry and the fakes that it uses; starts and stops as a context manager."""

    def __init__(
        self, declaration: Any, targets: Mapping[str, str], **settings: Any
    ) -> None:
        self.view = FakeCatalogView(declaration)
        self.limiter = FakeLimiter()
        self.operations = FakeOperationClient()
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
            rank_entries=self._rank_entries,
            operators=self.operators,
        )

    def _rank_entries(self, home_region: str, now: float) -> list[Any]:
        settings = self.settings
        return [
            SimpleNamespace(
                id=settings.id, address=self.entry.address, region=settings.region
            )
        ]

    async def __aenter__(self) -> "Harness":
        await self.entry.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.entry.stop()
