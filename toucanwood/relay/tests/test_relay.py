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


class StandIn:
    """Accept connections and let a function answer each."""

    def __init__(self, answer):
        self._answer = answer
        self.ended = asyncio.Event()
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
            await self._answer(reader, writer)
        self.ended.set()
        writer.close()


@contextlib.asynccontextmanager
async def run_relay(*known):
    server = RelayServer(lambda address: address in known)
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


async def send_part_and_reset(reader, writer):
    await reader.read(100)
    writer.write(BODY[:5000])
    await asyncio.sleep(0.1)
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


# Guards against a response that fills the queue of the entry's link at once.
def test_response_is_passed_on_whole_and_at_the_pace_of_the_link():
    async def main():
        loop = asyncio.get_running_loop()
        async with StandIn(send_body) as target, run_relay(target.address) as relay:
            reader, writer = await connect(relay, target.address)
            writer.write(b"request")
            started = loop.time()
            got = await reader.readexactly(20_000)
            first = loop.time() - started
            got += await reader.read(-1)
            while chunk := await reader.read(65536):
                got += chunk
            writer.close()
            assert got == BODY
            # 0.7 of the link; the first pieces come early.
            assert first > 0.5 * 20_000 / LINK_BYTES_PER_S
            assert loop.time() - started > len(BODY) / LINK_BYTES_PER_S

    asyncio.run(main())


# Guards against a response without a length that was cut and looks complete.
def test_cut_response_ends_with_a_reset():
    async def main():
        async with StandIn(send_part_and_reset) as target:
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


# Guards against targets that go on working for a caller who has left.
def test_target_is_left_when_the_entry_leaves():
    async def wait_for_end(reader, writer):
        while await reader.read(100):
            pass

    async def main():
        async with StandIn(wait_for_end) as target:
            async with run_relay(target.address) as relay:
                _, writer = await connect(relay, target.address)
                writer.write(b"request")
                await asyncio.sleep(0.05)
                writer.transport.abort()
                await asyncio.wait_for(target.ended.wait(), 0.4)

    asyncio.run(main())


# Guards against an open relay for everyone who reaches the port.
def test_only_known_targets_are_connected():
    async def main():
        async with StandIn(send_body) as target, run_relay() as relay:
            try:
                await connect(relay, target.address)
            except RelayRefused:
                return True
            return False

    assert asyncio.run(main())


def test_target_that_refuses_is_told_apart_from_a_relay_that_fails():
    async def main():
        async with run_relay("127.0.0.1:1") as relay:
            try:
                await connect(relay, "127.0.0.1:1")
            except TargetRefused:
                return True
            return False

    assert asyncio.run(main())


def test_garbage_is_refused_and_the_relay_goes_on():
    async def main():
        async with StandIn(send_body) as target, run_relay(target.address) as relay:
            host, _, port = relay.address.rpartition(":")
            refused = Reply.REFUSED.value
            cases = {b"\xff\xff": refused, b"\x00\x03abc": refused}
            cases |= {b"\x00\x01\x90": refused, b"": b""}
            for garbage, expected in cases.items():
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(garbage)
                writer.write_eof()
                assert await reader.read(10) == expected
                writer.close()
            _, writer = await connect(relay, target.address)
            writer.close()

    asyncio.run(main())
