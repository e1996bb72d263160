"""Records of operations and the commands that change them."""

import asyncio
from enum import Enum
from typing import Any, Protocol

import attrs
from returns.result import Failure, Result, Success

from toucanwood.state import CommandResult
from toucanwood.verdicts import Verdict, build_uncertain_verdict, refuse

# Longer bodies are not kept; the record then has only the status.
MAX_BODY_BYTES = 64 * 1024
FIRST_SERVER_ERROR_STATUS = 500


class CommandSubmitter(Protocol):
    """Submit commands to the catalog.

    A `Success` carries the catalog's answer. A `Failure` with a status under 500 is a
    decision as well; any other says whether the command may have been committed.
    """

    async def submit(
        self, command: dict[str, Any], *, timeout: float
    ) -> Result[CommandResult, Verdict]:
        """Submit one command and wait up to `timeout` seconds."""


@attrs.frozen(kw_only=True)
class OperationHandle:
    """The caller may dispatch the operation once; it must then report the outcome."""

    organisation: str
    key: str
    attempt_id: str


@attrs.frozen(kw_only=True)
class RecordedResponse:
    """The response to an operation that has run; `body` is None if it was too long."""

    status: int
    headers: list[list[str]] = attrs.field(factory=list)
    body: bytes | None = b""


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
    digest: bytes
    attempt_id: str
    ended: asyncio.Future[RecordedResponse | Verdict | None]
    phase: Phase = Phase.BEGINNING

    def end(self, outcome: RecordedResponse | Verdict | None) -> None:
        """Give the outcome to the waiting resends, once."""
        if not self.ended.done():
            self.ended.set_result(outcome)

    def describe(self) -> dict[str, str]:
        """Return the fields that name the attempt in every command."""
        return {
            "organisation": self.organisation,
            "key": self.key,
            "attempt_id": self.attempt_id,
        }


def find_decision(
    result: Result[CommandResult, Verdict],
) -> CommandResult | Verdict | None:
    """Return the catalog's decision, or None if it is not known."""
    if isinstance(result, Success):
        return result.unwrap()
    verdict = result.failure()
    return verdict if verdict.status < FIRST_SERVER_ERROR_STATUS else None


def read_begin(
    decision: CommandResult | Verdict, attempt: Attempt
) -> Result[OperationHandle | RecordedResponse, Verdict]:
    """Translate the decision on `begin_operation`.

    Only the answer "begun", which the catalog gives to one attempt, allows a dispatch.
    """
    if isinstance(decision, Verdict):
        return Failure(decision)
    if decision.code == "begun":
        return Success(OperationHandle(**attempt.describe()))
    if decision.code == "recorded":
        return Success(RecordedResponse(**decision.values))
    return Failure(doubt_outcome(attempt.key))


def refuse_conflict(key: str) -> Verdict:
    """Build the verdict for a key that was used with another request."""
    return refuse(
        "idempotency_conflict",
        f"idempotency key {key} was used with another request body",
        status=422,
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
    return build_uncertain_verdict(
        "operation_in_progress",
        f"the operation with key {key} was started and its outcome is not known",
        status=409,
    )
