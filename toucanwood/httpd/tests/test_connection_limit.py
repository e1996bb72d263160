"""Tests of the limit on the open connections of callers."""

import asyncio
from unittest import mock

from toucanwood.httpd import ConnectionLimit, HttpServer, Response, _connection
from toucanwood.httpd._connection import LINGER_S
from toucanwood.httpd._connection_limit import MAX_EXCESS_RATIO, MIN_IDLE_S
from toucanwood.httpd.tests.test_server import build_request, connect, read_response
from toucanwood.routing import CallerLimits

MAX_CONNECTIONS = 20


async def exchange(reader, writer, path="/"):
    writer.write(build_request(path))
    async with asyncio.timeout(3.0):
        return (await read_response(reader))[0]


def run_limited(scenario, **limits):
    """Run a scenario with a server that answers `/held` once an event is set."""

    async def main():
        held = asyncio.Event()

        async def handle(responder):
            if responder.request.path == "/held":
                await held.wait()
            await responder.send(Response(200))

        limit = ConnectionLimit(MAX_CONNECTIONS)
        server = HttpServer(
            handle,
            limits=lambda: CallerLimits(**limits),
            connection_limit=limit,
        )
        server.start("127.0.0.1:0")
        try:
            await scenario(server, limit, held)
        finally:
            await server.stop()

    asyncio.run(main())


# Guards against an entry that accepts no connection while idle callers hold all files.
def test_idle_connections_give_way_to_new_ones():
    async def scenario(server, limit, held):
        connections = [await connect(server) for _ in range(MAX_CONNECTIONS)]
        for connection in connections:
            assert await exchange(*connection) == 200
        held_reader, held_writer = connections[0]
        held_writer.write(build_request("/held"))
        await asyncio.sleep(2 * MIN_IDLE_S)
        # Was idle longest until this request.
        assert await exchange(*connections[1]) == 200
        late = [await connect(server) for _ in range(MAX_CONNECTIONS - 2)]
        for connection in late:
            assert await exchange(*connection) == 200
        assert len(server.connections) <= MAX_CONNECTIONS
        assert limit.closed_idle == MAX_CONNECTIONS - 2
        assert await exchange(*connections[1]) == 200
        held.set()
        assert (await read_response(held_reader))[0] == 200
        for reader, writer in connections[2:]:
            assert await reader.read() == b""
            writer.close()

    run_limited(scenario)


# Guards against a full entry that closes connections whose request is on its way.
def test_connections_in_use_are_never_closed_for_new_ones():
    async def scenario(server, limit, held):
        connections = [await connect(server) for _ in range(MAX_CONNECTIONS)]
        for _, writer in connections:
            writer.write(build_request("/held"))
        await asyncio.sleep(2 * MIN_IDLE_S)
        late = [await connect(server) for _ in range(MAX_CONNECTIONS)]
        for _, writer in late:
            writer.write(build_request("/"))
        await asyncio.sleep(1.0)
        assert len(server.connections) <= MAX_CONNECTIONS * MAX_EXCESS_RATIO + 1
        assert limit.closed_idle == 0
        held.set()
        async with asyncio.timeout(5.0):
            for reader, writer in connections:
                assert (await read_response(reader))[0] == 200
                writer.close()
            for reader, writer in late:
                assert (await read_response(reader))[0] == 200
                writer.close()

    run_limited(scenario)


# Guards against a closed connection that keeps its file and its response for ever
# because its caller reads nothing.
def test_closed_connection_whose_caller_reads_nothing_is_reset():
    async def handle(responder):
        await responder.send(Response(200, body=bytes(20_000_000)))

    async def main():
        server = HttpServer(handle)
        server.start("127.0.0.1:0")
        _, writer = await connect(server)
        writer.transport.pause_reading()
        writer.write(build_request("/", "Connection: close\r\n"))
        await asyncio.sleep(0.1)
        assert server.connections
        async with asyncio.timeout(LINGER_S + 5.0):
            while server.connections:
                await asyncio.sleep(0.1)
        writer.transport.abort()
        await server.stop()

    with mock.patch.object(_connection, "FLUSH_STALL_S", 0.5):
        asyncio.run(main())
