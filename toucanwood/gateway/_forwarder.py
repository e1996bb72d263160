"""Forwarding of a request to a target, with retries on other targets."""

import asyncio
import math
from collections.abc import Callable

import attrs
import structlog

from toucanwood.gateway._dispatcher import Dispatcher, Lease
from toucanwood.gateway._exchange import ConnectTimeout, Exchange
from toucanwood.gateway._headers import HeaderNames, filter_headers
from toucanwood.gateway._large_response_gate import LargeResponseGate
from toucanwood.gateway._load_meter import LoadMeter
from toucanwood.gateway._request_context import Attempt, RequestContext, RequestError
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
from toucanwood.upstream import (
    NoFreeFile,
    RelayLost,
    TargetClient,
    TargetError,
    TargetUnreachable,
)
from toucanwood.verdicts import Verdict, build_uncertain_verdict, refuse

log = structlog.get_logger()

# Time after the deadline in which a response that the target sent just before the
# deadline can still be received.
TIMEOUT_MARGIN_S = 0.08
# Time by which the deadline sent to a target is earlier than that of the request, so
# that a response which the target sends at its deadline still arrives.
DEADLINE_MARGIN_S = 0.01
# Maximum number of targets that are tried for one request, including targets to which
# the connection failed. A failed connection does not use up the route's limit on
# attempts, because the target has run nothing.
MAX_TRIED_TARGETS = 4
STATUS_MISDIRECTED = 421
NO_FILE_RETRY_AFTER_S = 0.5
# Time before the deadline that must remain for a retry to be useful.
MIN_RETRY_TIME_S = 0.05


@attrs.frozen
class _Retry:
    """The result of an attempt after which another target may be tried.

    `verdict` is the result of the request if there is no further attempt.
    `is_counted_in_budget` is true if the retry budget already includes the retry.
    """

    verdict: Verdict
    is_counted_in_budget: bool = False


@attrs.define
class AttemptEnd:
    """How an attempt ended, and whether its lease has been released."""

    outcome: Outcome = Outcome.CANCELLED
    report: LoadReport | None = None
    is_complete: bool = False
    is_released: bool = False


