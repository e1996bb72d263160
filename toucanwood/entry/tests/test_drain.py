"""Tests of the graceful shutdown."""

import asyncio
import collections
import contextlib
import socket

from toucanwood.entry.tests.raw_client import (
    build_get,
    connect,
    read_response,
    run_with_target,
)


async def wait_for_slot(harness):
    while not harness.dispatcher.held_leases:
        await asyncio.sleep(0.005)


def test_drain_finishes_running_requests():
    # Guards against a graceful shutdown that truncates a response.
    async def check(harness, target):
        harness.dispatcher.grant_event = asyncio.Event()
        async with connect(harness.entry.address) as (reader, writer):
            writer.write(build_get("/kasse/1"))
            await asyncio.sleep(0.03)
            drain = asyncio.create_task(harness.entry.drain(timeout=10))
            await asyncio.sleep(0.03)
            assert not drain.done()
            harness.dispatcher.grant_event.set()
            status, headers, _ = await read_response(reader)
            assert (status, headers["connection"]) == (200, "close")
            assert await reader.read() == b""
            assert await drain

    run_with_target(check)


def test_drain_responds_to_a_request_sent_while_its_connection_closes():
    # Guards against an idle connection that closes while a request is in transit. The
    # request must be served or get a response with the verdict "not-run".
    async def check(harness, target):
        async with connect(harness.entry.address) as (reader, writer):
            writer.write(build_get("/buscador/1"))
            assert (await read_response(reader))[0] == 200
            drain = asyncio.create_task(harness.entry.drain(timeout=10))
            await asyncio.sleep(0.05)
            writer.write(build_get("/buscador/2"))
            status, headers, _ = await read_response(reader)
            assert status == 503
            assert headers["toucanwood-verdict"] == "not-run"
            assert await reader.read() == b""
            writer.close()
            assert await drain
        assert sum(target.executions.values()) == 1

    run_with_target(check)


def test_drain_serves_requests_that_have_arrived():
    # Guards against refusing requests that arrived before the listener closed.
    async def check(harness, target):
        async with contextlib.AsyncExitStack() as stack:
            connections = [
                await stack.enter_async_context(connect(harness.entry.address))
                for _ in range(20)
            ]
            for _, writer in connections:
                writer.write(build_get("/buscador/1"))
            drain = asyncio.create_task(harness.entry.drain(timeout=10))
            for reader, writer in connections:
                assert (await read_response(reader))[0] == 200
                writer.close()
            assert await drain

    run_with_target(check)


def send_blocking(address):
    """Send a request with blocking calls, so that the event loop does not run."""
    host, port = address.split(":")
    sock = socket.create_connection((host, int(port)))
    sock.sendall(build_get("/buscador/1"))
    sock.setblocking(False)
    return sock


async def receive_all(sock):
    loop = asyncio.get_running_loop()
    chunks = []
    while chunk := await loop.sock_recv(sock, 65536):
        chunks.append(chunk)
    sock.close()
    return b"".join(chunks)


def test_drain_serves_connections_in_the_accept_queue():
    # Guards against a listener that resets the connections in its backlog on close.
    async def check(harness, target):
        socks = [send_blocking(harness.entry.address) for _ in range(20)]
        drain = asyncio.create_task(harness.entry.drain(timeout=10))
        for sock in socks:
            assert b"200 OK" in await receive_all(sock)
        assert await drain

    run_with_target(check)


async def call_until_refused(address, counts):
    """Send requests on persistent connections until a new connection is refused."""
    while True:
        try:
            async with connect(address) as (reader, writer):
                await call_until_closed(reader, writer, counts)
        except ConnectionRefusedError:
            return


async def call_until_closed(reader, writer, counts):
    while True:
        writer.write(build_get("/buscador/1"))
        status, headers, _ = await read_response(reader)
        counts[status, headers.get("toucanwood-verdict")] += 1
        if headers.get("connection") == "close":
            return


def test_drain_under_load_loses_no_request():
    # Guards against requests that get no response while the instance stops.
    async def check(harness, target):
        counts = collections.Counter()
        address = harness.entry.address
        callers = [
            asyncio.create_task(call_until_refused(address, counts)) for _ in range(30)
        ]
        await asyncio.sleep(0.1)
        drained = await harness.entry.drain(timeout=10)
        await asyncio.gather(*callers)
        assert drained
        assert set(counts) <= {(200, None), (503, "not-run")}
        assert counts[200, None] == sum(target.executions.values())

    run_with_target(check)


def test_connection_with_unread_bytes_is_not_idle():
    # Guards against refusing a request that has arrived but has not been read yet.
    async def check(harness, target):
        async with connect(harness.entry.address) as (reader, writer):
            writer.write(build_get("/buscador/1"))
            await read_response(reader)
            await asyncio.sleep(0.01)
            (connection,) = harness.entry._server.connections
            assert connection.is_idle()
            writer.get_extra_info("socket")._sock.send(build_get("/buscador/2"))
            assert not connection.is_idle()
            assert (await read_response(reader))[0] == 200

    run_with_target(check)


def test_drain_refuses_pipelined_requests_with_a_verdict():
    # Guards against a caller that prevents the instance from stopping, and against
    # pipelined requests that get no response.
    async def check(harness, target):
        harness.dispatcher.grant_event = asyncio.Event()
        async with connect(harness.entry.address) as (reader, writer):
            writer.write(build_get("/buscador/1") + build_get("/buscador/2") * 3)
            await asyncio.sleep(0.03)
            drain = asyncio.create_task(harness.entry.drain(timeout=10))
            await asyncio.sleep(0.03)
            harness.dispatcher.grant_event.set()
            statuses = [(await read_response(reader))[0] for _ in range(4)]
            # The first request was already running when the drain started. The drain
            # serves one more request on the connection.
            assert statuses == [200, 200, 503, 503]
            writer.close()
            assert await drain
        assert sum(target.executions.values()) == 2

    run_with_target(check)


def test_drain_refuses_new_connections_and_ends_at_the_timeout():
    # Guards against a shutdown that never ends, and against requests after the drain.
    async def check(harness, target):
        target.mode = "never_answer"
        async with connect(harness.entry.address) as (_, writer):
            writer.write(build_get("/buscador/1"))
            await wait_for_slot(harness)
            assert not await harness.entry.drain(timeout=0.1)
            try:
                async with connect(harness.entry.address):
                    raise AssertionError("the instance still accepts connections")
            except ConnectionError:
                pass
            await harness.entry.stop()

    run_with_target(check)
