"""Rate limiter of one entry: admits requests and reports to the leader."""

import asyncio
import math
import secrets
import weakref
from collections.abc import Callable, Iterable
from typing import Any

from returns.result import Failure, Result, Success

from toucanwood.limits._held_leases import HeldLeases, Token
from toucanwood.limits._messages import (
    GrantLeases,
    PushLeases,
    ReportLeases,
    decode_grants,
    encode_items,
)
from toucanwood.limits._organisation import OrganisationState
from toucanwood.limits._service import AccountService, Limits
from toucanwood.peering import PeerUnavailable, Transport
from toucanwood.utils import TaskGroup
from toucanwood.verdicts import Verdict, refuse

# Longest time that a request waits for a token.
MAX_WAIT_S = 1.0
MAX_QUEUE_LENGTH = 4096
CALL_TIMEOUT_S = 1.0
# Time between checks for due reports; the shorter one applies while requests wait.
CHECK_INTERVAL_S = 0.25
BUSY_CHECK_INTERVAL_S = 0.05
# Delay of a report, so that requests that arrive together share one.
BATCH_WINDOW_S = 0.001
MAX_BATCH_SIZE = 256


class Limiter:
    """Admit requests while their organisation is within its rate over all entries.

    The entry spends tokens that the leader has leased to it. `successors` returns the
    ids of the instances to which the accounts are handed over when this one stops.
    """

    def __init__(
        self,
        *,
        transport: Transport,
        leader: Callable[[], str | None],
        is_leader: Callable[[], bool],
        term: Callable[[], int],
        find_limits: Callable[[str], Limits | None],
        successors: Callable[[], Iterable[str]] = tuple,
        clock: Callable[[], float] | None = None,
    ) -> None:
        self._transport = transport
        self._clock = clock or asyncio.get_running_loop().time
        self._leader = leader
        self._successors = successors
        self._find_limits = find_limits
        self._incarnation = secrets.token_hex(6)
        self._states: dict[str, OrganisationState] = {}
        self._token_by_task: weakref.WeakKeyDictionary[Any, Token] = (
            weakref.WeakKeyDictionary()
        )
        self._wake = asyncio.Event()
        self._tasks = TaskGroup()
        self._leader_answered_at = -math.inf
        self._is_leader_reachable = True
        self._opens_at = -math.inf
        self._counts = {"admitted": 0, "waited": 0, "refused": 0}
        self.service = AccountService(
            transport=transport,
            is_leader=is_leader,
            term=term,
            find_limits=find_limits,
            push=self._push,
            clock=clock,
        )
        transport.register(PushLeases, self._handle_push)

    async def start(self) -> None:
        """Start the background tasks that renew leases and, as leader, grant tokens."""
        await self.service.start()
        self._tasks.start(self._run_reports(), name="limiter-reports")
        self._tasks.start(self._run_renewals(), name="limiter-renewals")

    async def stop(self) -> None:
        """Return the unspent tokens, hand over the accounts and stop."""
        for state in self._states.values():
            state.leases.return_tokens(state.leases.current.tokens)
            state.must_report = True
        leader = self._leader()
        if leader is not None and self._is_leader_reachable:
            await self._exchange_reports(leader, list(self._states.values()))
        await self.service.hand_over(self._successors())
        await self._tasks.stop()
        await self.service.stop()

    async def acquire(
        self, organisation: str, *, deadline: float
    ) -> Result[None, Verdict]:
        """Take one token; wait until `deadline` (monotonic), at most 1 s.

        Return a refusal with the code `rate_exceeded`, or `limiter_unavailable` if the
        leader cannot be reached or does not grant tokens yet.
        """
        now = self._clock()
        limits = self._find_limits(organisation)
        if limits is None:
            return Failure(self._refuse_rate(organisation, 0, 0.0))
        state = self._get_state(organisation)
        state.demand.record_request(now)
        token = None if state.waiters else state.leases.take(now)
        if state.is_report_due(limits[1], now):
            self._wake.set()
        if token is None:
            grant_count = state.grant_count
            token = await self._wait(state, limits, min(deadline, now + MAX_WAIT_S))
            if token is None:
                return Failure(self._refuse(state, limits, now))
            self._counts["waited"] += 1
            state.round_trips += state.grant_count != grant_count
        self._counts["admitted"] += 1
        self._token_by_task[asyncio.current_task()] = token
        return Success(None)

    def refund(self, organisation: str) -> None:
        """Return the token that the current task acquired last.

        A token that was already reported as spent is not returned.
        """
        token = self._token_by_task.pop(asyncio.current_task(), None)
        state = self._states.get(organisation)
        if token is None or state is None:
            return
        if state.leases.refund(token, self._clock()):
            self._serve_waiting(state)

    def dump(self) -> dict[str, Any]:
        """Return the tokens and waiting requests of every organisation."""
        organisations = {
            name: {
                "tokens": state.leases.tokens,
                "waiting": len(state.waiters),
                "round_trips": state.round_trips,
            }
            for name, state in self._states.items()
        }
        return {
            **self._counts,
            "leader_reachable": self._is_leader_reachable,
            "organisations": organisations,
            "service": self.service.dump(),
        }

    def _get_state(self, organisation: str) -> OrganisationState:
        state = self._states.get(organisation)
        if state is None:
            state = OrganisationState(leases=HeldLeases(organisation=organisation))
            self._states[organisation] = state
        return state

    def _get_burst(self, state: OrganisationState) -> float:
        return (self._find_limits(state.leases.organisation) or (0.0, 0.0))[1]

    async def _wait(
        self, state: OrganisationState, limits: Limits, until: float
    ) -> Token | None:
        """Queue behind earlier requests; return None if no token came in time."""
        loop = asyncio.get_running_loop()
        timeout = until - self._clock()
        if timeout <= 0 or len(state.waiters) >= compute_queue_limit(limits):
            return None
        future: asyncio.Future[Token] = loop.create_future()
        state.waiters[future] = None
        self._wake.set()
        self._serve_waiting(state)
        try:
            await asyncio.wait([future], timeout=timeout)
        except asyncio.CancelledError:
            self._return_unused(state, future)
            raise
        finally:
            state.waiters.pop(future, None)
        return future.result() if future.done() else None

    def _return_unused(
        self, state: OrganisationState, future: asyncio.Future[Token]
    ) -> None:
        """Refund the token of a request that was cancelled before it could use it."""
        if future.done():
            state.leases.refund(future.result(), self._clock())

    def _serve_waiting(self, state: OrganisationState) -> None:
        """Give tokens to the waiting requests in the order of arrival."""
        while state.waiters:
            token = state.leases.take(self._clock())
            if token is None:
                self._schedule_serving(state)
                return
            future = next(iter(state.waiters))
            del state.waiters[future]
            future.set_result(token)

    def _schedule_serving(self, state: OrganisationState) -> None:
        """Serve the waiting requests again when the share holds its next token."""
        loop = asyncio.get_running_loop()
        delay = state.leases.current.compute_share_delay(self._clock())
        if state.serving_timer is not None:
            state.serving_timer.cancel()
            state.serving_timer = None
        if delay is not None:
            # Without the extra microsecond, rounding could run the callback just before
            # the token is available.
            state.serving_timer = loop.call_later(
                delay + 1e-6, self._serve_waiting, state
            )

    def _refuse(
        self, state: OrganisationState, limits: Limits, arrived_at: float
    ) -> Verdict:
        now = self._clock()
        is_answered = self._leader_answered_at >= arrived_at
        is_early = now - arrived_at < MAX_WAIT_S / 2
        organisation = state.leases.organisation
        if now < self._opens_at:
            return self._refuse_unavailable(organisation, self._opens_at - now)
        if is_answered or (is_early and self._is_leader_reachable):
            return self._refuse_rate(organisation, len(state.waiters), limits[0])
        return self._refuse_unavailable(organisation, MAX_WAIT_S)

    def _refuse_rate(self, organisation: str, waiting: int, rate: float) -> Verdict:
        self._counts["refused"] += 1
        delay = (waiting + 1) / rate if rate > 0 else 60.0
        return refuse(
            "rate_exceeded",
            f"organisation {organisation} exceeds its rate of {rate:g} requests/s",
            status=429,
            retry_after=min(max(delay, 1.0), 60.0),
        )

    def _refuse_unavailable(self, organisation: str, delay: float) -> Verdict:
        self._counts["refused"] += 1
        return refuse(
            "limiter_unavailable",
            f"no leader grants tokens for organisation {organisation}",
            status=503,
            retry_after=max(delay, 1.0),
        )

    async def _run_reports(self) -> None:
        while True:
            await self._wake.wait()
            await asyncio.sleep(BATCH_WINDOW_S)
            self._wake.clear()
            self._send_reports()

    async def _run_renewals(self) -> None:
        while True:
            is_busy = any(state.waiters for state in self._states.values())
            await asyncio.sleep(BUSY_CHECK_INTERVAL_S if is_busy else CHECK_INTERVAL_S)
            self._send_reports()

    def _send_reports(self) -> None:
        """Send the due reports to the leader, up to `MAX_BATCH_SIZE` per message."""
        now = self._clock()
        due = [
            state
            for state in self._states.values()
            if state.is_report_due(self._get_burst(state), now)
        ]
        leader = self._leader()
        if leader is None:
            self._is_leader_reachable = False
            return
        for first in range(0, len(due), MAX_BATCH_SIZE):
            batch = due[first : first + MAX_BATCH_SIZE]
            self._tasks.start(
                self._exchange_reports(leader, batch), name="limiter-exchange"
            )

    async def _exchange_reports(
        self, leader: str, states: list[OrganisationState]
    ) -> None:
        """Report to the leader and apply its answer."""
        sent_at = self._clock()
        reports = [
            state.build_report(self._get_burst(state), sent_at) for state in states
        ]
        message = ReportLeases(self._incarnation, encode_items(reports))
        try:
            answer = await self._call(leader, message)
        except PeerUnavailable:
            answer = None
        self._is_leader_reachable = answer is not None and bool(answer.epoch)
        if not self._is_leader_reachable:
            return
        now = self._clock()
        self._leader_answered_at = now
        self._opens_at = now + answer.opens_in if answer.opens_in > 0 else -math.inf
        self._apply(answer, sent_at)

    async def _call(self, leader: str, message: ReportLeases) -> Any:
        if leader == self._transport.instance_id:
            return await self.service.handle_report(leader, message)
        return await self._transport.call(leader, message, timeout=CALL_TIMEOUT_S)

    def _push(self, peer_id: str, message: PushLeases) -> None:
        """Deliver grants of the local account service to their holder."""
        if peer_id == self._transport.instance_id:
            self._apply(message, None)
        else:
            self._transport.send(peer_id, message)

    async def _handle_push(self, sender: str, message: PushLeases) -> None:
        self._apply(message, None)

    def _apply(self, message: GrantLeases | PushLeases, sent_at: float | None) -> None:
        if message.incarnation != self._incarnation:
            return
        now = self._clock()
        for grant in decode_grants(message.grants):
            state = self._states.get(grant.organisation)
            if state is None:
                continue
            state.apply(grant, message.epoch, sent_at=sent_at, now=now)
            if state.must_report:
                self._wake.set()
            self._serve_waiting(state)


def compute_queue_limit(limits: Limits) -> int:
    """Return how many requests can be admitted within `MAX_WAIT_S`."""
    rate, burst = limits
    return min(math.ceil(rate * MAX_WAIT_S + burst), MAX_QUEUE_LENGTH)
