"""Loopback TCP proxy that injects network faults."""

import asyncio
import contextlib
import enum

CHUNK_BYTES = 16 * 1024
DELAY_S = 0.15


class LinkFault(enum.StrEnum):
    """Fault that a proxy injects into its connections."""

    NONE = "none"
    # Every chunk is forwarded after DELAY_S.
    DELAY = "delay"
    # No bytes are forwarded in either direction, and connections stay open.
    SILENCE = "silence"
    # Requests are forwarded, responses are not.
    ONE_WAY = "one_way"


class Proxy:
    """Proxy for one address that injects the selected fault into all connections."""

    def __init__(self, address, upstream_address):
        self.address = address
        self.fault = LinkFault.NONE
        self._upstream_address = upstream_address
        self._tasks = set()
        self._writers = set()
        self._unblocked = asyncio.Event()
        self._unblocked.set()

    async def start(self):
        """Listen."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))

    async def stop(self):
        """Stop accepting connections and cancel the running ones."""
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def set_fault(self, fault):
        """Select the fault; bytes held back by a fault are forwarded when it ends."""
        self.fault = fault
        if fault in (LinkFault.SILENCE, LinkFault.ONE_WAY):
            self._unblocked.clear()
        else:
            self._unblocked.set()

    def reset_connections(self):
        """Reset every open connection."""
        for writer in self._writers:
            writer.transport.abort()

    def _accept(self, reader, writer):
        self._spawn(self._forward(reader, writer))

    def _spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _forward(self, reader, writer):
        host, _, port = self._upstream_address.rpartition(":")
        try:
            upstream = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, upstream[1]}
        copy_tasks = [
            self._spawn(self._copy(reader, upstream[1], is_response=False)),
            self._spawn(self._copy(upstream[0], writer, is_response=True)),
        ]
        try:
            await asyncio.gather(*copy_tasks)
        finally:
            self._writers -= {writer, upstream[1]}
            for task in copy_tasks:
                task.cancel()
            for stream in (writer, upstream[1]):
                stream.close()

    async def _copy(self, reader, writer, *, is_response):
        with contextlib.suppress(OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                await self._apply_fault(is_response)
                writer.write(chunk)
                await writer.drain()
            # Applies the fault to the end of the stream too: it must not arrive before
            # delayed data and must not pass a blocked link.
            await self._apply_fault(is_response)
            if writer.can_write_eof():
                writer.write_eof()

    async def _apply_fault(self, is_response):
        if self.fault is LinkFault.DELAY:
            await asyncio.sleep(DELAY_S)
        while self.fault is LinkFault.SILENCE or (
            self.fault is LinkFault.ONE_WAY and is_response
        ):
            await self._unblocked.wait()
