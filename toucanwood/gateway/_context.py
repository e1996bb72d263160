"""What one request carries from step to step."""

import asyncio
from typing import Any

import attrs

from toucanwood.httpd import CallerRequest
from toucanwood.placement import Transfer
from toucanwood.relay import RelaySelector
from toucanwood.routing import Organisation, Route
from toucanwood.verdicts import Verdict


@attrs.define
class AttemptNote:
    """Record one attempt for the log: what was believed, and how it ended."""

    target: str
    reason: str
    expected_ms: int
    warm_probability: float
    load: float
    slots: int
    report_age_ms: int
    slowdown: float
    outcome: str = ""
    duration_ms: int = 0

    def format(self) -> str:
        """Return the record as one word."""
        return (
            f"{self.target}:{self.reason}:{self.outcome}:{self.duration_ms}ms"
            f":expected={self.expected_ms}ms:warm={self.warm_probability:g}"
            f":load={self.load:.1f}/{self.slots}:report={self.report_age_ms}ms"
            f":slow={self.slowdown:.1f}"
        )


class Refusal(Exception):
    """End a request with a verdict."""

    def __init__(self, verdict: Verdict) -> None:
        super().__init__(verdict.message)
        self.verdict = verdict


@attrs.define(eq=False)
class RequestContext:
    """Hold one request; times are those of the event loop, in seconds."""

    request: CallerRequest
    request_id: str
    route: Route
    organisation: Organisation | None
    service: str
    body: bytes
    object_key: str | None
    objective_at: float
    # When the caller stops to wait, and when the route's time is up.
    caller_deadline_at: float
    deadline_at: float
    revision: int
    attempts: list["AttemptNote"] = attrs.field(factory=list)
    sends: int = 0
    may_have_run: bool = False
    excluded: set[str] = attrs.field(factory=set)
    # The planned use of the link by a large response.
    transfer: Transfer | None = None
    holds_permit: bool = False
    # Set where a relay takes the response in.
    relays: RelaySelector | None = None
    log_fields: dict[str, Any] = attrs.field(factory=dict)
    timeout: asyncio.Timeout | None = None

    @property
    def is_retryable(self) -> bool:
        """Return whether the request may run more than once."""
        return self.route.is_retryable
