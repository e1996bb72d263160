"""A loopback proxy that harms the connections through it, from outside."""

import asyncio
import contextlib
import enum

CHUNK_BYTES = 16 * 1024
DELAY_S = 0.15


class Harm(enum.StrEnum):
    """Tell what happens to the bytes on a link."""

    NONE = "none"
    # Every chunk is late.
    DELAY = "delay"
    # Nothing passes in either direction, and nothing is closed.
    SILENCE = "silence"
    # Requests pass and answers don't.
    ONE_WAY = "one_way"


class Proxy:
    """Forward connections to one address, and harm them on request."""

    def __init__(self, address, upstream):
        self.address = address
        self.harm = Harm.NONE
        self._upstream = upstream
        self._tasks = set()
        self._writers = set()
        self._is_open = asyncio.Event()
        self._is_open.set()

    async def start(self):
        """Listen."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))

    async def stop(self):
        """Close everything."""
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def set_harm(self, harm):
        """Harm the bytes from now on; what silence holds back passes after it."""
        self.harm = harm
        if harm in (Harm.SILENCE, Harm.ONE_WAY):
            self._is_open.clear()
        else:
            self._is_open.set()

    def reset(self):
        """Reset every open connection."""
        for writer in self._writers:
            writer.transport.abort()

    def _accept(self, reader, writer):
        self._spawn(self._forward(reader, writer))

    def _spawn(self, main):
        task = asyncio.get_running_loop().create_task(main)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _forward(self, reader, writer):
        host, _, port = self._upstream.rpartition(":")
        try:
            there = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, there[1]}
        both = [
            self._spawn(self._pump(reader, there[1], is_answer=False)),
            self._spawn(self._pump(there[0], writer, is_answer=True)),
        ]
        try:
            await asyncio.gather(*both)
        finally:
            self._writers -= {writer, there[1]}
            for task in both:
                task.cancel()
            for end in (writer, there[1]):
                end.close()

    async def _pump(self, reader, writer, *, is_answer):
        with contextlib.suppress(OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                await self._hold(is_answer)
                writer.write(chunk)
                await writer.drain()
            # A close must not overtake what it follows, nor pass a silent link.
            await self._hold(is_answer)
            if writer.can_write_eof():
                writer.write_eof()

    async def _hold(self, is_answer):
        if self.harm is Harm.DELAY:
            await asyncio.sleep(DELAY_S)
        while self.harm is Harm.SILENCE or (self.harm is Harm.ONE_WAY and is_answer):
            await self._is_open.wait()
