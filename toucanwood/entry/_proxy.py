"""The steps of a proxied request."""

import asyncio
import itertools
import secrets
from collections.abc import Callable

import structlog
from aiohttp import web

from toucanwood.entry._body import (
    MAX_DIGEST_BYTES,
    MAX_KEPT_BYTES,
    BodyError,
    RequestBody,
    check_expectation,
)
from toucanwood.entry._collaborators import (
    ClientBlocks,
    Limiter,
    OutcomeKind,
    View,
)
from toucanwood.entry._context import Refusal, RequestContext, unwrap
from toucanwood.entry._decisions import Decision, DecisionLog
from toucanwood.entry._forwarder import Forwarder
from toucanwood.entry._guard import is_request_id, read_key
from toucanwood.entry._operation_runner import OperationRunner
from toucanwood.entry._relay import Relay
from toucanwood.entry._responses import DEADLINE, REQUEST_ID, build_failure
from toucanwood.entry._routing import check_ready, match_route
from toucanwood.verdicts import Verdict, build_uncertain_verdict, refuse

log = structlog.get_logger()

# Bounds the memory of the kept decisions.
MAX_KEPT_PATH = 200


class Proxy:
    """Authenticate, limit and forward requests by route."""

    def __init__(
        self,
        *,
        region: str,
        view: View,
        limiter: Limiter,
        client_blocks: ClientBlocks,
        forwarder: Forwarder,
        relay: Relay,
        operations: OperationRunner,
        decisions: DecisionLog,
        on_decision: Callable[[Decision], None],
    ) -> None:
        self._region = region
        self._view = view
        self._limiter = limiter
        self._client_blocks = client_blocks
        self._forwarder = forwarder
        self._relay = relay
        self._operations = operations
        self._decisions = decisions
        self._on_decision = on_decision
        self._id_prefix = secrets.token_hex(6)
        self._next_id = itertools.count(1)

    async def handle(self, request: web.BaseRequest, path: str) -> web.StreamResponse:
        """Proxy one request and return the response, or the failure with a verdict."""
        loop = asyncio.get_running_loop()
        decision = self._start_decision(request, path, loop.time())
        context: RequestContext | None = None
        try:
            context = self._build_context(request, path, decision)
            async with asyncio.timeout_at(context.deadline):
                response = await self._serve(context)
            decision.status = response.status
            return response
        except Refusal as refusal:
            return self._fail(decision, context, refusal.verdict)
        except TimeoutError:
            assert context is not None
            return self._fail(decision, context, _describe_timeout(context))
        except asyncio.CancelledError:
            decision.code = "caller_cancelled"
            raise
        except Exception as error:
            if context is not None and _is_caller_gone(context, error):
                decision.code = "caller_cancelled"
                return self._relay.abort(context)
            log.error("request_failed", request=decision.request_id, error=repr(error))
            return self._fail(decision, context, _describe_error(error))
        finally:
            decision.elapsed = loop.time() - decision.arrived
            self._on_decision(decision)

    def _start_decision(
        self, request: web.BaseRequest, path: str, now: float
    ) -> Decision:
        request_id = request.headers.get(REQUEST_ID, "")
        if not is_request_id(request_id):
            request_id = f"{self._id_prefix}-{next(self._next_id):x}"
        decision = Decision(
            request_id=request_id,
            method=request.method,
            path=path[:MAX_KEPT_PATH],
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
        unwrap(check_expectation(request))
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
        await self._take_token(context)
        self._locate(context)
        operation_key = self._find_operation_key(context)
        await self._read_body(context, has_operation=operation_key is not None)
        if operation_key is not None:
            return await self._operations.serve(context, operation_key)
        exchange = await self._forwarder.forward(context)
        try:
            return await self._relay.send(context, exchange)
        finally:
            exchange.finish(OutcomeKind.CANCELLED)

    def _authenticate(self, context: RequestContext) -> None:
        if context.route.is_open:
            return
        key = unwrap(read_key(context.request.headers))
        if key is None:
            message = "this route needs a key (Authorization: Bearer or X-Api-Key)"
            raise Refusal(refuse("key_missing", message, status=401))
        now = asyncio.get_running_loop().time()
        context.decision.freshness = self._view.get_age(now)
        context.organisation = unwrap(self._view.authenticate(key, now))
        context.decision.organisation = context.organisation
        context.key = key

    async def _take_token(self, context: RequestContext) -> None:
        if context.key is None:
            return
        loop = asyncio.get_running_loop()
        started = loop.time()
        taken = await self._limiter.acquire(
            context.organisation, deadline=context.deadline
        )
        context.decision.token_wait = loop.time() - started
        unwrap(taken)
        context.holds_token = True

    def _locate(self, context: RequestContext) -> None:
        peer = context.request.remote or ""
        home_region = self._client_blocks.locate(peer) or self._region
        context.decision.home_region = home_region

    def _find_operation_key(self, context: RequestContext) -> str | None:
        if context.is_idempotent:
            return None
        key = context.request.headers.get("Idempotency-Key")
        if key is not None and not 1 <= len(key) <= 255:
            message = "Idempotency-Key must have 1 to 255 characters"
            raise Refusal(refuse("idempotency_key_invalid", message, status=400))
        return key

    async def _read_body(self, context: RequestContext, *, has_operation: bool) -> None:
        body = context.body
        if body.is_complete:
            return
        try:
            await body.read(MAX_DIGEST_BYTES if has_operation else MAX_KEPT_BYTES)
        except BodyError as error:
            raise Refusal(refuse("body_invalid", str(error), status=400)) from error
        if has_operation and not body.is_complete:
            message = f"with Idempotency-Key, at most {MAX_DIGEST_BYTES} bytes"
            raise Refusal(refuse("body_too_large", message, status=413))

    def _fail(
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
                return self._relay.abort(context)
        return build_failure(verdict, decision.request_id)


def _choose_deadline(request: web.BaseRequest, declared: float) -> float:
    """Return the declared deadline, or a shorter one that the caller asks for."""
    wanted = request.headers.get(DEADLINE, "")
    if wanted.isascii() and wanted.isdigit():
        return min(declared, int(wanted[:12]) / 1000)
    return declared


def _is_caller_gone(context: RequestContext, error: Exception) -> bool:
    """Return whether a write to the caller failed, and not a collaborator."""
    is_sending = context.response is not None and context.response.prepared
    return is_sending and isinstance(error, ConnectionError)


def _describe_error(error: Exception) -> Verdict:
    message = f"the request failed: {type(error).__name__}"
    return refuse("internal_error", message, status=500)


def _describe_timeout(context: RequestContext) -> Verdict:
    message = f"no response within {context.decision.deadline:g} s"
    return refuse("deadline_exceeded", message, status=504, retry_after=1)
