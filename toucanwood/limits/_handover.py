"""Accounts that a leader hands over when it stops as planned.

Without them the next leader has to wait until every lease has ended, and entries that
hold no token refuse requests meanwhile.
"""

from collections.abc import Mapping

import attrs

from toucanwood.limits._account import LEADER_TERM_S, RateAccount, Share, TokenLease
from toucanwood.limits._messages import (
    AccountState,
    HandOverAccounts,
    pack_items,
    unpack_accounts,
)

PREDECESSOR = "predecessor"


@attrs.frozen
class Inheritance:
    """Accounts of an earlier leader and when they were received."""

    message: HandOverAccounts
    received_at: float

    @property
    def opens_at(self) -> float:
        """Return when the accounts may grant tokens."""
        return self.received_at + self.message.opens_in

    def is_for(self, term: int) -> bool:
        """Return whether no other leader can have granted tokens in between."""
        return 0 < self.message.term == term - 1

    def build_accounts(self, now: float) -> dict[str, RateAccount]:
        """Return the accounts; one lease in each stands for all earlier ones."""
        return {
            state.organisation: self._build_account(state, now)
            for state in unpack_accounts(self.message.accounts)
        }

    def _build_account(self, state: AccountState, now: float) -> RateAccount:
        share = Share(rate=state.share_rate, capacity=state.share_capacity)
        lease = TokenLease(
            holder=PREDECESSOR,
            ends_at=self.received_at + LEADER_TERM_S,
            granted=state.tokens,
            is_inherited=True,
            offered=share,
            confirmed=share,
        )
        return RateAccount(
            rate=state.rate,
            burst=state.burst,
            balance=state.balance,
            opens_at=self.opens_at,
            updated_at=max(now, self.opens_at),
            leases={PREDECESSOR: lease},
        )


def pack_accounts(
    accounts: Mapping[str, RateAccount], *, term: int, opens_in: float
) -> HandOverAccounts:
    """Return the message that hands the accounts over."""
    states = [
        AccountState(
            organisation=name,
            rate=account.rate,
            burst=account.burst,
            balance=account.balance,
            tokens=sum(lease.tokens for lease in account.leases.values()),
            share_rate=sum(lease.rate for lease in account.leases.values()),
            share_capacity=sum(lease.capacity for lease in account.leases.values()),
        )
        for name, account in accounts.items()
    ]
    return HandOverAccounts(term, opens_in, pack_items(states))
