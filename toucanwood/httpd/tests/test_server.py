import asyncio
import contextlib
import socket

from toucanwood.httpd import (
    BodyTooLarge,
    HttpServer,
    Response,
)
from toucanwood.routing import CallerLimits

ADDRESS = "127.0.0.1"


@contextlib.asynccontextmanager
async def run_server(handle, budget=None, **limits):
    server = HttpServer(handle, limits=lambda: CallerLimits(**limits), budget=budget)
    server.start(f"{ADDRESS}:0")
    try:
        yield server
    finally:
        await server.stop()


async def connect(server):
    host, _, port = server.address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


def build_request(path, extra="", method="GET"):
    return f"{method} {path} HTTP/1.1\r\nHost: a\r\n{extra}\r\n".encode()


async def read_response(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    status = int(head.split()[1])
    length = 0
    for line in head.split("\r\n"):
        name, _, value = line.partition(":")
        if name.lower() == "content-length":
            length = int(value)
    return status, await reader.readexactly(length), head


# Guards against pipelined requests that wait until the previous request has run.
def test_pipelined_requests_run_concurrently_and_are_answered_in_order():
    started = []

    async def handle(responder):
        started.append(responder.request.path)
        await asyncio.sleep(0.2 if responder.request.path == "/slow" else 0.0)
        await responder.send(Response(200, body=responder.request.path.encode()))

    async def main():
        async with run_server(handle) as server:
            reader, writer = await connect(server)
            writer.write(build_request("/slow") + build_request("/fast"))
            await asyncio.sleep(0.05)
            assert started == ["/slow", "/fast"]
            bodies = [(await read_response(reader))[1] for _ in range(2)]
            assert bodies == [b"/slow", b"/fast"]
            writer.close()

    asyncio.run(main())


# Guards against requests that keep running after their caller has disconnected.
def test_requests_of_a_caller_that_disconnects_are_cancelled():
    cancelled = []

    async def handle(responder):
        try:
            await asyncio.sleep(30)
        except asyncio.CancelledError:
            cancelled.append(responder.request.path)
            raise

    async def main():
        async with run_server(handle) as server:
            _, writer = await connect(server)
            writer.write(build_request("/a") + build_request("/b"))
            await asyncio.sleep(0.05)
            writer.close()
            await asyncio.sleep(0.1)
            assert sorted(cancelled) == ["/a", "/b"]

    asyncio.run(main())


def test_chunked_body_is_read_and_a_body_over_the_limit_is_refused():
    async def handle(responder):
        try:
            body = await responder.request.read_body(8)
        except BodyTooLarge:
            await responder.send(Response(413))
            return
        await responder.send(Response(200, body=body))

    async def main():
        async with run_server(handle) as server:
            reader, writer = await connect(server)
            chunked = build_request("/", "Transfer-Encoding: chunked\r\n", "POST")
            writer.write(chunked + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
            assert (await read_response(reader))[:2] == (200, b"abcde")
            writer.write(build_request("/", "Content-Length: 9\r\n", "POST"))
            writer.write(b"123456789")
            assert (await read_response(reader))[0] == 413
            writer.close()

    asyncio.run(main())


def test_malformed_head_gets_status_400_and_the_connection_is_closed():
    async def handle(responder):
        await responder.send(Response(200))

    async def main():
        async with run_server(handle) as server:
            reader, writer = await connect(server)
            writer.write(b"NOT HTTP\r\n\r\n")
            status, _, head = await read_response(reader)
            assert status == 400 and "Connection: close" in head
            assert await reader.read() == b""
            writer.close()

    asyncio.run(main())


def test_head_that_is_incomplete_at_the_timeout_is_refused():
    async def handle(responder):
        await responder.send(Response(200))

    async def main():
        async with run_server(handle, header_timeout_s=0.05) as server:
            reader, writer = await connect(server)
            writer.write(b"GET / HTTP/1.1\r\nHost:")
            assert (await read_response(reader))[0] == 408
            writer.close()

    asyncio.run(main())


def test_head_over_the_limit_is_refused():
    async def handle(responder):
        await responder.send(Response(200))

    async def main():
        async with run_server(handle, header_bytes=1000) as server:
            reader, writer = await connect(server)
            writer.write(build_request("/", f"X: {'a' * 2000}\r\n"))
            assert (await read_response(reader))[0] == 431
            writer.close()

    asyncio.run(main())


def test_idle_connection_is_closed_after_the_idle_timeout_and_not_before():
    async def handle(responder):
        await responder.send(Response(200))

    async def main():
        async with run_server(handle, idle_timeout_s=0.3) as server:
            reader, writer = await connect(server)
            await asyncio.sleep(0.24)
            writer.write(build_request("/"))
            assert (await read_response(reader))[0] == 200
            await asyncio.sleep(0.24)
            writer.write(build_request("/"))
            assert (await read_response(reader))[0] == 200
            assert await asyncio.wait_for(reader.read(), 2.0) == b""
            writer.close()

    asyncio.run(main())


# Guards against a stop that interrupts a running request, or that keeps connections
# to the stopping instance open.
def test_stopping_server_answers_and_then_closes_each_connection():
    async def handle(responder):
        await asyncio.sleep(0.1)
        await responder.send(Response(200, body=b"x"))

    async def main():
        async with run_server(handle) as server:
            reader, writer = await connect(server)
            writer.write(build_request("/"))
            await asyncio.sleep(0.02)
            server.stop_keep_alive()
            status, body, head = await read_response(reader)
            assert (status, body) == (200, b"x") and "Connection: close" in head
            assert await reader.read() == b""
            writer.close()

    asyncio.run(main())


# Guards against a truncated response that looks complete.
def test_aborted_streamed_response_does_not_look_complete():
    async def handle(responder):
        await responder.start(200, "OK", [], None)
        await responder.write(b"part")
        responder.abort()

    async def main():
        async with run_server(handle) as server:
            reader, writer = await connect(server)
            writer.write(build_request("/"))
            data = b""
            with contextlib.suppress(ConnectionResetError):
                data = await reader.read()
            assert not data.endswith(b"0\r\n\r\n")
            writer.close()

    asyncio.run(main())


def test_response_to_head_has_the_length_and_no_body():
    async def handle(responder):
        await responder.send(Response(200, body=b"abc", declared_length="3"))

    async def main():
        async with run_server(handle) as server:
            reader, writer = await connect(server)
            writer.write(build_request("/", method="HEAD"))
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            assert "Content-Length: 3" in head
            writer.write(build_request("/", method="HEAD"))
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200")
            writer.close()

    asyncio.run(main())


# Guards against a stop that drops the pipelined requests after the one it answers.
def test_stopping_server_answers_all_pipelined_requests_before_it_closes():
    async def handle(responder):
        await asyncio.sleep(0.1 if responder.request.path == "/a" else 0.2)
        await responder.send(Response(200, body=responder.request.path.encode()))

    async def main():
        async with run_server(handle) as server:
            reader, writer = await connect(server)
            writer.write(build_request("/a") + build_request("/b"))
            await asyncio.sleep(0.02)
            server.stop_keep_alive()
            first, second = await read_response(reader), await read_response(reader)
            assert (first[1], second[1]) == (b"/a", b"/b")
            assert "Connection: close" not in first[2]
            assert "Connection: close" in second[2]
            writer.close()

    asyncio.run(main())


# Guards against a reset at the stop of the server that discards a written response:
# behind a full link, the callers of two stopping entries got no response.
def test_stop_sends_a_written_response_in_full():
    body = bytes(3_000_000)

    async def handle(responder):
        await responder.send(Response(status=200, body=body))

    async def main():
        async with run_server(handle) as server:
            reader, writer = await connect(server)
            writer.write(build_request("/"))
            await reader.readuntil(b"\r\n\r\n")
            while server.connections and not all(
                item.is_idle() for item in server.connections
            ):
                await asyncio.sleep(0.01)
            stopping = asyncio.create_task(server.stop())
            received = await reader.readexactly(len(body))
            await stopping
            writer.close()
            assert received == body

    asyncio.run(main())


# Guards against the end of a body that is counted as the head of a further request: the
# connection was closed, or a response that belongs to no request was sent on it.
def test_connection_stays_open_after_a_body_that_arrives_in_parts():
    async def handle(responder):
        body = await responder.request.read_body(1_000_000)
        await responder.send(Response(200, body=str(len(body)).encode()))

    async def main(size, **limits):
        async with run_server(handle, **limits) as server:
            reader, writer = await connect(server)
            for _ in range(2):
                length = f"Content-Length: {size + 1}\r\n"
                writer.write(build_request("/", length, method="POST") + b"x")
                await asyncio.sleep(0.02)
                writer.write(size * b"x")
                async with asyncio.timeout(5.0):
                    status, body, _ = await read_response(reader)
                assert (status, body) == (200, str(size + 1).encode())
                await asyncio.sleep(2 * limits.get("header_timeout_s", 0.0))
            assert not reader.at_eof()
            writer.close()

    asyncio.run(main(60_000, header_bytes=1024))
    asyncio.run(main(10, header_timeout_s=0.1))


# Guards against requests that run although their caller has left: a busy server reads
# the request and the end of its connection at the same time.
def test_request_whose_caller_has_already_left_is_not_handled():
    handled = []

    async def handle(responder):
        handled.append(responder.request.path)
        await responder.send(Response(200))

    async def main():
        async with run_server(handle) as server:
            host, _, port = server.address.rpartition(":")
            for number in range(5):
                sock = socket.create_connection((host, int(port)))
                await asyncio.sleep(0.01)
                sock.sendall(build_request(f"/{number}"))
                sock.close()
                await asyncio.sleep(0.02)
            reader, writer = await connect(server)
            writer.write(build_request("/kept"))
            assert (await read_response(reader))[0] == 200
            writer.close()

    asyncio.run(main())
    assert handled == ["/kept"]
