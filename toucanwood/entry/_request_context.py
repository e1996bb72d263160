"""State of one proxied request while it runs."""

from typing import TypeVar

import attrs
from aiohttp import web
from returns.result import Result, Success

from toucanwood.declaration import Route, Service
from toucanwood.entry._decisions import Decision
from toucanwood.entry._request_body import RequestBody
from toucanwood.upstream import Progress
from toucanwood.verdicts import Verdict

T = TypeVar("T")


class RequestError(Exception):
    """Raised if a request fails; `verdict` describes the failure to the caller."""

    def __init__(self, verdict: Verdict) -> None:
        super().__init__(verdict.code)
        self.verdict = verdict


def unwrap(result: Result[T, Verdict]) -> T:
    """Return the value of a success; raise `RequestError` for a failure."""
    # isinstance is faster with the concrete class Success than with the abstract
    # base class Result.
    if isinstance(result, Success):
        return result.unwrap()
    raise RequestError(result.failure())


@attrs.define(kw_only=True)
class RequestContext:
    """One request, its limits, and whether a target may have run it so far."""

    request: web.BaseRequest
    decision: Decision
    route: Route
    service: Service
    body: RequestBody
    deadline: float
    key: str | None = None
    organisation: str = ""
    earlier_attempt_may_have_run: bool = False
    progress: Progress | None = None
    holds_token: bool = False
    response: web.StreamResponse | None = None

    @property
    def may_have_run(self) -> bool:
        """Return whether a target may have run the request up to now.

        This includes the attempt in progress, because the deadline of the request can
        expire during an attempt.
        """
        progress = self.progress
        return self.earlier_attempt_may_have_run or (
            progress is not None and progress.written
        )

    def end_attempt(self, *, is_proven_not_run: bool) -> None:
        """Record the end of an attempt and whether it is proven not to have run."""
        if not is_proven_not_run and self.may_have_run:
            self.earlier_attempt_may_have_run = True
        self.progress = None

    @property
    def is_idempotent(self) -> bool:
        """Return whether the request may run more than once."""
        return self.decision.idempotent
