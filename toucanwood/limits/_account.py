"""The rate account of one organisation, owned by the leader."""

from typing import Any

import attrs

from toucanwood.utils import check_range

# A lease ends this long after its holder sent the request, by the holder's clock.
LEASE_TERM_S = 2.0
# Clock rates of two instances may differ by this fraction.
CLOCK_TOLERANCE = 0.01
# The leader counts a lease longer than its holder does, whatever their clocks.
LEADER_TERM_S = LEASE_TERM_S * (1 + 2 * CLOCK_TOLERANCE) + 0.02
# Below this many seconds of burst, tokens are spent faster than a round trip
# replaces them; holders then fill their own buckets at a share of the rate.
SHARE_THRESHOLD_S = 0.2
# Part of the rate that a holder without demand keeps, so that it can start.
IDLE_SHARE = 0.01
# A share changes only by more than this part of the rate or the burst.
SHARE_HYSTERESIS = 0.05
# Holders with less demand (requests/s) count as idle and together keep at most this
# part of the burst; with more, the burst left for the others ran out at 90% load.
MIN_DEMAND = 1.0
IDLE_PART = 1 / 4


@attrs.frozen
class Holder:
    """Identify one lease of one run of an entry."""

    instance_id: str
    incarnation: str
    lease: int


@attrs.define(kw_only=True)
class Share:
    """A bucket that a holder fills itself; `rate` is in tokens/s."""

    version: int = 0
    rate: float = 0.0
    capacity: float = 0.0


@attrs.define(kw_only=True)
class TokenLease:
    """Tokens and share of one holder; the counts are totals and only grow."""

    holder: Any
    ends_at: float
    granted: int = 0
    spent: int = 0
    returned: int = 0
    wanted: int = 0
    waiting: int = 0
    demand: float = 0.0
    limit: int = -1
    offered: Share = attrs.field(factory=Share)
    confirmed: Share = attrs.field(factory=Share)

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
        """Return the largest bucket that the holder may be using."""
        return max(self.offered.capacity, self.confirmed.capacity)

    @property
    def outstanding(self) -> float:
        """Return the tokens that the holder may still spend without minting."""
        return self.tokens + self.capacity

    @property
    def is_settled(self) -> bool:
        """Return whether the holder uses the offered share."""
        return self.offered.version == self.confirmed.version

    def offer(self, rate: float, capacity: float) -> None:
        """Offer a share; it counts together with the earlier one until confirmed."""
        version = self.offered.version + 1
        self.offered = Share(version=version, rate=rate, capacity=capacity)


