"""Encoding of accounts and leases for the handover to the next leader."""

from typing import Any

import attrs

from toucanwood.limits._account import (
    CLOCK_TOLERANCE,
    Holder,
    RateAccount,
    RateShare,
    TokenLease,
)
from toucanwood.limits._messages import HandOverAccounts


def encode_accounts(accounts: dict[str, RateAccount], now: float) -> list[Any]:
    """Encode the accounts, with all times relative to `now`."""
    return [
        [
            name,
            [account.rate, account.burst, account.balance],
            account.opens_at - now,
            [_encode_lease(lease, now) for lease in account.leases.values()],
        ]
        for name, account in accounts.items()
    ]


def decode_accounts(message: HandOverAccounts, now: float) -> dict[str, RateAccount]:
    """Decode the accounts; no lease ends earlier than by the clock of the sender."""
    accounts = {}
    for name, (rate, burst, balance), opens_in, leases in (
        content[:4] for content in message.accounts
    ):
        decoded = [_decode_lease(content, now) for content in leases]
        accounts[name] = RateAccount(
            rate=rate,
            burst=burst,
            balance=balance,
            opens_at=now + add_clock_tolerance(opens_in),
            updated_at=now + add_clock_tolerance(opens_in),
            leases={lease.holder: lease for lease in decoded},
        )
    return accounts


def _encode_lease(lease: TokenLease, now: float) -> list[Any]:
    counts = [lease.granted, lease.spent, lease.returned, lease.wanted, lease.waiting]
    return [
        list(attrs.astuple(lease.holder)),
        lease.ends_at - now,
        counts,
        [lease.demand, lease.limit],
        list(attrs.astuple(lease.offered)),
        list(attrs.astuple(lease.confirmed)),
    ]


def _decode_lease(content: list[Any], now: float) -> TokenLease:
    holder, ends_in, counts, (demand, limit), offered, confirmed = content[:6]
    granted, spent, returned, wanted, waiting = counts
    return TokenLease(
        holder=Holder(*holder),
        ends_at=now + add_clock_tolerance(ends_in),
        granted=granted,
        spent=spent,
        returned=returned,
        wanted=wanted,
        waiting=waiting,
        demand=demand,
        limit=limit,
        offered=_decode_rate_share(offered),
        confirmed=_decode_rate_share(confirmed),
    )


def _decode_rate_share(content: list[Any]) -> RateShare:
    version, rate, capacity = content
    return RateShare(version=version, rate=rate, capacity=capacity)


def add_clock_tolerance(duration: float) -> float:
    """Return a duration that covers the given one by the clock of any instance."""
    return max(duration, 0.0) * (1 + 2 * CLOCK_TOLERANCE)
