"""Messages between limiters and the account service."""

from typing import Any

import attrs

from toucanwood.peering import message


@attrs.frozen(kw_only=True)
class LeaseReport:
    """State of one lease at its holder; the counts are totals since it was opened."""

    organisation: str
    lease: int
    epoch: str = ""
    spent: int = 0
    returned: int = 0
    wanted: int = 0
    waiting: int = 0
    demand: float = 0.0
    share_version: int = 0


@attrs.frozen(kw_only=True)
class LeaseGrant:
    """State of one lease at the leader; `granted` is a total since it was opened.

    `limit` is the number of tokens that the holder may keep, or -1 for all.
    `share_rate` (tokens/s) and `share_capacity` describe the holder's own bucket.
    """

    organisation: str
    lease: int
    granted: int = 0
    limit: int = -1
    share_version: int = 0
    share_rate: float = 0.0
    share_capacity: float = 0.0
    is_closed: bool = False


@message(60)
@attrs.frozen
class ReportLeases:
    """Report a batch of leases; the reply is a `GrantLeases`."""

    incarnation: str = ""
    reports: list[Any] = attrs.field(factory=list)


@message(61)
@attrs.frozen
class GrantLeases:
    """Answer a `ReportLeases`; an empty epoch means "not the leader".

    `opens_in` is the time in seconds until a new leader starts to grant tokens.
    """

    incarnation: str = ""
    epoch: str = ""
    opens_in: float = 0.0
    grants: list[Any] = attrs.field(factory=list)


@message(62)
@attrs.frozen
class PushLeases:
    """Grant tokens or ask for some back, unasked."""

    incarnation: str = ""
    epoch: str = ""
    grants: list[Any] = attrs.field(factory=list)


@attrs.frozen(kw_only=True)
class AccountState:
    """State of one account when its leader stops.

    `tokens`, `share_rate` (tokens/s) and `share_capacity` bound what holders may spend
    until their leases end.
    """

    organisation: str
    rate: float = 0.0
    burst: float = 0.0
    balance: float = 0.0
    tokens: int = 0
    share_rate: float = 0.0
    share_capacity: float = 0.0


@message(63)
@attrs.frozen
class HandOverAccounts:
    """Hand the accounts of the leader of `term` over to the leader of the next term.

    `opens_in` is the time in seconds until the accounts may grant tokens.
    """

    term: int = 0
    opens_in: float = 0.0
    accounts: list[Any] = attrs.field(factory=list)


def unpack_accounts(content: list[Any]) -> list[AccountState]:
    """Build the accounts of a message; extra fields are dropped."""
    return [_unpack(AccountState, values) for values in content]


def pack_items(items: list[Any]) -> list[list[Any]]:
    """Return the fields of each item as a list."""
    return [list(attrs.astuple(item)) for item in items]


def unpack_reports(content: list[Any]) -> list[LeaseReport]:
    """Build the reports of a message; extra fields are dropped."""
    return [_unpack(LeaseReport, values) for values in content]


def unpack_grants(content: list[Any]) -> list[LeaseGrant]:
    """Build the grants of a message; extra fields are dropped."""
    return [_unpack(LeaseGrant, values) for values in content]


def _unpack(kind: type, values: list[Any]) -> Any:
    names = [field.name for field in attrs.fields(kind)]
    return kind(**dict(zip(names, values, strict=False)))
