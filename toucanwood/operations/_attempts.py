"""Operation attempts, their results and the verdicts on failures."""

import asyncio
from enum import Enum
from typing import Any, Protocol

import attrs
from returns.result import Failure, Result, Success

from toucanwood.state import CommandResult
from toucanwood.verdicts import Verdict, build_uncertain_verdict, refuse

# Maximum size of a recorded body; a longer one is not part of the record.
MAX_BODY_BYTES = 64 * 1024
FIRST_SERVER_ERROR_STATUS = 500


class CommandSubmitter(Protocol):
    """Submit commands to the catalog.

    A `Success` carries the result from the catalog. A `Failure` with a status below 500
    is a decision of the catalog too; any other tells whether the command may have been
    committed.
    """

    async def submit(
        self, command: dict[str, Any], *, timeout: float
    ) -> Result[CommandResult, Verdict]:
        """Submit one command and wait up to `timeout` seconds."""


@attrs.frozen(kw_only=True)
class OperationHandle:
    """Permit to dispatch an operation once; the holder must report the outcome."""

    organisation: str
    key: str
    attempt_id: str


@attrs.frozen(kw_only=True)
class RecordedResponse:
    """Response of an operation that has run; `body` is None if it was too long."""

    status: int
    headers: list[list[str]] = attrs.field(factory=list)
    body: bytes | None = b""


class AttemptPhase(Enum):
    """Phase of an operation attempt at this entry."""

    BEGINNING = "beginning"
    RUNNING = "running"
    STORING = "storing"
    RELEASING = "releasing"


@attrs.define(kw_only=True, eq=False)
class OperationAttempt:
    """Hold one attempt of this entry to run an operation.

    The result of `outcome_future` is None if the attempt was released.
    """

    organisation: str
    key: str
    digest: bytes
    attempt_id: str
    outcome_future: asyncio.Future[RecordedResponse | Verdict | None]
    phase: AttemptPhase = AttemptPhase.BEGINNING

    def set_outcome(self, outcome: RecordedResponse | Verdict | None) -> None:
        """Set the outcome for waiting retries; only the first call has an effect."""
        if not self.outcome_future.done():
            self.outcome_future.set_result(outcome)

    def get_command_fields(self) -> dict[str, str]:
        """Return the fields that identify the attempt in every command."""
        return {
            "organisation": self.organisation,
            "key": self.key,
            "attempt_id": self.attempt_id,
        }


def get_decision(
    result: Result[CommandResult, Verdict],
) -> CommandResult | Verdict | None:
    """Return the decision of the catalog, or None if it is unknown."""
    if isinstance(result, Success):
        return result.unwrap()
    verdict = result.failure()
    return verdict if verdict.status < FIRST_SERVER_ERROR_STATUS else None


def translate_begin_decision(
    decision: CommandResult | Verdict, attempt: OperationAttempt
) -> Result[OperationHandle | RecordedResponse, Verdict]:
    """Translate the decision on `begin_operation`.

    Only the code "begun", which the catalog returns to one attempt, permits a dispatch.
    """
    if isinstance(decision, Verdict):
        return Failure(decision)
    if decision.code == "begun":
        return Success(OperationHandle(**attempt.get_command_fields()))
    if decision.code == "recorded":
        return Success(RecordedResponse(**decision.values))
    return Failure(build_unknown_outcome_verdict(attempt.key))


def refuse_conflict(key: str) -> Verdict:
    """Build the verdict for a key that was used with another request body."""
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


def build_unknown_outcome_verdict(key: str) -> Verdict:
    """Build the verdict for an operation with an unknown outcome."""
    return build_uncertain_verdict(
        "operation_in_progress",
        f"the operation with key {key} was started and its outcome is not known",
        status=409,
    )
