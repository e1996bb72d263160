"""The attempts of one request, and the answer to its caller."""

import asyncio
import math
from collections.abc import Callable

import attrs
import structlog

from toucanwood.gateway._context import AttemptNote, Refusal, RequestContext
from toucanwood.gateway._dispatcher import Dispatcher, Lease
from toucanwood.gateway._exchange import ConnectTimeout, Exchange
from toucanwood.gateway._headers import HeaderNames, drop_hop_by_hop
from toucanwood.gateway._large import LargeResponses
from toucanwood.gateway._load import LoadMeter
from toucanwood.httpd import Responder, Response
from toucanwood.placement import (
    LoadReport,
    Outcome,
    PlacementRequest,
    Refused,
    RetryBudget,
)
from toucanwood.quota import QuotaEnforcer
from toucanwood.relay import PIECE_BYTES, StreamPacer
from toucanwood.upstream import TargetClient, TargetError, TargetUnreachable
from toucanwood.verdicts import Verdict, build_uncertain_verdict, refuse

log = structlog.get_logger()

# An answer of the target at the very end of the route's time still gets through.
TIMEOUT_MARGIN_S = 0.08
# The target is given a little less, so that its own answer at the deadline arrives.
DEADLINE_MARGIN_S = 0.01
# Connections that were never made have run nothing, so they don't count as attempts;
# this bounds them anyway.
MAX_CONNECTS = 4
MISDIRECTED = 421
# A repeat needs at least this time to be of use.
MIN_REPEAT_S = 0.05


@attrs.frozen
class _Retry:
    """Tell that another target may be tried; `verdict` holds if none is.

    `is_granted` tells that the repeat is already counted in the budget.
    """

    verdict: Verdict
    is_granted: bool = False


@attrs.define
class _End:
    """Hold how an attempt ended."""

    outcome: Outcome = Outcome.CANCELLED
    report: LoadReport | None = None
    is_complete: bool = False
    is_released: bool = False


