"""Tests of the memory limits while large bodies are forwarded."""

import asyncio
import pathlib

import structlog

from toucanwood.entry.testing import Harness, build_declaration, build_service
from toucanwood.entry.tests.raw_client import AUTH_HEADER, build_get, connect

MIB = 1024 * 1024
BLOCK = b"x" * 256 * 1024


def read_rss():
    """Return the resident memory of this process in bytes."""
    status = pathlib.Path("/proc/self/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    return int(line.split()[1]) * 1024


async def serve_large_response(reader, writer):
    """Send a response of the requested size, as fast as the entry reads it."""
    head = await reader.readuntil(b"\r\n\r\n")
    size = int(head.split(b" ")[1].rsplit(b"/", 1)[1])
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
    try:
        for _ in range(size // len(BLOCK)):
            writer.write(BLOCK)
            await writer.drain()
    except ConnectionError:
        pass
    writer.close()


def run_with_download_target(check):
    async def main():
        server = await asyncio.start_server(serve_large_response, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        service = build_service("archiv", "/archiv/", deadline=600)
        declaration = build_declaration(service)
        async with Harness(declaration, {"t1": address}) as harness:
            await check(harness)
        server.close()

    asyncio.run(main())


def test_download_of_a_gigabyte_does_not_increase_memory_use():
    # Guards against unbounded buffering between a fast target and a slower caller.
    async def check(harness):
        size = 1024 * MIB
        async with connect(harness.entry.address) as (reader, writer):
            writer.write(build_get(f"/archiv/{MIB}"))
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(MIB)
            before = peak = read_rss()
            writer.write(build_get(f"/archiv/{size}", AUTH_HEADER))
            await reader.readuntil(b"\r\n\r\n")
            for _ in range(size // len(BLOCK)):
                await reader.readexactly(len(BLOCK))
                peak = max(peak, read_rss())
            assert peak - before < 16 * MIB

    run_with_download_target(check)


def test_caller_that_does_not_read_pauses_the_target():
    # Guards against buffering of a response whose caller has stopped reading.
    async def check(harness):
        async with connect(harness.entry.address) as (reader, writer):
            writer.write(build_get(f"/archiv/{1024 * MIB}"))
            await reader.readuntil(b"\r\n\r\n")
            before = read_rss()
            await asyncio.sleep(0.5)
            assert read_rss() - before < 16 * MIB
            writer.transport.abort()
            with structlog.testing.capture_logs() as events:
                while harness.dispatcher.held_leases:
                    await asyncio.sleep(0.01)
            assert events == [], "a disconnected caller must not be logged as an error"
            assert harness.dispatcher.outcomes[-1][1].kind.value == "cancelled"

    run_with_download_target(check)