@attrs.define(kw_only=True)
class RateAccount:
    """Mint tokens at a rate and lease them, so that no window exceeds its limit.

    `balance` plus the outstanding tokens never exceeds `burst`. Nothing is minted
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
        """Return the tokens that all holders together may still spend."""
        return sum(lease.outstanding for lease in self.leases.values())

    @property
    def mint_rate(self) -> float:
        """Return the rate that is safe by the clock of every instance."""
        return self.rate / (1 + CLOCK_TOLERANCE)

    @property
    def uses_shares(self) -> bool:
        """Return whether holders fill their own buckets."""
        return self.burst < self.rate * SHARE_THRESHOLD_S

    @property
    def is_starved(self) -> bool:
        """Return whether a holder has requests waiting for tokens."""
        return any(lease.waiting for lease in self.leases.values())

    def configure(self, rate: float, burst: float, now: float) -> None:
        """Change rate and burst from now on."""
        check_range("rate", rate, low=0)
        check_range("burst", burst, low=0)
        self.advance(now)
        if (rate, burst) == (self.rate, self.burst):
            return
        self.rate = rate
        self.burst = burst
        self._clamp_balance()

    def advance(self, now: float) -> None:
        """Mint the tokens since the last call, then drop the expired leases."""
        elapsed = max(now - self.updated_at, 0.0)
        self.updated_at = max(now, self.updated_at)
        delegated = sum(lease.rate for lease in self.leases.values())
        self.balance += max(self.mint_rate - delegated, 0.0) * elapsed
        self._clamp_balance()
        for lease in list(self.leases.values()):
            if lease.ends_at <= now:
                del self.leases[lease.holder]

    def report(
        self,
        holder: Any,
        *,
        spent: int,
        returned: int,
        share_version: int = 0,
        now: float,
    ) -> None:
        """Take over a holder's totals; repeated and late reports change nothing."""
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
        """Lease up to `wanted` tokens; a holder with waiting requests goes first."""
        self.advance(now)
        lease = self.leases.get(holder)
        if lease is None:
            lease = TokenLease(holder=holder, ends_at=now + LEADER_TERM_S)
            self.leases[holder] = lease
        lease.limit = self._find_limit(lease)
        amount = min(wanted, self._find_available(lease))
        lease.granted += amount
        self.balance -= amount
        lease.waiting = max(lease.waiting - amount, 0)
        lease.wanted = max(wanted - amount, 0)
        return lease

    def serve(self, now: float) -> list[TokenLease]:
        """Grant to starved holders in turn and return the leases that changed."""
        self.advance(now)
        if now < self.opens_at:
            return []
        if self.uses_shares or self._has_shares():
            return self._balance_shares()
        changed = {}
        starved = [lease for lease in self.leases.values() if lease.waiting]
        for position, lease in enumerate(starved):
            part = int(self.balance) // (len(starved) - position) or 1
            before = lease.granted
            self.grant(lease.holder, min(lease.waiting, part), now)
            if lease.granted != before:
                changed[lease.holder] = lease
                self._move_last(lease)
        return list(changed.values())

    def recall(self) -> list[TokenLease]:
        """Return the holders that should hand tokens back to starved ones."""
        missing = sum(lease.waiting for lease in self.leases.values())
        recalled = []
        for lease in self.leases.values():
            if missing > 0 and lease.tokens > 0 and not lease.waiting:
                missing -= lease.tokens
                recalled.append(lease)
        return recalled

    def _move_last(self, lease: TokenLease) -> None:
        self.leases[lease.holder] = self.leases.pop(lease.holder)

    def _find_available(self, lease: TokenLease) -> int:
        """Half of the balance is kept while another holder has demand."""
        if self.uses_shares or self.outstanding > self.burst:
            return 0
        if self.is_starved and not lease.waiting:
            return 0
        whole = int(self.balance)
        if lease.demand < MIN_DEMAND and not lease.waiting:
            return max(min(whole, self._find_idle_part() - lease.tokens), 0)
        others = (one.demand for one in self.leases.values() if one is not lease)
        if max(others, default=0.0) < MIN_DEMAND:
            return whole
        return min(whole, max(lease.waiting, whole // 2))

    def _find_limit(self, lease: TokenLease) -> int:
        """Return how many tokens the holder may keep after a lower burst, or -1."""
        if self.uses_shares:
            return 0
        total = self.outstanding
        if total <= self.burst:
            is_idle = lease.demand < MIN_DEMAND and not lease.waiting
            return self._find_idle_part() if is_idle else -1
        return int(lease.tokens * self.burst / total)

    def _find_idle_part(self) -> int:
        """Return how many tokens one holder without demand may keep."""
        return int(self.burst * IDLE_PART) // max(self._count_instances(), 1)

    def _count_instances(self) -> int:
        """Count each instance once; its last and its new lease overlap at a renewal."""
        holders = (lease.holder for lease in self.leases.values())
        return len({_name_instance(holder) for holder in holders})

    def _clamp_balance(self) -> None:
        room = max(self.burst - self.outstanding, 0.0)
        self.balance = min(self.balance, room)

    def _has_shares(self) -> bool:
        return any(lease.capacity or lease.rate for lease in self.leases.values())

    def _balance_shares(self) -> list[TokenLease]:
        """Lower the shares that are too large, then raise others into the room."""
        changed = []
        goals = self._find_share_goals()
        for holder, (rate, capacity) in goals.items():
            lease = self.leases[holder]
            if lease.is_settled and self._must_lower(lease, rate, capacity):
                lease.offer(min(rate, lease.rate), min(capacity, lease.capacity))
                changed.append(lease)
        for holder, (rate, capacity) in goals.items():
            lease = self.leases[holder]
            if lease.is_settled and self._raise_share(lease, rate, capacity):
                changed.append(lease)
        return changed

    def _find_share_goals(self) -> dict[Any, tuple[float, float]]:
        if not self.uses_shares:
            return {holder: (0.0, 0.0) for holder in self.leases}
        count = len(self.leases)
        idle_rate = self.mint_rate * IDLE_SHARE / max(count, 1)
        idle_capacity = 1.0 if self.burst >= 2 * count else 0.0
        demand = sum(lease.demand for lease in self.leases.values()) or 1.0
        goals = {}
        for lease in self.leases.values():
            part = lease.demand / demand
            rate = idle_rate + part * (self.mint_rate - idle_rate * count)
            capacity = idle_capacity + part * (self.burst - idle_capacity * count)
            goals[lease.holder] = (rate, capacity)
        return goals

    def _must_lower(self, lease: TokenLease, rate: float, capacity: float) -> bool:
        if rate == 0.0 and capacity == 0.0:
            return lease.rate > 0 or lease.capacity > 0
        is_over = sum(other.rate for other in self.leases.values()) > self.mint_rate
        if is_over or self.outstanding > self.burst:
            return lease.rate > rate or lease.capacity > capacity
        return (
            lease.rate - rate > SHARE_HYSTERESIS * self.mint_rate
            or lease.capacity - capacity > SHARE_HYSTERESIS * self.burst
        )

    def _raise_share(self, lease: TokenLease, rate: float, capacity: float) -> bool:
        delegated = sum(other.rate for other in self.leases.values())
        room = self.burst - self.outstanding
        new_rate = min(rate, lease.rate + self.mint_rate - delegated)
        new_capacity = min(capacity, lease.capacity + room)
        is_small = (
            new_rate - lease.rate <= SHARE_HYSTERESIS * self.mint_rate * 0.1
            and new_capacity - lease.capacity <= SHARE_HYSTERESIS * self.burst
        )
        if is_small:
            return False
        lease.offer(max(new_rate, lease.rate), max(new_capacity, lease.capacity))
        self._clamp_balance()
        return True

    def dump(self) -> dict[str, Any]:
        """Return the account's state."""
        return {
            "rate": self.rate,
            "burst": self.burst,
            "balance": self.balance,
            "outstanding": self.outstanding,
            "holders": len(self.leases),
        }


def _name_instance(holder: Any) -> Any:
    return holder.instance_id if isinstance(holder, Holder) else holder
