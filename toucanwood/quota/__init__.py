"""Rate limits of organisations that apply to all entries together.

The leader of the controllers keeps one token bucket for each organisation, fed by the
reports of the entries, and answers each report with the fractions of requests to admit.
This is the global random drop of Raghavan et al., "Cloud control with distributed rate
limiting" (2007), with a deterministic choice instead of the random one.
"""

from toucanwood.quota._coordinator import QuotaCoordinator
from toucanwood.quota._enforcer import QuotaEnforcer, Usage

__all__ = ["QuotaCoordinator", "QuotaEnforcer", "Usage"]
