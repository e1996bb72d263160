"""At-most-once execution of requests that have an Idempotency-Key."""

import asyncio
from collections.abc import Awaitable
from typing import Any

import structlog
from aiohttp import web

from toucanwood.entry._exchange import Exchange
from toucanwood.entry._forwarded_headers import filter_response_headers
from toucanwood.entry._forwarder import Forwarder
from toucanwood.entry._interfaces import OperationClient, OutcomeKind, RecordedResponse
from toucanwood.entry._request_context import RequestContext, RequestError, unwrap
from toucanwood.entry._response_sender import ResponseSender, build_recorded_response
from toucanwood.upstream import TargetError
from toucanwood.utils import TaskGroup
from toucanwood.verdicts import build_uncertain_verdict

log = structlog.get_logger()

# Time limit for storing the result of an operation. If storing takes longer, the
# caller still gets the response.
RECORD_TIMEOUT_S = 5.0


class OperationRunner:
    """Run each operation at most once, also when its caller disconnects.

    An operation continues when its caller disconnects. A retry with the same key then
    gets the recorded response instead of a "may-have-run" verdict.
    """

    def __init__(
        self,
        *,
        operations: OperationClient,
        forwarder: Forwarder,
        response_sender: ResponseSender,
        tasks: TaskGroup,
    ) -> None:
        self._operations = operations
        self._forwarder = forwarder
        self._response_sender = response_sender
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
            return _build_replayed_response(response, request_id)
        context.decision.operation = "begun"
        run = self._execute(context, begun.operation)
        task = self._tasks.start(run, name=f"operation {request_id}")
        return await self._wait_for_response(context, task)

    async def _wait_for_response(
        self, context: RequestContext, task: asyncio.Task[Any]
    ) -> web.StreamResponse:
        try:
            outcome = await asyncio.shield(task)
        except asyncio.CancelledError:
            task.add_done_callback(_release_unclaimed_exchange)
            raise
        if isinstance(outcome, BaseException):
            raise outcome
        exchange, is_complete = outcome
        try:
            return await self._response_sender.send(
                context, exchange, is_complete=is_complete
            )
        finally:
            exchange.finish(OutcomeKind.CANCELLED)

    async def _execute(
        self, context: RequestContext, operation: Any
    ) -> tuple[Exchange, bool] | BaseException:
        """Return the exchange and whether its body is buffered, or the exception."""
        try:
            async with asyncio.timeout_at(context.deadline):
                exchange = await self._forwarder.forward(context)
                is_complete = await _buffer_response_body(exchange)
        except (RequestError, TimeoutError) as error:
            await self._release_or_abandon(context, operation)
            return error
        except BaseException:
            self._operations.abandon(operation)
            raise
        response_head = exchange.response_head
        headers = filter_response_headers(response_head.headers)
        headers.popall("Content-Length", None)
        pairs = [[name, value] for name, value in headers.items()]
        body = exchange.buffered_body if is_complete else None
        response = RecordedResponse(response_head.code, pairs, body)
        if is_complete:
            exchange.finish(OutcomeKind.COMPLETED)
        await self._commit(self._operations.finish(operation, response))
        return exchange, is_complete

    async def _release_or_abandon(
        self, context: RequestContext, operation: Any
    ) -> None:
        """Release an operation that did not run; abandon one that may have run."""
        if context.may_have_run:
            self._operations.abandon(operation)
        else:
            await self._commit(self._operations.release(operation))

    async def _commit(self, change: Awaitable[Any]) -> None:
        """Store the end of an operation; if that fails, its outcome stays uncertain."""
        try:
            async with asyncio.timeout(RECORD_TIMEOUT_S):
                await change
        except Exception as error:
            log.warning("operation_not_recorded", error=repr(error))


async def _buffer_response_body(exchange: Exchange) -> bool:
    if exchange.buffered_body is not None:
        return True
    try:
        return await exchange.buffer_body()
    except TargetError as error:
        exchange.finish(OutcomeKind.FAILED, str(error))
        raise RequestError(
            build_uncertain_verdict("target_failed", str(error), status=502)
        ) from error
    except BaseException:
        exchange.finish(OutcomeKind.TIMED_OUT)
        raise


def _release_unclaimed_exchange(task: asyncio.Task[Any]) -> None:
    """Release the exchange of an operation whose caller has disconnected."""
    if task.cancelled() or task.exception() is not None:
        return
    outcome = task.result()
    if not isinstance(outcome, BaseException):
        outcome[0].finish(OutcomeKind.CANCELLED)


def _build_replayed_response(response: Any, request_id: str) -> web.StreamResponse:
    if response.body is None:
        message = "the operation has run, but its response was too large to record"
        raise RequestError(
            build_uncertain_verdict("response_not_recorded", message, status=409)
        )
    return build_recorded_response(response, request_id)
