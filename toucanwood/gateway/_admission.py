"""The checks that a request must pass before it is forwarded."""

import asyncio
import contextlib
import itertools
import math
import random
from collections.abc import Callable

import attrs

from toucanwood.fleet import FleetView
from toucanwood.gateway._headers import HeaderNames
from toucanwood.gateway._request_context import RequestContext, RequestError
from toucanwood.httpd import (
    BodyError,
    BodyMemoryFull,
    BodyTooLarge,
    CallerRequest,
)
from toucanwood.quota import QuotaEnforcer
from toucanwood.routing import Organisation, Route, RoutingTable
from toucanwood.verdicts import refuse

# Assumed waiting time of a caller that does not state one.
DEFAULT_DEADLINE_S = 30.0
# Time from the start of all instances until an entry has its first fleet state: the
# election of a leader takes 0.6 s and the next poll 0.25 s. A caller that retries
# earlier is refused again, and its request is lost.
FIRST_STATE_DELAY_S = 1.1
MIN_START_RETRY_AFTER_S = 0.2
# Time from its start until which an entry holds requests that arrive before its first
# fleet state. After FIRST_STATE_WAIT_S of the feed it accepts a state that is not
# proven, so without a state now no controller can be reached.
MAX_START_HOLD_S = 2.0
# Maximum fraction of a caller's remaining time for which its request is held. The rest
# is left for the request itself, or for a retry elsewhere.
MAX_HOLD_FRACTION = 0.5
# Largest random factor on Retry-After during the start, so that callers that were
# refused at the same time don't all retry at the same time.
MAX_START_JITTER_FACTOR = 1.4
OVER_QUOTA_RETRY_AFTER_S = 0.5
# Retry-After of an error that may be due to a stale fleet state. Within this time the
# entry polls other controllers, which may have a newer state.
STALE_STATE_RETRY_AFTER_S = 0.5
BODY_MEMORY_RETRY_AFTER_S = 0.5


@attrs.define
class TrafficSplitter:
    """Distribute the requests of each route over its services by weight.

    Uses smooth weighted round robin: after any number of requests, the count of each
    service differs from its weighted share by at most one request.
    """

    _credits: dict[str, dict[str, float]] = attrs.field(factory=dict)

    def choose(self, route: Route) -> str:
        """Return the service for the next request of a route."""
        if len(route.splits) == 1:
            return route.splits[0].service
        total = sum(split.weight for split in route.splits)
        saved_credits = self._credits.setdefault(route.name, {})
        names = {split.service for split in route.splits}
        credits = {
            name: credit for name, credit in saved_credits.items() if name in names
        }
        for split in route.splits:
            fraction = split.weight / total
            credits[split.service] = credits.get(split.service, 0.0) + fraction
        weights = {split.service: split.weight for split in route.splits}
        chosen = max(
            (name for name in credits if weights[name] > 0), key=credits.__getitem__
        )
        credits[chosen] -= 1.0
        self._credits[route.name] = credits
        return chosen


