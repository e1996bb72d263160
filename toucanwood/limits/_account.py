"""Token account of one organisation, kept by the leader."""

from typing import Any

import attrs

from toucanwood.utils import check_range

# Duration of a lease, from the time at which its holder sent the request, by the
# holder's clock.
LEASE_TERM_S = 2.0
# Largest relative difference between the clock rates of two instances.
CLOCK_TOLERANCE = 0.01
# Duration for which the leader treats a lease as valid. It exceeds the duration at the
# holder for all clock rates within the tolerance.
LEADER_TERM_S = LEASE_TERM_S * (1 + 2 * CLOCK_TOLERANCE) + 0.02
# Burst, in seconds of the rate, below which each holder refills a local bucket at a
# share of the rate: the tokens of a smaller burst are spent faster than a round trip to
# the leader replaces them.
SHARE_THRESHOLD_S = 0.2
# Fraction of the rate that all holders keep independently of their demand, split
# evenly, so that a holder without demand can admit its first requests.
IDLE_RATE_FRACTION = 0.01
# Smallest change of a share, as a fraction of the rate or the burst.
SHARE_HYSTERESIS = 0.05
# Demand in requests/s below which a holder is treated as idle.
MIN_DEMAND = 1.0
# Fraction of the burst that all idle holders together may keep. With a larger
# fraction, the tokens left for the other holders ran out at 90% load.
IDLE_BURST_FRACTION = 1 / 4


@attrs.frozen
class Holder:
    """Identify one lease of one process run of an entry."""

    instance_id: str
    incarnation: str
    lease: int


@attrs.define(kw_only=True)
class RateShare:
    """Local bucket that a holder refills itself; `rate` is in tokens/s."""

    version: int = 0
    rate: float = 0.0
    capacity: float = 0.0


@attrs.define(kw_only=True)
class TokenLease:
    """Leased tokens and share of one holder, as the leader knows them.

    `granted`, `spent` and `returned` are totals and never decrease.
    """

    holder: Any
    ends_at: float
    granted: int = 0
    spent: int = 0
    returned: int = 0
    wanted: int = 0
    waiting: int = 0
    demand: float = 0.0
    limit: int = -1
    offered: RateShare = attrs.field(factory=RateShare)
    confirmed: RateShare = attrs.field(factory=RateShare)

    @property
    def tokens(self) -> int:
        """Return the granted tokens that are not known to be spent."""
        return self.granted - self.spent - self.returned

    @property
    def rate(self) -> float:
        """Return the highest rate that the holder may be using."""
        return max(self.offered.rate, self.confirmed.rate)

    @property
    def capacity(self) -> float:
        """Return the largest bucket capacity that the holder may be using."""
        return max(self.offered.capacity, self.confirmed.capacity)

    @property
    def outstanding(self) -> float:
        """Return the most tokens that the holder may spend without a refill."""
        return self.tokens + self.capacity

    @property
    def is_share_confirmed(self) -> bool:
        """Return whether the holder uses the offered share."""
        return self.offered.version == self.confirmed.version

    def offer_share(self, rate: float, capacity: float) -> None:
        """Offer a share.

        Until the holder confirms it, the leader assumes the larger of the offered and
        the confirmed rate and capacity.
        """
        version = self.offered.version + 1
        self.offered = RateShare(version=version, rate=rate, capacity=capacity)


