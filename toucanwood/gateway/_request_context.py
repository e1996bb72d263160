"""State of one request while it runs."""

import asyncio
from typing import Any

import attrs

from toucanwood.httpd import CallerRequest
from toucanwood.placement import Transfer
from toucanwood.relay import RelaySelector
from toucanwood.routing import Organisation, Route
from toucanwood.verdicts import Verdict


@attrs.define
class Attempt:
    """Record of one attempt to send a request to a target, for the log.

    It holds the estimates before the attempt and its outcome.
    """

    target: str
    reason: str
    expected_ms: int
    warm_probability: float
    load: float
    slots: int
    # None if this entry has no load report of the target yet.
    report_age_ms: int | None
    slowdown: float
    outcome: str = ""
    duration_ms: int = 0

    def format(self) -> str:
        """Return the record as one string without spaces, for the log."""
        report = (
            f":report={self.report_age_ms}ms" if self.report_age_ms is not None else ""
        )
        return (
            f"{self.target}:{self.reason}:{self.outcome}:{self.duration_ms}ms"
            f":expected={self.expected_ms}ms:warm={self.warm_probability:g}"
            f":load={self.load:.1f}/{self.slots}{report}"
            f":slow={self.slowdown:.1f}"
        )


class RequestError(Exception):
    """Raised if a request fails; `verdict` describes the failure to the caller."""

    def __init__(self, verdict: Verdict) -> None:
        super().__init__(verdict.message)
        self.verdict = verdict


@attrs.define(eq=False)
class RequestContext:
    """One request, its limits, and whether a target may have run it so far.

    Times are event loop times in seconds.
    """

    request: CallerRequest
    request_id: str
    route: Route
    organisation: Organisation | None
    service: str
    body: bytes
    object_key: str | None
    # Latest time of a response that meets the objective of the route.
    objective_at: float
    # When the caller stops waiting.
    caller_deadline_at: float
    # The earlier of the caller's deadline and the end of the route's timeout.
    deadline_at: float
    # Revision of the routing table that the request was matched with.
    revision: int
    attempts: list[Attempt] = attrs.field(factory=list)
    sends: int = 0
    may_have_run: bool = False
    excluded: set[str] = attrs.field(factory=set)
    # Time on the entry's link that is reserved for a large response.
    transfer: Transfer | None = None
    # Whether the request holds a permit of the LargeResponseGate.
    holds_permit: bool = False
    # Set if the response is received through a relay.
    relays: RelaySelector | None = None
    # Further fields of the log line of the request.
    log_fields: dict[str, Any] = attrs.field(factory=dict)
    timeout: asyncio.Timeout | None = None

    @property
    def is_idempotent(self) -> bool:
        """Return whether the request may run more than once."""
        return self.route.is_idempotent
