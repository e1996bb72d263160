"""Estimate of the request rate of one organisation at one entry."""

import math

import attrs

# Time constants of the two averages. The short average follows a burst within a few
# requests; the long average smooths over the gaps of steady traffic.
SHORT_AVERAGE_S = 0.05
LONG_AVERAGE_S = 1.0
# Length of a gap, in mean gaps, from which on the estimate falls. With Poisson
# arrivals, 0.7% of the gaps are longer than five mean gaps.
MAX_GAPS = 5.0
# Lower bound of the gap in the division by it.
MIN_GAP_S = 1e-4


@attrs.define
class DemandEstimator:
    """Estimate a request rate from two exponentially weighted averages."""

    updated_at: float = 0.0
    last_request_at: float = -math.inf
    short_average: float = 0.0
    long_average: float = 0.0

    def record_request(self, now: float) -> None:
        """Count one request."""
        self._decay(now)
        self.last_request_at = now
        self.short_average += 1 / SHORT_AVERAGE_S
        self.long_average += 1 / LONG_AVERAGE_S

    def estimate(self, now: float) -> float:
        """Return the estimated rate in requests/s.

        The short average is halved, so that a brief peak has less weight. The
        estimate falls after a pause much longer than the usual gap.
        """
        self._decay(now)
        gap = max(now - self.last_request_at, MIN_GAP_S)
        return min(max(self.long_average, self.short_average / 2), MAX_GAPS / gap)

    def _decay(self, now: float) -> None:
        elapsed = max(now - self.updated_at, 0.0)
        self.updated_at = now
        self.short_average *= math.exp(-elapsed / SHORT_AVERAGE_S)
        self.long_average *= math.exp(-elapsed / LONG_AVERAGE_S)
