"""Client that records operations so that each idempotency key runs at most once."""

import asyncio
import secrets
from typing import Any

import structlog
from returns.result import Failure, Result, Success

from toucanwood.operations._attempts import (
    MAX_BODY_BYTES,
    AttemptPhase,
    CommandSubmitter,
    OperationAttempt,
    OperationHandle,
    RecordedResponse,
    build_unknown_outcome_verdict,
    get_decision,
    refuse_conflict,
    refuse_unavailable,
    translate_begin_decision,
)
from toucanwood.peering import PeerUnavailable
from toucanwood.state import CommandResult
from toucanwood.utils import TaskGroup
from toucanwood.verdicts import Verdict

SUBMIT_TIMEOUT_S = 0.5
MIN_RETRY_DELAY_S = 0.02
MAX_RETRY_DELAY_S = 1.0
# Time after which background retries to change a record end. The record then stays as
# it is, and retries of the operation get may-have-run.
BACKGROUND_TIMEOUT_S = 60.0
MAX_BACKGROUND_RETRIES = 1024
# Delay before a release is submitted a second time. A begin whose result was not
# received may be committed until its submission has timed out on all instances.
SECOND_RELEASE_DELAY_S = 5.0

CatalogDecision = CommandResult | Verdict

log = structlog.get_logger()


