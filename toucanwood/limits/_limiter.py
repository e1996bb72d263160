"""The limiter of one entry."""

import asyncio
import math
import secrets
import weakref
from collections.abc import Callable, Iterable
from typing import Any

from returns.result import Failure, Result, Success

from toucanwood.limits._held_leases import Holding, Token
from toucanwood.limits._messages import (
    GrantLeases,
    PushLeases,
    ReportLeases,
    pack_items,
    unpack_grants,
)
from toucanwood.limits._organisation import Tenant
from toucanwood.limits._service import AccountService, Limits
from toucanwood.peering import PeerUnavailable, Transport
from toucanwood.utils import TaskGroup
from toucanwood.verdicts import Verdict, refuse

MAX_WAIT_S = 1.0
MAX_QUEUE = 4096
CALL_TIMEOUT_S = 1.0
SCAN_INTERVAL_S = 0.25
BUSY_SCAN_INTERVAL_S = 0.05
# Requests that arrive together are reported together.
BATCH_WINDOW_S = 0.001
MAX_BATCH = 256


class Limiter:
    """Admit requests within the rate of their organisation over all entries."""

    def __init__(
        self,
        *,
        transport: Transport,
        leader: Callable[[], str | None],
        is_leader: Callable[[], bool],
        term: Callable[[], int],
        limits_of: Callable[[str], Limits | None],
        successors: Callable[[], Iterable[str]] = tuple,
        clock: Callable[[], float] | None = None,
    ) -> None:
        self._transport = transport
        self._clock = clock or asyncio.get_running_loop().time
        self._leader = leader
        self._successors = successors
        self._limits_of = limits_of
        self._incarnation = secrets.token_hex(6)
        self._tenants: dict[str, Tenant] = {}
        self._taken: weakref.WeakKeyDictionary[Any, Token] = weakref.WeakKeyDictionary()
        self._wake = asyncio.Event()
        self._tasks = TaskGroup()
        self._leader_seen_at = -math.inf
        self._is_reachable = True
        self._opens_at = -math.inf
        self._counts = {"admitted": 0, "waited": 0, "refused": 0}
        self.service = AccountService(
            transport=transport,
            is_leader=is_leader,
            term=term,
            limits_of=limits_of,
            push=self._push,
            clock=clock,
        )
        transport.register(PushLeases, self._receive)

    async def start(self) -> None:
        """Renew leases and, while this instance leads, serve the accounts."""
        await self.service.start()
        self._tasks.start(self._run(), name="limiter-reports")
        self._tasks.start(self._scan(), name="limiter-renewals")

    async def stop(self) -> None:
        """Return the unspent tokens, hand over the accounts and stop."""
        for tenant in self._tenants.values():
            tenant.holding.give_back(tenant.holding.current.tokens)
            tenant.must_report = True
        leader = self._leader()
        if leader is not None and self._is_reachable:
            await self._exchange(leader, list(self._tenants.values()))
        await self.service.hand_over(self._successors())
        await self._tasks.stop()
        await self.service.stop()

    async def acquire(
        self, organisation: str, *, deadline: float
    ) -> Result[None, Verdict]:
        """Take one token; wait until `deadline` (monotonic), at most 1 s.

        Refuses with `rate_exceeded`, or with `limiter_unavailable` when the leader
        cannot be reached.
        """
        now = self._clock()
        limits = self._limits_of(organisation)
        if limits is None:
            return Failure(self._refuse_rate(organisation, 0, 0.0))
        tenant = self._find_tenant(organisation)
        tenant.demand.add(now)
        token = None if tenant.waiters else tenant.holding.take(now)
        if tenant.is_due(limits[1], now):
            self._wake.set()
        if token is None:
            grants = tenant.grants
            token = await self._wait(tenant, limits, min(deadline, now + MAX_WAIT_S))
            if token is None:
                return Failure(self._refuse(tenant, limits, now))
            self._counts["waited"] += 1
            tenant.round_trips += tenant.grants != grants
        self._counts["admitted"] += 1
        self._taken[asyncio.current_task()] = token
        return Success(None)

    def refund(self, organisation: str) -> None:
        """Take back the token that the current task acquired last.

        Nothing happens once the token was reported as spent.
        """
        token = self._taken.pop(asyncio.current_task(), None)
        tenant = self._tenants.get(organisation)
        if token is None or tenant is None:
            return
        if tenant.holding.refund(token, self._clock()):
            self._serve(tenant)

    def dump(self) -> dict[str, Any]:
        """Return the tokens and waiting requests of every organisation."""
        tenants = {
            name: {
                "tokens": one.holding.tokens,
                "waiting": len(one.waiters),
                "round_trips": one.round_trips,
            }
            for name, one in self._tenants.items()
        }
        return {
            **self._counts,
            "leader_reachable": self._is_reachable,
            "organisations": tenants,
            "service": self.service.dump(),
        }

    def _find_tenant(self, organisation: str) -> Tenant:
        tenant = self._tenants.get(organisation)
        if tenant is None:
            tenant = Tenant(holding=Holding(organisation=organisation))
            self._tenants[organisation] = tenant
        return tenant

    def _find_burst(self, tenant: Tenant) -> float:
        return (self._limits_of(tenant.holding.organisation) or (0.0, 0.0))[1]

    async def _wait(self, tenant: Tenant, limits: Limits, until: float) -> Token | None:
        """Queue behind earlier requests; return None if no token came in time."""
        loop = asyncio.get_running_loop()
        timeout = until - self._clock()
        if timeout <= 0 or len(tenant.waiters) >= find_queue_limit(limits):
            return None
        future: asyncio.Future[Token] = loop.create_future()
        tenant.waiters[future] = None
        self._wake.set()
        self._serve(tenant)
        try:
            await asyncio.wait([future], timeout=timeout)
        except asyncio.CancelledError:
            self._abandon(tenant, future)
            raise
        finally:
            tenant.waiters.pop(future, None)
        return future.result() if future.done() else None

    def _abandon(self, tenant: Tenant, future: asyncio.Future[Token]) -> None:
        """Keep the token of a caller that left before it could use it."""
        if future.done():
            tenant.holding.refund(future.result(), self._clock())

    def _serve(self, tenant: Tenant) -> None:
        """Give tokens to the waiting requests in the order of arrival."""
        while tenant.waiters:
            token = tenant.holding.take(self._clock())
            if token is None:
                self._serve_later(tenant)
                return
            future = next(iter(tenant.waiters))
            del tenant.waiters[future]
            future.set_result(token)

    def _serve_later(self, tenant: Tenant) -> None:
        """Serve again when the share holds its next token."""
        loop = asyncio.get_running_loop()
        delay = tenant.holding.current.find_share_delay(self._clock())
        if tenant.timer is not None:
            tenant.timer.cancel()
            tenant.timer = None
        if delay is not None:
            # Rounding must not wake the queue just before the token is there.
            tenant.timer = loop.call_later(delay + 1e-6, self._serve, tenant)

    def _refuse(self, tenant: Tenant, limits: Limits, arrived_at: float) -> Verdict:
        now = self._clock()
        is_answered = self._leader_seen_at >= arrived_at
        is_early = now - arrived_at < MAX_WAIT_S / 2
        organisation = tenant.holding.organisation
        if now < self._opens_at:
            return self._refuse_unavailable(organisation, self._opens_at - now)
        if is_answered or (is_early and self._is_reachable):
            return self._refuse_rate(organisation, len(tenant.waiters), limits[0])
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

    async def _run(self) -> None:
        while True:
            await self._wake.wait()
            await asyncio.sleep(BATCH_WINDOW_S)
            self._wake.clear()
            self._send_reports()

    async def _scan(self) -> None:
        while True:
            is_busy = any(tenant.waiters for tenant in self._tenants.values())
            await asyncio.sleep(BUSY_SCAN_INTERVAL_S if is_busy else SCAN_INTERVAL_S)
            self._send_reports()

    def _send_reports(self) -> None:
        """Report every organisation that is due, in one message per batch."""
        now = self._clock()
        due = [
            tenant
            for tenant in self._tenants.values()
            if tenant.is_due(self._find_burst(tenant), now)
        ]
        leader = self._leader()
        if leader is None:
            self._is_reachable = False
            return
        for first in range(0, len(due), MAX_BATCH):
            batch = due[first : first + MAX_BATCH]
            self._tasks.start(self._exchange(leader, batch), name="limiter-exchange")

    async def _exchange(self, leader: str, tenants: list[Tenant]) -> None:
        """Report to the leader and use its answer."""
        sent_at = self._clock()
        reports = [
            tenant.report(self._find_burst(tenant), sent_at) for tenant in tenants
        ]
        message = ReportLeases(self._incarnation, pack_items(reports))
        try:
            answer = await self._call(leader, message)
        except PeerUnavailable:
            answer = None
        self._is_reachable = answer is not None and bool(answer.epoch)
        if not self._is_reachable:
            return
        now = self._clock()
        self._leader_seen_at = now
        self._opens_at = now + answer.opens_in if answer.opens_in > 0 else -math.inf
        self._apply(answer, sent_at)

    async def _call(self, leader: str, message: ReportLeases) -> Any:
        if leader == self._transport.instance_id:
            return await self.service.handle_report(leader, message)
        return await self._transport.call(leader, message, timeout=CALL_TIMEOUT_S)

    def _push(self, peer_id: str, message: PushLeases) -> None:
        """Deliver a grant of the local service to its holder."""
        if peer_id == self._transport.instance_id:
            self._apply(message, None)
        else:
            self._transport.send(peer_id, message)

    async def _receive(self, sender: str, message: PushLeases) -> None:
        self._apply(message, None)

    def _apply(self, message: GrantLeases | PushLeases, sent_at: float | None) -> None:
        if message.incarnation != self._incarnation:
            return
        now = self._clock()
        for grant in unpack_grants(message.grants):
            tenant = self._tenants.get(grant.organisation)
            if tenant is None:
                continue
            tenant.apply(grant, message.epoch, sent_at=sent_at, now=now)
            if tenant.must_report:
                self._wake.set()
            self._serve(tenant)


def find_queue_limit(limits: Limits) -> int:
    """Return how many requests can be served within the longest wait."""
    rate, burst = limits
    return min(math.ceil(rate * MAX_WAIT_S + burst), MAX_QUEUE)
