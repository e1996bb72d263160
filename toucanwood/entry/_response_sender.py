"""The way of a response back to the caller."""

from aiohttp import web
from aiohttp.http import RawResponseMessage
from aiohttp.web_response import REASON_PHRASES

from toucanwood.entry._buffered_response import WholeResponse
from toucanwood.entry._caller_connection import CallerConnection
from toucanwood.entry._exchange import Exchange
from toucanwood.entry._forwarded_headers import (
    HOP_BY_HOP,
    select_headers,
    select_response_headers,
)
from toucanwood.entry._interfaces import OutcomeKind, RecordedResponse, View
from toucanwood.entry._pacing import FREE_BYTES, LinkPacer
from toucanwood.entry._request_context import RequestContext
from toucanwood.entry._responses import REQUEST_ID
from toucanwood.upstream import TargetError

_NOT_HELD = HOP_BY_HOP | {"content-length"}


class Relay:
    """Stream responses to callers with back-pressure."""

    def __init__(self, *, view: View, pacer: LinkPacer) -> None:
        self._view = view
        self._pacer = pacer

    async def send(
        self, context: RequestContext, exchange: Exchange, *, is_complete: bool = True
    ) -> web.StreamResponse:
        """Send the response of an exchange; `held` bytes go first.

        `is_complete` tells whether the held bytes are the whole body.
        """
        if exchange.held is not None and is_complete:
            exchange.finish(OutcomeKind.COMPLETED)
            return self._build_held(context, exchange.message, exchange.held)
        response = self._build_head(context, exchange.message)
        context.response = response
        try:
            await response.prepare(context.request)
            await self._stream(context, exchange, response)
        except TargetError as error:
            exchange.finish(OutcomeKind.FAILED, str(error))
            context.decision.code = "response_truncated"
            return self.abort(context)
        return response

    def _build_held(
        self, context: RequestContext, message: RawResponseMessage, body: bytes
    ) -> web.StreamResponse:
        headers = list(select_headers(message.headers, _NOT_HELD))
        headers.append((REQUEST_ID, context.decision.request_id))
        return WholeResponse(
            status=message.code,
            reason=message.reason,
            headers=headers,
            body=body,
            declared_length=message.headers.get("Content-Length"),
        )

    def _build_head(
        self, context: RequestContext, message: RawResponseMessage
    ) -> web.StreamResponse:
        headers = select_response_headers(message.headers)
        headers[REQUEST_ID] = context.decision.request_id
        return web.StreamResponse(
            status=message.code, reason=message.reason, headers=headers
        )

    async def _stream(
        self,
        context: RequestContext,
        exchange: Exchange,
        response: web.StreamResponse,
    ) -> None:
        sent = 0
        chunk = exchange.held or await exchange.read_chunk()
        while chunk:
            sent += len(chunk)
            paced = min(len(chunk), sent - FREE_BYTES)
            if paced > 0:
                await self._pace(exchange.record.region, paced)
            await response.write(chunk)
            chunk = await exchange.read_chunk()
        exchange.finish(OutcomeKind.COMPLETED)
        await response.write_eof()

    async def _pace(self, region: str, size: int) -> None:
        await self._pacer.take(self._view.declaration, region, size)

    def abort(self, context: RequestContext) -> web.StreamResponse:
        """Reset the caller's connection, which marks the response as truncated."""
        assert context.response is not None
        protocol = context.request.protocol
        if isinstance(protocol, CallerConnection):
            protocol.abort()
        return context.response


def build_recorded(response: RecordedResponse, request_id: str) -> web.StreamResponse:
    """Build the response to a request whose operation has already ended."""
    headers = [(name, value) for name, value in response.headers]
    return WholeResponse(
        status=response.status,
        reason=REASON_PHRASES.get(response.status, ""),
        headers=[*headers, (REQUEST_ID, request_id)],
        body=response.body or b"",
    )
