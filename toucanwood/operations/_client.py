"""Begin, finish and release operations so that each key runs at most once."""

import asyncio
import secrets
from typing import Any

import structlog
from returns.result import Failure, Result, Success

from toucanwood.operations._records import (
    MAX_BODY_BYTES,
    Attempt,
    CommandSubmitter,
    OperationHandle,
    Phase,
    RecordedResponse,
    doubt_outcome,
    find_decision,
    read_begin,
    refuse_conflict,
    refuse_unavailable,
)
from toucanwood.peering import PeerUnavailable
from toucanwood.state import CommandResult
from toucanwood.utils import TaskGroup
from toucanwood.verdicts import Verdict

SUBMIT_TIMEOUT_S = 0.5
MIN_RETRY_DELAY_S = 0.02
MAX_RETRY_DELAY_S = 1.0
# A record that cannot be changed for this long stays as it is: resends get
# may-have-run.
BACKGROUND_TIMEOUT_S = 60.0
MAX_BACKGROUND = 1024
# A begin that was given up may still be committed until its submission has timed out
# everywhere; the release is then repeated.
SETTLE_TIME_S = 5.0

Decision = CommandResult | Verdict

log = structlog.get_logger()


class OperationClient:
    """Keep one record per key and allow one dispatch for it.

    Every begun operation must end with `finish`, `release` or `abandon`.
    """

    def __init__(self, *, submitter: CommandSubmitter) -> None:
        self._submitter = submitter
        self._attempts: dict[tuple[str, str], Attempt] = {}
        self._background = 0
        self._tasks = TaskGroup()

    async def stop(self) -> None:
        """Stop the background retries; unfinished records stay in progress."""
        await self._tasks.stop()

    async def begin(
        self,
        organisation: str,
        key: str,
        digest: bytes,
        *,
        deadline: float,
    ) -> Result[OperationHandle | RecordedResponse, Verdict]:
        """Commit a record, or return the response of the earlier run.

        A resend waits for the first request at this entry until `deadline` (loop time).
        """
        while True:
            earlier = self._attempts.get((organisation, key))
            if earlier is None:
                attempt = self._open(organisation, key, digest)
                return await self._begin(attempt, deadline)
            if earlier.digest != digest:
                return Failure(refuse_conflict(key))
            outcome = await self._await_outcome(earlier, deadline)
            if isinstance(outcome, Verdict):
                return Failure(outcome)
            if outcome is not None:
                return Success(outcome)

    async def finish(
        self, operation: OperationHandle, answer: RecordedResponse
    ) -> None:
        """Store the response; a failed store is retried in the background."""
        attempt = self._find(operation)
        attempt.phase = Phase.STORING
        command = self._describe_finish(attempt, answer)
        if await self._submit_or_retry(attempt, command):
            self._close(attempt, answer)
        else:
            attempt.end(doubt_outcome(attempt.key))

    async def release(self, operation: OperationHandle) -> None:
        """Remove the record of an operation that is proven not to have run."""
        await self._release(self._find(operation))

    def abandon(self, operation: OperationHandle) -> None:
        """Leave the record in progress: the operation may have run."""
        attempt = self._find(operation)
        self._close(attempt, doubt_outcome(attempt.key))

    def dump(self) -> dict[str, Any]:
        """Return the operations of this entry by phase; keys are not shown."""
        phases = [attempt.phase.value for attempt in self._attempts.values()]
        counts = {phase.value: phases.count(phase.value) for phase in Phase}
        return {**counts, "background": self._background}

    def _open(self, organisation: str, key: str, digest: bytes) -> Attempt:
        attempt = Attempt(
            organisation=organisation,
            key=key,
            digest=digest,
            attempt_id=secrets.token_hex(16),
            ended=asyncio.get_running_loop().create_future(),
        )
        self._attempts[organisation, key] = attempt
        return attempt

    def _find(self, operation: OperationHandle) -> Attempt:
        attempt = self._attempts.get((operation.organisation, operation.key))
        is_same = attempt is not None and attempt.attempt_id == operation.attempt_id
        if attempt is None or not is_same or attempt.phase is not Phase.RUNNING:
            raise ValueError(f"operation must be running, got {operation!r}")
        return attempt

    def _close(
        self, attempt: Attempt, outcome: RecordedResponse | Verdict | None
    ) -> None:
        del self._attempts[attempt.organisation, attempt.key]
        attempt.end(outcome)

    async def _begin(
        self, attempt: Attempt, deadline: float
    ) -> Result[OperationHandle | RecordedResponse, Verdict]:
        command = {
            "kind": "begin_operation",
            **attempt.describe(),
            "digest": attempt.digest,
        }
        try:
            decision = await self._submit_until(command, deadline)
        except asyncio.CancelledError:
            self._release_later(attempt)
            raise
        if decision is None:
            self._release_later(attempt)
            return Failure(refuse_unavailable(attempt.key))
        result = read_begin(decision, attempt)
        if isinstance(result, Success) and isinstance(result.unwrap(), OperationHandle):
            attempt.phase = Phase.RUNNING
        else:
            self._close(attempt, _find_outcome(result))
        return result

    async def _await_outcome(
        self, earlier: Attempt, deadline: float
    ) -> RecordedResponse | Verdict | None:
        """Return how the earlier attempt ended, or a verdict at the deadline."""
        if earlier.ended.done() and earlier.phase is not Phase.RELEASING:
            return earlier.ended.result()
        timeout = max(deadline - asyncio.get_running_loop().time(), 0.0)
        await asyncio.wait([earlier.ended], timeout=timeout)
        if earlier.ended.done():
            return earlier.ended.result()
        if earlier.phase is Phase.RELEASING:
            return refuse_unavailable(earlier.key)
        return doubt_outcome(earlier.key)

    async def _release(self, attempt: Attempt) -> None:
        attempt.phase = Phase.RELEASING
        command = {"kind": "release_operation", **attempt.describe()}
        if await self._submit_or_retry(attempt, command):
            self._close(attempt, None)

    async def _submit_or_retry(self, attempt: Attempt, command: dict[str, Any]) -> bool:
        """Submit once; unless that succeeds, go on in the background."""
        decision = None
        try:
            decision = await self._submit(command, SUBMIT_TIMEOUT_S)
        finally:
            if decision is None:
                self._retry_later(attempt, command)
        return decision is not None

    def _release_later(self, attempt: Attempt) -> None:
        """Release an attempt whose begin may still be committed."""
        attempt.phase = Phase.RELEASING
        command = {"kind": "release_operation", **attempt.describe()}
        self._retry_later(attempt, command, settle=SETTLE_TIME_S)

    def _retry_later(
        self, attempt: Attempt, command: dict[str, Any], *, settle: float = 0.0
    ) -> None:
        if self._background >= MAX_BACKGROUND:
            log.warning("operation_retry_dropped", limit=MAX_BACKGROUND)
            self._close(attempt, doubt_outcome(attempt.key))
            return
        self._background += 1
        main = self._retry(attempt, command, settle)
        self._tasks.start(main, name=f"retry-{command['kind']}")

    async def _retry(
        self, attempt: Attempt, command: dict[str, Any], settle: float
    ) -> None:
        deadline = asyncio.get_running_loop().time() + BACKGROUND_TIMEOUT_S
        try:
            decision = await self._submit_until(command, deadline)
            is_released = attempt.phase is Phase.RELEASING and decision is not None
            outcome = None if is_released else doubt_outcome(attempt.key)
            self._close(attempt, outcome)
            if settle > 0 and decision is not None:
                await asyncio.sleep(settle)
                await self._submit_until(command, deadline)
        finally:
            self._background -= 1

    async def _submit_until(
        self, command: dict[str, Any], deadline: float
    ) -> Decision | None:
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

    async def _submit(self, command: dict[str, Any], timeout: float) -> Decision | None:
        """Submit once; return None if the decision is not known."""
        try:
            async with asyncio.timeout(timeout):
                result = await self._submitter.submit(command, timeout=timeout)
        except (TimeoutError, PeerUnavailable, OSError):
            return None
        return find_decision(result)

    def _describe_finish(
        self, attempt: Attempt, answer: RecordedResponse
    ) -> dict[str, Any]:
        is_kept = len(answer.body or b"") <= MAX_BODY_BYTES
        return {
            "kind": "finish_operation",
            **attempt.describe(),
            "status": answer.status,
            "headers": answer.headers,
            "body": answer.body if is_kept else None,
        }


def _find_outcome(
    result: Result[OperationHandle | RecordedResponse, Verdict],
) -> RecordedResponse | Verdict | None:
    """Return the outcome for waiting resends; None lets them begin themselves."""
    if isinstance(result, Success):
        outcome = result.unwrap()
        return outcome if isinstance(outcome, RecordedResponse) else None
    return result.failure()
