"""Body of a caller's request: small bodies are buffered, large bodies streamed."""

import asyncio
import hashlib
from collections.abc import AsyncIterator

from aiohttp import web
from aiohttp.http import HttpVersion11
from returns.result import Failure, Result, Success

from toucanwood.verdicts import Verdict, refuse

# Maximum size of a body that is read before a slot is acquired, so that a slow caller
# does not occupy the slot, and that stays buffered for a retry.
MAX_BUFFERED_REQUEST_BYTES = 64 * 1024
# Maximum body size of an operation. The digest of the whole body must be known
# before the request is dispatched.
MAX_OPERATION_BODY_BYTES = 1024 * 1024
_ACCEPTED: Result[None, Verdict] = Success(None)
_CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class BodyError(Exception):
    """Raised if the caller's request body ends early or is malformed."""


class RequestBody:
    """Buffered start of a request body and the stream of the rest."""

    def __init__(self, request: web.BaseRequest) -> None:
        self._request = request
        self._stream = request.content
        self._length = request.headers.get("Content-Length")
        self._is_chunked = "Transfer-Encoding" in request.headers
        self.buffered = b""
        self.is_complete = not self._is_chunked and self._length in (None, "0")
        self.is_streaming = False

    @property
    def is_replayable(self) -> bool:
        """Return whether the body can still be sent in full."""
        return self.is_complete or not self.is_streaming

    @property
    def is_chunked(self) -> bool:
        """Return whether the body is sent to the target with chunked encoding."""
        return self._is_chunked and not self.is_complete

    def format_framing(self) -> str:
        """Return the framing header line for the target, or an empty string."""
        if not self._is_chunked and self._length is None:
            return ""
        if self.is_chunked:
            return "Transfer-Encoding: chunked"
        length = len(self.buffered) if self.is_complete else self._length
        return f"Content-Length: {length}"

    async def read(self, limit: int) -> None:
        """Buffer a body of at most `limit` bytes in full.

        A longer body is left to be streamed; its start may be buffered.
        """
        if self.is_complete:
            return
        if self._length is not None and int(self._length) > limit:
            return
        self._send_continue()
        chunks = []
        size = 0
        while size <= limit:
            chunk = await self._read_chunk()
            if not chunk:
                self.is_complete = True
                break
            chunks.append(chunk)
            size += len(chunk)
        self.buffered = b"".join(chunks)

    async def stream(self) -> AsyncIterator[bytes]:
        """Yield the whole body; can be called only once."""
        self.is_streaming = True
        self._send_continue()
        if self.buffered:
            yield self.buffered
            self.buffered = b""
        while chunk := await self._read_chunk():
            yield chunk

    def compute_digest(self) -> bytes:
        """Return the SHA-256 of the request line and the complete body."""
        line = f"{self._request.method} {self._request.path_qs}\n"
        digest = hashlib.sha256(line.encode("utf-8", "surrogateescape"))
        digest.update(self.buffered)
        return digest.digest()

    async def _read_chunk(self) -> bytes:
        try:
            return await self._stream.readany()
        except asyncio.CancelledError:
            raise
        except Exception as error:
            raise BodyError(f"the request body is incomplete: {error}") from error

    def _send_continue(self) -> None:
        """Send "100 Continue" if the caller waits for it before it sends the body."""
        expect = self._request.headers.get("Expect", "")
        if expect.lower() != "100-continue" or self._stream.is_eof():
            return
        transport = self._request.transport
        if self._request.version == HttpVersion11 and transport is not None:
            if not self._stream.total_bytes and not self.buffered:
                transport.write(_CONTINUE_RESPONSE)


def check_expect_header(request: web.BaseRequest) -> Result[None, Verdict]:
    """Refuse expectations other than 100-continue."""
    expect = request.headers.get("Expect")
    if expect is None or expect.lower() == "100-continue":
        return _ACCEPTED
    message = "the only supported expectation is 100-continue"
    return Failure(refuse("expectation_failed", message, status=417))
