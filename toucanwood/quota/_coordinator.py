"""The global token buckets, kept by the leader of the controllers."""

from collections.abc import Iterable, Mapping
from typing import Any

import attrs

from toucanwood.quota._enforcer import Usage
from toucanwood.routing import Organisation

# Time over which the remaining tokens of a bucket are spent, or its debt is repaid. It
# is longer than the delay of a report and shorter than the time windows in which limits
# are checked.
CORRECTION_TIME_S = 1.0
# Time without a report from an entry after which its demand is dropped.
DEMAND_TIMEOUT_S = 3.0
# Weight of the latest report in the moving average of an entry's demand.
DEMAND_WEIGHT = 0.5
# Demand of an entry, in requests per second, below which it is dropped.
MIN_DEMAND_PER_S = 0.05
# Minimum interval between searches for entries that have stopped reporting.
CLEANUP_INTERVAL_S = 0.5


@attrs.define
class _TokenBucket:
    """Hold the tokens of one organisation; a negative number is a debt."""

    tokens: float
    updated_at: float
    # Offered requests per second, by entry, and their sum.
    demand_by_entry: dict[str, float] = attrs.field(factory=dict)
    total_demand: float = 0.0

    def refill(self, organisation: Organisation, now: float) -> None:
        """Add the tokens earned since the last refill."""
        earned_tokens = (now - self.updated_at) * organisation.rate
        self.tokens = min(self.tokens + earned_tokens, organisation.burst)
        self.updated_at = now

    def set_demand(self, entry_id: str, rate: float) -> None:
        """Replace the demand of one entry."""
        previous = self.demand_by_entry.pop(entry_id, 0.0)
        if rate > 0:
            self.demand_by_entry[entry_id] = rate
        # Without any demand the sum is reset to zero, which removes rounding errors.
        self.total_demand = (
            self.total_demand + rate - previous if self.demand_by_entry else 0.0
        )


@attrs.define
class QuotaCoordinator:
    """Process the usage reports of all entries; `now` is in seconds.

    The cost of a report is proportional to the number of organisations with requests
    at its entry plus the number of limited organisations; it does not grow with all
    entries and organisations. A new leader starts with empty buckets, because the
    previous leader may just have granted the whole burst.
    """

    _buckets: dict[str, _TokenBucket] = attrs.field(factory=dict)
    _reported_at: dict[str, float] = attrs.field(factory=dict)
    # Names of the organisations with demand, by entry.
    _organisations_by_entry: dict[str, set[str]] = attrs.field(factory=dict)
    _limited: set[str] = attrs.field(factory=set)
    _started_at: float | None = None
    _cleaned_up_at: float = 0.0

    def process_report(
        self,
        entry_id: str,
        usage: Mapping[str, Usage],
        organisations: Mapping[str, Organisation],
        now: float,
    ) -> dict[str, float]:
        """Process one report and return the fractions below 1, by organisation."""
        if self._started_at is None:
            self._started_at = now
        self._remove_silent_entries(now)
        elapsed = now - self._reported_at.get(entry_id, now - CORRECTION_TIME_S)
        self._reported_at[entry_id] = now
        previously_active = self._organisations_by_entry.setdefault(entry_id, set())
        affected = previously_active | usage.keys()
        for name in affected:
            organisation = organisations.get(name)
            if organisation is None or organisation.rate <= 0:
                self._clear_demand(name, entry_id)
                continue
            bucket = self._get_bucket(organisation, now)
            bucket.refill(organisation, now)
            self._count_usage(bucket, entry_id, usage.get(name), elapsed)
        self._organisations_by_entry[entry_id] = {
            name
            for name in affected
            if name in self._buckets and entry_id in self._buckets[name].demand_by_entry
        }
        return self._compute_fractions(affected, organisations, now)

    def clear(self) -> None:
        """Delete all buckets when the controller is no longer the leader."""
        self._buckets.clear()
        self._reported_at.clear()
        self._organisations_by_entry.clear()
        self._limited.clear()
        self._started_at = None

    def dump(self) -> dict[str, Any]:
        """Return the tokens by organisation."""
        return {name: round(bucket.tokens, 1) for name, bucket in self._buckets.items()}

    def _get_bucket(self, organisation: Organisation, now: float) -> _TokenBucket:
        bucket = self._buckets.get(organisation.name)
        if bucket is None:
            started_at = self._started_at if self._started_at is not None else now
            bucket = self._buckets[organisation.name] = _TokenBucket(0.0, started_at)
        return bucket

    def _clear_demand(self, name: str, entry_id: str) -> None:
        """Drop the demand for an organisation that no longer has a limit."""
        self._limited.discard(name)
        bucket = self._buckets.get(name)
        if bucket is not None:
            bucket.set_demand(entry_id, 0.0)

    def _count_usage(
        self, bucket: _TokenBucket, entry_id: str, usage: Usage | None, elapsed: float
    ) -> None:
        forwarded, offered = (
            (usage.forwarded, usage.offered) if usage is not None else (0, 0)
        )
        bucket.tokens -= forwarded
        rate = offered / max(elapsed, 0.05)
        previous = bucket.demand_by_entry.get(entry_id)
        if previous is not None:
            rate = previous + DEMAND_WEIGHT * (rate - previous)
        bucket.set_demand(entry_id, rate if rate >= MIN_DEMAND_PER_S else 0.0)

    def _compute_fractions(
        self,
        affected: Iterable[str],
        organisations: Mapping[str, Organisation],
        now: float,
    ) -> dict[str, float]:
        fractions: dict[str, float] = {}
        for name in self._limited.union(affected):
            bucket = self._buckets.get(name)
            organisation = organisations.get(name)
            if bucket is None or organisation is None or organisation.rate <= 0:
                self._limited.discard(name)
                continue
            bucket.refill(organisation, now)
            allowed_rate = max(
                organisation.rate + bucket.tokens / CORRECTION_TIME_S, 0.0
            )
            if bucket.total_demand <= allowed_rate:
                self._limited.discard(name)
                continue
            self._limited.add(name)
            fractions[name] = allowed_rate / bucket.total_demand
        return fractions

    def _remove_silent_entries(self, now: float) -> None:
        """Drop the demand of entries that have stopped reporting."""
        if now - self._cleaned_up_at < CLEANUP_INTERVAL_S:
            return
        self._cleaned_up_at = now
        oldest = now - DEMAND_TIMEOUT_S
        for entry_id in [key for key, at in self._reported_at.items() if at < oldest]:
            del self._reported_at[entry_id]
            for name in self._organisations_by_entry.pop(entry_id, ()):
                self._buckets[name].set_demand(entry_id, 0.0)
