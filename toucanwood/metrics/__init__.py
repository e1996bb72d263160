"""Counters, gauges and latency histograms, served over HTTP for Prometheus."""

from toucanwood.metrics._registry import LATENCY_BUCKETS_S, MetricsRegistry
from toucanwood.metrics._server import METRICS_PATH, MetricsServer

__all__ = ["LATENCY_BUCKETS_S", "METRICS_PATH", "MetricsRegistry", "MetricsServer"]
