"""State of one organisation at one entry, and the size and time of its reports."""

import asyncio
import math

import attrs

from toucanwood.limits._account import LEASE_TERM_S
from toucanwood.limits._demand import DemandEstimator
from toucanwood.limits._held_leases import HeldLeases, Token
from toucanwood.limits._messages import LeaseGrant, LeaseReport

# Time after which a report without an answer is sent again, a few round trips.
RESEND_INTERVAL_S = 0.1
# Time after which a holder that was granted too few tokens requests them again.
# With 0.25 s, a burst of 5 tokens could not refill, because the account replaces spent
# tokens only after they are reported.
RETRY_INTERVAL_S = 0.05
RENEWAL_INTERVAL_S = LEASE_TERM_S / 2
# Time whose estimated demand the held tokens should cover, several round trips.
DEMAND_HORIZON_S = 0.3
# Fraction of the burst that an entry requests if it is idle or has waiting requests,
# because its demand estimate lags behind when traffic starts. The leader grants an idle
# entry less.
STANDBY_FRACTION = 1 / 4
# Time after the last request during which an idle entry keeps standby tokens.
STANDBY_TIME_S = 7200.0


@attrs.define(kw_only=True, eq=False)
class OrganisationState:
    """Leases, demand and waiting requests of one organisation at this entry.

    `desired_total` is the total of granted tokens that the last report requested.
    """

    leases: HeldLeases
    demand: DemandEstimator = attrs.field(factory=DemandEstimator)
    waiters: dict[asyncio.Future[Token], None] = attrs.field(factory=dict)
    reported_at: float = -math.inf
    is_answered: bool = True
    must_report: bool = False
    reported_waiting: int = 0
    grant_count: int = 0
    round_trips: int = 0
    desired_total: int = 0
    is_fully_granted: bool = True
    serving_timer: asyncio.TimerHandle | None = None

    def apply(
        self, grant: LeaseGrant, epoch: str, *, sent_at: float | None, now: float
    ) -> None:
        """Apply a grant and record whether its effect must be reported."""
        lease = self.leases.current
        reported = (lease.number, lease.returned, lease.share_version)
        granted_before = (lease.granted, lease.share_version)
        self.leases.apply(grant, epoch, sent_at=sent_at, now=now)
        lease = self.leases.current
        if (lease.number, lease.returned, lease.share_version) != reported:
            self.must_report = True
        self.grant_count += (lease.granted, lease.share_version) != granted_before
        if sent_at is not None:
            self.is_answered = True
            self.is_fully_granted = lease.granted >= self.desired_total

    def build_report(self, burst: float, now: float) -> LeaseReport:
        """Return surplus tokens and build the report to the leader."""
        self.leases.expire(now)
        surplus = self.leases.current.tokens - 2 * self.compute_desired(burst, now)
        self.leases.return_tokens(surplus)
        self.reported_at = now
        self.is_answered = False
        self.must_report = False
        self.reported_waiting = len(self.waiters)
        # Any report requests all missing tokens, also if half of the desired tokens
        # are held. Otherwise an idle entry would stay at half of its standby tokens.
        wanted = self._count_missing(self.compute_desired(burst, now))
        self.desired_total = self.leases.current.granted + wanted
        demand = self.demand.estimate(now) + self.reported_waiting / DEMAND_HORIZON_S
        return self.leases.build_report(
            wanted=wanted,
            waiting=self.reported_waiting,
            demand=round(demand, 2),
        )

    def estimate_needed(self, burst: float, now: float) -> int:
        """Return how many tokens the demand needs within `DEMAND_HORIZON_S`."""
        expected = math.ceil(self.demand.estimate(now) * DEMAND_HORIZON_S)
        if self.waiters:
            expected = max(expected, int(burst * STANDBY_FRACTION))
        return min(expected, int(burst)) + len(self.waiters)

    def compute_desired(self, burst: float, now: float) -> int:
        """Return how many tokens to hold, at least the standby tokens."""
        standby = int(burst * STANDBY_FRACTION) if self._was_used_recently(now) else 0
        return max(self.estimate_needed(burst, now), standby)

    def compute_wanted(self, desired: int) -> int:
        """Return how many tokens to request; 0 while half of `desired` is held."""
        missing = self._count_missing(desired)
        return missing if missing > desired / 2 else 0

    def _count_missing(self, desired: int) -> int:
        share = self.leases.current.share_rate * DEMAND_HORIZON_S
        return max(desired - self.leases.tokens - int(share), 0)

    def is_report_due(self, burst: float, now: float) -> bool:
        """Return whether a report should be sent now."""
        age = now - self.reported_at
        if not self.is_answered:
            return age >= RESEND_INTERVAL_S
        if self.must_report:
            return True
        if self.compute_wanted(self.estimate_needed(burst, now)) > 0:
            return self.is_fully_granted or age >= RETRY_INTERVAL_S
        if self.reported_waiting and not self.waiters:
            return age >= RETRY_INTERVAL_S
        return age >= RENEWAL_INTERVAL_S and self._must_renew(now)

    def _must_renew(self, now: float) -> bool:
        has_lease = not self.leases.is_empty
        return self.leases.tokens > 0 or (self._was_used_recently(now) and has_lease)

    def _was_used_recently(self, now: float) -> bool:
        return now - self.demand.last_request_at < STANDBY_TIME_S
