"""One organisation at one entry."""

import asyncio
import math

import attrs

from toucanwood.limits._account import LEASE_TERM_S
from toucanwood.limits._demand import Demand
from toucanwood.limits._held_leases import Holding, Token
from toucanwood.limits._messages import LeaseGrant, LeaseReport

# A report without an answer is repeated after this time, a few round trips.
RESEND_INTERVAL_S = 0.1
# A holder whose wishes the leader could not meet asks again after this time. With
# 0.25 s, a burst of 5 tokens could not refill: the account mints into the place of
# spent tokens only after their report.
RETRY_INTERVAL_S = 0.05
RENEWAL_INTERVAL_S = LEASE_TERM_S / 2
# Tokens are held for the demand of this time, several round trips.
HORIZON_S = 0.3
# An idle or starved entry asks for this part of the burst, because its estimate of
# the demand lags behind a start from cold. The leader gives an idle one less.
STANDBY_PART = 1 / 4
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
    goal: int = 0
    is_met: bool = True
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
        if sent_at is not None:
            self.is_answered = True
            self.is_met = lease.granted >= self.goal

    def report(self, burst: float, now: float) -> LeaseReport:
        """Return surplus tokens and describe the lease and the demand."""
        self.holding.expire(now)
        surplus = self.holding.current.tokens - 2 * self.find_target(burst, now)
        self.holding.give_back(surplus)
        self.sent_at = now
        self.is_answered = False
        self.must_report = False
        self.reported_waiting = len(self.waiters)
        # A report that is sent anyway asks for the rest too; an idle entry would
        # otherwise stay at half of what it needs to start with.
        wanted = self._find_missing(self.find_target(burst, now))
        self.goal = self.holding.current.granted + wanted
        demand = self.demand.estimate(now) + self.reported_waiting / HORIZON_S
        return self.holding.report(
            wanted=wanted,
            waiting=self.reported_waiting,
            demand=round(demand, 2),
        )

    def find_expected(self, burst: float, now: float) -> int:
        """Return how many tokens the demand will need over the horizon."""
        expected = math.ceil(self.demand.estimate(now) * HORIZON_S)
        if self.waiters:
            expected = max(expected, int(burst * STANDBY_PART))
        return min(expected, int(burst)) + len(self.waiters)

    def find_target(self, burst: float, now: float) -> int:
        """Return how many tokens to hold, with those for a start from idle."""
        standby = int(burst * STANDBY_PART) if self._is_recent(now) else 0
        return max(self.find_expected(burst, now), standby)

    def find_wanted(self, target: int) -> int:
        """Return how many tokens to ask for; none while half the target is held."""
        missing = self._find_missing(target)
        return missing if missing > target / 2 else 0

    def _find_missing(self, target: int) -> int:
        share = self.holding.current.share_rate * HORIZON_S
        return max(target - self.holding.tokens - int(share), 0)

    def is_due(self, burst: float, now: float) -> bool:
        """Return whether a report should be sent now."""
        age = now - self.sent_at
        if not self.is_answered:
            return age >= RESEND_INTERVAL_S
        if self.must_report:
            return True
        if self.find_wanted(self.find_expected(burst, now)) > 0:
            return self.is_met or age >= RETRY_INTERVAL_S
        if self.reported_waiting and not self.waiters:
            return age >= RETRY_INTERVAL_S
        return age >= RENEWAL_INTERVAL_S and self._must_renew(now)

    def _must_renew(self, now: float) -> bool:
        has_lease = not self.holding.is_empty
        return self.holding.tokens > 0 or (self._is_recent(now) and has_lease)

    def _is_recent(self, now: float) -> bool:
        return now - self.demand.used_at < STANDBY_TIME_S
