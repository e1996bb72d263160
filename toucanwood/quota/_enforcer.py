"""The admission of requests at an entry."""

from collections.abc import Mapping
from typing import Any

import attrs

from toucanwood.routing import Organisation

# Without an answer of the leader for this time, three reports, an entry admits no more
# than before. Until then it may admit too much of an organisation whose demand rises.
STALE_S = 0.75
# A new entry admits everything until the leader's first answer, for this time at most:
# its even part of a small rate would be less than one request. What is too much is a
# debt that the leader settles.
FIRST_ANSWER_S = 1.5
# Requests that may come at once without a leader: as the time in which they are earned,
# and at least this number, because requests of small organisations come in clusters.
LOCAL_BURST_S = 0.5
MIN_LOCAL_BURST = 2.0
# Weight of the last interval in the remembered rate of admission.
USE_WEIGHT = 0.3


NEVER = float("-inf")


@attrs.define
class Usage:
    """Count the requests that were offered and those that went to a target."""

    offered: int = 0
    forwarded: int = 0


@attrs.define
class _Share:
    """Hold what an entry may admit of one organisation."""

    fraction: float = 1.0
    # Admits a request whenever the fractions add up to one.
    credit: float = 0.5
    # Requests a second that were admitted while the leader answered.
    use_rate: float = 0.0
    tokens: float = 0.0
    filled_at: float = 0.0
    usage: Usage = attrs.field(factory=Usage)


@attrs.define
class QuotaEnforcer:
    """Admit the fraction of requests that the leader's answers allow.

    While the leader does not answer, each organisation keeps the rate that this entry
    admitted before, or its even part of the whole rate where that is more. The rates
    of all entries together thus stay within the limit on a partition.
    """

    entry_count: int = 1
    _shares: dict[str, _Share] = attrs.field(factory=dict)
    _answered_at: float = NEVER
    _first_at: float | None = None
    _collected_at: float = 0.0

    def admit(self, organisation: Organisation, now: float) -> bool:
        """Count a request and return whether it is within the limit."""
        if organisation.rate <= 0:
            return True
        share = self._shares.get(organisation.name)
        if share is None:
            share = self._shares[organisation.name] = _Share(filled_at=now)
        share.usage.offered += 1
        if self._first_at is None:
            self._first_at = now
        if self._answered_at == NEVER and now - self._first_at < FIRST_ANSWER_S:
            return True
        if now - self._answered_at > STALE_S:
            return self._take_token(share, organisation, now)
        share.filled_at = now
        share.tokens = 0.0
        if share.fraction >= 1.0:
            return True
        share.credit += share.fraction
        if share.credit < 1.0:
            return False
        share.credit -= 1.0
        return True

    def count_forwarded(self, organisation: Organisation) -> None:
        """Count a request that goes to a target."""
        share = self._shares.get(organisation.name)
        if share is not None:
            share.usage.forwarded += 1

    def collect_usage(self, now: float) -> dict[str, Usage]:
        """Return the usage since the last call and start to count anew."""
        elapsed = max(now - self._collected_at, 0.05)
        self._collected_at = now
        collected = {}
        is_fresh = now - self._answered_at <= STALE_S
        for name, share in self._shares.items():
            usage = share.usage
            if is_fresh:
                rate = usage.forwarded / elapsed
                share.use_rate += USE_WEIGHT * (rate - share.use_rate)
            if usage.offered or usage.forwarded:
                collected[name] = usage
                share.usage = Usage()
        return collected

    def restore_usage(self, usage: Mapping[str, Usage]) -> None:
        """Count usage again that no leader has taken."""
        for name, item in usage.items():
            share = self._shares.get(name)
            if share is not None:
                share.usage.offered += item.offered
                share.usage.forwarded += item.forwarded

    def apply_fractions(self, fractions: Mapping[str, float], now: float) -> None:
        """Take over the fractions that the leader answered with."""
        self._answered_at = now
        for name, share in self._shares.items():
            share.fraction = fractions.get(name, 1.0)

    def dump(self) -> dict[str, Any]:
        """Return the fractions below 1, by organisation."""
        return {
            name: round(share.fraction, 3)
            for name, share in self._shares.items()
            if share.fraction < 1.0
        }

    def _take_token(
        self, share: _Share, organisation: Organisation, now: float
    ) -> bool:
        even = organisation.rate / max(self.entry_count, 1)
        rate = max(share.use_rate, even)
        earned = max(now - share.filled_at, 0.0) * rate
        burst = max(rate * LOCAL_BURST_S, MIN_LOCAL_BURST)
        share.tokens = min(share.tokens + earned, burst)
        share.filled_at = now
        if share.tokens < 1.0:
            return False
        share.tokens -= 1.0
        return True
