"""Server side of `ControlClient`, on control replicas."""

import time
from collections.abc import Callable
from typing import Any, Protocol

import msgpack
from returns.result import Result, Success

from toucanwood.feed._messages import SubmitCommand, SubmitReply
from toucanwood.peering import Transport
from toucanwood.verdicts import Execution, Verdict, refuse


class Proposer(Protocol):
    """Commit commands to the replicated log."""

    async def propose(self, command: bytes, *, timeout: float) -> Result[Any, Verdict]:
        """Commit a command and return the result of the state machine."""

    def is_leader(self) -> bool:
        """Return whether this replica holds the leader lease."""

    def leader(self) -> str | None:
        """Return the leader as far as this replica knows."""


class ControlServer:
    """Propose submitted commands while this replica is the leader.

    The leader sets the time of each command, so that the clock of only one instance
    at a time is used.
    """

    def __init__(
        self,
        *,
        transport: Transport,
        replica: Proposer,
        clock: Callable[[], float] = time.time,
    ) -> None:
        self._replica = replica
        self._clock = clock
        transport.register(SubmitCommand, self.handle_submit)

    async def handle_submit(self, sender: str, submit: SubmitCommand) -> SubmitReply:
        """Commit a command; if this replica is not the leader, return the leader."""
        if not self._replica.is_leader():
            return SubmitReply(leader=self._replica.leader())
        try:
            content = msgpack.unpackb(submit.command, strict_map_key=False)
            command = msgpack.packb({**content, "time": self._clock()})
        except (ValueError, TypeError) as error:
            refusal = refuse("command_invalid", repr(error), status=400)
            return SubmitReply(refusal=encode_verdict(refusal))
        result = await self._replica.propose(command, timeout=submit.timeout)
        if isinstance(result, Success):
            return SubmitReply(answer=result.unwrap().to_wire())
        return SubmitReply(
            leader=self._replica.leader(), refusal=encode_verdict(result.failure())
        )


def encode_verdict(verdict: Verdict) -> list[Any]:
    """Return a verdict as a msgpack list."""
    execution = verdict.execution.value
    return [
        execution,
        verdict.code,
        verdict.message,
        verdict.status,
        verdict.retry_after,
    ]


def decode_verdict(content: list[Any]) -> Verdict:
    """Build a verdict; extra items from a newer software version are ignored."""
    execution, code, message, status, retry_after = content[:5]
    return Verdict(
        execution=Execution(execution),
        code=code,
        message=message,
        status=status,
        retry_after=retry_after,
    )