@attrs.define(kw_only=True)
class RateAccount:
    """Token bucket whose tokens are leased, so that no time window exceeds the limit.

    `balance` plus the outstanding tokens never exceeds `burst`. No tokens are added
    before `opens_at`. Times are monotonic seconds; `rate` is in tokens/s.
    """

    rate: float = 0.0
    burst: float = 0.0
    balance: float = 0.0
    opens_at: float
    updated_at: float = attrs.field()
    leases: dict[Any, TokenLease] = attrs.field(factory=dict)

    @updated_at.default
    def _start_at_opening(self) -> float:
        return self.opens_at

    @property
    def outstanding(self) -> float:
        """Return the most tokens that all holders may spend without a refill."""
        return sum(lease.outstanding for lease in self.leases.values())

    @property
    def refill_rate(self) -> float:
        """Return the refill rate that stays within `rate` by every instance's clock."""
        return self.rate / (1 + CLOCK_TOLERANCE)

    @property
    def uses_shares(self) -> bool:
        """Return whether holders refill local buckets at shares of the rate."""
        return self.burst < self.rate * SHARE_THRESHOLD_S

    @property
    def has_waiting_requests(self) -> bool:
        """Return whether any holder has requests that wait for tokens."""
        return any(lease.waiting for lease in self.leases.values())

    def configure(self, rate: float, burst: float, now: float) -> None:
        """Set the rate and the burst that apply from `now` on."""
        check_range("rate", rate, low=0)
        check_range("burst", burst, low=0)
        self.advance(now)
        if (rate, burst) == (self.rate, self.burst):
            return
        self.rate = rate
        self.burst = burst
        self._clamp_balance()

    def advance(self, now: float) -> None:
        """Add the tokens for the time since the last call and drop expired leases."""
        elapsed = max(now - self.updated_at, 0.0)
        self.updated_at = max(now, self.updated_at)
        delegated = sum(lease.rate for lease in self.leases.values())
        self.balance += max(self.refill_rate - delegated, 0.0) * elapsed
        self._clamp_balance()
        for lease in list(self.leases.values()):
            if lease.ends_at <= now:
                del self.leases[lease.holder]

    def apply_report(
        self,
        holder: Any,
        *,
        spent: int,
        returned: int,
        share_version: int = 0,
        now: float,
    ) -> None:
        """Update a lease with its holder's totals.

        The totals of duplicate and late reports have no effect.
        """
        lease = self.leases[holder]
        newly_returned = max(returned - lease.returned, 0)
        lease.spent = max(lease.spent, spent)
        lease.returned += newly_returned
        lease.ends_at = max(lease.ends_at, now + LEADER_TERM_S)
        if share_version == lease.offered.version:
            lease.confirmed = lease.offered
        self.balance += newly_returned
        self._clamp_balance()

    def grant(self, holder: Any, wanted: int, now: float) -> TokenLease:
        """Lease up to `wanted` tokens to a holder.

        Holders with waiting requests take precedence over the others.
        """
        self.advance(now)
        lease = self.leases.get(holder)
        if lease is None:
            lease = TokenLease(holder=holder, ends_at=now + LEADER_TERM_S)
            self.leases[holder] = lease
        lease.limit = self._compute_limit(lease)
        amount = min(wanted, self._count_available(lease))
        lease.granted += amount
        self.balance -= amount
        lease.waiting = max(lease.waiting - amount, 0)
        lease.wanted = max(wanted - amount, 0)
        return lease

    def distribute(self, now: float) -> list[TokenLease]:
        """Distribute the balance or the shares and return the leases that changed.

        Holders with waiting requests receive tokens in round-robin order.
        """
        self.advance(now)
        if now < self.opens_at:
            return []
        if self.uses_shares or self._has_shares():
            return self._adjust_shares()
        changed = {}
        waiting_leases = [lease for lease in self.leases.values() if lease.waiting]
        for position, lease in enumerate(waiting_leases):
            portion = int(self.balance) // (len(waiting_leases) - position) or 1
            granted_before = lease.granted
            self.grant(lease.holder, min(lease.waiting, portion), now)
            if lease.granted != granted_before:
                changed[lease.holder] = lease
                self._move_to_end(lease)
        return list(changed.values())

    def select_recalled(self) -> list[TokenLease]:
        """Return the leases that should give tokens back for waiting requests."""
        missing = sum(lease.waiting for lease in self.leases.values())
        recalled = []
        for lease in self.leases.values():
            if missing > 0 and lease.tokens > 0 and not lease.waiting:
                missing -= lease.tokens
                recalled.append(lease)
        return recalled

    def _move_to_end(self, lease: TokenLease) -> None:
        self.leases[lease.holder] = self.leases.pop(lease.holder)

    def _count_available(self, lease: TokenLease) -> int:
        """Return how many tokens can be granted to a holder now.

        Half of the balance is kept back while another holder has demand.
        """
        if self.uses_shares or self.outstanding > self.burst:
            return 0
        if self.has_waiting_requests and not lease.waiting:
            return 0
        whole_tokens = int(self.balance)
        if lease.demand < MIN_DEMAND and not lease.waiting:
            return max(min(whole_tokens, self._compute_idle_limit() - lease.tokens), 0)
        other_demands = (
            other.demand for other in self.leases.values() if other is not lease
        )
        if max(other_demands, default=0.0) < MIN_DEMAND:
            return whole_tokens
        return min(whole_tokens, max(lease.waiting, whole_tokens // 2))

    def _compute_limit(self, lease: TokenLease) -> int:
        """Return how many tokens the holder may keep, or -1 for all of them.

        Idle holders are limited, and all holders after the burst was lowered. While
        shares are used, holders keep no leased tokens.
        """
        if self.uses_shares:
            return 0
        total = self.outstanding
        if total <= self.burst:
            is_idle = lease.demand < MIN_DEMAND and not lease.waiting
            return self._compute_idle_limit() if is_idle else -1
        return int(lease.tokens * self.burst / total)

    def _compute_idle_limit(self) -> int:
        """Return how many tokens one idle holder may keep."""
        return int(self.burst * IDLE_BURST_FRACTION) // max(self._count_instances(), 1)

    def _count_instances(self) -> int:
        """Count the instances that hold leases.

        An instance is counted once although its old and its new lease overlap when
        the new one starts.
        """
        holders = (lease.holder for lease in self.leases.values())
        return len({_get_instance_id(holder) for holder in holders})

    def _clamp_balance(self) -> None:
        max_balance = max(self.burst - self.outstanding, 0.0)
        self.balance = min(self.balance, max_balance)

    def _has_shares(self) -> bool:
        return any(lease.capacity or lease.rate for lease in self.leases.values())

    def _adjust_shares(self) -> list[TokenLease]:
        """Offer smaller shares where they are too large, then raise the others.

        A share is raised only by what all shares together leave free.
        """
        changed = []
        desired = self._compute_desired_shares()
        for holder, (rate, capacity) in desired.items():
            lease = self.leases[holder]
            if lease.is_share_confirmed and self._should_lower(lease, rate, capacity):
                lease.offer_share(min(rate, lease.rate), min(capacity, lease.capacity))
                changed.append(lease)
        for holder, (rate, capacity) in desired.items():
            lease = self.leases[holder]
            if lease.is_share_confirmed and self._raise_share(lease, rate, capacity):
                changed.append(lease)
        return changed

    def _compute_desired_shares(self) -> dict[Any, tuple[float, float]]:
        if not self.uses_shares:
            return {holder: (0.0, 0.0) for holder in self.leases}
        count = len(self.leases)
        idle_rate = self.refill_rate * IDLE_RATE_FRACTION / max(count, 1)
        idle_capacity = 1.0 if self.burst >= 2 * count else 0.0
        demand = sum(lease.demand for lease in self.leases.values()) or 1.0
        desired = {}
        for lease in self.leases.values():
            fraction = lease.demand / demand
            rate = idle_rate + fraction * (self.refill_rate - idle_rate * count)
            capacity = idle_capacity + fraction * (self.burst - idle_capacity * count)
            desired[lease.holder] = (rate, capacity)
        return desired

    def _should_lower(self, lease: TokenLease, rate: float, capacity: float) -> bool:
        if rate == 0.0 and capacity == 0.0:
            return lease.rate > 0 or lease.capacity > 0
        is_rate_exceeded = (
            sum(other.rate for other in self.leases.values()) > self.refill_rate
        )
        if is_rate_exceeded or self.outstanding > self.burst:
            return lease.rate > rate or lease.capacity > capacity
        return (
            lease.rate - rate > SHARE_HYSTERESIS * self.refill_rate
            or lease.capacity - capacity > SHARE_HYSTERESIS * self.burst
        )

    def _raise_share(self, lease: TokenLease, rate: float, capacity: float) -> bool:
        delegated = sum(other.rate for other in self.leases.values())
        free_capacity = self.burst - self.outstanding
        new_rate = min(rate, lease.rate + self.refill_rate - delegated)
        new_capacity = min(capacity, lease.capacity + free_capacity)
        is_small = (
            new_rate - lease.rate <= SHARE_HYSTERESIS * self.refill_rate * 0.1
            and new_capacity - lease.capacity <= SHARE_HYSTERESIS * self.burst
        )
        if is_small:
            return False
        lease.offer_share(max(new_rate, lease.rate), max(new_capacity, lease.capacity))
        self._clamp_balance()
        return True

    def dump(self) -> dict[str, Any]:
        """Return the state of the account."""
        return {
            "rate": self.rate,
            "burst": self.burst,
            "balance": self.balance,
            "outstanding": self.outstanding,
            "holders": len(self.leases),
        }


def _get_instance_id(holder: Any) -> Any:
    return holder.instance_id if isinstance(holder, Holder) else holder
