"""The token buckets at the leader."""

from collections.abc import Iterable, Mapping
from typing import Any

import attrs

from toucanwood.quota._enforcer import Usage
from toucanwood.routing import Organisation

# A rest of tokens, or a debt, is used up or paid back over this time. It is longer
# than the delay of a report and shorter than the windows that limits are checked in.
SETTLE_S = 1.0
# The demand of an entry that reports nothing is forgotten after this time.
DEMAND_TIMEOUT_S = 3.0
# Weight of the last report in the demand of an entry.
DEMAND_WEIGHT = 0.5
# A lower demand, in requests a second, is forgotten.
MIN_DEMAND = 0.05
# Entries that have fallen silent are looked for at this interval.
SWEEP_INTERVAL_S = 0.5


@attrs.define
class _Account:
    """Hold the tokens of one organisation; a negative level is a debt."""

    level: float
    updated_at: float
    # Requests a second that each entry is asked for, and their sum.
    demands: dict[str, float] = attrs.field(factory=dict)
    total: float = 0.0

    def refill(self, organisation: Organisation, now: float) -> None:
        """Add the tokens of the time that has passed."""
        earned = (now - self.updated_at) * organisation.rate
        self.level = min(self.level + earned, organisation.burst)
        self.updated_at = now

    def set_demand(self, entry_id: str, rate: float) -> None:
        """Replace the demand of one entry."""
        before = self.demands.pop(entry_id, 0.0)
        if rate > 0:
            self.demands[entry_id] = rate
        # Without any demand the sum is exact again, whatever was rounded.
        self.total = self.total + rate - before if self.demands else 0.0


@attrs.define
class QuotaCoordinator:
    """Settle the usage that entries report; `now` is in seconds.

    A report costs in proportion to the organisations that its entry has requests of
    and to those that are limited, not to all entries and organisations. A new leader
    starts each account empty, because its predecessor may have given out the whole
    burst just before.
    """

    _accounts: dict[str, _Account] = attrs.field(factory=dict)
    _reported_at: dict[str, float] = attrs.field(factory=dict)
    # The organisations that each entry has requests of.
    _active: dict[str, set[str]] = attrs.field(factory=dict)
    _limited: set[str] = attrs.field(factory=set)
    _since: float | None = None
    _swept_at: float = 0.0

    def process_report(
        self,
        entry_id: str,
        usage: Mapping[str, Usage],
        organisations: Mapping[str, Organisation],
        now: float,
    ) -> dict[str, float]:
        """Count one report and return the fractions below 1, by organisation."""
        if self._since is None:
            self._since = now
        self._sweep(now)
        elapsed = now - self._reported_at.get(entry_id, now - SETTLE_S)
        self._reported_at[entry_id] = now
        active = self._active.setdefault(entry_id, set())
        touched = active | usage.keys()
        for name in touched:
            item = organisations.get(name)
            if item is None or item.rate <= 0:
                self._drop(name, entry_id)
                continue
            account = self._find_account(item, now)
            account.refill(item, now)
            self._count(account, entry_id, usage.get(name), elapsed)
        self._active[entry_id] = {
            name
            for name in touched
            if name in self._accounts and entry_id in self._accounts[name].demands
        }
        return self._compute_fractions(touched, organisations, now)

    def clear(self) -> None:
        """Forget every account, at the end of a leadership."""
        self._accounts.clear()
        self._reported_at.clear()
        self._active.clear()
        self._limited.clear()
        self._since = None

    def dump(self) -> dict[str, Any]:
        """Return the levels by organisation."""
        return {name: round(item.level, 1) for name, item in self._accounts.items()}

    def _find_account(self, organisation: Organisation, now: float) -> _Account:
        account = self._accounts.get(organisation.name)
        if account is None:
            since = self._since if self._since is not None else now
            account = self._accounts[organisation.name] = _Account(0.0, since)
        return account

    def _drop(self, name: str, entry_id: str) -> None:
        """Forget the demand for an organisation that has no limit any more."""
        self._limited.discard(name)
        account = self._accounts.get(name)
        if account is not None:
            account.set_demand(entry_id, 0.0)

    def _count(
        self, account: _Account, entry_id: str, usage: Usage | None, elapsed: float
    ) -> None:
        forwarded, offered = (
            (usage.forwarded, usage.offered) if usage is not None else (0, 0)
        )
        account.level -= forwarded
        rate = offered / max(elapsed, 0.05)
        known = account.demands.get(entry_id)
        if known is not None:
            rate = known + DEMAND_WEIGHT * (rate - known)
        account.set_demand(entry_id, rate if rate >= MIN_DEMAND else 0.0)

    def _compute_fractions(
        self,
        touched: Iterable[str],
        organisations: Mapping[str, Organisation],
        now: float,
    ) -> dict[str, float]:
        fractions: dict[str, float] = {}
        for name in self._limited.union(touched):
            account = self._accounts.get(name)
            item = organisations.get(name)
            if account is None or item is None or item.rate <= 0:
                self._limited.discard(name)
                continue
            account.refill(item, now)
            allowed = max(item.rate + account.level / SETTLE_S, 0.0)
            if account.total <= allowed:
                self._limited.discard(name)
                continue
            self._limited.add(name)
            fractions[name] = allowed / account.total
        return fractions

    def _sweep(self, now: float) -> None:
        """Forget the demands of entries that report nothing any more."""
        if now - self._swept_at < SWEEP_INTERVAL_S:
            return
        self._swept_at = now
        oldest = now - DEMAND_TIMEOUT_S
        for entry_id in [key for key, at in self._reported_at.items() if at < oldest]:
            del self._reported_at[entry_id]
            for name in self._active.pop(entry_id, ()):
                self._accounts[name].set_demand(entry_id, 0.0)
