"""Forwarding of a request to a target, with retries on other targets."""

import asyncio
from typing import Any

from returns.result import Success

from toucanwood.entry._decisions import Attempt
from toucanwood.entry._exchange import Exchange
from toucanwood.entry._forwarded_headers import encode_request_head
from toucanwood.entry._interfaces import (
    CatalogView,
    Dispatcher,
    OutcomeKind,
    RegionSelector,
)
from toucanwood.entry._request_body import BodyError
from toucanwood.entry._request_context import RequestContext, RequestError, unwrap
from toucanwood.entry._responses import DEADLINE_HEADER, REQUEST_ID_HEADER
from toucanwood.entry._retry_budget import RetryBudget
from toucanwood.upstream import (
    NoFreeFile,
    TargetClient,
    TargetError,
    TargetUnreachable,
)
from toucanwood.verdicts import Verdict, build_uncertain_verdict, refuse

# Fraction of the remaining time that a reused connection may wait for the response
# head. An established connection can stop responding while new connections work.
REUSED_CONNECTION_WAIT_FRACTION = 0.5
RETRY_AFTER_S = 1.0


class Forwarder:
    """Forward requests to targets that have a free slot."""

    def __init__(
        self,
        *,
        view: CatalogView,
        region_selector: RegionSelector,
        dispatcher: Dispatcher,
        client: TargetClient,
        retry_budget: RetryBudget,
    ) -> None:
        self._view = view
        self._region_selector = region_selector
        self._dispatcher = dispatcher
        self._client = client
        self._retry_budget = retry_budget

    async def forward(self, context: RequestContext) -> Exchange:
        """Return the exchange with the response for the caller.

        Raise `RequestError` if no attempt succeeds.
        """
        self._retry_budget.record_request()
        failed_targets: list[str] = []
        failure: Verdict | None = None
        while True:
            lease, attempt = await self._acquire(context, failed_targets, failure)
            exchange = Exchange(self._client, self._dispatcher, lease, attempt)
            failure = await self._run_attempt(context, exchange)
            if failure is None:
                return exchange
            failed_targets.append(lease.target_id)
            if not self._may_retry(context, failure):
                raise RequestError(failure)

    async def _acquire(
        self,
        context: RequestContext,
        failed_targets: list[str],
        failure: Verdict | None,
    ) -> tuple[Any, Attempt]:
        loop = asyncio.get_running_loop()
        decision = context.decision
        started = loop.time()
        if not failed_targets:
            # A retry stays in its region. Another choice would count towards the shift
            # to other regions, whose cap is meant for requests.
            decision.region = unwrap(
                self._region_selector.choose(
                    decision.service, decision.home_region, started
                )
            )
        result = await self._dispatcher.acquire(
            decision.service,
            context.organisation,
            decision.region,
            deadline=context.deadline,
            exclude=tuple(failed_targets),
        )
        if not isinstance(result, Success):
            raise RequestError(failure or result.failure())
        lease = result.unwrap()
        attempt = Attempt(lease.target_id, lease.address, decision.region, loop.time())
        attempt.queued = attempt.started - started
        decision.attempts.append(attempt)
        return lease, attempt

    async def _run_attempt(
        self, context: RequestContext, exchange: Exchange
    ) -> Verdict | None:
        """Send the request to one target; return the verdict if the attempt fails."""
        context.progress = exchange.progress
        try:
            self._check_key(context)
            await self._send_and_receive(context, exchange)
        except RequestError as request_error:
            exchange.finish(OutcomeKind.UNUSED, request_error.verdict.code)
            raise
        except BodyError as error:
            exchange.finish(OutcomeKind.CANCELLED, str(error))
            context.end_attempt(is_proven_not_run=False)
            raise RequestError(_build_body_error_verdict(context, error)) from error
        except TargetError as error:
            return _end_failed_attempt(context, exchange, error)
        except BaseException:
            _end_cancelled_attempt(context, exchange)
            raise
        if exchange.response_head.code in context.service.shed_statuses:
            exchange.finish(OutcomeKind.SHED)
            context.end_attempt(is_proven_not_run=True)
            message = f"target {exchange.attempt.target} shed the request"
            return refuse("target_shed", message, status=503, retry_after=RETRY_AFTER_S)
        return None

    def _check_key(self, context: RequestContext) -> None:
        """Check the key again: it may have been withdrawn while the request queued."""
        if context.key is None:
            return
        now = asyncio.get_running_loop().time()
        organisation = unwrap(self._view.authenticate(context.key, now))
        if organisation != context.organisation:
            message = "the organisation of the key changed while the request was queued"
            raise RequestError(refuse("key_changed", message, status=401))

    async def _send_and_receive(
        self, context: RequestContext, exchange: Exchange
    ) -> None:
        request = context.request
        await exchange.open(
            reuse=context.is_idempotent, request_id=context.decision.request_id
        )
        await exchange.send(
            request.method, self._encode_head(context, exchange), context.body
        )
        if exchange.progress.reused:
            await _receive_with_timeout(context, exchange)
        else:
            await exchange.receive()
        shed_statuses = context.service.shed_statuses
        if (
            exchange.response_head.code not in shed_statuses
            and exchange.declares_small_body()
        ):
            await exchange.buffer_body()

    def _encode_head(self, context: RequestContext, exchange: Exchange) -> bytes:
        remaining = context.deadline - asyncio.get_running_loop().time()
        entry_headers = [
            (REQUEST_ID_HEADER, context.decision.request_id),
            (DEADLINE_HEADER, str(max(1, int(remaining * 1000)))),
        ]
        if not context.is_idempotent:
            entry_headers.append(("Connection", "close"))
        request = context.request
        return encode_request_head(
            request.method,
            request.raw_path,
            request.headers,
            address=exchange.attempt.address,
            framing=context.body.format_framing(),
            entry_headers=entry_headers,
        )

    def _may_retry(self, context: RequestContext, failure: Verdict) -> bool:
        context.decision.retry_credit = self._retry_budget.credit
        if not (failure.is_not_run or context.is_idempotent):
            return False
        if not context.body.is_replayable:
            return False
        return self._retry_budget.take()