class Admission:
    """Check a request and find its route, organisation and deadlines."""

    def __init__(
        self,
        *,
        view: FleetView,
        header_names: HeaderNames,
        quota: QuotaEnforcer,
        is_refusing_requests: Callable[[], bool],
        get_latest_deadline: Callable[[], float],
        is_state_current: Callable[[], bool],
        has_newest_revision: Callable[[], bool],
    ) -> None:
        self._is_state_current = is_state_current
        self._has_newest_revision = has_newest_revision
        self._view = view
        self._header_names = header_names
        self._quota = quota
        self._is_refusing_requests = is_refusing_requests
        self._get_latest_deadline = get_latest_deadline
        self._traffic_splitter = TrafficSplitter()
        self._generated_ids = itertools.count(1)
        self._started_at = asyncio.get_running_loop().time()
        self._random = random.Random()
        self._has_routing = asyncio.Event()

    async def admit(self, request: CallerRequest, now: float) -> RequestContext:
        """Return the context of the request; raise RequestError if it is refused."""
        try:
            request.budget.check()
        except BodyMemoryFull as error:
            raise _refuse_for_memory(error) from error
        table = self._view.table
        if table is None:
            table = await self._wait_for_routing(request, now)
            now = asyncio.get_running_loop().time()
        if self._is_refusing_requests():
            raise _refuse("stopping", "this entry is stopping", 503, 0.0)
        if not self._has_newest_revision() and not self._is_state_current():
            # Other entries have the newer document in force by now.
            message = "a newer routing document could not be fetched in time"
            raise _refuse("state_outdated", message, 503, STALE_STATE_RETRY_AFTER_S)
        route = self._find_route(table, request)
        organisation = self._authenticate(table, route, request)
        context = self._build_context(request, route, organisation)
        if context.deadline_at > self._get_latest_deadline():
            # The request could be cut off at the end of the stop, after it has run.
            raise _refuse("stopping", "this entry is stopping", 503, 0.0)
        context.body = await self._read_body(table, request, context.deadline_at)
        if organisation is not None and not self._quota.admit(organisation, now):
            message = f"organisation {organisation.name} exceeds its request rate"
            raise _refuse("over_quota", message, 429, OVER_QUOTA_RETRY_AFTER_S)
        return context

    def release_held_requests(self) -> None:
        """Continue the requests that were held until the first fleet state."""
        self._has_routing.set()

    async def _wait_for_routing(
        self, request: CallerRequest, now: float
    ) -> RoutingTable:
        """Hold a request until the first fleet state; raise RequestError if none comes.

        After a restart of all instances the state follows within a second, and a caller
        that is refused twice gives up.
        """
        remaining = self._header_names.read_remaining_time(request.headers)
        held_until = min(
            self._started_at + MAX_START_HOLD_S,
            now + MAX_HOLD_FRACTION * (remaining or DEFAULT_DEADLINE_S),
        )
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(held_until):
                await self._has_routing.wait()
        table = self._view.table
        if table is None:
            retry_after = self._choose_start_retry_after(
                asyncio.get_running_loop().time()
            )
            message = "this entry has no routing table yet"
            raise _refuse("no_routing", message, 503, retry_after)
        return table

    def _find_route(self, table: RoutingTable, request: CallerRequest) -> Route:
        host = request.headers.get("Host", "").lower()
        route = table.match(host, request.path)
        if route is None and ":" in host:
            route = table.match(host.rpartition(":")[0], request.path)
        if route is None:
            raise self._reject("no_route", "no route matches this host and path", 404)
        return route

    def _authenticate(
        self, table: RoutingTable, route: Route, request: CallerRequest
    ) -> Organisation | None:
        key = self._header_names.read_api_key(request.headers)
        organisation = table.find_organisation(key) if key is not None else None
        if organisation is None and table.organisations and not route.is_open:
            raise self._reject("key_unknown", "the API key is missing or unknown", 401)
        return organisation

    def _choose_start_retry_after(self, now: float) -> float:
        """Return after how many seconds a caller should retry during the start."""
        delay_s = max(
            self._started_at + FIRST_STATE_DELAY_S - now, MIN_START_RETRY_AFTER_S
        )
        return delay_s * self._random.uniform(1.0, MAX_START_JITTER_FACTOR)

    def _reject(self, code: str, message: str, status: int) -> RequestError:
        """Build a final error, or a retryable one if the fleet state may be stale.

        The route or key may have been added meanwhile, and a caller does not retry
        after a final error.
        """
        if self._is_state_current():
            return _refuse(code, message, status)
        message = f"{message} in a fleet state that may be stale"
        return _refuse("state_unproven", message, 503, STALE_STATE_RETRY_AFTER_S)

    def _build_context(
        self, request: CallerRequest, route: Route, organisation: Organisation | None
    ) -> RequestContext:
        remaining = self._header_names.read_remaining_time(request.headers)
        if remaining is None:
            remaining = DEFAULT_DEADLINE_S
        caller_deadline_at = request.arrived_at + remaining
        timeout = route.timeout_s if route.timeout_s is not None else math.inf
        objective = route.objective_s if route.objective_s is not None else timeout
        deadline_at = min(caller_deadline_at, request.arrived_at + timeout)
        request_id = self._header_names.read_request_id(request.headers)
        return RequestContext(
            request=request,
            request_id=request_id or f"entry-{next(self._generated_ids)}",
            route=route,
            organisation=organisation,
            service=self._traffic_splitter.choose(route),
            body=b"",
            object_key=self._find_object_key(request, route),
            objective_at=min(request.arrived_at + objective, deadline_at),
            caller_deadline_at=caller_deadline_at,
            deadline_at=deadline_at,
            revision=self._view.revision,
        )

    def _find_object_key(self, request: CallerRequest, route: Route) -> str | None:
        key = (
            self._header_names.read_object_key(request.headers)
            if route.is_sticky
            else None
        )
        return f"{route.name}|{key}" if key is not None else None

    async def _read_body(
        self, table: RoutingTable, request: CallerRequest, deadline_at: float
    ) -> bytes:
        try:
            async with asyncio.timeout_at(deadline_at):
                return await request.read_body(table.caller_limits.body_bytes)
        except TimeoutError as error:
            message = "the request body did not arrive before the deadline"
            raise _refuse("body_timeout", message, 408) from error
        except BodyMemoryFull as error:
            raise _refuse_for_memory(error) from error
        except BodyTooLarge as error:
            raise _refuse("body_too_large", str(error), 413) from error
        except BodyError as error:
            raise _refuse("body_invalid", str(error), 400) from error


def _refuse_for_memory(error: BodyMemoryFull) -> RequestError:
    return _refuse("body_memory_full", str(error), 503, BODY_MEMORY_RETRY_AFTER_S)


def _refuse(
    code: str, message: str, status: int, retry_after: float | None = None
) -> RequestError:
    return RequestError(refuse(code, message, status=status, retry_after=retry_after))
