"""HTTP server of an instance: start, drain, stop and dispatch of requests."""

from collections.abc import Callable
from typing import Any

import structlog
from aiohttp import web
from aiohttp.http import HttpVersion11

from toucanwood.entry._api import PREFIX, Api, build_error_verdict
from toucanwood.entry._caller_connection import CallerConnection, CallerServer
from toucanwood.entry._decisions import Decision, DecisionLog
from toucanwood.entry._drain import (
    build_stopping_verdict,
    wait_until_drained,
)
from toucanwood.entry._forwarder import Forwarder
from toucanwood.entry._interfaces import (
    CatalogView,
    ClientBlocks,
    Dispatcher,
    Limiter,
    OperationClient,
    Operators,
    RankEntries,
    RegionSelector,
)
from toucanwood.entry._operation_runner import OperationRunner
from toucanwood.entry._pacing import LinkPacer
from toucanwood.entry._proxy import Proxy
from toucanwood.entry._request_context import RequestError, unwrap
from toucanwood.entry._request_validation import (
    check_request_head,
    check_request_target,
)
from toucanwood.entry._response_sender import ResponseSender
from toucanwood.entry._responses import build_failure_response
from toucanwood.entry._retry_budget import RetryBudget
from toucanwood.httpd import ConnectionLimit, Listener
from toucanwood.upstream import MAX_IDLE_PER_TARGET, TargetClient
from toucanwood.utils import TaskGroup

log = structlog.get_logger()


class Entry:
    """HTTP server for callers, targets and operators.

    `settings` has the attributes of `settings.Settings`. `count_entries` returns the
    number of entries in this region, which share the links to other regions.
    `on_decision` is called with the record of each proxied request when the request
    has ended. `max_idle_per_target` limits this entry's idle connections to a target;
    the idle connections of all entries together must stay below the number of
    connections that the target accepts.
    """

    def __init__(
        self,
        *,
        settings: Any,
        view: CatalogView,
        limiter: Limiter,
        operations: OperationClient,
        region_selector: RegionSelector,
        dispatcher: Dispatcher,
        client_blocks: ClientBlocks,
        rank_entries: RankEntries,
        operators: Operators,
        count_entries: Callable[[], int] = lambda: 1,
        on_decision: Callable[[Decision], None] = lambda decision: None,
        max_idle_per_target: int = MAX_IDLE_PER_TARGET,
    ) -> None:
        self._settings = settings
        self._tasks = TaskGroup()
        self._client = TargetClient(max_idle_per_target=max_idle_per_target)
        self._retry_budget = RetryBudget()
        self._decisions = DecisionLog()
        self._link_pacer = LinkPacer(
            region=settings.region, count_entries=count_entries
        )
        forwarder = Forwarder(
            view=view,
            region_selector=region_selector,
            dispatcher=dispatcher,
            client=self._client,
            retry_budget=self._retry_budget,
        )
        response_sender = ResponseSender(view=view, link_pacer=self._link_pacer)
        runner = OperationRunner(
            operations=operations,
            forwarder=forwarder,
            response_sender=response_sender,
            tasks=self._tasks,
        )
        self._proxy = Proxy(
            region=settings.region,
            view=view,
            limiter=limiter,
            client_blocks=client_blocks,
            forwarder=forwarder,
            response_sender=response_sender,
            operation_runner=runner,
            decisions=self._decisions,
            on_decision=on_decision,
        )
        self._api = Api(
            settings=settings,
            view=view,
            dispatcher=dispatcher,
            client_blocks=client_blocks,
            rank_entries=rank_entries,
            operators=operators,
            decisions=self._decisions,
        )
        self._server: CallerServer | None = None
        self._listener: Listener | None = None
        self._is_draining = False
        self.connection_limit = ConnectionLimit.from_open_files(None)
        self.address = settings.http

    async def start(self) -> None:
        """Listen on the address in the settings; port 0 selects a free port."""
        self._server = CallerServer(self._handle, self.connection_limit)
        self._listener = Listener(
            self._settings.http, self._server, self.connection_limit
        )
        self.address = self._listener.address

    async def drain(self, *, timeout: float) -> bool:
        """Finish running requests, accept no new ones; return whether all ended.

        Before the call, the instance must be removed from lookup responses and their
        time to live must have passed. One more request is served on each open
        connection, which is then closed. `timeout` is in seconds.
        """
        assert self._listener is not None and self._server is not None
        self._is_draining = True
        self._listener.close()
        return await wait_until_drained(
            self._listener, self._server, self._tasks, timeout=timeout
        )

    async def stop(self) -> None:
        """Cancel running requests and close every connection immediately."""
        if self._listener is not None:
            await self._listener.stop()
        if self._server is not None:
            await self._server.shutdown(0)
        await self._tasks.stop()
        self._client.close()

    def explain(self, request_id: str) -> Decision | None:
        """Return the decision record of a request, or None if it was dropped."""
        return self._decisions.find(request_id)

    def dump(self) -> dict[str, Any]:
        """Return the state, without secrets, as JSON-serialisable values."""
        return {
            "address": self.address,
            "draining": self._is_draining,
            "callers": len(self._server.connections) if self._server else 0,
            "decisions": len(self._decisions),
            "retries": self._retry_budget.dump(),
            "targets": self._client.dump(),
            "paced_bytes": self._link_pacer.dump(),
        }

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        try:
            self._refuse_second_request_while_draining(request)
            response = await self._route(request)
        except RequestError as request_error:
            response = build_failure_response(request_error.verdict)
        except Exception as error:
            log.error("request_failed", error=repr(error), method=request.method)
            response = build_failure_response(build_error_verdict(error))
        self._close_connection_while_draining(request, response)
        if isinstance(request.protocol, CallerConnection):
            request.protocol.mark_idle()
        return response

    def _refuse_second_request_while_draining(self, request: web.BaseRequest) -> None:
        connection = request.protocol
        if self._is_draining and isinstance(connection, CallerConnection):
            if connection.served_while_draining:
                raise RequestError(build_stopping_verdict())
            connection.served_while_draining = True

    def _close_connection_while_draining(
        self, request: web.BaseRequest, response: web.StreamResponse
    ) -> None:
        connection = request.protocol
        if not self._is_draining or not isinstance(connection, CallerConnection):
            return
        # Pipelined requests that follow on this connection are refused one by one.
        if not response.prepared and not connection.has_queued_request():
            response.force_close()

    async def _route(self, request: web.BaseRequest) -> web.StreamResponse:
        path = _validate_request(request)
        if path.startswith(PREFIX):
            return await self._api.handle(request, path)
        return await self._proxy.handle(request, path)


def _validate_request(request: web.BaseRequest) -> str:
    """Return the path; log and raise `RequestError` if the request is malformed."""
    is_http11 = request.version == HttpVersion11
    try:
        unwrap(check_request_head(request.method, request.headers, is_http11=is_http11))
        return unwrap(check_request_target(request.raw_path))
    except RequestError as request_error:
        log.info(
            "request_malformed", code=request_error.verdict.code, peer=request.remote
        )
        raise
