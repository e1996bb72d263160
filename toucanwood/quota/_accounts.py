"""The token buckets at the leader."""

from collections.abc import Mapping
from typing import Any

import attrs

from toucanwood.quota._gate import Usage
from toucanwood.routing import Organisation

# A rest of tokens, or a debt, is used up or paid back over this time. It is longer
# than the delay of a report and shorter than the windows that limits are checked in.
SETTLE_S = 1.0
# The demand of an entry that reports nothing is forgotten after this time.
DEMAND_TIMEOUT_S = 3.0
# Weight of the last report in the demand of an entry.
DEMAND_WEIGHT = 0.5


@attrs.define
class _Demand:
    """Hold the requests a second that one entry is asked for."""

    rate: float
    reported_at: float


@attrs.define
class _Account:
    """Hold the tokens of one organisation; a negative level is a debt."""

    level: float
    updated_at: float
    demands: dict[str, _Demand] = attrs.field(factory=dict)

    def refill(self, organisation: Organisation, now: float) -> None:
        """Add the tokens of the time that has passed."""
        earned = (now - self.updated_at) * organisation.rate
        self.level = min(self.level + earned, organisation.burst)
        self.updated_at = now

    def count_demand(self, now: float) -> float:
        """Return the requests a second over all entries that report."""
        oldest = now - DEMAND_TIMEOUT_S
        stale = [key for key, item in self.demands.items() if item.reported_at < oldest]
        for key in stale:
            del self.demands[key]
        return sum(item.rate for item in self.demands.values())


@attrs.define
class QuotaAccounts:
    """Settle the usage that entries report; `now` is in seconds.

    A new leader starts each account empty, because its predecessor may have given out
    the whole burst just before.
    """

    _accounts: dict[str, _Account] = attrs.field(factory=dict)
    _reported_at: dict[str, float] = attrs.field(factory=dict)

    def settle(
        self,
        entry_id: str,
        usage: Mapping[str, Usage],
        organisations: Mapping[str, Organisation],
        now: float,
    ) -> dict[str, float]:
        """Count one report and return the fractions below 1, by organisation."""
        elapsed = now - self._reported_at.get(entry_id, now - SETTLE_S)
        self._reported_at[entry_id] = now
        fractions: dict[str, float] = {}
        for name, item in organisations.items():
            if item.rate <= 0:
                continue
            account = self._accounts.get(name)
            if account is None:
                account = self._accounts[name] = _Account(0.0, now)
            account.refill(item, now)
            self._count(account, entry_id, usage.get(name), elapsed, now)
            fraction = self._compute_fraction(account, item, now)
            if fraction < 1.0:
                fractions[name] = fraction
        return fractions

    def clear(self) -> None:
        """Forget every account, at the end of a leadership."""
        self._accounts.clear()
        self._reported_at.clear()

    def dump(self) -> dict[str, Any]:
        """Return the levels by organisation."""
        return {name: round(item.level, 1) for name, item in self._accounts.items()}

    def _count(
        self,
        account: _Account,
        entry_id: str,
        usage: Usage | None,
        elapsed: float,
        now: float,
    ) -> None:
        used, offered = (usage.used, usage.offered) if usage is not None else (0, 0)
        account.level -= used
        known = account.demands.get(entry_id)
        rate = offered / max(elapsed, 0.05)
        if known is not None:
            rate = known.rate + DEMAND_WEIGHT * (rate - known.rate)
        if rate > 0 or known is not None:
            account.demands[entry_id] = _Demand(rate, now)

    def _compute_fraction(
        self, account: _Account, organisation: Organisation, now: float
    ) -> float:
        demand = account.count_demand(now)
        allowed = max(organisation.rate + account.level / SETTLE_S, 0.0)
        return 1.0 if demand <= allowed else allowed / demand