class Forwarder:
    """Send a request to targets until one answers, within every limit."""

    def __init__(
        self,
        *,
        dispatcher: Dispatcher,
        client: TargetClient,
        names: HeaderNames,
        quota: QuotaEnforcer,
        find_budget: Callable[[str], RetryBudget],
        hold_bytes: int,
        pacer: StreamPacer,
        large: LargeResponses,
        load: LoadMeter,
        connect_timeout_s: float,
    ) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._load = load
        self._pacer = pacer
        self._large = large
        self._dispatcher = dispatcher
        self._client = client
        self._names = names
        self._quota = quota
        self._find_budget = find_budget
        self._hold_bytes = hold_bytes

    async def serve(self, context: RequestContext, responder: Responder) -> None:
        """Answer the request; raise Refusal where no target did."""
        deadline = context.deadline_at + TIMEOUT_MARGIN_S
        answer: Response | None = None
        try:
            async with asyncio.timeout_at(min(deadline, 1e12)) as context.timeout:
                answer = await self._try_targets(context, responder)
        except TimeoutError:
            if responder.is_streaming:
                responder.abort()
                context.notes["end"] = "cut_at_deadline"
                return
            raise Refusal(_describe_timeout(context)) from None
        if answer is not None:
            # It may have to wait for the answers before it on its connection. It is
            # ready, so it is delivered however long that takes.
            await responder.send(answer)

    async def _try_targets(
        self, context: RequestContext, responder: Responder
    ) -> Response | None:
        """Return an answer that is still to be sent; None where it was streamed."""

        def estimate_work() -> float:
            return self._dispatcher.estimate_work(
                self._build_placement_request(context)
            )

        async with self._large.admit(context, estimate_work):
            return await self._try_each(context, responder)

    async def _try_each(
        self, context: RequestContext, responder: Responder
    ) -> Response | None:
        failure: Verdict | None = None
        for _ in range(MAX_CONNECTS):
            await self._large.take_ask(context)
            lease = self._acquire(context, failure)
            result = await self._attempt(context, lease, responder)
            if not isinstance(result, _Retry):
                return result
            failure = result.verdict
            context.excluded.add(lease.target.id)
            if not (result.is_granted or self._may_repeat(context)):
                break
        assert failure is not None
        raise Refusal(self._settle(context, failure))

    def _acquire(self, context: RequestContext, failure: Verdict | None) -> Lease:
        decision = self._dispatcher.acquire(self._build_placement_request(context))
        if not isinstance(decision, Refused):
            return decision
        context.notes["refused"] = decision.reason
        context.notes["use"] = round(decision.utilisation, 2)
        if decision.expected_s is not None:
            context.notes["expected_ms"] = round(decision.expected_s * 1000)
        if failure is not None:
            raise Refusal(self._settle(context, failure))
        message = f"service {context.service}: {decision.reason}"
        raise Refusal(
            refuse(
                decision.reason,
                message,
                status=503,
                retry_after=decision.retry_after_s,
            )
        )

    def _build_placement_request(self, context: RequestContext) -> PlacementRequest:
        organisation = context.organisation
        priority = context.route.priority
        if organisation is not None and organisation.priority is not None:
            priorities: tuple[int, ...] = (organisation.priority, priority)
        else:
            priorities = (priority, priority)
        return PlacementRequest(
            service=context.service,
            priorities=priorities,
            arrived_at=context.request.arrived_at,
            objective_at=context.objective_at,
            deadline_at=context.deadline_at,
            kind=context.route.name,
            object_key=context.object_key,
            regions=_find_regions(context),
            excluded=frozenset(context.excluded),
        )

    def _may_repeat(self, context: RequestContext) -> bool:
        now = _now()
        if context.deadline_at - now < MIN_REPEAT_S:
            return False
        if context.sends == 0:
            return True
        if context.may_have_run and not context.is_retryable:
            return False
        if context.sends >= context.route.max_attempts:
            return False
        return self._find_budget(context.service).take(now)

    async def _attempt(
        self, context: RequestContext, lease: Lease, responder: Responder
    ) -> _Retry | Response | None:
        """Send the request once; None means that the caller has its answer."""
        exchange = Exchange(self._client, self._names, self._connect_timeout_s)
        context.attempts.append(_describe_attempt(lease))
        end = _End()
        try:
            end.outcome, result = await self._exchange(context, lease, exchange)
            self._large.release_ask(context)
            end.report = self._names.read_load(exchange.get_headers())
            if result is not None:
                return result
            if exchange.is_whole:
                # The target is free before a slow caller has read the answer.
                end.is_complete = True
                self._release(context, lease, end)
                exchange.close(is_complete=True)
                self._load.add_bytes(len(exchange.held), _now())
                return self._build_answer(exchange)
            # The target has ended its work, though the response is still on its way.
            self._release(context, lease, end)
            end.is_complete = await self._stream(context, exchange, responder)
            if not end.is_complete:
                self._dispatcher.note_broken(lease)
                context.attempts[-1].outcome = Outcome.BROKEN.value
            return None
        finally:
            self._release(context, lease, end)
            exchange.close(is_complete=end.is_complete)

    def _release(self, context: RequestContext, lease: Lease, end: "_End") -> None:
        """Give back the place at the target; only the first call counts."""
        if end.is_released:
            return
        end.is_released = True
        if end.outcome is Outcome.CANCELLED and _is_late(context):
            end.outcome = Outcome.TIMED_OUT
        self._dispatcher.release(lease, end.outcome, end.report)
        note = context.attempts[-1]
        note.outcome = end.outcome.value
        now = _now()
        note.took_ms = round((now - lease.started_at) * 1000)

    async def _exchange(
        self, context: RequestContext, lease: Lease, exchange: Exchange
    ) -> tuple[Outcome, _Retry | None]:
        """Send and receive; a retry says why the response can't be passed on."""
        now = _now()
        try:
            await exchange.open(
                lease.target.address,
                reuse=context.is_retryable,
                relays=context.relays,
                due_in_s=context.objective_at - now,
            )
        except (TargetUnreachable, ConnectTimeout) as error:
            verdict = refuse("target_unreachable", str(error), status=503)
            return Outcome.UNREACHABLE, _Retry(verdict)
        except TargetError as error:
            verdict = refuse("target_unreachable", str(error), status=503)
            return Outcome.BROKEN, _Retry(verdict)
        self._count_send(context, now)
        try:
            head = self._build_head(context, lease)
            await exchange.send(context.request.method, head, context.body)
            await exchange.receive(context.request_id, self._hold_bytes)
        except TargetError as error:
            if exchange.progress.written:
                context.may_have_run = True
                verdict = build_uncertain_verdict(
                    "target_failed", str(error), status=502
                )
            else:
                context.sends -= 1
                verdict = refuse("target_failed", str(error), status=503)
            return Outcome.BROKEN, _Retry(verdict)
        except asyncio.CancelledError:
            context.may_have_run = True
            raise
        return self._judge(context, exchange)

    def _judge(
        self, context: RequestContext, exchange: Exchange
    ) -> tuple[Outcome, _Retry | None]:
        """Decide whether a response may be passed on."""
        status = exchange.message.code
        headers = exchange.message.headers
        if status == MISDIRECTED:
            verdict = refuse("target_replaced", "the target has gone", status=503)
            return Outcome.REPLACED, _Retry(verdict)
        if self._names.not_run in headers:
            message = f"the target did not run the request (status {status})"
            return Outcome.SHED, _Retry(refuse("target_full", message, status=503))
        context.may_have_run = True
        if not self._names.is_signed(headers):
            message = "the response is not signed by its target"
            return Outcome.BROKEN, _Retry(
                build_uncertain_verdict("not_signed", message, status=502)
            )
        if "Content-Encoding" in headers:
            message = "the response has an encoding that nobody asked for"
            return Outcome.BROKEN, _Retry(
                build_uncertain_verdict("encoded", message, status=502)
            )
        if status >= 500:
            can_repeat = context.is_retryable and exchange.is_whole
            if can_repeat and self._may_repeat(context):
                message = f"the target failed with status {status}"
                verdict = build_uncertain_verdict("target_error", message, status=502)
                return Outcome.ERROR, _Retry(verdict, is_granted=True)
            return Outcome.ERROR, None
        return Outcome.OK, None

    def _count_send(self, context: RequestContext, now: float) -> None:
        if context.sends == 0:
            self._find_budget(context.service).record_request(now)
            if context.organisation is not None:
                self._quota.count_forwarded(context.organisation)
        context.sends += 1

    def _build_head(self, context: RequestContext, lease: Lease) -> bytes:
        request = context.request
        now = _now()
        remaining = context.deadline_at - now - DEADLINE_MARGIN_S
        organisation = context.organisation
        headers = self._names.list_for_target(
            request.headers.items(),
            target_id=lease.target.id,
            remaining_s=max(remaining, 0.001) if remaining < math.inf else 3600.0,
            organisation=organisation.name if organisation is not None else None,
        )
        lines = [f"{request.method} {request.target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers]
        if request.has_body:
            lines.append(f"Content-Length: {len(context.body)}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("utf-8", "surrogateescape")

    def _build_answer(self, exchange: Exchange) -> Response:
        message = exchange.message
        return Response(
            status=message.code,
            reason=message.reason,
            headers=drop_hop_by_hop(message.headers.items()),
            body=exchange.held,
            declared_length=exchange.get_length(),
        )

    async def _stream(
        self, context: RequestContext, exchange: Exchange, responder: Responder
    ) -> bool:
        """Stream a response; return whether the caller got the whole of it."""
        message = exchange.message
        headers = drop_hop_by_hop(message.headers.items())
        size = len(exchange.held)
        if context.timeout is not None:
            # An answer that has come is delivered, also after the time of its route.
            last = context.caller_deadline_at + TIMEOUT_MARGIN_S
            context.timeout.reschedule(min(last, 1e12))
        length = exchange.get_length()
        self._large.note_length(context, length)
        await responder.start(message.code, message.reason, headers, length)
        chunk, exchange.held = exchange.held, b""
        try:
            while chunk:
                await self._write_paced(responder, chunk, context.objective_at)
                chunk = await exchange.read_chunk()
                size += len(chunk)
        except TargetError as error:
            context.notes["end"] = f"cut: {error}"
            responder.abort()
            return False
        responder.finish()
        self._large.note_size(context, size)
        return True

    async def _write_paced(
        self, responder: Responder, chunk: bytes, due_at: float
    ) -> None:
        for start in range(0, len(chunk), PIECE_BYTES):
            piece = chunk[start : start + PIECE_BYTES]
            await self._pacer.acquire(len(piece), due_at)
            self._load.add_bytes(len(piece), _now())
            await responder.write(piece)

    def _settle(self, context: RequestContext, verdict: Verdict) -> Verdict:
        """Return the verdict for the caller, true for all attempts together."""
        if not context.may_have_run:
            if verdict.retry_after is None:
                retry_after = self._suggest_return()
                return attrs.evolve(verdict, retry_after=retry_after)
            return verdict
        message = f"{verdict.message}; an attempt may have run"
        return build_uncertain_verdict(verdict.code, message, status=502)

    def _suggest_return(self) -> float:
        return 0.1


def _describe_attempt(lease: Lease) -> AttemptNote:
    choice = lease.placed.choice
    record = choice.record
    now = lease.started_at
    return AttemptNote(
        target=record.id,
        reason=lease.placed.reason,
        expected_ms=round(choice.expected_s * 1000),
        warm_probability=choice.warm_probability,
        load=record.estimate_load(now),
        slots=record.target.slots,
        report_age_ms=round(min(record.get_report_age(now), 1e6) * 1000),
        slowdown=record.estimate_slowdown(now),
    )


def _find_regions(context: RequestContext) -> frozenset[str] | None:
    """Return the regions in which a request may run; None stands for all.

    The regions of the route and of the organisation both bind, so none may be left.
    """
    regions = context.route.regions or None
    organisation = context.organisation
    if organisation is None or not organisation.regions:
        return regions
    if regions is None:
        return organisation.regions
    return regions & organisation.regions


def _now() -> float:
    return asyncio.get_running_loop().time()


def _is_late(context: RequestContext) -> bool:
    now = _now()
    return now >= context.deadline_at


def _describe_timeout(context: RequestContext) -> Verdict:
    if context.may_have_run:
        message = "no target answered in the time of the route"
        return build_uncertain_verdict("deadline_exceeded", message, status=504)
    message = "no target could take the request in the time of the route"
    return refuse("not_sent", message, status=503, retry_after=0.2)
