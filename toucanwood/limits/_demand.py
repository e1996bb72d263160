"""Estimate of an organisation's demand at one entry."""

import math

import attrs

# The short average follows a burst within a few requests, the long one bridges the
# gaps of steady traffic.
SHORT_AVERAGE_S = 0.05
LONG_AVERAGE_S = 1.0
# With Poisson arrivals, a gap of five mean gaps is rare (0.7%).
MAX_GAPS = 5.0
MIN_GAP_S = 1e-4


@attrs.define
class Demand:
    """Exponentially weighted averages of the request rate."""

    updated_at: float = 0.0
    used_at: float = -math.inf
    short: float = 0.0
    long: float = 0.0

    def add(self, now: float) -> None:
        """Count one request."""
        self._decay(now)
        self.used_at = now
        self.short += 1 / SHORT_AVERAGE_S
        self.long += 1 / LONG_AVERAGE_S

    def estimate(self, now: float) -> float:
        """Return the rate in requests/s; half of a short peak counts.

        A pause much longer than the usual gap shows that the traffic has gone.
        """
        self._decay(now)
        gap = max(now - self.used_at, MIN_GAP_S)
        return min(max(self.long, self.short / 2), MAX_GAPS / gap)

    def _decay(self, now: float) -> None:
        elapsed = max(now - self.updated_at, 0.0)
        self.updated_at = now
        self.short *= math.exp(-elapsed / SHORT_AVERAGE_S)
        self.long *= math.exp(-elapsed / LONG_AVERAGE_S)
