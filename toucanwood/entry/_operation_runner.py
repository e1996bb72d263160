"""Requests with an Idempotency-Key: at most once, with recorded responses."""

import asyncio
from collections.abc import Awaitable
from typing import Any

import structlog
from aiohttp import web

from toucanwood.entry._collaborators import Operations, OutcomeKind, RecordedResponse
from toucanwood.entry._context import Refusal, RequestContext, unwrap
from toucanwood.entry._exchange import Exchange
from toucanwood.entry._forwarder import Forwarder
from toucanwood.entry._forwarding import select_response_headers
from toucanwood.entry._relay import Relay, build_recorded
from toucanwood.upstream import TargetError
from toucanwood.utils import TaskGroup
from toucanwood.verdicts import build_uncertain_verdict

log = structlog.get_logger()

# Limit on committing the end of an operation. The response does not depend on it.
RECORD_TIMEOUT_S = 5.0


class OperationRunner:
    """Run each operation at most once, also when its caller leaves.

    An operation that was sent to a target is not cancelled with its caller: a resend
    with the same key then gets the recorded response instead of a doubtful verdict.
    """

    def __init__(
        self,
        *,
        operations: Operations,
        forwarder: Forwarder,
        relay: Relay,
        tasks: TaskGroup,
    ) -> None:
        self._operations = operations
        self._forwarder = forwarder
        self._relay = relay
        self._tasks = tasks

    async def serve(self, context: RequestContext, key: str) -> web.StreamResponse:
        """Return the recorded response, or run the operation and record it."""
        request_id = context.decision.request_id
        begun = unwrap(
            await self._operations.begin(
                context.organisation,
                key,
                context.body.compute_digest(),
                deadline=context.deadline,
            )
        )
        response = getattr(begun, "response", None)
        if response is not None:
            context.decision.operation = "recorded"
            return _replay(response, request_id)
        context.decision.operation = "begun"
        run = self._run(context, begun.operation)
        task = self._tasks.start(run, name=f"operation {request_id}")
        return await self._follow(context, task)

    async def _follow(
        self, context: RequestContext, task: asyncio.Task[Any]
    ) -> web.StreamResponse:
        try:
            outcome = await asyncio.shield(task)
        except asyncio.CancelledError:
            task.add_done_callback(_drop_outcome)
            raise
        if isinstance(outcome, BaseException):
            raise outcome
        exchange, is_complete = outcome
        try:
            return await self._relay.send(context, exchange, is_complete=is_complete)
        finally:
            exchange.finish(OutcomeKind.CANCELLED)

    async def _run(
        self, context: RequestContext, operation: Any
    ) -> tuple[Exchange, bool] | BaseException:
        """Return the exchange and whether its body is held, or what stopped it."""
        try:
            async with asyncio.timeout_at(context.deadline):
                exchange = await self._forwarder.forward(context)
                is_complete = await _hold(exchange)
        except (Refusal, TimeoutError) as error:
            await self._give_up(context, operation)
            return error
        except BaseException:
            self._operations.abandon(operation)
            raise
        message = exchange.message
        headers = select_response_headers(message.headers)
        headers.popall("Content-Length", None)
        pairs = [[name, value] for name, value in headers.items()]
        body = exchange.held if is_complete else None
        response = RecordedResponse(message.code, pairs, body)
        if is_complete:
            exchange.finish(OutcomeKind.COMPLETED)
        await self._settle(self._operations.finish(operation, response))
        return exchange, is_complete

    async def _give_up(self, context: RequestContext, operation: Any) -> None:
        """Release an operation that did not run; leave one in doubt as it is."""
        if context.may_have_run:
            self._operations.abandon(operation)
        else:
            await self._settle(self._operations.release(operation))

    async def _settle(self, step: Awaitable[Any]) -> None:
        """Commit the end of an operation; without it, the operation is in doubt."""
        try:
            async with asyncio.timeout(RECORD_TIMEOUT_S):
                await step
        except Exception as error:
            log.warning("operation_not_recorded", error=repr(error))


async def _hold(exchange: Exchange) -> bool:
    if exchange.held is not None:
        return True
    try:
        return await exchange.hold()
    except TargetError as error:
        exchange.finish(OutcomeKind.FAILED, str(error))
        raise Refusal(
            build_uncertain_verdict("target_failed", str(error), status=502)
        ) from error
    except BaseException:
        exchange.finish(OutcomeKind.TIMED_OUT)
        raise


def _drop_outcome(task: asyncio.Task[Any]) -> None:
    """Give back the exchange of an operation whose caller has left."""
    if task.cancelled() or task.exception() is not None:
        return
    outcome = task.result()
    if not isinstance(outcome, BaseException):
        outcome[0].finish(OutcomeKind.CANCELLED)


def _replay(response: Any, request_id: str) -> web.StreamResponse:
    if response.body is None:
        message = "the operation has run; its response was too large to be recorded"
        raise Refusal(
            build_uncertain_verdict("response_not_recorded", message, status=409)
        )
    return build_recorded(response, request_id)
