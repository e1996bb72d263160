"""Complete response that is written to the caller at once.

aiohttp's `Response` copies the headers several times and adds its own; this class
writes the given headers unchanged, which saves a tenth of the entry's CPU time.
"""

from collections.abc import Iterable

from aiohttp import web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http import HttpVersion10

_NO_LENGTH_STATUSES = frozenset({204, 304})


class BufferedResponse(web.StreamResponse):
    """Response with a status, end-to-end headers and a body.

    `headers` must not contain Content-Length; it is added from the body.
    `declared_length` is the Content-Length of a response without a body, such as the
    response to HEAD.
    """

    def __init__(
        self,
        *,
        status: int,
        reason: str,
        headers: Iterable[tuple[str, str]],
        body: bytes,
        declared_length: str | None = None,
    ) -> None:
        super().__init__(status=status, reason=reason)
        self._header_lines = [f"{name}: {value}" for name, value in headers]
        self._buffered_body = body
        self._declared_length = declared_length

    async def prepare(self, request: web.BaseRequest) -> AbstractStreamWriter | None:
        """Determine whether the connection stays open after this response."""
        self._req = request
        if self._keep_alive is None:
            self._keep_alive = request.keep_alive
        return None

    async def write_eof(self, data: bytes = b"") -> None:
        """Write the head and the body at once."""
        request = self._req
        assert request is not None
        transport = request.transport
        if transport is None or transport.is_closing():
            raise ConnectionResetError("the caller has closed the connection")
        text = "\r\n".join(self._build_head_lines(request)) + "\r\n\r\n"
        transport.write(text.encode("utf-8", "surrogateescape") + self._buffered_body)
        await request.writer.drain()
        self._eof_sent = True

    def _build_head_lines(self, request: web.BaseRequest) -> list[str]:
        is_http10 = request.version == HttpVersion10
        version = "HTTP/1.0" if is_http10 else "HTTP/1.1"
        lines = [f"{version} {self.status} {self.reason}", *self._header_lines]
        if request.method == "HEAD" or self.status in _NO_LENGTH_STATUSES:
            if self._declared_length is not None and self.status != 204:
                lines.append(f"Content-Length: {self._declared_length}")
        else:
            lines.append(f"Content-Length: {len(self._buffered_body)}")
        if not self._keep_alive:
            lines.append("Connection: close")
        elif is_http10:
            lines.append("Connection: keep-alive")
        return lines
