"""Tests of malformed, ambiguous and slow input, over TCP connections."""

import asyncio
import contextlib
import io
import logging

import structlog

from toucanwood.entry import _caller_connection
from toucanwood.entry.tests.raw_client import (
    AUTH_HEADER,
    build_get,
    connect,
    read_response,
    run_with_target,
    send_raw,
)

CLOSE_HEADERS = AUTH_HEADER + "Connection: close\r\n"
SLOW_HEADER = b"GET /buscador/2 HTTP/1.1\r\nX: " + b"a" * 500
REFUSED_REQUEST_TARGETS = [
    "http://h/buscador/x",
    "http://evil/abierto/x",
    "*",
    "buscador/x",
    "/abierto/../buscador/x",
    "/abierto/./x",
    "/abierto/..",
    "/abierto/%2e%2e/buscador/x",
    "/abierto/.%2E/buscador/x",
    "/abierto/%252e%252e/buscador/x",
    "/abierto/%2e%2e%2fbuscador/x",
    "/abierto/..;/buscador/x",
    "/abierto/..%5cbuscador/x",
    "/abierto/x#y",
    "/abierto/%zz",
    "/abierto/%00",
    "//buscador/x",
    "/%62uscador/x",
]
REFUSED_HEADS = {
    "both framings": "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
    "two lengths": "Content-Length: 3\r\nContent-Length: 4\r\n",
    "equal lengths": "Content-Length: 3\r\nContent-Length: 3\r\n",
    "list of lengths": "Content-Length: 3, 3\r\n",
    "signed length": "Content-Length: +3\r\n",
    "two codings": "Transfer-Encoding: gzip, chunked\r\n",
    "unknown coding": "Transfer-Encoding: xchunked\r\n",
    "repeated coding": "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
    "space before colon": "Content-Length : 3\r\n",
    "folded line": "X: a\r\n b\r\n",
    "two hosts": "Host: other\r\n",
    "long line": f"X: {'a' * 9000}\r\n",
    "many lines": "X: a\r\n" * 200,
}


def read_status(response):
    assert response.startswith((b"HTTP/1.0 ", b"HTTP/1.1 ")), response[:100]
    return int(response[9:12])


def test_ambiguous_request_targets_are_refused():
    # Guards against a path that reaches a keyed route through an open route, and
    # against a path that the entry and the target resolve differently.
    async def check(harness, target):
        for path in REFUSED_REQUEST_TARGETS:
            data = build_get(path, "Connection: close\r\n")
            response = await send_raw(harness.entry.address, data)
            assert 400 <= read_status(response) < 500, path
            assert b"Toucanwood-Verdict: not-run" in response, path
        assert harness.dispatcher.granted_count == 0

    run_with_target(check)


def test_unusual_but_unambiguous_request_targets_are_forwarded_unchanged():
    # Guards against validation that refuses or rewrites valid requests.
    async def check(harness, target):
        for path in ("/abierto/a%20b?q=../x&u=//h", "/abierto/a..b/...", "/abierto/"):
            data = build_get(path, "Connection: close\r\n")
            response = await send_raw(harness.entry.address, data)
            assert read_status(response) == 200, path
            assert target.request_heads[-1].startswith(f"GET {path} HTTP/1.1\r\n")

    run_with_target(check)


def test_ambiguous_framing_is_refused():
    # Guards against request smuggling, which is possible if the entry and the target
    # disagree about where the body ends.
    async def check(harness, target):
        for name, headers in REFUSED_HEADS.items():
            head = (
                f"POST /buscador/ HTTP/1.1\r\nHost: h\r\n{CLOSE_HEADERS}{headers}\r\n"
            )
            response = await send_raw(harness.entry.address, head.encode() + b"abc")
            assert 400 <= read_status(response) < 500, name
            assert b"Toucanwood-Verdict: not-run" in response, name
        http10 = (
            f"POST /buscador/ HTTP/1.0\r\n{AUTH_HEADER}"
            "Transfer-Encoding: chunked\r\n\r\n"
        )
        response = await send_raw(harness.entry.address, http10.encode() + b"0\r\n\r\n")
        assert read_status(response) == 400
        assert harness.dispatcher.granted_count == 0

    run_with_target(check)


@contextlib.contextmanager
def capture_logs():
    """Capture the output of structlog and of the standard loggers."""
    stream = io.StringIO()
    handler = logging.StreamHandler(stream)
    logging.getLogger().addHandler(handler)
    with structlog.testing.capture_logs() as events:
        try:
            yield events, stream
        finally:
            logging.getLogger().removeHandler(handler)


