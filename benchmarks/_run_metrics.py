"""Metrics of one run of the steering benchmark."""

import collections
import math

import attrs
from hdrh.histogram import HdrHistogram

MAX_LATENCY_US = 60_000_000


def compute_fair_shares(demands, capacity):
    """Return the max-min fair allocation of a capacity to the demands."""
    shares = {}
    remaining = capacity
    for count, (name, demand) in enumerate(sorted(demands.items(), key=lambda i: i[1])):
        shares[name] = min(demand, remaining / (len(demands) - count))
        remaining -= shares[name]
    return shares


@attrs.define
class RunMetrics:
    """Outcomes of requests and samples of the fleet."""

    histogram: HdrHistogram = attrs.field(
        factory=lambda: HdrHistogram(1, MAX_LATENCY_US, 3)
    )
    offered: collections.Counter = attrs.field(factory=collections.Counter)
    served: collections.Counter = attrs.field(factory=collections.Counter)
    failed: collections.Counter = attrs.field(factory=collections.Counter)
    refused: collections.Counter = attrs.field(factory=collections.Counter)
    codes: collections.Counter = attrs.field(factory=collections.Counter)
    max_over_slots: int = 0
    max_over_cap: float = -math.inf
    headrooms: list = attrs.field(factory=list)
    drain_time: float | None = None

    def record_latency(self, seconds):
        """Record the latency of a served request."""
        self.histogram.record_value(max(1, int(seconds * 1e6)))

    def summarise(self, *, slots, mean_duration, seconds, within_rate):
        """Return the figures of the run.

        `within_rate` names the organisations that stay within their rate; refusals of
        their requests are wrongful.
        """
        offered = sum(self.offered.values())
        within = sum(self.offered[name] for name in within_rate)
        refused = sum(self.refused[name] for name in within_rate)
        return {
            "offered": offered,
            "p50_ms": self.get_percentile_ms(50),
            "p99_ms": self.get_percentile_ms(99),
            "p999_ms": self.get_percentile_ms(99.9),
            "success": round(sum(self.served.values()) / max(offered, 1), 5),
            "worst_share": round(
                self.compute_worst_share(slots, mean_duration, seconds), 4
            ),
            "wrongful_refusals": round(refused / max(within, 1), 5),
            "refusal_codes": dict(self.codes),
            "failed": sum(self.failed.values()),
            "headroom": round(sum(self.headrooms) / max(len(self.headrooms), 1), 4),
            "drain_time_s": self.drain_time,
            "max_in_flight_over_slots": self.max_over_slots,
            "max_shift_over_cap": round(self.max_over_cap, 6),
        }

    def get_percentile_ms(self, percent):
        """Return a percentile of the latency in milliseconds."""
        return self.histogram.get_value_at_percentile(percent) / 1000

    def compute_worst_share(self, slots, mean_duration, seconds):
        """Return the smallest ratio of served requests to the max-min fair number."""
        capacity = slots * seconds / mean_duration
        fair = compute_fair_shares(self.offered, capacity)
        return min((self.served[n] / fair[n] for n in fair if fair[n]), default=0.0)
