"""What is known of one proxied request while it runs."""

from typing import TypeVar

import attrs
from aiohttp import web
from returns.result import Failure, Result

from toucanwood.entry._body import RequestBody
from toucanwood.entry._decisions import Decision
from toucanwood.entry._routing import Match
from toucanwood.verdicts import Verdict

T = TypeVar("T")


class Refusal(Exception):
    """Carry the verdict of a request out of the steps that process it."""

    def __init__(self, verdict: Verdict) -> None:
        super().__init__(verdict.code)
        self.verdict = verdict


def unwrap(result: Result[T, Verdict]) -> T:
    """Return the value of a success; raise `Refusal` with the verdict otherwise."""
    if isinstance(result, Failure):
        raise Refusal(result.failure())
    return result.unwrap()


@attrs.define(kw_only=True)
class RequestContext:
    """Hold one request, its limits and whether it may have run so far."""

    request: web.BaseRequest
    decision: Decision
    match: Match
    body: RequestBody
    deadline: float
    key: str | None = None
    organisation: str = ""
    may_have_run: bool = False
    holds_token: bool = False
    response: web.StreamResponse | None = None

    @property
    def is_idempotent(self) -> bool:
        """Return whether the request may run more than once."""
        return self.decision.idempotent
