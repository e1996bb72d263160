"""Processing of proxied requests."""

import asyncio
import itertools
import secrets
from collections.abc import Callable

import structlog
from aiohttp import web

from toucanwood.entry._decisions import Decision, DecisionLog
from toucanwood.entry._forwarder import Forwarder
from toucanwood.entry._interfaces import (
    CatalogView,
    ClientBlocks,
    Limiter,
    OutcomeKind,
)
from toucanwood.entry._operation_runner import OperationRunner
from toucanwood.entry._request_body import (
    MAX_BUFFERED_REQUEST_BYTES,
    MAX_OPERATION_BODY_BYTES,
    BodyError,
    RequestBody,
    check_expect_header,
)
from toucanwood.entry._request_context import RequestContext, RequestError, unwrap
from toucanwood.entry._request_validation import is_valid_request_id, read_api_key
from toucanwood.entry._response_sender import ResponseSender
from toucanwood.entry._responses import (
    DEADLINE_HEADER,
    REQUEST_ID_HEADER,
    build_failure_response,
)
from toucanwood.entry._routing import check_ready, match_route
from toucanwood.verdicts import Verdict, build_uncertain_verdict, refuse

log = structlog.get_logger()

# Maximum length in characters; limits the memory that decision records use.
MAX_RECORDED_PATH_LENGTH = 200