class Forwarder:
    """Forward requests to targets that have room, with a limited number of retries."""

    def __init__(
        self,
        *,
        dispatcher: Dispatcher,
        client: TargetClient,
        header_names: HeaderNames,
        quota: QuotaEnforcer,
        find_retry_budget: Callable[[str], RetryBudget],
        buffer_bytes: int,
        pacer: StreamPacer,
        large_responses: LargeResponseGate,
        load_meter: LoadMeter,
        connect_timeout_s: float,
    ) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._load_meter = load_meter
        self._pacer = pacer
        self._large_responses = large_responses
        self._dispatcher = dispatcher
        self._client = client
        self._header_names = header_names
        self._quota = quota
        self._find_retry_budget = find_retry_budget
        self._buffer_bytes = buffer_bytes

    async def serve(self, context: RequestContext, responder: Responder) -> None:
        """Forward the request and send the response to its caller.

        Raise RequestError if no attempt succeeds.
        """
        deadline = context.deadline_at + TIMEOUT_MARGIN_S
        response: Response | None = None
        try:
            async with asyncio.timeout_at(min(deadline, 1e12)) as context.timeout:
                await self._wait_for_streams_ahead(context, responder)
                response = await self._admit_and_try_targets(context, responder)
        except TimeoutError:
            if responder.is_streaming:
                responder.abort()
                context.log_fields["end"] = "cut_at_deadline"
                return
            raise RequestError(_build_timeout_verdict(context)) from None
        if response is not None:
            # Responses are sent in the order of the requests of a connection. A
            # complete response waits for the earlier ones without a time limit.
            await responder.send(response)

    async def _wait_for_streams_ahead(
        self, context: RequestContext, responder: Responder
    ) -> None:
        started_at = _now()
        await responder.wait_for_streams_ahead()
        wait_s = _now() - started_at
        if wait_s > 0:
            context.log_fields["stream_wait_ms"] = round(wait_s * 1000)

    async def _admit_and_try_targets(
        self, context: RequestContext, responder: Responder
    ) -> Response | None:
        """Return the response to send, or None if it has already been streamed."""

        def estimate_processing_time() -> float:
            return self._dispatcher.estimate_processing_time(
                self._build_placement_request(context)
            )

        async with self._large_responses.admit(context, estimate_processing_time):
            return await self._try_targets(context, responder)

    async def _try_targets(
        self, context: RequestContext, responder: Responder
    ) -> Response | None:
        failure: Verdict | None = None
        for _ in range(MAX_TRIED_TARGETS):
            await self._large_responses.acquire_permit(context)
            lease = self._acquire(context, failure)
            result = await self._run_attempt(context, lease, responder)
            if not isinstance(result, _Retry):
                return result
            failure = result.verdict
            context.excluded.add(lease.target.id)
            if not (result.is_counted_in_budget or self._may_retry(context)):
                break
        assert failure is not None
        raise RequestError(self._finalise_verdict(context, failure))

    def _acquire(self, context: RequestContext, failure: Verdict | None) -> Lease:
        decision = self._dispatcher.acquire(self._build_placement_request(context))
        if not isinstance(decision, Refused):
            return decision
        context.log_fields["refused"] = decision.reason
        context.log_fields["use"] = round(decision.utilisation, 2)
        if decision.expected_s is not None:
            context.log_fields["expected_ms"] = round(decision.expected_s * 1000)
        if failure is not None:
            raise RequestError(self._finalise_verdict(context, failure))
        message = f"service {context.service}: {decision.reason}"
        raise RequestError(
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

    def _may_retry(self, context: RequestContext) -> bool:
        now = _now()
        if context.deadline_at - now < MIN_RETRY_TIME_S:
            return False
        if context.sends == 0:
            return True
        if context.may_have_run and not context.is_idempotent:
            return False
        if context.sends >= context.route.max_attempts:
            return False
        return self._find_retry_budget(context.service).take(now)

    async def _run_attempt(
        self, context: RequestContext, lease: Lease, responder: Responder
    ) -> _Retry | Response | None:
        """Send the request to one target.

        Return the response to send, None if it has already been streamed, or a
        `_Retry`.
        """
        exchange = Exchange(self._client, self._header_names, self._connect_timeout_s)
        context.attempts.append(_build_attempt(lease))
        end = AttemptEnd()
        try:
            end.outcome, result = await self._send_and_receive(context, lease, exchange)
            self._large_responses.release_permit(context)
            end.report = self._header_names.read_load_report(exchange.get_headers())
            if result is None and not exchange.is_fully_buffered:
                end.outcome, result = await self._buffer_for_requests_behind(
                    context, exchange, responder, end.outcome
                )
            if result is not None:
                return result
            if exchange.is_fully_buffered:
                # Sending the response takes long if the caller reads slowly, so the
                # lease is released first.
                end.is_complete = True
                self._release(context, lease, end)
                exchange.close(is_complete=True)
                self._load_meter.add_bytes(len(exchange.buffered_body), _now())
                return self._build_buffered_response(exchange)
            # The target has finished processing, although the rest of the response is
            # still being transferred.
            self._release(context, lease, end)
            error = await self._stream(context, exchange, responder)
            end.is_complete = error is None
            if error is not None:
                context.attempts[-1].outcome = _get_outcome(error).value
                if _get_outcome(error) is Outcome.BROKEN:
                    self._dispatcher.record_broken(lease)
            return None
        finally:
            self._release(context, lease, end)
            exchange.close(is_complete=end.is_complete)

    def _release(
        self, context: RequestContext, lease: Lease, end: "AttemptEnd"
    ) -> None:
        """Release the lease and record its outcome; later calls have no effect."""
        if end.is_released:
            return
        end.is_released = True
        if end.outcome is Outcome.CANCELLED and _is_past_deadline(context):
            end.outcome = Outcome.TIMED_OUT
        self._dispatcher.release(lease, end.outcome, end.report)
        attempt = context.attempts[-1]
        attempt.outcome = end.outcome.value
        now = _now()
        attempt.duration_ms = round((now - lease.started_at) * 1000)

    async def _send_and_receive(
        self, context: RequestContext, lease: Lease, exchange: Exchange
    ) -> tuple[Outcome, _Retry | None]:
        """Send the request and receive the beginning of the response.

        Return the outcome, and a `_Retry` if there is no response that may be passed
        on to the caller.
        """
        now = _now()
        try:
            await exchange.open(
                lease.target.address,
                reuse=context.is_idempotent,
                request_id=context.request_id,
                relays=context.relays,
                due_in_s=context.objective_at - now,
            )
        except NoFreeFile as error:
            # Says nothing about the target, and other targets can't be reached either.
            verdict = refuse(
                "no_free_file",
                str(error),
                status=503,
                retry_after=NO_FILE_RETRY_AFTER_S,
            )
            raise RequestError(self._finalise_verdict(context, verdict)) from error
        except (TargetUnreachable, ConnectTimeout) as error:
            verdict = refuse("target_unreachable", str(error), status=503)
            return Outcome.UNREACHABLE, _Retry(verdict)
        except TargetError as error:
            verdict = refuse("target_unreachable", str(error), status=503)
            return Outcome.BROKEN, _Retry(verdict)
        self._count_send(context, now)
        try:
            head = self._encode_head(context, lease)
            await exchange.send(context.request.method, head, context.body)
            await exchange.receive(
                context.request_id,
                self._buffer_bytes,
                lambda size: _hold_response(context, size),
            )
        except TargetError as error:
            if exchange.progress.written:
                context.may_have_run = True
                verdict = build_uncertain_verdict(
                    "target_failed", str(error), status=502
                )
            else:
                context.sends -= 1
                verdict = refuse("target_failed", str(error), status=503)
            return _get_outcome(error), _Retry(verdict)
        except asyncio.CancelledError:
            context.may_have_run = True
            raise
        return self._classify_response(context, lease, exchange)

    async def _buffer_for_requests_behind(
        self,
        context: RequestContext,
        exchange: Exchange,
        responder: Responder,
        outcome: Outcome,
    ) -> tuple[Outcome, _Retry | None]:
        """Buffer a response as a whole if later requests of the connection run.

        If it were streamed and broke off, the connection would be reset, and their
        responses would be lost. When memory is scarce or the route's timeout is over,
        it is streamed nevertheless. At the caller's deadline it fails, since a stream
        would be cut.
        """
        if not responder.has_requests_behind():
            return outcome, None
        context.log_fields["requests_behind"] = True
        has_time_left = context.deadline_at < context.caller_deadline_at
        try:
            async with asyncio.timeout_at(
                context.deadline_at if has_time_left else None
            ):
                await exchange.buffer_more()
        except TimeoutError:
            return outcome, None
        except TargetError as error:
            verdict = build_uncertain_verdict("target_failed", str(error), status=502)
            return _get_outcome(error), _Retry(verdict)
        return outcome, None

    def _classify_response(
        self, context: RequestContext, lease: Lease, exchange: Exchange
    ) -> tuple[Outcome, _Retry | None]:
        """Return the outcome, and a `_Retry` if the response may not be passed on."""
        status = exchange.response_head.code
        headers = exchange.response_head.headers
        if status == STATUS_MISDIRECTED:
            verdict = refuse(
                "target_replaced", "another target has the address now", status=503
            )
            return Outcome.REPLACED, _Retry(verdict)
        is_not_run = self._header_names.not_run in headers
        if is_not_run or self._header_names.is_signed(headers):
            signals = self._header_names.read_signals(status, headers)
            self._dispatcher.record_signals(lease, signals)
        if is_not_run:
            message = f"the target did not run the request (status {status})"
            return Outcome.SHED, _Retry(refuse("target_full", message, status=503))
        context.may_have_run = True
        if not self._header_names.is_signed(headers):
            message = "the response is not signed by its target"
            return Outcome.BROKEN, _Retry(
                build_uncertain_verdict("not_signed", message, status=502)
            )
        if "Content-Encoding" in headers:
            message = "the response has a content encoding that was not requested"
            return Outcome.BROKEN, _Retry(
                build_uncertain_verdict("encoded", message, status=502)
            )
        if status >= 500:
            can_retry = context.is_idempotent and exchange.is_fully_buffered
            if can_retry and self._may_retry(context):
                message = f"the target failed with status {status}"
                verdict = build_uncertain_verdict("target_error", message, status=502)
                return Outcome.ERROR, _Retry(verdict, is_counted_in_budget=True)
            return Outcome.ERROR, None
        return Outcome.OK, None

    def _count_send(self, context: RequestContext, now: float) -> None:
        if context.sends == 0:
            self._find_retry_budget(context.service).record_request(now)
            if context.organisation is not None:
                self._quota.count_forwarded(context.organisation)
        context.sends += 1

    def _encode_head(self, context: RequestContext, lease: Lease) -> bytes:
        request = context.request
        now = _now()
        remaining = context.deadline_at - now - DEADLINE_MARGIN_S
        organisation = context.organisation
        headers = self._header_names.build_target_headers(
            request.headers.items(),
            request_id=context.request_id,
            target_id=lease.target.id,
            remaining_s=max(remaining, 0.001) if remaining < math.inf else 3600.0,
            organisation=organisation.name if organisation is not None else None,
        )
        lines = [f"{request.method} {request.target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers]
        if request.has_body:
            lines.append(f"Content-Length: {len(context.body)}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("utf-8", "surrogateescape")

    def _build_buffered_response(self, exchange: Exchange) -> Response:
        response_head = exchange.response_head
        return Response(
            status=response_head.code,
            reason=response_head.reason,
            headers=filter_headers(response_head.headers.items()),
            body=exchange.buffered_body,
            declared_length=exchange.get_content_length(),
        )

    async def _stream(
        self, context: RequestContext, exchange: Exchange, responder: Responder
    ) -> TargetError | None:
        """Stream a response to the caller; return the error that broke it off."""
        response_head = exchange.response_head
        headers = filter_headers(response_head.headers.items())
        size = len(exchange.buffered_body)
        if context.timeout is not None:
            # A response that has begun is delivered even after the route's timeout.
            latest = context.caller_deadline_at + TIMEOUT_MARGIN_S
            context.timeout.reschedule(min(latest, 1e12))
        length = exchange.get_content_length()
        self._large_responses.record_declared_length(context, length)
        await responder.start(response_head.code, response_head.reason, headers, length)
        chunk, exchange.buffered_body = exchange.buffered_body, b""
        try:
            while chunk:
                await self._write_paced(responder, chunk, context.objective_at)
                chunk = await exchange.read_chunk()
                size += len(chunk)
        except TargetError as error:
            context.log_fields["end"] = f"cut: {error}"
            responder.abort()
            return error
        responder.finish()
        self._large_responses.record_response_size(context, size)
        return None

    async def _write_paced(
        self, responder: Responder, chunk: bytes, due_at: float
    ) -> None:
        for start in range(0, len(chunk), PIECE_BYTES):
            piece = chunk[start : start + PIECE_BYTES]
            await self._pacer.acquire(len(piece), due_at)
            self._load_meter.add_bytes(len(piece), _now())
            await responder.write(piece)

    def _finalise_verdict(self, context: RequestContext, verdict: Verdict) -> Verdict:
        """Return the verdict for the caller that covers all attempts.

        The verdict of the last attempt alone would be wrong if an earlier attempt may
        have run.
        """
        if not context.may_have_run:
            if verdict.retry_after is None:
                retry_after = self._choose_retry_after()
                return attrs.evolve(verdict, retry_after=retry_after)
            return verdict
        message = f"{verdict.message}; an attempt may have run"
        return build_uncertain_verdict(verdict.code, message, status=502)

    def _choose_retry_after(self) -> float:
        return 0.1


def _get_outcome(error: TargetError) -> Outcome:
    """Return the outcome of an attempt whose response is missing or broken off."""
    return Outcome.CANCELLED if isinstance(error, RelayLost) else Outcome.BROKEN


def _build_attempt(lease: Lease) -> Attempt:
    choice = lease.placed.choice
    record = choice.record
    now = lease.started_at
    report_age = record.get_report_age(now)
    return Attempt(
        target=record.id,
        reason=lease.placed.reason,
        expected_ms=round(choice.expected_s * 1000),
        warm_probability=choice.warm_probability,
        load=record.estimate_load(now),
        slots=record.target.slots,
        report_age_ms=round(report_age * 1000) if report_age < math.inf else None,
        slowdown=record.estimate_slowdown(now),
    )


def _hold_response(context: RequestContext, size: int) -> bool:
    """Count buffered bytes; return whether there is memory to buffer more."""
    context.request.hold_memory(size)
    return not context.request.budget.is_scarce()


def _find_regions(context: RequestContext) -> frozenset[str] | None:
    """Return the regions in which a request may run; None means every region.

    A region must be allowed by the route and by the organisation, so the result may be
    empty.
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


def _is_past_deadline(context: RequestContext) -> bool:
    now = _now()
    return now >= context.deadline_at


def _build_timeout_verdict(context: RequestContext) -> Verdict:
    if context.may_have_run:
        message = "no target answered before the deadline"
        return build_uncertain_verdict("deadline_exceeded", message, status=504)
    message = "no target could take the request before the deadline"
    return refuse("not_sent", message, status=503, retry_after=0.2)
