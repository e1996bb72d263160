"""Ranking of the members for lookups."""

import attrs

from toucanwood.feed import View
from toucanwood.membership import Member, Membership
from toucanwood.steering import rank_entries


@attrs.frozen
class RankedMember:
    """Describe one entry in a lookup response."""

    member: Member
    load: float

    @property
    def id(self) -> str:
        """Return the instance id."""
        return self.member.id

    @property
    def address(self) -> str:
        """Return the HTTP address as `ip:port`."""
        return self.member.http

    @property
    def region(self) -> str:
        """Return the region."""
        return self.member.region

    @property
    def data_centre(self) -> str:
        """Return the data centre."""
        return self.member.data_centre

    @property
    def is_leaving(self) -> bool:
        """Return whether the instance is not to get new callers."""
        return not self.member.is_serving


def rank_members(
    view: View, membership: Membership, home_region: str, now: float
) -> list[RankedMember]:
    """Return the live entries, best first; leaving ones only if no other is left."""
    members = membership.list_live()
    serving = [member for member in members if member.is_serving] or members
    loads = {**membership.load_by_id, membership.table.own.id: membership.own_load}
    entries = [RankedMember(item, loads.get(item.id, 0.0)) for item in serving]
    return rank_entries(view, entries, home_region, now)
