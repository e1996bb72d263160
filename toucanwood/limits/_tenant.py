"""One organisation at one entry."""

import asyncio
import math

import attrs

from toucanwood.limits._account import LEASE_TERM_S
from toucanwood.limits._demand import Demand
from toucanwood.limits._holding import Holding, Token
from toucanwood.limits._messages import LeaseGrant, LeaseReport

# A report without an answer is repeated after this time, a few round trips.
RESEND_INTERVAL_S = 0.1
# A holder whose wishes the leader could not meet asks again after this time; the
# leader pushes tokens in between.
RETRY_INTERVAL_S = 0.05
RENEWAL_INTERVAL_S = LEASE_TERM_S / 2
# Tokens are held for the demand of this time, several round trips.
HORIZON_S = 0.3
# An idle entry holds this part of the burst for organisations that used it lately.
STANDBY_PART = 1 / 8
# An entry that runs out of tokens asks for this part of the burst, because its
# estimate of the demand lags behind a cold start.
COLD_PART = 1 / 4
STANDBY_TIME_S = 7200.0


@attrs.define(kw_only=True, eq=False)
class Tenant:
    """One organisation at this entry: its tokens, demand and waiting requests."""

    holding: Holding
    demand: Demand = attrs.field(factory=Demand)
    waiters: dict[asyncio.Future[Token], None] = attrs.field(factory=dict)
    sent_at: float = -math.inf
    is_answered: bool = True
    must_report: bool = False
    reported_waiting: int = 0
    grants: int = 0
    round_trips: int = 0
    timer: asyncio.TimerHandle | None = None

    def apply(
        self, grant: LeaseGrant, epoch: str, *, sent_at: float | None, now: float
    ) -> None:
        """Use a grant and note whether the leader must hear of the effect."""
        lease = self.holding.current
        reported = (lease.number, lease.returned, lease.share_version)
        gained = (lease.granted, lease.share_version)
        self.holding.apply(grant, epoch, sent_at=sent_at, now=now)
        lease = self.holding.current
        if (lease.number, lease.returned, lease.share_version) != reported:
            self.must_report = True
        self.grants += (lease.granted, lease.share_version) != gained
        self.is_answered = self.is_answered or sent_at is not None

    def report(self, burst: float, now: float) -> LeaseReport:
        """Return surplus tokens and describe the lease and the demand."""
        self.holding.expire(now)
        surplus = self.holding.current.tokens - 2 * self.find_target(burst, now)
        self.holding.give_back(surplus)
        self.sent_at = now
        self.is_answered = False
        self.must_report = False
        self.reported_waiting = len(self.waiters)
        demand = self.demand.estimate(now) + self.reported_waiting / HORIZON_S
        return self.holding.report(
            wanted=self.find_wanted(burst, now),
            waiting=self.reported_waiting,
            demand=round(demand, 2),
        )

    def find_target(self, burst: float, now: float) -> int:
        """Return how many tokens this entry expects to need."""
        expected = math.ceil(self.demand.estimate(now) * HORIZON_S)
        is_recent = now - self.demand.used_at < STANDBY_TIME_S
        standby = int(burst * STANDBY_PART) if is_recent else 0
        if self.waiters:
            standby = max(standby, int(burst * COLD_PART))
        return min(max(expected, standby), int(burst)) + len(self.waiters)

    def find_wanted(self, burst: float, now: float) -> int:
        """Return how many tokens to ask for; none while half the target is held."""
        target = self.find_target(burst, now)
        share = self.holding.current.share_rate * HORIZON_S
        held = self.holding.tokens + int(share)
        return target - held if held < target / 2 else 0

    def is_due(self, burst: float, now: float) -> bool:
        """Return whether a report should be sent now."""
        age = now - self.sent_at
        if not self.is_answered:
            return age >= RESEND_INTERVAL_S
        if self.must_report:
            return True
        has_stale_queue = self.reported_waiting and not self.waiters
        if has_stale_queue or self.find_wanted(burst, now) > 0:
            return age >= RETRY_INTERVAL_S
        return age >= RENEWAL_INTERVAL_S and self._must_renew(now)

    def _must_renew(self, now: float) -> bool:
        is_recent = now - self.demand.used_at < STANDBY_TIME_S
        return self.holding.tokens > 0 or (is_recent and not self.holding.is_empty)
