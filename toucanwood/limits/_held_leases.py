"""What one entry holds of one organisation's tokens."""

import math

import attrs

from toucanwood.limits._account import LEASE_TERM_S
from toucanwood.limits._messages import LeaseGrant, LeaseReport


@attrs.define(kw_only=True, eq=False)
class HeldLease:
    """One lease at its holder; the counts are totals and only grow.

    It has no epoch and no end until the leader has answered.
    """

    number: int
    epoch: str = ""
    ends_at: float = -math.inf
    granted: int = 0
    spent: int = 0
    returned: int = 0
    reports: int = 0
    share_version: int = 0
    share_rate: float = 0.0
    share_capacity: float = 0.0
    share_level: float = 0.0
    share_updated_at: float = 0.0

    @property
    def tokens(self) -> int:
        """Return the tokens that can be spent."""
        return self.granted - self.spent - self.returned

    def take(self, now: float) -> "Token | None":
        """Spend one token of a lease that has not ended."""
        if self.ends_at <= now:
            return None
        if self.tokens > 0:
            self.spent += 1
            return Token(lease=self, reports=self.reports)
        self._fill_share(now)
        if self.share_level < 1.0:
            return None
        self.share_level -= 1.0
        return Token()

    def find_share_delay(self, now: float) -> float | None:
        """Return the seconds until the share holds a token, or None for never."""
        self._fill_share(now)
        if self.share_rate <= 0 or self.share_capacity < 1.0:
            return None
        return max(1.0 - self.share_level, 0.0) / self.share_rate

    def change_share(self, grant: LeaseGrant, now: float) -> None:
        """Use the share of a grant unless a newer one is in use."""
        if grant.share_version <= self.share_version:
            return
        self._fill_share(now)
        self.share_version = grant.share_version
        self.share_rate = grant.share_rate
        self.share_capacity = grant.share_capacity
        self.share_level = min(self.share_level, grant.share_capacity)

    def _fill_share(self, now: float) -> None:
        elapsed = max(now - self.share_updated_at, 0.0)
        self.share_updated_at = now
        level = self.share_level + self.share_rate * elapsed
        self.share_level = min(level, self.share_capacity)


@attrs.frozen(kw_only=True)
class Token:
    """A spent token; only one of a lease, not of a share, can be refunded."""

    lease: HeldLease | None = None
    reports: int = 0


@attrs.define(kw_only=True, eq=False)
class Holding:
    """The current lease of an organisation and those of earlier leaders."""

    organisation: str
    current: HeldLease = attrs.field(factory=lambda: HeldLease(number=1))
    frozen: list[HeldLease] = attrs.field(factory=list)

    @property
    def tokens(self) -> int:
        """Return the tokens that can be spent before the leases end."""
        return self.current.tokens + sum(lease.tokens for lease in self.frozen)

    @property
    def is_empty(self) -> bool:
        """Return whether nothing would be lost if the lease ended."""
        return self.current.tokens == 0 and self.current.share_version == 0

    def take(self, now: float) -> Token | None:
        """Spend a token of the lease that ends first."""
        self.expire(now)
        for lease in (*self.frozen, self.current):
            token = lease.take(now)
            if token is not None:
                return token
        return None

    def refund(self, token: Token, now: float) -> bool:
        """Take a token back unless the leader may know that it was spent.

        The leader may already have minted a new token for a reported one.
        """
        self.expire(now)
        lease = self.current
        if token.lease is not lease or token.reports != lease.reports:
            return False
        lease.spent -= 1
        return True

    def expire(self, now: float) -> None:
        """Give up the leases that have ended."""
        self.frozen = [lease for lease in self.frozen if lease.ends_at > now]
        if self.current.epoch and self.current.ends_at <= now:
            self._open()

    def apply(
        self, grant: LeaseGrant, epoch: str, *, sent_at: float | None, now: float
    ) -> None:
        """Use a grant; `sent_at` is when the answered request was sent.

        A pushed grant answers no request and leaves the end of the lease as it is.
        """
        self.expire(now)
        if grant.lease != self.current.number:
            return
        if sent_at is not None and sent_at + LEASE_TERM_S <= now:
            return
        if grant.is_closed:
            self._freeze()
        elif self._accepts(epoch, sent_at):
            self._update(grant, epoch, sent_at, now)

    def give_back(self, count: int) -> None:
        """Stop holding `count` tokens; the next report returns them."""
        self.current.returned += max(min(count, self.current.tokens), 0)

    def report(self, *, wanted: int, waiting: int, demand: float) -> LeaseReport:
        """Return the totals of the current lease."""
        lease = self.current
        lease.reports += 1
        return LeaseReport(
            organisation=self.organisation,
            lease=lease.number,
            epoch=lease.epoch,
            spent=lease.spent,
            returned=lease.returned,
            wanted=wanted,
            waiting=waiting,
            demand=demand,
            share_version=lease.share_version,
        )

    def _accepts(self, epoch: str, sent_at: float | None) -> bool:
        if self.current.epoch:
            return epoch == self.current.epoch
        return sent_at is not None

    def _update(
        self, grant: LeaseGrant, epoch: str, sent_at: float | None, now: float
    ) -> None:
        lease = self.current
        lease.epoch = epoch
        lease.granted = max(lease.granted, grant.granted)
        if sent_at is not None:
            lease.ends_at = max(lease.ends_at, sent_at + LEASE_TERM_S)
        lease.change_share(grant, now)
        if grant.limit >= 0:
            self.give_back(lease.tokens - grant.limit)

    def _freeze(self) -> None:
        """Keep the tokens of an earlier leader until they end, without renewal."""
        self.frozen.append(self.current)
        self._open()

    def _open(self) -> None:
        self.current = HeldLease(number=self.current.number + 1)
