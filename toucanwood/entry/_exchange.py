"""One attempt to send a request to a target, with its connection and its slot."""

import asyncio

from aiohttp.client_exceptions import ClientError
from aiohttp.http import RawResponseMessage
from aiohttp.streams import StreamReader

from toucanwood.entry._decisions import Attempt
from toucanwood.entry._interfaces import (
    Dispatcher,
    Outcome,
    OutcomeKind,
    SlotLease,
)
from toucanwood.entry._request_body import BodyError, RequestBody
from toucanwood.entry._responses import REQUEST_ID_HEADER
from toucanwood.upstream import (
    Progress,
    TargetClient,
    TargetConnection,
    TargetError,
)

# Maximum size of a response body that is received in full before the first byte is sent
# to the caller, so that a truncated body is reported as a failure.
MAX_BUFFERED_RESPONSE_BYTES = 64 * 1024
# Maximum length in characters; limits the memory that decision records use.
MAX_RECORDED_ERROR_LENGTH = 200


class Exchange:
    """One request to a target and its response.

    `finish` releases the slot and the connection.
    """

    def __init__(
        self,
        client: TargetClient,
        dispatcher: Dispatcher,
        lease: SlotLease,
        attempt: Attempt,
    ) -> None:
        self.progress = Progress()
        self.attempt = attempt
        self.response_head: RawResponseMessage
        self.response_stream: StreamReader
        self.buffered_body: bytes | None = None
        self._client = client
        self._dispatcher = dispatcher
        self._lease = lease
        self._connection: TargetConnection | None = None
        self._sender: asyncio.Task[None] | None = None
        self._request_id = ""
        self._may_reuse_connection = False
        self._is_finished = False
        lease.on_lost = self._on_lease_lost

    async def open(self, *, reuse: bool, request_id: str) -> None:
        """Open or reuse a connection to the target for the request with this id.

        With `reuse`, an idle connection may be taken from the pool. The connection may
        return to the pool if the response repeats the id.
        """
        self._may_reuse_connection = reuse
        self._request_id = request_id
        self._connection = await self._client.open(
            self._lease.address,
            reuse=reuse,
            progress=self.progress,
            request_id=request_id,
        )
        if asyncio.get_running_loop().time() >= self._lease.start_by:
            raise TargetError("the slot lease expired before the request started")

    async def send(self, method: str, head: bytes, body: RequestBody) -> None:
        """Write the request; an incomplete body is streamed in the background."""
        connection = self._connection
        assert connection is not None
        connection.expect_response(method)
        if body.is_complete:
            connection.write(
                head + body.buffered if body.buffered else head, self.progress
            )
            return
        connection.write(head, self.progress)
        send_body = connection.write_body(body.stream(), is_chunked=body.is_chunked)
        self._sender = asyncio.get_running_loop().create_task(send_body)

    async def receive(self) -> None:
        """Wait for the status line and the headers of the response."""
        connection = self._connection
        assert connection is not None
        if self._sender is None:
            self.response_head, self.response_stream = await connection.receive()
        else:
            await self._receive_while_sending(connection, self._sender)
        self._check_response_id()
        self.attempt.status = self.response_head.code

    def _check_response_id(self) -> None:
        """Refuse a response to another request, which a target may send late or twice.

        On a new connection, there is no earlier request that it could be for.
        """
        response_id = self.response_head.headers.get(REQUEST_ID_HEADER)
        if response_id == self._request_id:
            return
        if self.progress.reused:
            raise TargetError("the target sent the response to another request")
        self._may_reuse_connection = False

    async def _receive_while_sending(
        self, connection: TargetConnection, sender: asyncio.Task[None]
    ) -> None:
        receiver = asyncio.get_running_loop().create_task(connection.receive())
        try:
            await asyncio.wait({receiver, sender}, return_when="FIRST_COMPLETED")
            if sender.done() and isinstance(sender.exception(), BodyError):
                raise sender.exception() or BodyError("the request body failed")
            # A target may send its response and then stop reading the request body.
            self.response_head, self.response_stream = await receiver
        finally:
            receiver.cancel()
            await asyncio.gather(receiver, return_exceptions=True)

    def declares_small_body(self) -> bool:
        """Return whether Content-Length declares a body that is buffered in full."""
        length = self.response_head.headers.get("Content-Length", "")
        return length.isdigit() and int(length) <= MAX_BUFFERED_RESPONSE_BYTES

    async def buffer_body(self) -> bool:
        """Receive the body until its end or until the buffer limit is exceeded.

        Return whether the body is complete. The limit is
        `MAX_BUFFERED_RESPONSE_BYTES`.
        """
        chunks: list[bytes] = []
        size = 0
        while size <= MAX_BUFFERED_RESPONSE_BYTES:
            chunk = await self.read_chunk()
            if not chunk:
                self.buffered_body = b"".join(chunks)
                return True
            chunks.append(chunk)
            size += len(chunk)
        self.buffered_body = b"".join(chunks)
        return False

    async def read_chunk(self) -> bytes:
        """Return the next bytes of the response body, or b"" at its end."""
        try:
            return await self.response_stream.readany()
        except (ClientError, OSError, RuntimeError) as error:
            raise TargetError(f"the response is truncated: {error}") from error

    def abort_unresponsive(self) -> None:
        """Abort the unresponsive connection; close idle connections to the target."""
        if self._connection is not None:
            self._connection.abort()
        self.close_idle_connections()

    def _on_lease_lost(self) -> None:
        """Abort the connection: the slot may now be given to another request."""
        if self._connection is not None:
            self._connection.abort()

    def close_idle_connections(self) -> None:
        """Close the idle connections to the target of this exchange."""
        self._client.close_idle_connections(self._lease.address)

    def finish(self, kind: OutcomeKind, error: str = "") -> None:
        """Release the connection and the slot; further calls have no effect."""
        if self._is_finished:
            return
        self._is_finished = True
        self._lease.on_lost = None
        self._release_connection(kind)
        elapsed = asyncio.get_running_loop().time() - self.attempt.started
        attempt = self.attempt
        attempt.elapsed = elapsed
        attempt.outcome = kind.value
        attempt.error = error[:MAX_RECORDED_ERROR_LENGTH]
        attempt.connected = self.progress.connected
        attempt.written = self.progress.written
        attempt.reused = self.progress.reused
        outcome = Outcome(kind, elapsed, attempt.status)
        self._dispatcher.release(self._lease, outcome)

    def _release_connection(self, kind: OutcomeKind) -> None:
        sender = self._sender
        is_sent = sender is None or (
            sender.done() and not sender.cancelled() and sender.exception() is None
        )
        if sender is not None and not sender.done():
            sender.cancel()
        if self._connection is None:
            return
        reusable = (
            self._may_reuse_connection
            and is_sent
            and kind is OutcomeKind.COMPLETED
            and self._connection.is_reusable(self.response_head)
        )
        self._client.release(self._connection, reusable=reusable)
