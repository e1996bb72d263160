"""The choice of a target, attempts at it, and retries elsewhere."""

import asyncio
from typing import Any

from returns.result import Success

from toucanwood.entry._body import BodyError
from toucanwood.entry._collaborators import (
    Dispatcher,
    OutcomeKind,
    RegionSelector,
    View,
)
from toucanwood.entry._context import Refusal, RequestContext, unwrap
from toucanwood.entry._decisions import Attempt
from toucanwood.entry._exchange import Exchange
from toucanwood.entry._forwarding import encode_request_head
from toucanwood.entry._responses import DEADLINE, REQUEST_ID
from toucanwood.entry._retries import RetryBudget
from toucanwood.upstream import TargetClient, TargetError, TargetUnreachable
from toucanwood.verdicts import Verdict, build_uncertain_verdict, refuse

# An established connection can become silent while new ones work. A pooled connection
# gets this fraction of the remaining time for the first byte of the response.
REUSED_WAIT_FRACTION = 0.5
RETRY_AFTER_S = 1.0


class Forwarder:
    """Forward a request to a target that has a free slot."""

    def __init__(
        self,
        *,
        view: View,
        region_selector: RegionSelector,
        dispatcher: Dispatcher,
        client: TargetClient,
        budget: RetryBudget,
    ) -> None:
        self._view = view
        self._region_selector = region_selector
        self._dispatcher = dispatcher
        self._client = client
        self._budget = budget

    async def forward(self, context: RequestContext) -> Exchange:
        """Return the exchange whose response goes to the caller, or raise `Refusal`."""
        self._budget.add_request()
        failed: list[str] = []
        failure: Verdict | None = None
        while True:
            lease, record = await self._acquire(context, failed, failure)
            exchange = Exchange(self._client, self._dispatcher, lease, record)
            failure = await self._attempt(context, exchange)
            if failure is None:
                return exchange
            failed.append(lease.target_id)
            if not self._may_retry(context, failure):
                raise Refusal(failure)

    async def _acquire(
        self, context: RequestContext, failed: list[str], failure: Verdict | None
    ) -> tuple[Any, Attempt]:
        loop = asyncio.get_running_loop()
        decision = context.decision
        started = loop.time()
        region = unwrap(
            self._region_selector.choose(
                decision.service, decision.home_region, started
            )
        )
        decision.region = region
        result = await self._dispatcher.acquire(
            decision.service,
            context.organisation,
            region,
            deadline=context.deadline,
            exclude=tuple(failed),
        )
        if not isinstance(result, Success):
            raise Refusal(failure or result.failure())
        lease = result.unwrap()
        record = Attempt(lease.target_id, lease.address, region, loop.time())
        record.queued = record.started - started
        decision.attempts.append(record)
        return lease, record

    async def _attempt(
        self, context: RequestContext, exchange: Exchange
    ) -> Verdict | None:
        """Try one target; return the verdict if that fails."""
        context.progress = exchange.progress
        try:
            self._check_key(context)
            await self._run(context, exchange)
        except Refusal as refusal:
            exchange.finish(OutcomeKind.UNUSED, refusal.verdict.code)
            raise
        except BodyError as error:
            exchange.finish(OutcomeKind.CANCELLED, str(error))
            context.settle(is_proven_not_run=False)
            raise Refusal(_describe_body_error(context, error)) from error
        except TargetError as error:
            return _settle_error(context, exchange, error)
        except BaseException:
            _settle_cancellation(context, exchange)
            raise
        if exchange.message.code in context.service.shed_statuses:
            exchange.finish(OutcomeKind.SHED)
            context.settle(is_proven_not_run=True)
            message = f"target {exchange.record.target} shed the request"
            return refuse("target_shed", message, status=503, retry_after=RETRY_AFTER_S)
        return None

    def _check_key(self, context: RequestContext) -> None:
        """Check the key again: it may have been withdrawn while the request waited."""
        if context.key is None:
            return
        now = asyncio.get_running_loop().time()
        organisation = unwrap(self._view.authenticate(context.key, now))
        if organisation != context.organisation:
            message = "the key belongs to another organisation than before"
            raise Refusal(refuse("key_changed", message, status=401))

    async def _run(self, context: RequestContext, exchange: Exchange) -> None:
        request = context.request
        await exchange.open(reuse=context.is_idempotent)
        await exchange.send(
            request.method, self._encode(context, exchange), context.body
        )
        if exchange.progress.reused:
            await _receive_soon(context, exchange)
        else:
            await exchange.receive()
        shed_statuses = context.service.shed_statuses
        if (
            exchange.message.code not in shed_statuses
            and exchange.declares_small_body()
        ):
            await exchange.hold()

    def _encode(self, context: RequestContext, exchange: Exchange) -> bytes:
        remaining = context.deadline - asyncio.get_running_loop().time()
        own = [
            (REQUEST_ID, context.decision.request_id),
            (DEADLINE, str(max(1, int(remaining * 1000)))),
        ]
        if not context.is_idempotent:
            own.append(("Connection", "close"))
        request = context.request
        return encode_request_head(
            request.method,
            request.raw_path,
            request.headers,
            address=exchange.record.address,
            framing=context.body.format_framing(),
            own=own,
        )

    def _may_retry(self, context: RequestContext, failure: Verdict) -> bool:
        context.decision.retry_credit = self._budget.credit
        if not (failure.is_not_run or context.is_idempotent):
            return False
        if not context.body.is_replayable:
            return False
        return self._budget.take()


async def _receive_soon(context: RequestContext, exchange: Exchange) -> None:
    loop = asyncio.get_running_loop()
    now = loop.time()
    limit = now + (context.deadline - now) * REUSED_WAIT_FRACTION
    # A timer that aborts the connection costs less than a timeout context.
    timer = loop.call_at(limit, exchange.give_up)
    try:
        await exchange.receive()
    finally:
        timer.cancel()


def _settle_error(
    context: RequestContext, exchange: Exchange, error: TargetError
) -> Verdict:
    """Finish an attempt that failed and return what is proven of it."""
    context.settle(is_proven_not_run=False)
    if exchange.progress.written:
        exchange.finish(OutcomeKind.FAILED, str(error))
        return build_uncertain_verdict("target_failed", str(error), status=502)
    exchange.forget_idle()
    kind = OutcomeKind.UNREACHABLE
    if not isinstance(error, TargetUnreachable):
        kind = OutcomeKind.FAILED
    exchange.finish(kind, str(error))
    return refuse(
        "target_unreachable", str(error), status=503, retry_after=RETRY_AFTER_S
    )


def _settle_cancellation(context: RequestContext, exchange: Exchange) -> None:
    context.settle(is_proven_not_run=False)
    is_late = asyncio.get_running_loop().time() >= context.deadline
    exchange.finish(OutcomeKind.TIMED_OUT if is_late else OutcomeKind.CANCELLED)


def _describe_body_error(context: RequestContext, error: BodyError) -> Verdict:
    if context.may_have_run:
        return build_uncertain_verdict("body_invalid", str(error), status=400)
    return refuse("body_invalid", str(error), status=400)