class OperationClient:
    """Keep one record per idempotency key and allow one dispatch for the key.

    Every operation that has begun must end with `finish`, `release` or `abandon`.
    """

    def __init__(self, *, submitter: CommandSubmitter) -> None:
        self._submitter = submitter
        self._attempts: dict[tuple[str, str], OperationAttempt] = {}
        self._background_retries = 0
        self._tasks = TaskGroup()

    async def stop(self) -> None:
        """Stop the background retries; the unfinished records stay in progress."""
        await self._tasks.stop()

    async def begin(
        self,
        organisation: str,
        key: str,
        digest: bytes,
        *,
        deadline: float,
    ) -> Result[OperationHandle | RecordedResponse, Verdict]:
        """Commit a record, or return the recorded response of an earlier attempt.

        A retry waits until `deadline` (loop time) for the outcome of an earlier request
        at this entry.
        """
        while True:
            earlier = self._attempts.get((organisation, key))
            if earlier is None:
                attempt = self._create_attempt(organisation, key, digest)
                return await self._begin(attempt, deadline)
            if earlier.digest != digest:
                return Failure(refuse_conflict(key))
            outcome = await self._wait_for_outcome(earlier, deadline)
            if isinstance(outcome, Verdict):
                return Failure(outcome)
            if outcome is not None:
                return Success(outcome)

    async def finish(
        self, operation: OperationHandle, response: RecordedResponse
    ) -> None:
        """Record the response; if that fails, retry in the background."""
        attempt = self._get_running_attempt(operation)
        attempt.phase = AttemptPhase.STORING
        command = self._build_finish_command(attempt, response)
        if await self._submit_or_retry(attempt, command):
            self._end_attempt(attempt, response)
        else:
            attempt.set_outcome(build_unknown_outcome_verdict(attempt.key))

    async def release(self, operation: OperationHandle) -> None:
        """Remove the record of an operation that is proven not to have run."""
        await self._release_attempt(self._get_running_attempt(operation))

    def abandon(self, operation: OperationHandle) -> None:
        """Leave the record in progress, because the operation may have run."""
        attempt = self._get_running_attempt(operation)
        self._end_attempt(attempt, build_unknown_outcome_verdict(attempt.key))

    def dump(self) -> dict[str, Any]:
        """Return the number of operations of this entry by phase, without keys."""
        phases = [attempt.phase.value for attempt in self._attempts.values()]
        counts = {phase.value: phases.count(phase.value) for phase in AttemptPhase}
        return {**counts, "background": self._background_retries}

    def _create_attempt(
        self, organisation: str, key: str, digest: bytes
    ) -> OperationAttempt:
        attempt = OperationAttempt(
            organisation=organisation,
            key=key,
            digest=digest,
            attempt_id=secrets.token_hex(16),
            outcome_future=asyncio.get_running_loop().create_future(),
        )
        self._attempts[organisation, key] = attempt
        return attempt

    def _get_running_attempt(self, operation: OperationHandle) -> OperationAttempt:
        attempt = self._attempts.get((operation.organisation, operation.key))
        is_same = attempt is not None and attempt.attempt_id == operation.attempt_id
        if attempt is None or not is_same or attempt.phase is not AttemptPhase.RUNNING:
            raise ValueError(f"operation must be running, got {operation!r}")
        return attempt

    def _end_attempt(
        self, attempt: OperationAttempt, outcome: RecordedResponse | Verdict | None
    ) -> None:
        del self._attempts[attempt.organisation, attempt.key]
        attempt.set_outcome(outcome)

    async def _begin(
        self, attempt: OperationAttempt, deadline: float
    ) -> Result[OperationHandle | RecordedResponse, Verdict]:
        command = {
            "kind": "begin_operation",
            **attempt.get_command_fields(),
            "digest": attempt.digest,
        }
        try:
            decision = await self._submit_until(command, deadline)
        except asyncio.CancelledError:
            self._release_in_background(attempt)
            raise
        if decision is None:
            self._release_in_background(attempt)
            return Failure(refuse_unavailable(attempt.key))
        result = translate_begin_decision(decision, attempt)
        if isinstance(result, Success) and isinstance(result.unwrap(), OperationHandle):
            attempt.phase = AttemptPhase.RUNNING
        else:
            self._end_attempt(attempt, _get_retry_outcome(result))
        return result

    async def _wait_for_outcome(
        self, earlier: OperationAttempt, deadline: float
    ) -> RecordedResponse | Verdict | None:
        """Return the outcome of an earlier attempt, or a verdict at the deadline.

        None means that the attempt was released and a new one may begin.
        """
        if (
            earlier.outcome_future.done()
            and earlier.phase is not AttemptPhase.RELEASING
        ):
            return earlier.outcome_future.result()
        timeout = max(deadline - asyncio.get_running_loop().time(), 0.0)
        await asyncio.wait([earlier.outcome_future], timeout=timeout)
        if earlier.outcome_future.done():
            return earlier.outcome_future.result()
        if earlier.phase is AttemptPhase.RELEASING:
            return refuse_unavailable(earlier.key)
        return build_unknown_outcome_verdict(earlier.key)

    async def _release_attempt(self, attempt: OperationAttempt) -> None:
        attempt.phase = AttemptPhase.RELEASING
        command = {"kind": "release_operation", **attempt.get_command_fields()}
        if await self._submit_or_retry(attempt, command):
            self._end_attempt(attempt, None)

    async def _submit_or_retry(
        self, attempt: OperationAttempt, command: dict[str, Any]
    ) -> bool:
        """Submit once; without a decision, continue in the background."""
        decision = None
        try:
            decision = await self._submit(command, SUBMIT_TIMEOUT_S)
        finally:
            if decision is None:
                self._retry_in_background(attempt, command)
        return decision is not None

    def _release_in_background(self, attempt: OperationAttempt) -> None:
        """Release an attempt whose begin may yet be committed."""
        attempt.phase = AttemptPhase.RELEASING
        command = {"kind": "release_operation", **attempt.get_command_fields()}
        self._retry_in_background(
            attempt, command, second_submit_delay=SECOND_RELEASE_DELAY_S
        )

    def _retry_in_background(
        self,
        attempt: OperationAttempt,
        command: dict[str, Any],
        *,
        second_submit_delay: float = 0.0,
    ) -> None:
        if self._background_retries >= MAX_BACKGROUND_RETRIES:
            log.warning("operation_retry_dropped", limit=MAX_BACKGROUND_RETRIES)
            self._end_attempt(attempt, build_unknown_outcome_verdict(attempt.key))
            return
        self._background_retries += 1
        retry = self._retry(attempt, command, second_submit_delay)
        self._tasks.start(retry, name=f"retry-{command['kind']}")

    async def _retry(
        self,
        attempt: OperationAttempt,
        command: dict[str, Any],
        second_submit_delay: float,
    ) -> None:
        deadline = asyncio.get_running_loop().time() + BACKGROUND_TIMEOUT_S
        try:
            decision = await self._submit_until(command, deadline)
            is_released = (
                attempt.phase is AttemptPhase.RELEASING and decision is not None
            )
            outcome = (
                None if is_released else build_unknown_outcome_verdict(attempt.key)
            )
            self._end_attempt(attempt, outcome)
            if second_submit_delay > 0 and decision is not None:
                await asyncio.sleep(second_submit_delay)
                await self._submit_until(command, deadline)
        finally:
            self._background_retries -= 1

    async def _submit_until(
        self, command: dict[str, Any], deadline: float
    ) -> CatalogDecision | None:
        """Submit until there is a decision; return None at the deadline."""
        loop = asyncio.get_running_loop()
        delay = MIN_RETRY_DELAY_S
        while loop.time() < deadline:
            timeout = min(deadline - loop.time(), SUBMIT_TIMEOUT_S)
            decision = await self._submit(command, timeout)
            if decision is not None:
                return decision
            await asyncio.sleep(min(delay, max(deadline - loop.time(), 0.0)))
            delay = min(delay * 2, MAX_RETRY_DELAY_S)
        return None

    async def _submit(
        self, command: dict[str, Any], timeout: float
    ) -> CatalogDecision | None:
        """Submit once; return None if the decision is unknown."""
        try:
            async with asyncio.timeout(timeout):
                result = await self._submitter.submit(command, timeout=timeout)
        except (TimeoutError, PeerUnavailable, OSError):
            return None
        return get_decision(result)

    def _build_finish_command(
        self, attempt: OperationAttempt, response: RecordedResponse
    ) -> dict[str, Any]:
        is_kept = len(response.body or b"") <= MAX_BODY_BYTES
        return {
            "kind": "finish_operation",
            **attempt.get_command_fields(),
            "status": response.status,
            "headers": response.headers,
            "body": response.body if is_kept else None,
        }


def _get_retry_outcome(
    result: Result[OperationHandle | RecordedResponse, Verdict],
) -> RecordedResponse | Verdict | None:
    """Return the outcome for waiting retries; None lets them begin a new attempt."""
    if isinstance(result, Success):
        outcome = result.unwrap()
        return outcome if isinstance(outcome, RecordedResponse) else None
    return result.failure()
