"""The admission of requests on an entry."""

from collections.abc import Mapping
from typing import Any

import attrs

from toucanwood.routing import Organisation

# Time without an answer from the leader (three report intervals) after which an entry
# falls back to its local rate limit. Until then it may admit too many requests of an
# organisation whose demand rises.
ANSWER_TIMEOUT_S = 0.75
# Maximum time for which a new entry admits all requests until the first answer of the
# leader: an even split of a small rate would allow it less than one request. Excess
# requests become a debt in the bucket of the leader.
FIRST_ANSWER_TIMEOUT_S = 1.5
# Burst of the local rate limit, as the time in which its tokens are earned.
LOCAL_BURST_S = 0.5
# Minimum burst in requests, because requests of small organisations arrive in clusters.
MIN_LOCAL_BURST = 2.0
# Weight of the latest interval in the moving average of the forwarded rate.
RATE_WEIGHT = 0.3


NEVER = float("-inf")


@attrs.define
class Usage:
    """Count the requests that were offered and those forwarded to a target."""

    offered: int = 0
    forwarded: int = 0


@attrs.define
class _Allowance:
    """Hold the fraction, the local tokens and the usage of one organisation."""

    fraction: float = 1.0
    # Sum of the fractions of recent requests; a request is admitted when it reaches 1.
    credit: float = 0.5
    # Average of the requests forwarded per second while the leader was answering.
    forwarded_rate: float = 0.0
    tokens: float = 0.0
    refilled_at: float = 0.0
    usage: Usage = attrs.field(factory=Usage)


@attrs.define
class QuotaEnforcer:
    """Admit the fraction of requests that the leader's answers allow.

    While the leader does not answer, the entry limits each organisation locally: to the
    rate forwarded before, or to an even split of the limit over all entries if that is
    higher. This keeps the total of all entries within the limit during a partition.
    """

    entry_count: int = 1
    _allowances: dict[str, _Allowance] = attrs.field(factory=dict)
    _answered_at: float = NEVER
    _first_request_at: float | None = None
    _usage_collected_at: float = 0.0

    def admit(self, organisation: Organisation, now: float) -> bool:
        """Count an offered request and return whether it is admitted."""
        if organisation.rate <= 0:
            return True
        allowance = self._allowances.get(organisation.name)
        if allowance is None:
            allowance = self._allowances[organisation.name] = _Allowance(
                refilled_at=now
            )
        allowance.usage.offered += 1
        if self._first_request_at is None:
            self._first_request_at = now
        if (
            self._answered_at == NEVER
            and now - self._first_request_at < FIRST_ANSWER_TIMEOUT_S
        ):
            return True
        if now - self._answered_at > ANSWER_TIMEOUT_S:
            return self._take_token(allowance, organisation, now)
        allowance.refilled_at = now
        allowance.tokens = 0.0
        if allowance.fraction >= 1.0:
            return True
        allowance.credit += allowance.fraction
        if allowance.credit < 1.0:
            return False
        allowance.credit -= 1.0
        return True

    def count_forwarded(self, organisation: Organisation) -> None:
        """Count a request that is forwarded to a target."""
        allowance = self._allowances.get(organisation.name)
        if allowance is not None:
            allowance.usage.forwarded += 1

    def collect_usage(self, now: float) -> dict[str, Usage]:
        """Return the usage since the last call and reset the counts."""
        elapsed = max(now - self._usage_collected_at, 0.05)
        self._usage_collected_at = now
        collected = {}
        is_fresh = now - self._answered_at <= ANSWER_TIMEOUT_S
        for name, allowance in self._allowances.items():
            usage = allowance.usage
            if is_fresh:
                rate = usage.forwarded / elapsed
                allowance.forwarded_rate += RATE_WEIGHT * (
                    rate - allowance.forwarded_rate
                )
            if usage.offered or usage.forwarded:
                collected[name] = usage
                allowance.usage = Usage()
        return collected

    def restore_usage(self, usage: Mapping[str, Usage]) -> None:
        """Add usage back to the counts after a report that no leader accepted."""
        for name, item in usage.items():
            allowance = self._allowances.get(name)
            if allowance is not None:
                allowance.usage.offered += item.offered
                allowance.usage.forwarded += item.forwarded

    def get_answer_age(self, now: float) -> float:
        """Return the seconds since the last answer of the leader, or infinity."""
        return now - self._answered_at

    def apply_fractions(self, fractions: Mapping[str, float], now: float) -> None:
        """Apply the fractions of an answer from the leader."""
        self._answered_at = now
        for name, allowance in self._allowances.items():
            allowance.fraction = fractions.get(name, 1.0)

    def dump(self) -> dict[str, Any]:
        """Return the fractions below 1, by organisation."""
        return {
            name: round(allowance.fraction, 3)
            for name, allowance in self._allowances.items()
            if allowance.fraction < 1.0
        }

    def _take_token(
        self, allowance: _Allowance, organisation: Organisation, now: float
    ) -> bool:
        even_rate = organisation.rate / max(self.entry_count, 1)
        rate = max(allowance.forwarded_rate, even_rate)
        earned_tokens = max(now - allowance.refilled_at, 0.0) * rate
        burst = max(rate * LOCAL_BURST_S, MIN_LOCAL_BURST)
        allowance.tokens = min(allowance.tokens + earned_tokens, burst)
        allowance.refilled_at = now
        if allowance.tokens < 1.0:
            return False
        allowance.tokens -= 1.0
        return True
