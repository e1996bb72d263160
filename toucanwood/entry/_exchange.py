"""One attempt at a target: the connection, the slot and what is known of them."""

import asyncio

from aiohttp.client_exceptions import ClientError
from aiohttp.http import RawResponseMessage
from aiohttp.streams import StreamReader

from toucanwood.entry._body import BodyError, RequestBody
from toucanwood.entry._collaborators import (
    Dispatcher,
    Outcome,
    OutcomeKind,
    SlotLease,
)
from toucanwood.entry._decisions import Attempt
from toucanwood.upstream import (
    Progress,
    TargetClient,
    TargetConnection,
    TargetError,
)

# A response body up to this size is received in full before the caller gets the first
# byte, so that a truncated one becomes a clear failure.
MAX_HELD_BYTES = 64 * 1024
# Bounds the memory of the kept decisions.
MAX_KEPT_ERROR = 200


class Exchange:
    """Send one request on a slot; `finish` gives the slot and connection back."""

    def __init__(
        self,
        client: TargetClient,
        dispatcher: Dispatcher,
        lease: SlotLease,
        record: Attempt,
    ) -> None:
        self.progress = Progress()
        self.record = record
        self.message: RawResponseMessage
        self.content: StreamReader
        self.held: bytes | None = None
        self._client = client
        self._dispatcher = dispatcher
        self._lease = lease
        self._connection: TargetConnection | None = None
        self._sender: asyncio.Task[None] | None = None
        self._may_keep = False
        self._is_finished = False
        lease.on_lost = self._abort_lost

    async def open(self, *, reuse: bool) -> None:
        """Get a connection to the target; only with `reuse` it is kept afterwards."""
        self._may_keep = reuse
        self._connection = await self._client.open(
            self._lease.address, reuse=reuse, progress=self.progress
        )
        if asyncio.get_running_loop().time() >= self._lease.start_by:
            raise TargetError("the slot was granted too long ago")

    async def send(self, method: str, head: bytes, body: RequestBody) -> None:
        """Write the request; a body that is not complete is sent in the background."""
        connection = self._connection
        assert connection is not None
        connection.expect_response(method)
        if body.is_complete:
            connection.write(head + body.kept if body.kept else head, self.progress)
            return
        connection.write(head, self.progress)
        pump = connection.write_body(body.stream(), is_chunked=body.is_chunked)
        self._sender = asyncio.get_running_loop().create_task(pump)

    async def receive(self) -> None:
        """Wait for the head of the response."""
        connection = self._connection
        assert connection is not None
        if self._sender is None:
            self.message, self.content = await connection.receive()
        else:
            await self._receive_while_sending(connection, self._sender)
        self.record.status = self.message.code

    async def _receive_while_sending(
        self, connection: TargetConnection, sender: asyncio.Task[None]
    ) -> None:
        receiver = asyncio.get_running_loop().create_task(connection.receive())
        try:
            await asyncio.wait({receiver, sender}, return_when="FIRST_COMPLETED")
            if sender.done() and isinstance(sender.exception(), BodyError):
                raise sender.exception() or BodyError("the request body failed")
            # A target that stops reading may have sent its response before.
            self.message, self.content = await receiver
        finally:
            receiver.cancel()
            await asyncio.gather(receiver, return_exceptions=True)

    def declares_small_body(self) -> bool:
        """Return whether the response declares a body that is held in full."""
        length = self.message.headers.get("Content-Length", "")
        return length.isdigit() and int(length) <= MAX_HELD_BYTES

    async def hold(self) -> bool:
        """Receive up to `MAX_HELD_BYTES` of the body; return whether that is all."""
        parts: list[bytes] = []
        size = 0
        while size <= MAX_HELD_BYTES:
            chunk = await self.read_chunk()
            if not chunk:
                self.held = b"".join(parts)
                return True
            parts.append(chunk)
            size += len(chunk)
        self.held = b"".join(parts)
        return False

    async def read_chunk(self) -> bytes:
        """Return the next bytes of the response body, or none at its end."""
        try:
            return await self.content.readany()
        except (ClientError, OSError, RuntimeError) as error:
            raise TargetError(f"the response is truncated: {error}") from error

    def give_up(self) -> None:
        """Abort the connection, which went silent, and its idle siblings."""
        if self._connection is not None:
            self._connection.abort()
        self.forget_idle()

    def _abort_lost(self) -> None:
        """Cancel the request: its owner may give the slot to another one."""
        if self._connection is not None:
            self._connection.abort()

    def forget_idle(self) -> None:
        """Close the idle connections to this target."""
        self._client.close_idle_connections(self._lease.address)

    def finish(self, kind: OutcomeKind, error: str = "") -> None:
        """Give back the connection and the slot; only the first call counts."""
        if self._is_finished:
            return
        self._is_finished = True
        self._lease.on_lost = None
        self._release_connection(kind)
        elapsed = asyncio.get_running_loop().time() - self.record.started
        record = self.record
        record.elapsed = elapsed
        record.outcome = kind.value
        record.error = error[:MAX_KEPT_ERROR]
        record.connected = self.progress.connected
        record.written = self.progress.written
        record.reused = self.progress.reused
        outcome = Outcome(kind, elapsed, record.status)
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
            self._may_keep
            and is_sent
            and kind is OutcomeKind.COMPLETED
            and self._connection.is_reusable(self.message)
        )
        self._client.release(self._connection, reusable=reusable)
