"""One attempt to send a request to a target and receive the response."""

import asyncio
import math
from collections.abc import Callable

from aiohttp.client_exceptions import ClientError
from aiohttp.http import RawResponseMessage
from aiohttp.streams import StreamReader
from multidict import CIMultiDict, CIMultiDictProxy

from toucanwood.gateway._headers import HeaderNames
from toucanwood.relay import RelaySelector
from toucanwood.upstream import Progress, TargetClient, TargetConnection, TargetError

# Number of responses to other requests that are skipped on one connection. A response
# with the id of another request is late or a duplicate; the expected response may
# follow.
MAX_FOREIGN_RESPONSES = 3
# Maximum bytes of the body of a skipped response. A body without end would be read to
# the deadline of the request.
MAX_FOREIGN_BODY_BYTES = 1024 * 1024
# Bytes of a response that are buffered even if memory is scarce or the link is slow.
# Aborting a response that is already being streamed when its route's timeout ends would
# also lose the responses that follow on the caller's connection.
MIN_BUFFER_BYTES = 16 * 1024
# Longest body that is joined with its head for one write; a join of a longer one would
# take as much memory again.
MAX_JOINED_BYTES = 64 * 1024
# Largest part of a body that is taken from the stream reader at a time. The rest stays
# there, so that the reader holds back the target while the caller is slow.
READ_BYTES = 64 * 1024
CONNECT_TIMEOUT_S = 0.4
# Bytes that may be queued on a slow link ahead of the reply to a connection attempt:
# what two targets send before the entry reads.
MAX_QUEUED_BYTES = 2 * 80 * 1024
_EMPTY_HEADERS: CIMultiDictProxy[str] = CIMultiDictProxy(CIMultiDict())


def compute_connect_timeout(link_bytes_per_s: float) -> float:
    """Return how many seconds a target may take to accept a connection."""
    return CONNECT_TIMEOUT_S + MAX_QUEUED_BYTES / link_bytes_per_s


class ConnectTimeout(TargetError):
    """Raised if a target does not accept a connection in time."""


class Exchange:
    """One request to a target and its response.

    `buffered_body` is the beginning of the body; it is the whole body if
    `is_fully_buffered` is set.
    """

    def __init__(
        self,
        client: TargetClient,
        header_names: HeaderNames,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> None:
        self._connect_timeout_s = connect_timeout_s
        self.progress = Progress()
        self.response_stream: StreamReader
        self._response_head: RawResponseMessage | None = None
        self.buffered_body = b""
        self.is_fully_buffered = False
        self._client = client
        self._header_names = header_names
        self._connection: TargetConnection | None = None
        self._may_reuse_connection = False
        self._is_closed = False
        self._hold: Callable[[int], bool] = lambda size: True
        self._may_hold_more = True

    async def open(
        self,
        address: str,
        *,
        reuse: bool,
        request_id: str = "",
        relays: RelaySelector | None = None,
        due_in_s: float = 0.0,
    ) -> None:
        """Connect to a target for the request with this id.

        The connection may serve further requests only with `reuse` and without
        `relays`. With `relays`, the response comes through a relay and is due in
        `due_in_s` seconds.
        """
        self._may_reuse_connection = reuse and relays is None
        opening = self._client.open(
            address,
            reuse=reuse,
            progress=self.progress,
            request_id=request_id,
            relays=relays,
            due_in_s=due_in_s,
        )
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                self._connection = await opening
        except TimeoutError as error:
            message = f"no connection to {address} within {self._connect_timeout_s:g} s"
            raise ConnectTimeout(message) from error

    async def send(self, method: str, head: bytes, body: bytes) -> None:
        """Write the request to the connection."""
        connection = self._connection
        assert connection is not None
        connection.expect_response(method)
        if len(body) > MAX_JOINED_BYTES:
            connection.write(head, self.progress)
            connection.write(body, self.progress)
        else:
            connection.write(head + body, self.progress)

    async def receive(
        self,
        request_id: str,
        buffer_bytes: int,
        hold: Callable[[int], bool] = lambda size: True,
    ) -> None:
        """Receive the response with this id: its head and the beginning of its body.

        The body is read until more than `buffer_bytes` bytes are buffered, or to its
        end. `hold` is told the size of each part and returns whether more may be
        buffered. Responses with other ids are skipped.
        """
        connection = self._connection
        assert connection is not None
        self._hold = hold
        for _ in range(MAX_FOREIGN_RESPONSES + 1):
            self._response_head, self.response_stream = await connection.receive()
            if (
                self._header_names.read_request_id(self.response_head.headers)
                == request_id
            ):
                await self.buffer_more(buffer_bytes)
                return
            self._may_reuse_connection = False
            await self._discard_body()
        raise TargetError("the target sent responses to other requests only")

    async def receive_unmatched(self, buffer_bytes: int) -> RawResponseMessage:
        """Receive the next response, whatever its id; used by health probes."""
        connection = self._connection
        assert connection is not None
        self._response_head, self.response_stream = await connection.receive()
        await self.buffer_more(buffer_bytes)
        return self.response_head

    async def buffer_more(self, buffer_bytes: float = math.inf) -> None:
        """Buffer the body to its end, or until more than `buffer_bytes` are buffered.

        It ends sooner if no more bytes may be held. What has been buffered is kept when
        the call is cancelled.
        """
        chunks = [self.buffered_body]
        size = len(self.buffered_body)
        try:
            while size <= buffer_bytes and (
                self._may_hold_more or size <= MIN_BUFFER_BYTES
            ):
                chunk = await self.read_chunk()
                if not chunk:
                    self.is_fully_buffered = True
                    break
                chunks.append(chunk)
                size += len(chunk)
                self._may_hold_more = self._hold(len(chunk))
        finally:
            self.buffered_body = b"".join(chunks)

    async def read_chunk(self) -> bytes:
        """Return the next bytes of the response body, or b"" at its end."""
        try:
            return await self.response_stream.read(READ_BYTES)
        except (ClientError, OSError, RuntimeError) as error:
            assert self._connection is not None
            reason = f"the response is truncated: {error}"
            raise self._connection.build_error(reason) from error

    @property
    def response_head(self) -> RawResponseMessage:
        """Return the head of the response; raise RuntimeError if there is none."""
        if self._response_head is None:
            raise RuntimeError("no response has been received")
        return self._response_head

    def get_headers(self) -> CIMultiDictProxy[str]:
        """Return the headers of the response, empty if there is no response."""
        return (
            self._response_head.headers
            if self._response_head is not None
            else _EMPTY_HEADERS
        )

    def get_content_length(self) -> str | None:
        """Return the Content-Length header of the response, or None."""
        return self.response_head.headers.get("Content-Length")

    def close(self, *, is_complete: bool) -> None:
        """Keep the connection for reuse, or close it.

        Closing the connection cancels a request that still runs at the target.
        """
        if self._is_closed:
            return
        self._is_closed = True
        connection = self._connection
        if connection is None:
            return
        reusable = (
            is_complete
            and self._may_reuse_connection
            and connection.is_reusable(self.response_head)
        )
        self._client.release(connection, reusable=reusable)

    async def _discard_body(self) -> None:
        size = 0
        while chunk := await self.read_chunk():
            size += len(chunk)
            if size > MAX_FOREIGN_BODY_BYTES:
                raise TargetError(
                    f"a response to another request has more than "
                    f"{MAX_FOREIGN_BODY_BYTES} bytes"
                )
