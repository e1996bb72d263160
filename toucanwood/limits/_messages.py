"""Messages between limiters and the account service."""

from typing import Any

import attrs

from toucanwood.peering import message


@attrs.frozen(kw_only=True)
class LeaseReport:
    """State of one lease, as its holder reports it.

    `spent` and `returned` are totals since the start of the lease. `wanted` is the
    number of tokens requested, `waiting` the number of requests that wait, and `demand`
    an estimate in requests/s.
    """

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
    """State of one lease, as the leader grants it.

    `granted` is a total since the start of the lease. `limit` is the number of tokens
    that the holder may keep, or -1 for all of them. `share_rate` (tokens/s) and
    `share_capacity` describe the bucket that the holder refills itself. If
    `is_closed` is true, the holder must not renew the lease any more.
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
    """Report leases to the leader; the reply is a `GrantLeases`."""

    incarnation: str = ""
    reports: list[Any] = attrs.field(factory=list)


@message(61)
@attrs.frozen
class GrantLeases:
    """Answer a `ReportLeases`; an empty epoch means that the sender does not lead.

    `opens_in` is the time in seconds until a new leader starts to grant tokens.
    """

    incarnation: str = ""
    epoch: str = ""
    opens_in: float = 0.0
    grants: list[Any] = attrs.field(factory=list)


@message(62)
@attrs.frozen
class PushLeases:
    """Grant tokens or recall some of them, without a preceding report."""

    incarnation: str = ""
    epoch: str = ""
    grants: list[Any] = attrs.field(factory=list)


@message(63)
@attrs.frozen
class HandOverAccounts:
    """Give the accounts of a leader that has stopped granting to a successor."""

    term: int = 0
    epoch: str = ""
    opens_in: float = 0.0
    accounts: list[Any] = attrs.field(factory=list)


def encode_items(items: list[Any]) -> list[list[Any]]:
    """Encode each item as the list of its fields."""
    return [list(attrs.astuple(item)) for item in items]


def decode_reports(content: list[Any]) -> list[LeaseReport]:
    """Decode the reports of a message; extra fields are ignored."""
    return [_decode(LeaseReport, values) for values in content]


def decode_grants(content: list[Any]) -> list[LeaseGrant]:
    """Decode the grants of a message; extra fields are ignored."""
    return [_decode(LeaseGrant, values) for values in content]


def _decode(kind: type, values: list[Any]) -> Any:
    names = [field.name for field in attrs.fields(kind)]
    return kind(**dict(zip(names, values, strict=False)))
