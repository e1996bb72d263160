"""The metrics of one process."""

from collections.abc import Callable, Iterable, Iterator, Mapping

import attrs
from prometheus_client import CollectorRegistry, Counter, Histogram, generate_latest
from prometheus_client.core import GaugeMetricFamily, Metric

PREFIX = "toucanwood"
# Upper bounds in seconds. Objectives are 0.1 s to 1.2 s, deadlines 0.8 s to 8 s, so the
# bounds lie close together there.
LATENCY_BUCKETS_S = (0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2.0, 4.0, 8.0)
# Names of routes and services come from the operator. Beyond this many label values
# of one metric, further ones are counted together as "other".
MAX_LABEL_VALUES = 64
OTHER_VALUE = "other"

Gauges = Callable[[], Mapping[str, float]]


@attrs.define
class _LabelValues:
    """Bound the number of values of one label."""

    known: set[str] = attrs.field(factory=set)

    def limit(self, value: str) -> str:
        if value in self.known:
            return value
        if len(self.known) >= MAX_LABEL_VALUES:
            return OTHER_VALUE
        self.known.add(value)
        return value


class MetricsRegistry:
    """Hold the counters and histograms of one process and render them as text."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry(auto_describe=False)
        self._services = _LabelValues()
        self._gauges: list[Gauges] = []
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
        self._seconds = Histogram(
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
        self._registry.register(_GaugeCollector(self._gauges))

    def count_request(
        self, *, service: str, code: str, status: int, seconds: float
    ) -> None:
        """Count one request of a caller and the time for which it was held."""
        name = self._services.limit(service)
        self._requests.labels(name, code, str(status)).inc()
        self._seconds.labels(name).observe(seconds)

    def count_attempt(self, *, service: str, outcome: str) -> None:
        """Count one send to a target."""
        self._attempts.labels(self._services.limit(service), outcome).inc()

    def count_event(self, event: str, result: str = "ok") -> None:
        """Count an event; both names come from the code, so they are few."""
        self._events.labels(event, result).inc()

    def add_gauges(self, read: Gauges) -> None:
        """Call a function for gauges by name whenever the metrics are read."""
        self._gauges.append(read)

    def render(self) -> bytes:
        """Return every metric in the text format of Prometheus."""
        return generate_latest(self._registry)


@attrs.define(eq=False)
class _GaugeCollector:
    """Read gauges at the time of a scrape, so that they cost nothing before."""

    reads: list[Gauges]

    def collect(self) -> Iterable[Metric]:
        """Return one family for each gauge."""
        return list(self._list_families())

    def _list_families(self) -> Iterator[Metric]:
        for read in self.reads:
            for name, value in read().items():
                yield GaugeMetricFamily(f"{PREFIX}_{name}", name, value=value)
