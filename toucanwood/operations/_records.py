"""Records of operations and the commands that change them."""

import asyncio
from collections.abc import Mapping
from enum import Enum
from typing import Any, Protocol

import attrs
from returns.result import Failure, Result, Success

from toucanwood.verdicts import Verdict, doubt, refuse

# Longer bodies are not kept; the record then has only the status.
MAX_BODY_BYTES = 64 * 1024


class Submitter(Protocol):
    """Submit commands to the catalog.

    A `Success` carries the catalog's decision. A `Failure` with a status under 500 is a
    decision as well; any other says whether the command may have been committed.
    """

    async def submit(
        self, command: dict[str, Any], *, timeout: float
    ) -> Result[Any, Verdict]:
        """Submit one command and wait up to `timeout` seconds."""


@attrs.frozen(kw_only=True)
class Begun:
    """The caller may dispatch the operation once; it must then report the outcome."""

    organisation: str
    key: str
    attempt: str


@attrs.frozen(kw_only=True)
class Recorded:
    """The complete response to an operation that has run."""

    status: int
    headers: list[list[str]] = attrs.field(factory=list)
    body: bytes = b""


class Phase(Enum):
    """Tell what this entry is doing with an operation."""

    BEGINNING = "beginning"
    RUNNING = "running"
    STORING = "storing"
    RELEASING = "releasing"


@attrs.define(kw_only=True, eq=False)
class Attempt:
    """One attempt of this entry; `ended` has its outcome, None if it was released."""

    organisation: str
    key: str
    digest: str
    attempt: str
    ended: asyncio.Future[Recorded | Verdict | None]
    phase: Phase = Phase.BEGINNING

    def end(self, outcome: Recorded | Verdict | None) -> None:
        """Give the outcome to the waiting resends, once."""
        if not self.ended.done():
            self.ended.set_result(outcome)

    def describe(self) -> dict[str, str]:
        """Return the fields that name the attempt in every command."""
        return {
            "organisation": self.organisation,
            "key": self.key,
            "attempt": self.attempt,
        }


def find_decision(result: Result[Any, Verdict]) -> Any:
    """Return the catalog's decision, or None if the answer is not known."""
    if isinstance(result, Success):
        return result.unwrap()
    verdict = result.failure()
    return verdict if verdict.status < 500 else None


def read_begin(decision: Any, attempt: Attempt) -> Result[Begun | Recorded, Verdict]:
    """Translate the decision on `begin_operation`.

    Only the outcome "begun" for this very attempt allows a dispatch.
    """
    if isinstance(decision, Verdict):
        return Failure(decision)
    fields = decision if isinstance(decision, Mapping) else {}
    outcome = fields.get("outcome")
    is_own = fields.get("attempt", attempt.attempt) == attempt.attempt
    if outcome == "begun" and is_own:
        return Success(Begun(**attempt.describe()))
    if outcome == "recorded" and fields.get("body") is not None:
        return Success(
            Recorded(
                status=fields["status"],
                headers=[list(pair) for pair in fields.get("headers") or []],
                body=fields["body"],
            )
        )
    return Failure(_explain(outcome, attempt.key))


def _explain(outcome: Any, key: str) -> Verdict:
    if outcome == "conflict":
        return refuse_conflict(key)
    if outcome == "full":
        return refuse_unavailable(key)
    if outcome == "recorded":
        return doubt(
            "response_not_kept",
            f"the operation with key {key} has run, its response was too long to keep",
            status=409,
        )
    if outcome == "expired":
        return doubt(
            "operation_expired",
            f"the operation with key {key} has run, its response has expired",
            status=409,
        )
    return doubt_outcome(key)


def refuse_conflict(key: str) -> Verdict:
    """Build the verdict for a key that was used with another request."""
    return refuse(
        "operation_conflict",
        f"idempotency key {key} was used with another request body",
        status=409,
    )


def refuse_unavailable(key: str) -> Verdict:
    """Build the verdict for an operation that could not be recorded."""
    return refuse(
        "operation_unavailable",
        f"the operation with key {key} could not be recorded and was not started",
        status=503,
        retry_after=1.0,
    )


def doubt_outcome(key: str) -> Verdict:
    """Build the verdict for an operation without a known outcome."""
    return doubt(
        "operation_in_progress",
        f"the operation with key {key} was started and its outcome is not known",
        status=409,
    )
