"""Rate limits: token accounts at the leader and token leases at entries."""

from toucanwood.limits._account import RateAccount, TokenLease
from toucanwood.limits._limiter import Limiter
from toucanwood.limits._service import AccountService

__all__ = ["AccountService", "Limiter", "RateAccount", "TokenLease"]
