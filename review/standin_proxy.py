"""A TCP proxy for one link; it can hold all bytes, as a partition does.

Bytes that are held arrive in their order when the partition heals, as with TCP.
"""

import asyncio
import contextlib

import standin_http as http


class Links:
    """The proxies in all links to the cores of a fleet."""

    def __init__(self, fleet):
        self._links = [
            (source, target, Proxy(address, upstream))
            for source, target, address, upstream in fleet.list_links()
        ]

    async def start(self):
        for _, _, proxy in self._links:
            await proxy.start()

    async def stop(self):
        for _, _, proxy in self._links:
            await proxy.stop()

    def cut(self, name, others=None):
        """Cut a machine off from `others`, or from all machines of the system."""
        for source, target, proxy in self._links:
            pair = {source, target} - {name}
            if len(pair) == 1 and (others is None or pair <= set(others)):
                proxy.cut()

    def heal(self):
        for _, _, proxy in self._links:
            proxy.heal()

    def watch(self, source, target, size, on_frame):
        """Call `on_frame` once, after a frame of `size` bytes or more has passed."""
        for link_source, link_target, proxy in self._links:
            if (link_source, link_target) == (source, target):
                proxy.watch(size, on_frame)


class Proxy:
    """Pass on connections from `address` to `upstream`."""

    def __init__(self, address, upstream):
        self.address = address
        self._upstream = upstream
        self._open = asyncio.Event()
        self._open.set()
        self._tasks = set()
        self._watched_size = None
        self._on_frame = None

    async def start(self):
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))

    async def stop(self):
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def cut(self):
        self._open.clear()

    def heal(self):
        self._open.set()

    def watch(self, size, on_frame):
        self._watched_size, self._on_frame = size, on_frame

    def _accept(self, reader, writer):
        task = asyncio.get_running_loop().create_task(self._pass(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _pass(self, reader, writer):
        await self._open.wait()
        try:
            upstream_reader, upstream_writer = await http.connect(self._upstream)
        except OSError:
            writer.transport.abort()
            return
        try:
            await asyncio.gather(
                self._copy_frames(reader, upstream_writer),
                self._copy(upstream_reader, writer),
            )
        finally:
            writer.close()
            upstream_writer.close()

    async def _copy_frames(self, reader, writer):
        """Copy what the dialing side sends: frames that begin with their length."""
        with contextlib.suppress(OSError, EOFError):
            while True:
                header = await reader.readexactly(4)
                frame = await reader.readexactly(int.from_bytes(header, "big"))
                await self._open.wait()
                writer.write(header + frame)
                size = self._watched_size
                if size is not None and len(frame) >= size:
                    # The dialing process ends now: its last bytes and the end of the
                    # connection arrive together.
                    writer.close()
                    self._watched_size = None
                    self._on_frame()
                    return
                await writer.drain()
        await self._open.wait()
        writer.close()

    async def _copy(self, reader, writer):
        with contextlib.suppress(OSError):
            while chunk := await reader.read(65536):
                await self._open.wait()
                writer.write(chunk)
                await writer.drain()
        await self._open.wait()
        writer.transport.abort() if writer.is_closing() else writer.close()
