"""The relay's end: one target connection for each connection of an entry."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable

import structlog

from toucanwood.relay._pacing import PIECE_BYTES, StreamPacer
from toucanwood.relay._protocol import (
    LENGTH_BYTES,
    MAX_HEAD_BYTES,
    HeadError,
    RelayHead,
    Reply,
)
from toucanwood.utils import TaskGroup

log = structlog.get_logger()

HEAD_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 0.4
# A response that takes longer is given up; no route lasts as long.
MAX_SECONDS = 60.0
# Running responses may end for this time when the process stops.
STOP_WAIT_S = 2.5
STOP_POLL_S = 0.05
# A response is taken in ahead of its pace, so that its target is free again; a reader
# takes twice this before it stops to read.
READ_AHEAD_BYTES = 512 * 1024
# With more connections than this, what is taken in could exceed 100 MB, a third of the
# memory of a controller.
MAX_CONNECTIONS = 100
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class RelayServer:
    """Connect entries to known targets, and write to each entry at its pace."""

    def __init__(self, is_known: Callable[[str], bool]) -> None:
        self._is_known = is_known
        self._tasks = TaskGroup()
        self._server: asyncio.Server | None = None
        # All responses for one entry share the pace of its link.
        self._pacers: dict[str, StreamPacer] = {}
        self.count = 0

    async def start(self, address: str) -> None:
        """Listen on `ip:port`; raise OSError when that is not possible."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(
            self._accept, host, int(port), limit=READ_AHEAD_BYTES
        )

    @property
    def address(self) -> str:
        """Return the address that is bound."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def stop(self) -> None:
        """Stop listening, let responses end for some time, and reset the rest."""
        if self._server is not None:
            self._server.close()
        deadline = asyncio.get_running_loop().time() + STOP_WAIT_S
        while self.count and asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(STOP_POLL_S)
        await self._tasks.stop()

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.count >= MAX_CONNECTIONS:
            writer.transport.abort()
            return
        self._tasks.start(self._serve(reader, writer), name="relay connection")

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.count += 1
        try:
            head = await self._read_head(reader)
            target = await self._connect(head, writer)
            if target is not None:
                pacer = self._find_pacer(writer, head)
                due_at = asyncio.get_running_loop().time() + head.due_in_s
                await _join(reader, writer, *target, pacer, due_at)
        except HeadError as error:
            log.info("relay_refused", reason=str(error))
            writer.write(Reply.REFUSED.value)
        except (OSError, EOFError, TimeoutError) as error:
            log.debug("relay_broken", error=repr(error))
        finally:
            self.count -= 1
            writer.close()

    async def _read_head(self, reader: asyncio.StreamReader) -> RelayHead:
        async with asyncio.timeout(HEAD_TIMEOUT_S):
            size = int.from_bytes(await reader.readexactly(LENGTH_BYTES), "big")
            if size > MAX_HEAD_BYTES:
                raise HeadError(f"a head of {size} bytes is too long")
            return RelayHead.decode(await reader.readexactly(size))

    async def _connect(
        self, head: RelayHead, writer: asyncio.StreamWriter
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
        if not self._is_known(head.address):
            raise HeadError(f"target {head.address} is not known here")
        host, _, port = head.address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                target = await asyncio.open_connection(
                    host, int(port), limit=READ_AHEAD_BYTES
                )
        except (OSError, TimeoutError):
            writer.write(Reply.UNREACHABLE.value)
            return None
        writer.write(Reply.CONNECTED.value)
        return target

    def _find_pacer(self, writer: asyncio.StreamWriter, head: RelayHead) -> StreamPacer:
        entry = writer.get_extra_info("peername")[0]
        pacer = self._pacers.get(entry)
        if pacer is None:
            pacer = StreamPacer.from_link(head.link_bytes_per_s)
            self._pacers[entry] = pacer
        return pacer


async def _join(
    entry_reader: asyncio.StreamReader,
    entry_writer: asyncio.StreamWriter,
    target_reader: asyncio.StreamReader,
    target_writer: asyncio.StreamWriter,
    pacer: StreamPacer,
    due_at: float,
) -> None:
    """Pass bytes on in both directions until an end closes or breaks."""
    # A piece that waits in the buffer of the socket would defeat the pace.
    entry_writer.transport.set_write_buffer_limits(high=PIECE_BYTES)
    up = asyncio.ensure_future(_copy(entry_reader, target_writer))
    down = asyncio.ensure_future(
        _copy_paced(target_reader, entry_writer, pacer, due_at)
    )
    try:
        # The target ends its answer, or the entry leaves: either ends both.
        await asyncio.wait(
            {up, down}, timeout=MAX_SECONDS, return_when=asyncio.FIRST_COMPLETED
        )
    finally:
        if not down.done() or down.exception() is not None:
            # An answer that was cut must not look complete to the entry.
            _reset(entry_writer)
        for task in (up, down):
            task.cancel()
        await asyncio.gather(up, down, return_exceptions=True)
        target_writer.transport.abort()


async def _copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(OSError):
        while chunk := await reader.read(READ_AHEAD_BYTES):
            writer.write(chunk)
            await writer.drain()


async def _copy_paced(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    pacer: StreamPacer,
    due_at: float,
) -> None:
    while piece := await reader.read(PIECE_BYTES):
        await pacer.acquire(len(piece), due_at)
        writer.write(piece)
        await writer.drain()


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    writer.transport.abort()
