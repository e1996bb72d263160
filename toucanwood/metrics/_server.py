"""HTTP server for the metrics."""

import structlog

from toucanwood.httpd import HttpServer, Responder, Response
from toucanwood.metrics._registry import MetricsRegistry

log = structlog.get_logger()

METRICS_PATH = "/metrics"
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class MetricsServer:
    """HTTP server for the metrics of a process; without an address it stays off."""

    def __init__(self, registry: MetricsRegistry, address: str | None) -> None:
        self._registry = registry
        self._address = address
        self._server = HttpServer(self._handle_request)

    def start(self) -> None:
        """Start to listen if an address is set.

        If the port is in use, the error is logged and the process runs without metrics.
        """
        if self._address is None:
            return
        try:
            self._server.start(self._address)
        except OSError as error:
            log.error("metrics_unavailable", address=self._address, error=str(error))

    @property
    def address(self) -> str:
        """Return the bound address as `ip:port`, or an empty string."""
        return self._server.address

    async def stop(self) -> None:
        """Stop listening."""
        await self._server.stop()

    async def _handle_request(self, responder: Responder) -> None:
        request = responder.request
        if request.method != "GET" or request.path != METRICS_PATH:
            await responder.send(Response(status=404))
            return
        headers = [("Content-Type", CONTENT_TYPE)]
        body = self._registry.render()
        await responder.send(Response(status=200, headers=headers, body=body))
