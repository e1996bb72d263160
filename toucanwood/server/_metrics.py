"""Metrics over statsd."""

from typing import Any

from statsd import StatsClient

from toucanwood.peering import split_address

METRIC_PREFIX = "toucanwood"


class Metrics:
    """Send counters, timers and gauges to statsd, or nothing without an address."""

    def __init__(self, address: str | None) -> None:
        self._client: StatsClient | None = None
        if address is not None:
            host, port = split_address(address)
            self._client = StatsClient(host, port, prefix=METRIC_PREFIX)

    def record_decision(self, decision: Any) -> None:
        """Count one proxied request by service, organisation and result."""
        if self._client is None:
            return
        service = decision.service or "none"
        organisation = decision.organisation or "open"
        with self._client.pipeline() as pipe:
            pipe.timing(f"request.{service}.ms", decision.elapsed * 1000)
            pipe.incr(f"request.{service}.status.{decision.status}")
            pipe.incr(f"organisation.{organisation}.requests")
            if decision.code:
                pipe.incr(f"refused.{decision.code}")
                pipe.incr(f"organisation.{organisation}.refused")

    def set_gauges(self, values: dict[str, float]) -> None:
        """Send a value for each named gauge."""
        if self._client is None:
            return
        with self._client.pipeline() as pipe:
            for name, value in values.items():
                pipe.gauge(name, value)
