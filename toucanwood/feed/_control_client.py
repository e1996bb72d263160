"""Submission of commands to the leader from any instance."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Any

import attrs
from returns.result import Failure, Result, Success

from toucanwood.declaration import Declaration
from toucanwood.feed._control_server import ControlServer, decode_verdict
from toucanwood.feed._messages import SubmitCommand, SubmitReply
from toucanwood.feed._replica_ranking import rank_replicas
from toucanwood.feed._withdrawal_gossip import WithdrawalGossip
from toucanwood.peering import PeerUnavailable, Transport
from toucanwood.state import (
    REQUEST_TABLE_FULL,
    ApplyDeclaration,
    BeginOperation,
    Command,
    CommandError,
    CommandResult,
    WithdrawKey,
    encode_command,
    parse_command,
)
from toucanwood.utils import ValidationError
from toucanwood.verdicts import Verdict, build_uncertain_verdict, refuse

# Timeout of one attempt to submit an idempotent command. After a timeout the next
# attempt goes to another replica.
ATTEMPT_TIMEOUT_S = 1.0
RETRY_DELAY_S = 0.05
RETRY_AFTER_S = 1.0
# Maximum size of an encoded command; the limit of the whole peer message is 16 MiB.
MAX_COMMAND_BYTES = 15 * 1024 * 1024


@attrs.define
class Submission:
    """Hold the state of one submitted command; `deadline` is in loop time."""

    encoded: bytes
    is_idempotent: bool
    # Whether a refusal by the catalog proves that earlier attempts and attempts in
    # flight did not run either.
    is_refusal_final: bool
    deadline: float
    may_have_run: bool = False

    def record_failure(self, verdict: Verdict) -> None:
        """Record whether a failed attempt may have been committed."""
        if not verdict.is_not_run:
            self.may_have_run = True

    @property
    def is_retry_safe(self) -> bool:
        """Return whether another attempt cannot apply the command a second time."""
        return self.is_idempotent or not self.may_have_run


class ControlClient:
    """Submit commands to the leader from any instance."""

    def __init__(
        self,
        *,
        transport: Transport,
        gossip: WithdrawalGossip,
        replicas: Callable[[], Iterable[str]],
        server: ControlServer | None = None,
    ) -> None:
        self._transport = transport
        self._gossip = gossip
        self._replicas = replicas
        self._server = server
        self._leader: str | None = None

    async def submit(
        self, command: dict[str, Any], *, timeout: float
    ) -> Result[CommandResult, Verdict]:
        """Commit a command within `timeout` seconds and return its result.

        After an attempt that may have been committed, the command is retried only if
        the catalog recognises the retry. A withdrawal takes effect at all connected
        peers before it is committed.
        """
        try:
            parsed = parse_command(command)
            _check_declaration(parsed)
        except (CommandError, ValidationError) as error:
            code = error.code if isinstance(error, CommandError) else "config_invalid"
            return Failure(refuse(code, str(error), status=422))
        encoded = encode_command(command)
        if len(encoded) > MAX_COMMAND_BYTES:
            message = f"command exceeds {MAX_COMMAND_BYTES} bytes: {len(encoded)}"
            return Failure(refuse("command_too_large", message, status=413))
        deadline = asyncio.get_running_loop().time() + timeout
        submission = _build_submission(parsed, encoded, deadline)
        if isinstance(parsed, WithdrawKey):
            self._gossip.withdraw([parsed.key_id])
            # Peers apply the withdrawal from now on, even if it is never committed.
            submission.may_have_run = True
        return await self._submit_until_deadline(submission)

    async def _submit_until_deadline(
        self, submission: Submission
    ) -> Result[CommandResult, Verdict]:
        loop = asyncio.get_running_loop()
        attempted: list[str] = []
        verdict = refuse(
            "control_unavailable", "no control replica is known", status=503
        )
        while (remaining := submission.deadline - loop.time()) > 0:
            replica_id = self._choose_replica(attempted)
            if replica_id is not None:
                attempted.append(replica_id)
                outcome = await self._submit_once(replica_id, submission, remaining)
                if isinstance(outcome, CommandResult):
                    return _build_result(outcome, submission)
                verdict = outcome
                submission.record_failure(verdict)
                if not submission.is_retry_safe or _is_permanent(verdict):
                    break
            await asyncio.sleep(RETRY_DELAY_S)
        return Failure(_build_failure(verdict, submission))

    def _choose_replica(self, attempted: list[str]) -> str | None:
        """Return the known leader, or the least recently attempted replica."""
        ranked = rank_replicas(self._transport.instance_id, self._replicas())
        if self._leader in ranked:
            return self._leader
        last_attempt = {replica_id: index for index, replica_id in enumerate(attempted)}
        return min(ranked, key=lambda item: last_attempt.get(item, -1), default=None)

    async def _submit_once(
        self, replica_id: str, submission: Submission, remaining: float
    ) -> CommandResult | Verdict:
        timeout = remaining
        if submission.is_idempotent:
            timeout = min(remaining, ATTEMPT_TIMEOUT_S)
        body = SubmitCommand(submission.encoded, timeout)
        try:
            reply = await self._call(replica_id, body, timeout)
        except PeerUnavailable as error:
            self._leader = None
            return Verdict(
                execution=error.execution,
                code="control_unavailable",
                message=str(error),
                status=503,
            )
        if not isinstance(reply, SubmitReply):
            self._leader = None
            return build_uncertain_verdict(
                "control_unavailable", "the reply was malformed", status=503
            )
        return self._process_reply(replica_id, reply)

    def _process_reply(
        self, replica_id: str, reply: SubmitReply
    ) -> CommandResult | Verdict:
        if reply.answer is not None:
            self._leader = replica_id
            return CommandResult.from_wire(reply.answer)
        # A replica that refuses and names itself as leader is about to lose its lease.
        self._leader = reply.leader if reply.leader != replica_id else None
        if reply.refusal is not None:
            return decode_verdict(reply.refusal)
        return refuse("control_unavailable", "no leader is known", status=503)

    async def _call(self, replica_id: str, body: SubmitCommand, timeout: float) -> Any:
        if self._server is None or replica_id != self._transport.instance_id:
            return await self._transport.call(replica_id, body, timeout=timeout)
        return await self._server.handle_submit(replica_id, body)


def _check_declaration(command: Command) -> None:
    """Raise ValidationError for an invalid declaration."""
    if isinstance(command, ApplyDeclaration):
        Declaration.from_config(command.declaration)


def _build_submission(command: Command, encoded: bytes, deadline: float) -> Submission:
    is_recorded = bool(getattr(command, "request_id", ""))
    # A refused `begin` is final: an entry dispatches an operation only after the
    # catalog accepted its `begin`.
    is_refusal_final = is_recorded or isinstance(command, BeginOperation)
    return Submission(
        encoded=encoded,
        is_idempotent=is_recorded or command.is_idempotent,
        is_refusal_final=is_refusal_final,
        deadline=deadline,
    )


def _is_permanent(verdict: Verdict) -> bool:
    return verdict.is_not_run and 400 <= verdict.status < 500


def _build_result(
    result: CommandResult, submission: Submission
) -> Result[CommandResult, Verdict]:
    if result.is_accepted:
        return Success(result)
    is_final = submission.is_refusal_final and result.code != REQUEST_TABLE_FULL
    if submission.may_have_run and not is_final:
        return Failure(
            build_uncertain_verdict(result.code, result.message, status=result.status)
        )
    return Failure(result.to_verdict())


def _build_failure(verdict: Verdict, submission: Submission) -> Verdict:
    if submission.may_have_run:
        return build_uncertain_verdict("control_unknown", verdict.message, status=504)
    if _is_permanent(verdict):
        return verdict
    return refuse(
        "control_unavailable", verdict.message, status=503, retry_after=RETRY_AFTER_S
    )
