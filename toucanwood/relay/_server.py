"""The server side: one connection to a target per connection from an entry."""

import asyncio
import contextlib
from collections.abc import Callable

import structlog

from toucanwood.relay._frames import (
    HEADER_BYTES,
    ConnectionEnd,
    encode_data,
    encode_end,
)
from toucanwood.relay._pacing import PIECE_BYTES, StreamPacer
from toucanwood.relay._protocol import (
    LENGTH_BYTES,
    MAX_HEAD_BYTES,
    HeadError,
    RelayHead,
    Reply,
)
from toucanwood.utils import TaskGroup, limit_read_size, reset_connection

log = structlog.get_logger()

HEAD_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 0.4
# Maximum duration of a relayed connection, after which it is ended. No route has a
# timeout this long.
MAX_DURATION_S = 60.0
# Default time that running responses have to complete when the process stops.
STOP_TIMEOUT_S = 5.0
STOP_POLL_INTERVAL_S = 0.05
# Buffer limit of each stream reader. A response is buffered ahead of its pace, so that
# its target is free earlier. A reader buffers twice this size before it stops reading.
READ_AHEAD_BYTES = 512 * 1024
# Maximum number of connections. With more, the buffers could exceed 100 MB, a third of
# the memory of a controller.
MAX_CONNECTIONS = 100


class RelayServer:
    """Connect entries to known targets and pace the responses to each entry."""

    def __init__(
        self,
        is_known_target: Callable[[str], bool],
        *,
        stop_timeout_s: float = STOP_TIMEOUT_S,
    ) -> None:
        self._is_known_target = is_known_target
        self._stop_timeout_s = stop_timeout_s
        self._tasks = TaskGroup()
        self._server: asyncio.Server | None = None
        # Pacers by entry address; all responses to one entry share its link.
        self._pacers: dict[str, StreamPacer] = {}
        self.connection_count = 0

    async def start(self, address: str) -> None:
        """Listen on `ip:port`; raise OSError if the address cannot be bound."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(
            self._accept, host, int(port), limit=READ_AHEAD_BYTES
        )

    @property
    def address(self) -> str:
        """Return the bound address."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def stop(self) -> None:
        """Stop listening, wait a while for running responses, and end the others."""
        if self._server is not None:
            self._server.close()
        deadline = asyncio.get_running_loop().time() + self._stop_timeout_s
        while self.connection_count and asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(STOP_POLL_INTERVAL_S)
        await self._tasks.stop()

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.connection_count >= MAX_CONNECTIONS:
            reset_connection(writer.transport)
            return
        self._tasks.start(self._serve(reader, writer), name="relay connection")

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connection_count += 1
        try:
            head = await self._read_head(reader)
            target = await self._connect(head, writer)
            if target is not None:
                pacer = self._get_pacer(writer, head)
                due_at = asyncio.get_running_loop().time() + head.due_in_s
                await _forward_until_closed(reader, writer, *target, pacer, due_at)
        except HeadError as error:
            log.info("relay_refused", reason=str(error))
            writer.write(Reply.REFUSED.value)
        except (OSError, EOFError, TimeoutError) as error:
            log.debug("relay_broken", error=repr(error))
        finally:
            self.connection_count -= 1
            writer.close()

    async def _read_head(self, reader: asyncio.StreamReader) -> RelayHead:
        async with asyncio.timeout(HEAD_TIMEOUT_S):
            size = int.from_bytes(await reader.readexactly(LENGTH_BYTES), "big")
            if size > MAX_HEAD_BYTES:
                raise HeadError(f"a head of {size} bytes is longer than allowed")
            return RelayHead.decode(await reader.readexactly(size))

    async def _connect(
        self, head: RelayHead, writer: asyncio.StreamWriter
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
        if not self._is_known_target(head.address):
            raise HeadError(f"this relay does not know target {head.address}")
        host, _, port = head.address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                target = await asyncio.open_connection(
                    host, int(port), limit=READ_AHEAD_BYTES
                )
                limit_read_size(target[1].transport)
        except (OSError, TimeoutError):
            writer.write(Reply.UNREACHABLE.value)
            return None
        writer.write(Reply.CONNECTED.value)
        return target

    def _get_pacer(self, writer: asyncio.StreamWriter, head: RelayHead) -> StreamPacer:
        entry = writer.get_extra_info("peername")[0]
        pacer = self._pacers.get(entry)
        if pacer is None:
            pacer = StreamPacer.from_link(head.link_bytes_per_s)
            self._pacers[entry] = pacer
        return pacer


async def _forward_until_closed(
    entry_reader: asyncio.StreamReader,
    entry_writer: asyncio.StreamWriter,
    target_reader: asyncio.StreamReader,
    target_writer: asyncio.StreamWriter,
    pacer: StreamPacer,
    due_at: float,
) -> None:
    """Copy bytes in both directions until either side closes or fails.

    The entry gets a frame that tells how the connection to the target ended.
    """
    # Data that waits in the write buffer of the transport would bypass the pacer.
    entry_writer.transport.set_write_buffer_limits(high=PIECE_BYTES + HEADER_BYTES)
    to_target = asyncio.ensure_future(_copy_request(entry_reader, target_writer))
    to_entry = asyncio.ensure_future(
        _copy_paced(target_reader, entry_writer, pacer, due_at)
    )
    end = ConnectionEnd.RELAY_STOPPED
    try:
        done, _ = await asyncio.wait(
            {to_target, to_entry},
            timeout=MAX_DURATION_S,
            return_when=asyncio.FIRST_COMPLETED,
        )
        if to_entry in done:
            end = to_entry.result()
        elif not done:
            end = ConnectionEnd.EXPIRED
    finally:
        is_entry_lost = to_target.done() or entry_writer.is_closing()
        for task in (to_target, to_entry):
            task.cancel()
        await asyncio.gather(to_target, to_entry, return_exceptions=True)
        # Request bytes that a link holds back must not reach the target later.
        reset_connection(target_writer.transport)
        if is_entry_lost:
            reset_connection(entry_writer.transport)
        else:
            entry_writer.write(encode_end(end))


async def _copy_request(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Copy the entry's bytes until it disconnects.

    If the target ends first, its response or the end of its connection says so.
    """
    while chunk := await reader.read(READ_AHEAD_BYTES):
        with contextlib.suppress(OSError):
            writer.write(chunk)
            await writer.drain()


async def _copy_paced(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    pacer: StreamPacer,
    due_at: float,
) -> ConnectionEnd:
    """Send the target's bytes in frames; return how its connection ended."""
    while True:
        try:
            piece = await reader.read(PIECE_BYTES)
        except OSError as error:
            log.debug("relay_broken", error=repr(error))
            return ConnectionEnd.RESET
        if not piece:
            return ConnectionEnd.CLOSED
        await pacer.acquire(len(piece), due_at)
        writer.write(encode_data(piece))
        await writer.drain()
