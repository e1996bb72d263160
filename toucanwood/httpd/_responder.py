"""The response to one request of a connection."""

import asyncio
from collections.abc import Iterable
from typing import TYPE_CHECKING

from toucanwood.httpd._request import CallerRequest
from toucanwood.httpd._response import Response, encode_head, encode_response

if TYPE_CHECKING:
    from toucanwood.httpd._connection import Connection

# Bytes of a request body that are read and dropped after an early response, so that the
# next request of the connection can be read. With more, the connection is closed.
MAX_DROPPED_BYTES = 1024 * 1024


class Responder:
    """Write the response to one request after those to earlier pipelined requests."""

    def __init__(
        self,
        connection: "Connection",
        request: CallerRequest,
        *,
        closes_connection: bool,
    ) -> None:
        self.request = request
        self.closes_connection = closes_connection
        self.is_finished = False
        self.is_streaming = False
        # Whether the response will be streamed, which may wait for earlier responses.
        self.will_stream = False
        self.status = 0
        self._connection = connection
        self._may_write: asyncio.Future[None] | None = None
        self._is_chunked = False
        self.task: asyncio.Task[None] | None = None

    async def send(self, response: Response) -> None:
        """Write a complete response once all earlier responses are written."""
        self.request.hold_memory(len(response.body))
        await self._wait_for_earlier_responses()
        self.status = response.status
        is_head = self.request.method == "HEAD"
        closes_connection = self._should_close()
        for part in encode_response(
            response, is_head=is_head, closes_connection=closes_connection
        ):
            self._connection.write(part)
        self._complete()

    def has_requests_behind(self) -> bool:
        """Return whether later requests of the connection wait for this response."""
        return self._connection.has_requests_behind(self)

    async def wait_for_streams_ahead(self) -> None:
        """Wait until no earlier response of the connection is being streamed.

        If one breaks off, the connection is reset. A request behind it that has run
        would get no response.
        """
        while self._connection.has_stream_ahead(self):
            await self._connection.wait_for_next_response()

    async def start(
        self,
        status: int,
        reason: str,
        headers: Iterable[tuple[str, str]],
        length: str | None,
    ) -> None:
        """Write the head of a response whose body is streamed."""
        self.will_stream = True
        await self._wait_for_earlier_responses()
        self.status = status
        self.is_streaming = True
        self._is_chunked = length is None
        framing = "Transfer-Encoding: chunked"
        if length is not None:
            framing = f"Content-Length: {length}"
        closes_connection = self._should_close()
        head = encode_head(
            status, reason, headers, framing, closes_connection=closes_connection
        )
        self._connection.write(head)

    async def write(self, chunk: bytes) -> None:
        """Write a chunk of the body and wait until the send buffer has room."""
        if self._is_chunked:
            chunk = f"{len(chunk):x}\r\n".encode() + chunk + b"\r\n"
        self._connection.write(chunk)
        await self._connection.drain()

    def finish(self) -> None:
        """End a streamed response."""
        if self._is_chunked:
            self._connection.write(b"0\r\n\r\n")
        self._complete()

    def abort(self) -> None:
        """Reset the connection, so that a streamed response is seen as incomplete."""
        self.is_finished = True
        self._connection.abort()

    def allow_writing(self) -> None:
        """Allow this response to be written."""
        if self._may_write is not None and not self._may_write.done():
            self._may_write.set_result(None)

    async def _wait_for_earlier_responses(self) -> None:
        if self._connection.is_first(self):
            return
        self._may_write = asyncio.get_running_loop().create_future()
        await self._may_write

    def _should_close(self) -> bool:
        self.closes_connection = (
            self.closes_connection
            or self._connection.is_last_response(self)
            or self.request.count_unread_bytes() > MAX_DROPPED_BYTES
        )
        return self.closes_connection

    def _complete(self) -> None:
        self.is_finished = True
        self._connection.finish_response(self)