async def _receive_with_timeout(context: RequestContext, exchange: Exchange) -> None:
    loop = asyncio.get_running_loop()
    now = loop.time()
    receive_deadline = now + (context.deadline - now) * REUSED_CONNECTION_WAIT_FRACTION
    # A timer that aborts the connection uses less CPU time than a timeout context.
    timer = loop.call_at(receive_deadline, exchange.abort_unresponsive)
    try:
        await exchange.receive()
    finally:
        timer.cancel()


def _end_failed_attempt(
    context: RequestContext, exchange: Exchange, error: TargetError
) -> Verdict:
    """Finish a failed attempt and return its verdict on whether it may have run."""
    context.end_attempt(is_proven_not_run=False)
    if exchange.progress.written:
        exchange.finish(OutcomeKind.FAILED, str(error))
        return build_uncertain_verdict("target_failed", str(error), status=502)
    exchange.close_idle_connections()
    kind = OutcomeKind.UNREACHABLE
    if isinstance(error, NoFreeFile):
        kind = OutcomeKind.UNUSED
    elif not isinstance(error, TargetUnreachable):
        kind = OutcomeKind.FAILED
    exchange.finish(kind, str(error))
    return refuse(
        "target_unreachable", str(error), status=503, retry_after=RETRY_AFTER_S
    )


def _end_cancelled_attempt(context: RequestContext, exchange: Exchange) -> None:
    context.end_attempt(is_proven_not_run=False)
    is_late = asyncio.get_running_loop().time() >= context.deadline
    exchange.finish(OutcomeKind.TIMED_OUT if is_late else OutcomeKind.CANCELLED)


def _build_body_error_verdict(context: RequestContext, error: BodyError) -> Verdict:
    if context.may_have_run:
        return build_uncertain_verdict("body_invalid", str(error), status=400)
    return refuse("body_invalid", str(error), status=400)
