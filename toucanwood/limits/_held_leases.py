"""Token leases of one organisation that one entry holds."""

import math

import attrs

from toucanwood.limits._account import LEASE_TERM_S
from toucanwood.limits._messages import LeaseGrant, LeaseReport


@attrs.define(kw_only=True, eq=False)
class HeldLease:
    """One lease, as its holder knows it.

    `granted`, `spent` and `returned` are totals; a refund lowers `spent` by one.
    `epoch` and `ends_at` are unset until the leader has answered the first report.
    """

    number: int
    epoch: str = ""
    ends_at: float = -math.inf
    granted: int = 0
    spent: int = 0
    returned: int = 0
    report_count: int = 0
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
        """Spend one leased token or one of the share; return None if there is none."""
        if self.ends_at <= now:
            return None
        if self.tokens > 0:
            self.spent += 1
            return Token(lease=self, report_count=self.report_count)
        self._refill_share(now)
        if self.share_level < 1.0:
            return None
        self.share_level -= 1.0
        return Token()

    def compute_share_delay(self, now: float) -> float | None:
        """Return the seconds until the share holds a token; None if it never will."""
        self._refill_share(now)
        if self.share_rate <= 0 or self.share_capacity < 1.0:
            return None
        return max(1.0 - self.share_level, 0.0) / self.share_rate

    def apply_share(self, grant: LeaseGrant, now: float) -> None:
        """Replace the share by that of a grant, unless the current one is as new."""
        if grant.share_version <= self.share_version:
            return
        self._refill_share(now)
        self.share_version = grant.share_version
        self.share_rate = grant.share_rate
        self.share_capacity = grant.share_capacity
        self.share_level = min(self.share_level, grant.share_capacity)

    def _refill_share(self, now: float) -> None:
        elapsed = max(now - self.share_updated_at, 0.0)
        self.share_updated_at = now
        level = self.share_level + self.share_rate * elapsed
        self.share_level = min(level, self.share_capacity)


@attrs.frozen(kw_only=True)
class Token:
    """A spent token.

    Only a token of a lease can be refunded; `lease` is None for a token of a share.
    """

    lease: HeldLease | None = None
    report_count: int = 0


@attrs.define(kw_only=True, eq=False)
class HeldLeases:
    """The current lease of one organisation and the leases of earlier leaders."""

    organisation: str
    current: HeldLease = attrs.field(factory=lambda: HeldLease(number=1))
    expiring: list[HeldLease] = attrs.field(factory=list)

    @property
    def tokens(self) -> int:
        """Return the leased tokens that can still be spent."""
        return self.current.tokens + sum(lease.tokens for lease in self.expiring)

    @property
    def is_empty(self) -> bool:
        """Return whether the current lease has neither tokens nor a share."""
        return self.current.tokens == 0 and self.current.share_version == 0

    def take(self, now: float) -> Token | None:
        """Spend a token of the first lease that has one, earlier leaders first."""
        self.expire(now)
        for lease in (*self.expiring, self.current):
            token = lease.take(now)
            if token is not None:
                return token
        return None

    def refund(self, token: Token, now: float) -> bool:
        """Undo the spending of a token; return whether that was possible.

        A token that was reported as spent stays spent, because the leader may already
        have replaced it by a new token in the account.
        """
        self.expire(now)
        lease = self.current
        if token.lease is not lease or token.report_count != lease.report_count:
            return False
        lease.spent -= 1
        return True

    def expire(self, now: float) -> None:
        """Drop the leases that have ended."""
        self.expiring = [lease for lease in self.expiring if lease.ends_at > now]
        if self.current.epoch and self.current.ends_at <= now:
            self._start_lease()

    def apply(
        self, grant: LeaseGrant, epoch: str, *, sent_at: float | None, now: float
    ) -> None:
        """Update the current lease with a grant of the leader.

        `sent_at` is the time at which the answered report was sent. It is None for a
        pushed grant, which answers no report and does not extend the lease.
        """
        self.expire(now)
        if grant.lease != self.current.number:
            return
        if sent_at is not None and sent_at + LEASE_TERM_S <= now:
            return
        if grant.is_closed:
            self._stop_renewal()
        elif self._accepts(epoch, sent_at):
            self._update(grant, epoch, sent_at, now)

    def return_tokens(self, count: int) -> None:
        """Mark up to `count` tokens as returned, which the next report will state."""
        self.current.returned += max(min(count, self.current.tokens), 0)

    def build_report(self, *, wanted: int, waiting: int, demand: float) -> LeaseReport:
        """Build a report with the totals of the current lease."""
        lease = self.current
        lease.report_count += 1
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
        lease.apply_share(grant, now)
        if grant.limit >= 0:
            self.return_tokens(lease.tokens - grant.limit)

    def _stop_renewal(self) -> None:
        """Start a new lease; keep the current one until it ends, without renewal."""
        self.expiring.append(self.current)
        self._start_lease()

    def _start_lease(self) -> None:
        self.current = HeldLease(number=self.current.number + 1)
