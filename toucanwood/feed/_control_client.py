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

# A silent connection costs one attempt; the next one goes to another replica.
ATTEMPT_TIMEOUT_S = 1.0
RETRY_DELAY_S = 0.05
RETRY_AFTER_S = 1.0
# Leaves room for the frame around a command (16 MiB).
MAX_COMMAND_BYTES = 15 * 1024 * 1024


@attrs.define
class Submission:
    """Hold the progress of one submitted command."""

    encoded: bytes
    is_idempotent: bool
    # A refusal by the catalog also covers earlier attempts and ones still in flight.
    is_refusal_final: bool
    deadline: float
    may_have_run: bool = False

    def note_failure(self, verdict: Verdict) -> None:
        """Remember whether a failed attempt may have been committed."""
        if not verdict.is_not_run:
            self.may_have_run = True

    @property
    def is_retry_safe(self) -> bool:
        """Return whether another attempt cannot apply the command a second time."""
        return self.is_idempotent or not self.may_have_run


class ControlClient:
    """Submit commands from any instance."""

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
        """Commit a command within `timeout` seconds and return the catalog's answer.

        Only a command that the catalog recognises as a repeat is sent again after an
        attempt that may have been committed. A withdrawal holds at all connected
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
            allowed = f"at most {MAX_COMMAND_BYTES} bytes, got {len(encoded)}"
            return Failure(refuse("command_too_large", allowed, status=413))
        deadline = asyncio.get_running_loop().time() + timeout
        submission = _build_submission(parsed, encoded, deadline)
        if isinstance(parsed, WithdrawKey):
            self._gossip.withdraw([parsed.key_id])
            # Peers honour it from now on, even if the log never has it.
            submission.may_have_run = True
        return await self._retry(submission)

    async def _retry(self, submission: Submission) -> Result[CommandResult, Verdict]:
        loop = asyncio.get_running_loop()
        tried: list[str] = []
        verdict = refuse(
            "control_unavailable", "no control replica is known", status=503
        )
        while (remaining := submission.deadline - loop.time()) > 0:
            replica_id = self._choose_replica(tried)
            if replica_id is not None:
                tried.append(replica_id)
                outcome = await self._attempt(replica_id, submission, remaining)
                if isinstance(outcome, CommandResult):
                    return _build_result(outcome, submission)
                verdict = outcome
                submission.note_failure(verdict)
                if not submission.is_retry_safe or _is_permanent(verdict):
                    break
            await asyncio.sleep(RETRY_DELAY_S)
        return Failure(_build_failure(verdict, submission))

    def _choose_replica(self, tried: list[str]) -> str | None:
        """Return the known leader, or else the replica that was tried longest ago."""
        ranked = rank_replicas(self._transport.instance_id, self._replicas())
        if self._leader in ranked:
            return self._leader
        last_try = {replica_id: index for index, replica_id in enumerate(tried)}
        return min(ranked, key=lambda item: last_try.get(item, -1), default=None)

    async def _attempt(
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
                "control_unavailable", "no reply was understood", status=503
            )
        return self._read_reply(replica_id, reply)

    def _read_reply(
        self, replica_id: str, reply: SubmitReply
    ) -> CommandResult | Verdict:
        if reply.answer is not None:
            self._leader = replica_id
            return CommandResult.from_wire(reply.answer)
        # A replica that names itself but refuses is about to lose its lease.
        self._leader = reply.leader if reply.leader != replica_id else None
        if reply.refusal is not None:
            return decode_verdict(reply.refusal)
        return refuse("control_unavailable", "no leader is known", status=503)

    async def _call(self, replica_id: str, body: SubmitCommand, timeout: float) -> Any:
        if self._server is None or replica_id != self._transport.instance_id:
            return await self._transport.call(replica_id, body, timeout=timeout)
        return await self._server.handle_submit(replica_id, body)


def _check_declaration(command: Command) -> None:
    """Raise ValidationError for a declaration that the catalog must not get."""
    if isinstance(command, ApplyDeclaration):
        Declaration.from_config(command.declaration)


def _build_submission(command: Command, encoded: bytes, deadline: float) -> Submission:
    is_recorded = bool(getattr(command, "request_id", ""))
    # An entry dispatches only after `begin` was accepted.
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
    answer: CommandResult, submission: Submission
) -> Result[CommandResult, Verdict]:
    if answer.is_accepted:
        return Success(answer)
    is_final = submission.is_refusal_final and answer.code != REQUEST_TABLE_FULL
    if submission.may_have_run and not is_final:
        return Failure(
            build_uncertain_verdict(answer.code, answer.message, status=answer.status)
        )
    return Failure(answer.to_verdict())


def _build_failure(verdict: Verdict, submission: Submission) -> Verdict:
    if submission.may_have_run:
        return build_uncertain_verdict("control_unknown", verdict.message, status=504)
    if _is_permanent(verdict):
        return verdict
    return refuse(
        "control_unavailable", verdict.message, status=503, retry_after=RETRY_AFTER_S
    )