def test_malformed_request_logs_one_line():
    # Guards against malformed requests that write tracebacks to the log.
    async def check(harness, target):
        garbage = [
            b"\x16\x03\x01\x02\x00garbage\r\n\r\n",
            b"GET\r\n\r\n",
            b"G T / x\r\n",
        ]
        for data in garbage:
            with capture_logs() as (events, stream):
                response = await send_raw(harness.entry.address, data)
            assert read_status(response) == 400, data
            assert [event["event"] for event in events] == ["request_malformed"]
            assert "Traceback" not in stream.getvalue()
            assert stream.getvalue() == ""

    run_with_target(check)


@contextlib.contextmanager
def override_timeout(name, seconds):
    previous = getattr(_caller_connection, name)
    setattr(_caller_connection, name, seconds)
    try:
        yield
    finally:
        setattr(_caller_connection, name, previous)


async def send_bytewise(writer, data):
    with contextlib.suppress(ConnectionError):
        for byte in data:
            writer.write(bytes([byte]))
            await asyncio.sleep(0.01)


def test_slow_header_is_refused_after_the_timeout():
    # Guards against callers that keep a connection open by sending a header byte by
    # byte, as the first request or after a complete one.
    async def check(harness, target):
        for first in (b"", build_get("/buscador/1")):
            async with connect(harness.entry.address) as (reader, writer):
                if first:
                    writer.write(first)
                    assert (await read_response(reader))[0] == 200
                sender = asyncio.create_task(send_bytewise(writer, SLOW_HEADER))
                status, headers, _ = await read_response(reader)
                assert status == 408
                assert headers["toucanwood-verdict"] == "not-run"
                assert await reader.read() == b""
                sender.cancel()

    with override_timeout("HEADER_TIMEOUT_S", 0.2):
        run_with_target(check)


def test_idle_connection_closes_with_a_verdict():
    # Guards against an idle connection that closes while a request is in transit.
    async def check(harness, target):
        async with connect(harness.entry.address) as (reader, writer):
            writer.write(build_get("/buscador/1"))
            assert (await read_response(reader))[0] == 200
            await asyncio.sleep(0.3)
            writer.write(build_get("/buscador/2"))
            status, headers, _ = await read_response(reader)
            assert status == 408
            assert headers["toucanwood-verdict"] == "not-run"
            assert await reader.read() == b""
        assert sum(target.executions.values()) == 1

    with override_timeout("KEEPALIVE_TIMEOUT_S", 0.1):
        run_with_target(check)


def test_header_timeout_does_not_end_a_running_request():
    # Guards against a header timeout of the next request that cancels the running one.
    async def check(harness, target):
        harness.dispatcher.grant_event = asyncio.Event()
        async with connect(harness.entry.address) as (reader, writer):
            writer.write(build_get("/buscador/1"))
            await asyncio.sleep(0.05)
            writer.write(b"GET /buscador/2 HTT")
            await asyncio.sleep(0.3)
            harness.dispatcher.grant_event.set()
            assert (await read_response(reader))[0] == 200

    with override_timeout("HEADER_TIMEOUT_S", 0.1):
        run_with_target(check)


def test_incomplete_body_does_not_reach_the_target():
    # Guards against a target that treats an incomplete body as a complete one.
    async def check(harness, target):
        head = f"POST /kasse/ HTTP/1.1\r\nHost: h\r\n{AUTH_HEADER}"
        incomplete_requests = [
            f"{head}Content-Length: 10\r\n\r\nabc",
            f"{head}Transfer-Encoding: chunked\r\n\r\n5\r\nabc",
        ]
        for data in incomplete_requests:
            async with connect(harness.entry.address) as (reader, writer):
                writer.write(data.encode())
                await asyncio.sleep(0.05)
        chunked = f"{head}Transfer-Encoding: chunked\r\n\r\n".encode()
        response = await send_raw(harness.entry.address, chunked + b"zz\r\n")
        assert read_status(response) == 400
        assert b"Toucanwood-Verdict: not-run" in response
        async with connect(harness.entry.address) as (reader, writer):
            writer.write(chunked)
            await asyncio.sleep(0.03)
            writer.write(b"zz\r\n")
            status, headers, _ = await read_response(reader)
            assert (status, headers["toucanwood-verdict"]) == (400, "not-run")
        assert harness.dispatcher.granted_count == 0

    run_with_target(check)


def test_caller_that_expects_continue_gets_it_before_the_body():
    # Guards against uploads that stall because the entry sends no "100 Continue".
    async def check(harness, target):
        head = (
            f"POST /kasse/ HTTP/1.1\r\nHost: h\r\n{AUTH_HEADER}Expect: 100-continue\r\n"
        )
        async with connect(harness.entry.address) as (reader, writer):
            writer.write(f"{head}Content-Length: 3\r\n\r\n".encode())
            assert (await read_response(reader))[0] == 100
            writer.write(b"abc")
            assert (await read_response(reader))[0] == 200
            assert "Expect" not in target.request_heads[-1]

    run_with_target(check)