class Proxy:
    """Authenticate, rate-limit and forward requests by route."""

    def __init__(
        self,
        *,
        region: str,
        view: CatalogView,
        limiter: Limiter,
        client_blocks: ClientBlocks,
        forwarder: Forwarder,
        response_sender: ResponseSender,
        operation_runner: OperationRunner,
        decisions: DecisionLog,
        on_decision: Callable[[Decision], None],
    ) -> None:
        self._region = region
        self._view = view
        self._limiter = limiter
        self._client_blocks = client_blocks
        self._forwarder = forwarder
        self._response_sender = response_sender
        self._operation_runner = operation_runner
        self._decisions = decisions
        self._on_decision = on_decision
        self._id_prefix = secrets.token_hex(6)
        self._next_id = itertools.count(1)

    async def handle(self, request: web.BaseRequest, path: str) -> web.StreamResponse:
        """Proxy one request; return its response or a failure response."""
        loop = asyncio.get_running_loop()
        decision = self._start_decision(request, path, loop.time())
        context: RequestContext | None = None
        try:
            context = self._build_context(request, path, decision)
            async with asyncio.timeout_at(context.deadline):
                response = await self._serve(context)
            decision.status = response.status
            return response
        except RequestError as request_error:
            return self._end_with_failure(decision, context, request_error.verdict)
        except TimeoutError:
            assert context is not None
            return self._end_with_failure(
                decision, context, _build_timeout_verdict(context)
            )
        except asyncio.CancelledError:
            decision.code = "caller_cancelled"
            raise
        except Exception as error:
            if context is not None and _is_caller_disconnected(context, error):
                decision.code = "caller_cancelled"
                return self._response_sender.abort(context)
            log.error("request_failed", request=decision.request_id, error=repr(error))
            return self._end_with_failure(
                decision, context, _build_error_verdict(error)
            )
        finally:
            decision.elapsed = loop.time() - decision.arrived
            self._on_decision(decision)

    def _start_decision(
        self, request: web.BaseRequest, path: str, now: float
    ) -> Decision:
        request_id = request.headers.get(REQUEST_ID_HEADER, "")
        if not is_valid_request_id(request_id):
            request_id = f"{self._id_prefix}-{next(self._next_id):x}"
        decision = Decision(
            request_id=request_id,
            method=request.method,
            path=path[:MAX_RECORDED_PATH_LENGTH],
            arrived=now,
            revision=self._view.revision,
        )
        self._decisions.add(decision)
        return decision

    def _build_context(
        self, request: web.BaseRequest, path: str, decision: Decision
    ) -> RequestContext:
        check_ready(self._view)
        route, service = unwrap(match_route(self._view.declaration, path))
        decision.service = service.name
        decision.access = route.access
        decision.idempotent = service.allows_retry(request.method)
        decision.deadline = _choose_deadline(request, service.deadline)
        unwrap(check_expect_header(request))
        return RequestContext(
            request=request,
            decision=decision,
            route=route,
            service=service,
            body=RequestBody(request),
            deadline=decision.arrived + decision.deadline,
        )

    async def _serve(self, context: RequestContext) -> web.StreamResponse:
        self._authenticate(context)
        await self._acquire_token(context)
        self._find_home_region(context)
        idempotency_key = self._read_idempotency_key(context)
        await self._read_body(context, has_operation=idempotency_key is not None)
        if idempotency_key is not None:
            return await self._operation_runner.serve(context, idempotency_key)
        exchange = await self._forwarder.forward(context)
        try:
            return await self._response_sender.send(context, exchange)
        finally:
            exchange.finish(OutcomeKind.CANCELLED)

    def _authenticate(self, context: RequestContext) -> None:
        if context.route.is_open:
            return
        key = unwrap(read_api_key(context.request.headers))
        if key is None:
            message = "this route requires a key (Authorization: Bearer or X-Api-Key)"
            raise RequestError(refuse("key_missing", message, status=401))
        now = asyncio.get_running_loop().time()
        context.decision.freshness = self._view.get_age(now)
        context.organisation = unwrap(self._view.authenticate(key, now))
        context.decision.organisation = context.organisation
        context.key = key

    async def _acquire_token(self, context: RequestContext) -> None:
        if context.key is None:
            return
        loop = asyncio.get_running_loop()
        started = loop.time()
        result = await self._limiter.acquire(
            context.organisation, deadline=context.deadline
        )
        context.decision.token_wait = loop.time() - started
        unwrap(result)
        context.holds_token = True

    def _find_home_region(self, context: RequestContext) -> None:
        peer = context.request.remote or ""
        home_region = self._client_blocks.locate(peer) or self._region
        context.decision.home_region = home_region

    def _read_idempotency_key(self, context: RequestContext) -> str | None:
        if context.is_idempotent:
            return None
        key = context.request.headers.get("Idempotency-Key")
        if key is not None and not 1 <= len(key) <= 255:
            message = "Idempotency-Key must have 1 to 255 characters"
            raise RequestError(refuse("idempotency_key_invalid", message, status=400))
        return key

    async def _read_body(self, context: RequestContext, *, has_operation: bool) -> None:
        body = context.body
        if body.is_complete:
            return
        try:
            await body.read(
                MAX_OPERATION_BODY_BYTES
                if has_operation
                else MAX_BUFFERED_REQUEST_BYTES
            )
        except BodyError as error:
            raise RequestError(
                refuse("body_invalid", str(error), status=400)
            ) from error
        if has_operation and not body.is_complete:
            message = (
                "with Idempotency-Key, the body must not exceed "
                f"{MAX_OPERATION_BODY_BYTES} bytes"
            )
            raise RequestError(refuse("body_too_large", message, status=413))

    def _end_with_failure(
        self, decision: Decision, context: RequestContext | None, verdict: Verdict
    ) -> web.StreamResponse:
        if context is not None and context.may_have_run and verdict.is_not_run:
            message = f"{verdict.message}; an earlier attempt may have run"
            verdict = build_uncertain_verdict(
                verdict.code, message, status=verdict.status
            )
        decision.status = verdict.status
        decision.code = verdict.code
        decision.verdict = verdict.execution.value
        if context is not None:
            if verdict.is_not_run and context.holds_token:
                self._limiter.refund(context.organisation)
            if context.response is not None and context.response.prepared:
                return self._response_sender.abort(context)
        return build_failure_response(verdict, decision.request_id)


def _choose_deadline(request: web.BaseRequest, declared: float) -> float:
    """Return the declared deadline in seconds, or a shorter requested one."""
    requested = request.headers.get(DEADLINE_HEADER, "")
    if requested.isascii() and requested.isdigit():
        return min(declared, int(requested[:12]) / 1000)
    return declared


def _is_caller_disconnected(context: RequestContext, error: Exception) -> bool:
    """Return whether the error comes from a write to the caller's connection."""
    is_sending = context.response is not None and context.response.prepared
    return is_sending and isinstance(error, ConnectionError)


def _build_error_verdict(error: Exception) -> Verdict:
    message = f"the request failed: {type(error).__name__}"
    return refuse("internal_error", message, status=500)


def _build_timeout_verdict(context: RequestContext) -> Verdict:
    message = f"no response within {context.decision.deadline:g} s"
    return refuse("deadline_exceeded", message, status=504, retry_after=1)
