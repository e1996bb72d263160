"""Group membership by gossip: the instances that run."""

from toucanwood.membership._member import Member, MemberState
from toucanwood.membership._membership import Membership
from toucanwood.membership._table import MemberTable

__all__ = ["Member", "MemberState", "MemberTable", "Membership"]
