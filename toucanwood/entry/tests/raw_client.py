"""Raw TCP client of an entry, for input that an HTTP client would not send."""

import asyncio
import contextlib

from toucanwood.entry.testing import KEY, Harness, build_declaration, build_service
from toucanwood.entry.tests.fake_target import FakeTarget

AUTH_HEADER = f"X-Api-Key: {KEY}\r\n"


def build_get(path, headers=AUTH_HEADER, version="1.1"):
    return f"GET {path} HTTP/{version}\r\nHost: h\r\n{headers}\r\n".encode()


@contextlib.asynccontextmanager
async def connect(address):
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        yield reader, writer
    finally:
        writer.close()


async def send_raw(address, data):
    """Send bytes and return all bytes received until the connection ends."""
    async with connect(address) as (reader, writer):
        writer.write(data)
        return await asyncio.wait_for(reader.read(), 20)


async def read_response(reader):
    """Return the status, the headers and the body of one response."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    lines = head.split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in lines[1:] if line)
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return int(lines[0].split()[1]), headers, body


def run_with_target(check, **service):
    """Run a check against an entry with one target and four services."""

    async def main():
        declaration = build_declaration(
            build_service("buscador", "/buscador/", **service),
            build_service("kasse", "/kasse/", idempotent=False, **service),
            build_service("abierto", "/abierto/", access="open", **service),
            build_service("raiz", "/", access="open", **service),
        )
        async with FakeTarget() as target:
            async with Harness(declaration, {"t1": target.address}) as harness:
                await check(harness, target)
                assert harness.dispatcher.held_leases == set()

    asyncio.run(main())
