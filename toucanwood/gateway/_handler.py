"""The steps of one request, and the record of what became of it."""

import asyncio
from typing import Any

import structlog

from toucanwood.gateway._admission import Admission
from toucanwood.gateway._context import Refusal, RequestContext
from toucanwood.gateway._forwarder import Forwarder
from toucanwood.gateway._headers import HeaderNames
from toucanwood.gateway._load import LoadMeter
from toucanwood.httpd import Responder, build_error_response
from toucanwood.metrics import MetricsRegistry
from toucanwood.verdicts import Verdict

log = structlog.get_logger()

# Of the requests that went well at the first attempt, each of this number is logged.
SAMPLE_EVERY = 32
# The service of a request that matches no route in the metrics.
NO_SERVICE = "none"


class RequestHandler:
    """Admit, place and answer each request of a caller."""

    def __init__(
        self,
        *,
        admission: Admission,
        forwarder: Forwarder,
        names: HeaderNames,
        metrics: MetricsRegistry,
        load: LoadMeter,
    ) -> None:
        self._load = load
        self._metrics = metrics
        self._admission = admission
        self._forwarder = forwarder
        self._names = names
        self.counts: dict[str, int] = {}

    async def handle(self, responder: Responder) -> None:
        """Answer one request."""
        loop = asyncio.get_running_loop()
        context: RequestContext | None = None
        code = "answered"
        try:
            self._load.add_request(loop.time())
            context = await self._admission.admit(responder.request, loop.time())
            await self._forwarder.serve(context, responder)
        except Refusal as refusal:
            code = refusal.verdict.code
            await self._fail(responder, refusal.verdict)
        except asyncio.CancelledError:
            code = "caller_left"
            raise
        finally:
            self._record(responder, context, code, loop.time())

    async def _fail(self, responder: Responder, verdict: Verdict) -> None:
        request_id = self._names.read_request_id(responder.request.headers)
        headers = [(self._names.request_id, request_id)] if request_id else []
        await responder.send(build_error_response(verdict, headers))

    def _samples(self) -> bool:
        """Return whether a request that went well is logged."""
        return sum(self.counts.values()) % SAMPLE_EVERY == 0

    def _measure(
        self,
        responder: Responder,
        context: RequestContext | None,
        code: str,
        seconds: float,
    ) -> None:
        service = context.service if context is not None else NO_SERVICE
        self._metrics.count_request(
            service=service, code=code, status=responder.status, seconds=seconds
        )
        if context is not None:
            for attempt in context.attempts:
                self._metrics.count_attempt(service=service, outcome=attempt.outcome)

    def _record(
        self,
        responder: Responder,
        context: RequestContext | None,
        code: str,
        now: float,
    ) -> None:
        self.counts[code] = self.counts.get(code, 0) + 1
        request = responder.request
        self._measure(responder, context, code, now - request.arrived_at)
        is_failed = code != "answered" or responder.status >= 500
        is_repeated = context is not None and len(context.attempts) > 1
        if not (is_failed or is_repeated or self._samples()):
            return
        details: dict[str, Any] = {}
        if context is not None:
            details = {
                "route": context.route.name,
                "service": context.service,
                "sends": context.sends,
                "may_have_run": context.may_have_run,
                "revision": context.revision,
                "attempts": ",".join(item.format() for item in context.attempts),
                **context.notes,
            }
        log.info(
            "request_failed" if is_failed else "request_answered",
            request=self._names.read_request_id(request.headers),
            code=code,
            status=responder.status,
            held_ms=round((now - request.arrived_at) * 1000),
            **details,
        )
