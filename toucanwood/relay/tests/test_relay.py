import asyncio
import contextlib
import socket
import struct

from toucanwood.relay import (
    RelayRefused,
    RelayServer,
    TargetRefused,
    open_relayed_connection,
)
from toucanwood.relay._protocol import Reply

LINK_BYTES_PER_S = 2.75e6 / 8
BODY = bytes(100_000)


class FakeTarget:
    """A target that accepts connections and passes each one to a handler."""

    def __init__(self, handler):
        self._handler = handler
        self.handler_done = asyncio.Event()
        self._tasks = set()

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *error):
        self._server.close()
        for task in self._tasks:
            task.cancel()

    def _accept(self, reader, writer):
        task = asyncio.get_running_loop().create_task(self._serve(reader, writer))
        self._tasks.add(task)

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError):
            await self._handler(reader, writer)
        self.handler_done.set()
        writer.close()


@contextlib.asynccontextmanager
async def run_relay(*known_targets):
    server = RelayServer(lambda address: address in known_targets)
    await server.start("127.0.0.1:0")
    try:
        yield server
    finally:
        await server.stop()


async def connect(relay, address, due_in_s=1.0):
    sock = await open_relayed_connection(
        relay.address, address, link_bytes_per_s=LINK_BYTES_PER_S, due_in_s=due_in_s
    )
    return await asyncio.open_connection(sock=sock)


async def send_body(reader, writer):
    await reader.read(100)
    writer.write(BODY)
    await writer.drain()


async def send_prefix_and_reset(reader, writer):
    await reader.read(100)
    writer.write(BODY[:5000])
    await asyncio.sleep(0.1)
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


# Guards against a response that fills the queue of the entry's link at once.
def test_response_is_relayed_completely_and_paced():
    async def main():
        loop = asyncio.get_running_loop()
        async with FakeTarget(send_body) as target, run_relay(target.address) as relay:
            reader, writer = await connect(relay, target.address)
            writer.write(b"request")
            started = loop.time()
            received = await reader.readexactly(20_000)
            first_duration = loop.time() - started
            received += await reader.read(-1)
            while chunk := await reader.read(65536):
                received += chunk
            writer.close()
            assert received == BODY
            # The pace is 0.7 of the link rate; the first pieces may be early.
            assert first_duration > 0.5 * 20_000 / LINK_BYTES_PER_S
            assert loop.time() - started > len(BODY) / LINK_BYTES_PER_S

    asyncio.run(main())


# Guards against a truncated response without a length that looks complete.
def test_truncated_response_ends_with_a_reset():
    async def main():
        async with FakeTarget(send_prefix_and_reset) as target:
            async with run_relay(target.address) as relay:
                reader, writer = await connect(relay, target.address)
                writer.write(b"request")
                try:
                    while await reader.read(65536):
                        pass
                except ConnectionResetError:
                    return True
                finally:
                    writer.close()
                return False

    assert asyncio.run(main())


# Guards against a planned stop that cuts off a response for which its target still has
# time: the kinds with large responses take seconds.
def test_stop_lets_a_running_response_finish_within_the_grace_time():
    async def respond_late(reader, writer):
        await reader.read(100)
        await asyncio.sleep(3.0)
        writer.write(BODY[:5000])
        await writer.drain()

    async def main():
        async with FakeTarget(respond_late) as target:
            async with run_relay(target.address) as relay:
                reader, writer = await connect(relay, target.address)
                writer.write(b"request")
                await asyncio.sleep(0.1)
                stopping = asyncio.ensure_future(relay.stop())
                assert await reader.read(-1) == BODY[:5000]
                await stopping
                writer.close()

    asyncio.run(main())


# Guards against targets that keep working for a caller that has disconnected.
def test_target_is_disconnected_when_the_entry_disconnects():
    async def wait_for_end(reader, writer):
        while await reader.read(100):
            pass

    async def main():
        async with FakeTarget(wait_for_end) as target:
            async with run_relay(target.address) as relay:
                _, writer = await connect(relay, target.address)
                writer.write(b"request")
                await asyncio.sleep(0.05)
                writer.transport.abort()
                await asyncio.wait_for(target.handler_done.wait(), 0.4)

    asyncio.run(main())


# Guards against an open relay that connects anyone to any address.
def test_unknown_target_is_refused():
    async def main():
        async with FakeTarget(send_body) as target, run_relay() as relay:
            try:
                await connect(relay, target.address)
            except RelayRefused:
                return True
            return False

    assert asyncio.run(main())


def test_unreachable_target_is_distinguished_from_a_failed_relay():
    async def main():
        async with run_relay("127.0.0.1:1") as relay:
            try:
                await connect(relay, "127.0.0.1:1")
            except TargetRefused:
                return True
            return False

    assert asyncio.run(main())


def test_invalid_head_is_refused_and_the_relay_keeps_working():
    async def main():
        async with FakeTarget(send_body) as target, run_relay(target.address) as relay:
            host, _, port = relay.address.rpartition(":")
            refused = Reply.REFUSED.value
            cases = {b"\xff\xff": refused, b"\x00\x03abc": refused}
            cases |= {b"\x00\x01\x90": refused, b"": b""}
            for data, expected in cases.items():
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(data)
                writer.write_eof()
                assert await reader.read(10) == expected
                writer.close()
            _, writer = await connect(relay, target.address)
            writer.close()

    asyncio.run(main())
