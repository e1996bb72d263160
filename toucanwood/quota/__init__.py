"""Rates and bursts of organisations, counted over all entries together.

The leader of the control group keeps one token bucket for each organisation from the
entries' reports, and answers with the fraction of the requests to admit. This is the
global random drop of Raghavan et al., "Cloud control with distributed rate limiting"
(2007), with a deterministic choice in place of the random one.
"""

from toucanwood.quota._coordinator import QuotaCoordinator
from toucanwood.quota._enforcer import QuotaEnforcer, Usage

__all__ = ["QuotaCoordinator", "QuotaEnforcer", "Usage"]
