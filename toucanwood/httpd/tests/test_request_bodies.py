"""Tests of long request bodies: early responses and the memory of the process."""

import asyncio
import contextlib
import json
from unittest import mock

from toucanwood.httpd import (
    BodyBudget,
    BodyMemoryFull,
    Response,
)
from toucanwood.httpd.tests.test_server import (
    build_request,
    connect,
    read_response,
    run_server,
)


def build_body(size, is_chunked):
    """Return the header lines and the bytes of a body."""
    if not is_chunked:
        return f"Content-Length: {size}\r\n", b"x" * size
    chunk = b"%x\r\n%b\r\n" % (1000, b"x" * 1000)
    return "Transfer-Encoding: chunked\r\n", chunk * (size // 1000) + b"0\r\n\r\n"


async def refuse_early(responder):
    is_refused = responder.request.path == "/refused"
    await responder.send(Response(401 if is_refused else 200))


# Guards against a kept connection that answers nothing after an early response, because
# nobody reads the rest of the body.
def test_request_behind_an_early_response_is_answered():
    async def main():
        async with run_server(refuse_early) as server:
            for is_chunked in (False, True):
                for size in (10, 100_000, 140_000, 200_000, 900_000):
                    extra, body = build_body(size, is_chunked)
                    head = build_request("/refused", extra, "POST")
                    half = len(body) // 2
                    for parts in ([head + body], [head, body], [head + body[:half]]):
                        reader, writer = await connect(server)
                        for part in parts:
                            writer.write(part)
                        assert (await read_response(reader))[0] == 401
                        sent = sum(len(part) for part in parts) - len(head)
                        writer.write(body[sent:] + build_request("/next"))
                        async with asyncio.timeout(5.0):
                            assert (await read_response(reader))[0] == 200
                        writer.close()

    asyncio.run(main())


# Guards against a response that is lost, since the connection is closed while its
# caller still sends.
def test_early_response_to_a_body_beyond_the_bound_arrives_and_closes():
    async def main():
        async with run_server(refuse_early) as server:
            for is_chunked in (False, True):
                extra, body = build_body(4_000_000, is_chunked)
                reader, writer = await connect(server)
                writer.write(build_request("/refused", extra, "POST") + body)
                with contextlib.suppress(ConnectionError):
                    async with asyncio.timeout(5.0):
                        await writer.drain()
                async with asyncio.timeout(5.0):
                    status, _, head = await read_response(reader)
                    assert status == 401
                    assert is_chunked or "Connection: close" in head
                    assert await reader.read() == b""
                writer.close()

    asyncio.run(main())


# Guards against a connection that is kept for a body that never goes on.
def test_connection_with_a_stalled_body_is_closed_after_an_early_response():
    async def main():
        async with run_server(refuse_early) as server:
            reader, writer = await connect(server)
            request = build_request("/refused", "Content-Length: 900000\r\n", "POST")
            writer.write(request + bytes(200_000))
            assert (await read_response(reader))[0] == 401
            async with asyncio.timeout(3.0):
                assert await reader.read() == b""
            writer.close()

    with mock.patch("toucanwood.httpd._connection.MAX_DROP_S", 0.2):
        asyncio.run(main())


# Guards against a connection that is neither served nor closed after such a request.
def test_request_for_an_upgrade_is_answered_and_closes():
    async def main():
        async with run_server(refuse_early) as server:
            reader, writer = await connect(server)
            extra = "Connection: Upgrade\r\nUpgrade: websocket\r\n"
            writer.write(build_request("/", extra) + build_request("/next"))
            async with asyncio.timeout(3.0):
                status, _, head = await read_response(reader)
                assert status == 200 and "Connection: close" in head
                assert await reader.read() == b""
            writer.close()

    asyncio.run(main())


# Guards against a process that exceeds its memory, and loses the requests of all
# callers, because many of them send bodies at once.
def test_bodies_beyond_the_memory_for_them_are_refused_at_once():
    held = asyncio.Event()

    async def handle(responder):
        try:
            body = await responder.request.read_body(10**7)
        except BodyMemoryFull:
            await responder.send(Response(503))
            return
        await held.wait()
        await responder.send(Response(200, body=b"%d" % len(body)))

    async def main():
        budget = BodyBudget(limit_bytes=4_000_000)
        async with run_server(handle, budget) as server:
            for is_chunked in (False, True):
                held.clear()
                extra, body = build_body(500_000, is_chunked)
                connections = [await connect(server) for _ in range(10)]
                for _, writer in connections:
                    writer.write(build_request("/", extra, "POST") + body[:-10])
                await asyncio.sleep(0.3)
                assert budget.used_bytes <= budget.limit_bytes
                for _, writer in connections:
                    writer.write(body[-10:])
                held.set()
                async with asyncio.timeout(5.0):
                    results = [await read_response(item) for item, _ in connections]
                statuses = [status for status, _, _ in results]
                assert 0 < statuses.count(200) <= 4
                assert statuses.count(503) == 10 - statuses.count(200)
                for reader, writer in connections:
                    writer.write(build_request("/"))
                    assert (await read_response(reader))[0] == 200
                    writer.close()
            assert budget.used_bytes == 0
            reader, writer = await connect(server)
            extra, body = build_body(5_000_000, is_chunked=False)
            writer.write(build_request("/", extra, "POST") + body)
            assert (await read_response(reader))[:2] == (200, b"5000000")
            writer.close()

    asyncio.run(main())


# Guards against a controller that exceeds its memory because it decodes several long
# documents at once, each of which takes many times its length.
def test_decoded_bodies_count_for_the_memory_of_the_process():
    held = asyncio.Event()

    async def handle(responder):
        try:
            value = await responder.request.read_json(10**7)
        except BodyMemoryFull:
            await responder.send(Response(503))
            return
        await held.wait()
        await responder.send(Response(200, body=b"%d" % len(value)))

    async def main():
        budget = BodyBudget(limit_bytes=4_000_000)
        async with run_server(handle, budget) as server:
            body = json.dumps(["x" * 300_000]).encode()
            extra = f"Content-Length: {len(body)}\r\n"
            connections = [await connect(server) for _ in range(3)]
            for _, writer in connections:
                writer.write(build_request("/", extra, "PUT") + body)
            await asyncio.sleep(0.3)
            assert 3_000_000 < budget.used_bytes <= budget.limit_bytes
            held.set()
            results = [(await read_response(reader))[0] for reader, _ in connections]
            assert sorted(results) == [200, 503, 503]
            for reader, writer in connections:
                writer.write(build_request("/", extra, "PUT") + body)
                assert (await read_response(reader))[0] == 200
                writer.close()
            assert budget.used_bytes == 0

    asyncio.run(main())
