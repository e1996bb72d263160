"""The address at which the metrics are read."""

import structlog

from toucanwood.httpd import HttpServer, Responder, Response
from toucanwood.metrics._registry import MetricsRegistry

log = structlog.get_logger()

METRICS_PATH = "/metrics"
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class MetricsServer:
    """Serve the metrics of a process; without an address it serves nothing."""

    def __init__(self, registry: MetricsRegistry, address: str | None) -> None:
        self._registry = registry
        self._address = address
        self._server = HttpServer(self._answer)

    def start(self) -> None:
        """Listen, if an address is set.

        A port that is taken is logged and does not keep the process from its work.
        """
        if self._address is None:
            return
        try:
            self._server.start(self._address)
        except OSError as error:
            log.error("metrics_unavailable", address=self._address, error=str(error))

    @property
    def address(self) -> str:
        """Return the address that is bound, as `ip:port`, or an empty text."""
        return self._server.address

    async def stop(self) -> None:
        """Stop listening."""
        await self._server.stop()

    async def _answer(self, responder: Responder) -> None:
        request = responder.request
        if request.method != "GET" or request.path != METRICS_PATH:
            await responder.send(Response(status=404))
            return
        headers = [("Content-Type", CONTENT_TYPE)]
        body = self._registry.render()
        await responder.send(Response(status=200, headers=headers, body=body))
