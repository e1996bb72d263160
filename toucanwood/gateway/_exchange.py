"""One attempt at a target: the connection, the response, and what they prove."""

import asyncio

from aiohttp.client_exceptions import ClientError
from aiohttp.http import RawResponseMessage
from aiohttp.streams import StreamReader
from multidict import CIMultiDict, CIMultiDictProxy

from toucanwood.gateway._headers import HeaderNames
from toucanwood.relay import RelaySelector
from toucanwood.upstream import Progress, TargetClient, TargetConnection, TargetError

# A response with another request's id is a late or second one; the own response may
# follow it.
MAX_FOREIGN_RESPONSES = 3
CONNECT_TIMEOUT_S = 0.4
# On a slow link the answer to a connection may wait behind this many bytes: what two
# targets send before the entry reads.
MAX_BYTES_AHEAD = 2 * 80 * 1024
_NO_HEADERS: CIMultiDictProxy[str] = CIMultiDictProxy(CIMultiDict())


def choose_connect_timeout(link_bytes_per_s: float) -> float:
    """Return for how many seconds a target may take to accept a connection."""
    return CONNECT_TIMEOUT_S + MAX_BYTES_AHEAD / link_bytes_per_s


class ConnectTimeout(TargetError):
    """Report that a target did not answer a connection in time."""


class Exchange:
    """Send one request and receive its response."""

    def __init__(
        self,
        client: TargetClient,
        names: HeaderNames,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> None:
        self._connect_timeout_s = connect_timeout_s
        self.progress = Progress()
        self.content: StreamReader
        self._message: RawResponseMessage | None = None
        self.held = b""
        self.is_whole = False
        self._client = client
        self._names = names
        self._connection: TargetConnection | None = None
        self._may_keep = False
        self._is_closed = False

    async def open(
        self,
        address: str,
        *,
        reuse: bool,
        relays: RelaySelector | None = None,
        due_in_s: float = 0.0,
    ) -> None:
        """Connect to a target; only with `reuse` the connection is kept afterwards.

        With `relays`, the response comes through a relay and is due in `due_in_s` s.
        """
        self._may_keep = reuse and relays is None
        opening = self._client.open(
            address,
            reuse=reuse,
            progress=self.progress,
            relays=relays,
            due_in_s=due_in_s,
        )
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                self._connection = await opening
        except TimeoutError as error:
            message = f"no connection to {address} in {self._connect_timeout_s:g} s"
            raise ConnectTimeout(message) from error

    async def send(self, method: str, head: bytes, body: bytes) -> None:
        """Write the whole request."""
        connection = self._connection
        assert connection is not None
        connection.expect_response(method)
        connection.write(head + body if body else head, self.progress)

    async def receive(self, request_id: str, hold_bytes: int) -> None:
        """Receive the head and up to `hold_bytes` of the body of the own response."""
        connection = self._connection
        assert connection is not None
        for _ in range(MAX_FOREIGN_RESPONSES + 1):
            self._message, self.content = await connection.receive()
            if self._names.read_request_id(self.message.headers) == request_id:
                await self._hold(hold_bytes)
                return
            self._may_keep = False
            await self._skip()
        raise TargetError("the target sent only responses to other requests")

    async def receive_any(self, hold_bytes: int) -> RawResponseMessage:
        """Receive a response without regard to its id, as for a health probe."""
        connection = self._connection
        assert connection is not None
        self._message, self.content = await connection.receive()
        await self._hold(hold_bytes)
        return self.message

    async def read_chunk(self) -> bytes:
        """Return the next bytes of the body, or none at its end."""
        try:
            chunk = await self.content.readany()
        except (ClientError, OSError, RuntimeError) as error:
            raise TargetError(f"the response is truncated: {error}") from error
        if not chunk and self._is_cut():
            raise TargetError("the response ended with a reset")
        return chunk

    @property
    def message(self) -> RawResponseMessage:
        """Return the head of the response that was received."""
        if self._message is None:
            raise RuntimeError("no response was received")
        return self._message

    def get_headers(self) -> CIMultiDictProxy[str]:
        """Return the headers of the response, none if there is no response."""
        return self._message.headers if self._message is not None else _NO_HEADERS

    def get_length(self) -> str | None:
        """Return the declared length of the body."""
        return self.message.headers.get("Content-Length")

    def close(self, *, is_complete: bool) -> None:
        """Keep or close the connection; closing one cancels a running request."""
        if self._is_closed:
            return
        self._is_closed = True
        connection = self._connection
        if connection is None:
            return
        reusable = (
            is_complete and self._may_keep and connection.is_reusable(self.message)
        )
        self._client.release(connection, reusable=reusable)

    async def _hold(self, hold_bytes: int) -> None:
        parts: list[bytes] = []
        size = 0
        while size <= hold_bytes:
            chunk = await self.read_chunk()
            if not chunk:
                self.is_whole = True
                break
            parts.append(chunk)
            size += len(chunk)
        self.held = b"".join(parts)

    async def _skip(self) -> None:
        while await self.read_chunk():
            pass

    def _is_cut(self) -> bool:
        """Return whether a body without a length ended with a reset."""
        headers = self.message.headers
        if "Content-Length" in headers or self.message.chunked:
            return False
        connection = self._connection
        return connection is not None and connection.is_reset
