"""Group membership: which instances run, learned by gossip."""

from toucanwood.membership._member import Member, MemberState
from toucanwood.membership._membership import Membership
from toucanwood.membership._table import MemberTable

__all__ = ["Member", "MemberState", "MemberTable", "Membership"]
