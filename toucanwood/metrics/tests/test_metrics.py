"""Tests of the metrics registry and of its HTTP server."""

import asyncio

from toucanwood.metrics import METRICS_PATH, MetricsRegistry, MetricsServer
from toucanwood.metrics._registry import MAX_LABEL_VALUES

ADDRESS = "127.0.0.1:0"


async def fetch(address, path):
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        f"GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n".encode()
    )
    data = await reader.read()
    writer.close()
    head, _, body = data.partition(b"\r\n\r\n")
    return int(head.split()[1]), body.decode()


# Guards against failed requests that are missing in the counters or latencies.
def test_requests_are_counted_by_result_and_latency():
    metrics = MetricsRegistry()
    metrics.count_request(service="s", code="no_room", status=503, seconds=0.03)
    metrics.count_attempt(service="s", outcome="shed")
    text = metrics.render().decode()
    line = 'toucanwood_requests_total{code="no_room",service="s",status="503"} 1.0'
    assert line in text
    assert 'toucanwood_request_seconds_bucket{le="0.05",service="s"} 1.0' in text
    assert 'toucanwood_attempts_total{outcome="shed",service="s"} 1.0' in text


# Guards against memory that grows with every name an operator has ever configured.
def test_label_values_are_bounded():
    metrics = MetricsRegistry()
    for number in range(3 * MAX_LABEL_VALUES):
        metrics.count_attempt(service=f"s-{number}", outcome="ok")
    lines = [
        line for line in metrics.render().decode().split("\n") if "service=" in line
    ]
    names = {line.split('service="')[1].split('"')[0] for line in lines}
    assert len(names) == MAX_LABEL_VALUES + 1
    assert "other" in names


def test_gauges_are_read_at_each_scrape():
    values = {"state_version": 1.0}
    metrics = MetricsRegistry()
    metrics.add_gauges(lambda: values)
    values["state_version"] = 7.0
    assert "toucanwood_state_version 7.0" in metrics.render().decode()


def test_metrics_are_served_only_at_their_path():
    async def main():
        server = MetricsServer(MetricsRegistry(), ADDRESS)
        server.start()
        assert (await fetch(server.address, METRICS_PATH))[0] == 200
        assert (await fetch(server.address, "/other"))[0] == 404
        await server.stop()

    asyncio.run(main())


# Guards against an instance that fails to start because the metrics port is in use.
def test_port_in_use_does_not_raise():
    async def main():
        first = MetricsServer(MetricsRegistry(), ADDRESS)
        first.start()
        second = MetricsServer(MetricsRegistry(), first.address)
        second.start()
        assert second.address == ""
        await second.stop()
        await first.stop()

    asyncio.run(main())
