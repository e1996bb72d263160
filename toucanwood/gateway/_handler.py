"""The handling of one request, and its log line and metrics."""

import asyncio
from typing import Any

import structlog

from toucanwood.gateway._admission import Admission
from toucanwood.gateway._forwarder import Forwarder
from toucanwood.gateway._headers import HeaderNames
from toucanwood.gateway._load_meter import LoadMeter
from toucanwood.gateway._request_context import RequestContext, RequestError
from toucanwood.httpd import Responder, build_error_response
from toucanwood.metrics import MetricsRegistry
from toucanwood.verdicts import Verdict

log = structlog.get_logger()

# Number of requests of which one is logged even if its first attempt succeeded.
# Failures and requests with several attempts are always logged.
LOG_SAMPLE_INTERVAL = 32
# Service label in the metrics of requests that were not admitted.
UNKNOWN_SERVICE = "none"


class RequestHandler:
    """Admit, forward and answer the requests of callers."""

    def __init__(
        self,
        *,
        admission: Admission,
        forwarder: Forwarder,
        header_names: HeaderNames,
        metrics: MetricsRegistry,
        load_meter: LoadMeter,
    ) -> None:
        self._load_meter = load_meter
        self._metrics = metrics
        self._admission = admission
        self._forwarder = forwarder
        self._header_names = header_names
        self.counts_by_code: dict[str, int] = {}

    async def handle(self, responder: Responder) -> None:
        """Answer one request."""
        loop = asyncio.get_running_loop()
        context: RequestContext | None = None
        code = "answered"
        try:
            self._load_meter.add_request(loop.time())
            context = await self._admission.admit(responder.request, loop.time())
            await self._forwarder.serve(context, responder)
        except RequestError as request_error:
            code = request_error.verdict.code
            await self._send_failure(responder, request_error.verdict)
        except asyncio.CancelledError:
            code = "caller_left"
            raise
        finally:
            self._record_result(responder, context, code, loop.time())

    async def _send_failure(self, responder: Responder, verdict: Verdict) -> None:
        request_id = self._header_names.read_request_id(responder.request.headers)
        headers = [(self._header_names.request_id, request_id)] if request_id else []
        await responder.send(build_error_response(verdict, headers))

    def _is_sampled(self) -> bool:
        """Return whether the current request is logged even if it succeeded."""
        return sum(self.counts_by_code.values()) % LOG_SAMPLE_INTERVAL == 0

    def _count_metrics(
        self,
        responder: Responder,
        context: RequestContext | None,
        code: str,
        seconds: float,
    ) -> None:
        service = context.service if context is not None else UNKNOWN_SERVICE
        self._metrics.count_request(
            service=service, code=code, status=responder.status, seconds=seconds
        )
        if context is not None:
            for attempt in context.attempts:
                self._metrics.count_attempt(service=service, outcome=attempt.outcome)

    def _record_result(
        self,
        responder: Responder,
        context: RequestContext | None,
        code: str,
        now: float,
    ) -> None:
        self.counts_by_code[code] = self.counts_by_code.get(code, 0) + 1
        request = responder.request
        self._count_metrics(responder, context, code, now - request.arrived_at)
        is_failed = code != "answered" or responder.status >= 500
        is_retried = context is not None and len(context.attempts) > 1
        if not (is_failed or is_retried or self._is_sampled()):
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
                **context.log_fields,
            }
        log.info(
            "request_failed" if is_failed else "request_answered",
            request=self._header_names.read_request_id(request.headers),
            code=code,
            status=responder.status,
            held_ms=round((now - request.arrived_at) * 1000),
            **details,
        )
