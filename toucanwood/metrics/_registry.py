"""Registry of the metrics of one process."""

from collections.abc import Callable, Iterable, Iterator, Mapping

import attrs
from prometheus_client.metrics import Counter, Histogram
from prometheus_client.metrics_core import GaugeMetricFamily, Metric
from prometheus_client.registry import CollectorRegistry

PREFIX = "toucanwood"
# Upper bounds of the latency buckets. Latency objectives are 0.1 s to 1.2 s and
# deadlines 0.8 s to 8 s, so the bounds lie close together in that range.
LATENCY_BUCKETS_S = (0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2.0, 4.0, 8.0)
# Maximum number of label values of one metric. Names of routes and services come from
# the operator, so further values are counted together as "other".
MAX_LABEL_VALUES = 64
OTHER_VALUE = "other"

GaugeSource = Callable[[], Mapping[str, float]]


@attrs.define
class _LabelLimiter:
    """Limit on the number of distinct values of one label."""

    known_values: set[str] = attrs.field(factory=set)

    def limit(self, value: str) -> str:
        if value in self.known_values:
            return value
        if len(self.known_values) >= MAX_LABEL_VALUES:
            return OTHER_VALUE
        self.known_values.add(value)
        return value


class MetricsRegistry:
    """Counters, gauges and histograms of one process, rendered as text."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry(auto_describe=False)
        self._service_labels = _LabelLimiter()
        self._gauge_sources: list[GaugeSource] = []
        self._requests = Counter(
            f"{PREFIX}_requests",
            "Requests of callers by service, result code and status.",
            ["service", "code", "status"],
            registry=self._registry,
        )
        self._attempts = Counter(
            f"{PREFIX}_attempts",
            "Sends to targets by service and outcome.",
            ["service", "outcome"],
            registry=self._registry,
        )
        self._latencies = Histogram(
            f"{PREFIX}_request_seconds",
            "Time for which a request was held, by service.",
            ["service"],
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._events = Counter(
            f"{PREFIX}_events",
            "Calls and changes of state by name and result.",
            ["event", "result"],
            registry=self._registry,
        )
        self._registry.register(_GaugeCollector(self._gauge_sources))

    def count_request(
        self, *, service: str, code: str, status: int, seconds: float
    ) -> None:
        """Count one request of a caller and record its latency."""
        name = self._service_labels.limit(service)
        self._requests.labels(name, code, str(status)).inc()
        self._latencies.labels(name).observe(seconds)

    def count_attempt(self, *, service: str, outcome: str) -> None:
        """Count one attempt to send a request to a target."""
        self._attempts.labels(self._service_labels.limit(service), outcome).inc()

    def count_event(self, event: str, result: str = "ok") -> None:
        """Count an event; both labels come from the code, so their values are few."""
        self._events.labels(event, result).inc()

    def add_gauges(self, source: GaugeSource) -> None:
        """Add a function that returns gauge values by name at each scrape."""
        self._gauge_sources.append(source)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        # Imports an HTTP server, which most processes never need.
        from prometheus_client.exposition import generate_latest

        return generate_latest(self._registry)


@attrs.define(eq=False)
class _GaugeCollector:
    """Collector that reads gauges at each scrape; they cost nothing in between."""

    sources: list[GaugeSource]

    def collect(self) -> Iterable[Metric]:
        """Return one metric family for each gauge."""
        return list(self._generate_families())

    def _generate_families(self) -> Iterator[Metric]:
        for source in self.sources:
            for name, value in source().items():
                yield GaugeMetricFamily(f"{PREFIX}_{name}", name, value=value)
