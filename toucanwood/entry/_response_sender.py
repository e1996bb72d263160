"""Sending of target responses and recorded responses to callers."""

from aiohttp import web
from aiohttp.http import RawResponseMessage
from aiohttp.web_response import REASON_PHRASES

from toucanwood.entry._buffered_response import BufferedResponse
from toucanwood.entry._caller_connection import CallerConnection
from toucanwood.entry._exchange import Exchange
from toucanwood.entry._forwarded_headers import (
    HOP_BY_HOP_HEADERS,
    filter_headers,
    filter_response_headers,
)
from toucanwood.entry._interfaces import CatalogView, OutcomeKind, RecordedResponse
from toucanwood.entry._pacing import UNPACED_BYTES, LinkPacer
from toucanwood.entry._request_context import RequestContext
from toucanwood.entry._responses import REQUEST_ID_HEADER
from toucanwood.upstream import TargetError

_EXCLUDED_HEADERS = HOP_BY_HOP_HEADERS | {
    "content-length",
    REQUEST_ID_HEADER.lower(),
}


class ResponseSender:
    """Send the responses of targets to callers, with back-pressure."""

    def __init__(self, *, view: CatalogView, link_pacer: LinkPacer) -> None:
        self._view = view
        self._link_pacer = link_pacer

    async def send(
        self, context: RequestContext, exchange: Exchange, *, is_complete: bool = True
    ) -> web.StreamResponse:
        """Send the response of an exchange, starting with its buffered bytes.

        `is_complete` states whether the buffered bytes are the whole body.
        """
        if exchange.buffered_body is not None and is_complete:
            exchange.finish(OutcomeKind.COMPLETED)
            return self._build_buffered_response(
                context, exchange.response_head, exchange.buffered_body
            )
        response = self._build_streamed_response(context, exchange.response_head)
        context.response = response
        try:
            await response.prepare(context.request)
            await self._stream(context, exchange, response)
        except TargetError as error:
            exchange.finish(OutcomeKind.FAILED, str(error))
            context.decision.code = "response_truncated"
            return self.abort(context)
        return response

    def _build_buffered_response(
        self, context: RequestContext, response_head: RawResponseMessage, body: bytes
    ) -> web.StreamResponse:
        headers = list(filter_headers(response_head.headers, _EXCLUDED_HEADERS))
        headers.append((REQUEST_ID_HEADER, context.decision.request_id))
        return BufferedResponse(
            status=response_head.code,
            reason=response_head.reason,
            headers=headers,
            body=body,
            declared_length=response_head.headers.get("Content-Length"),
        )

    def _build_streamed_response(
        self, context: RequestContext, response_head: RawResponseMessage
    ) -> web.StreamResponse:
        headers = filter_response_headers(response_head.headers)
        headers[REQUEST_ID_HEADER] = context.decision.request_id
        return web.StreamResponse(
            status=response_head.code, reason=response_head.reason, headers=headers
        )

    async def _stream(
        self,
        context: RequestContext,
        exchange: Exchange,
        response: web.StreamResponse,
    ) -> None:
        sent = 0
        chunk = exchange.buffered_body or await exchange.read_chunk()
        while chunk:
            sent += len(chunk)
            paced = min(len(chunk), sent - UNPACED_BYTES)
            if paced > 0:
                await self._pace(exchange.attempt.region, paced)
            await response.write(chunk)
            chunk = await exchange.read_chunk()
        exchange.finish(OutcomeKind.COMPLETED)
        await response.write_eof()

    async def _pace(self, region: str, size: int) -> None:
        await self._link_pacer.acquire(self._view.declaration, region, size)

    def abort(self, context: RequestContext) -> web.StreamResponse:
        """Reset the caller's connection to mark the response as truncated."""
        assert context.response is not None
        protocol = context.request.protocol
        if isinstance(protocol, CallerConnection):
            protocol.abort()
        return context.response


def build_recorded_response(
    response: RecordedResponse, request_id: str
) -> web.StreamResponse:
    """Build the response to a request whose operation has already run."""
    headers = [(name, value) for name, value in response.headers]
    return BufferedResponse(
        status=response.status,
        reason=REASON_PHRASES.get(response.status, ""),
        headers=[*headers, (REQUEST_ID_HEADER, request_id)],
        body=response.body or b"",
    )
