"""Minimal HTTP client that exposes each response exactly as it was received."""

import asyncio
import json

import attrs
from adapter.tests.stand_ins import HOST


@attrs.frozen
class Response:
    """HTTP response; `is_complete` tells whether the whole body was received."""

    status: int
    headers: dict
    body: bytes
    is_complete: bool


async def send_request(
    address, method, path, *, headers=None, body=b"", chunk_bytes=0, timeout=3.0
):
    """Send a request on a new connection; return None if no response was received."""
    request = encode_request(method, path, headers or {}, body, chunk_bytes=chunk_bytes)
    try:
        async with asyncio.timeout(timeout):
            return await _exchange(address, request)
    except (OSError, EOFError, TimeoutError, ValueError):
        return None


async def send_json(address, method, path, content=None, **headers):
    """Send a JSON request; underscores in names of `headers` become hyphens."""
    body = b"" if content is None else json.dumps(content).encode()
    request_headers = {key.replace("_", "-"): value for key, value in headers.items()}
    return await send_request(
        address, method, path, headers=request_headers, body=body, timeout=1.5
    )


async def _exchange(address, request):
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(request)
        return await read_response(reader)
    finally:
        writer.close()


def encode_request(method, path, headers, body=b"", *, chunk_bytes=0):
    """Return a request whose body has a length, or chunks of a size."""
    all_headers = {"Host": HOST, **headers}
    if chunk_bytes:
        all_headers["Transfer-Encoding"] = "chunked"
        body = encode_chunks(body, chunk_bytes)
    elif body:
        all_headers["Content-Length"] = str(len(body))
    head_lines = [f"{method} {path} HTTP/1.1"]
    head_lines += [f"{name}: {value}" for name, value in all_headers.items()]
    return ("\r\n".join(head_lines) + "\r\n\r\n").encode() + body


def encode_chunks(body, chunk_bytes):
    """Return a body in chunks of a size."""
    chunks = [body[n : n + chunk_bytes] for n in range(0, len(body), chunk_bytes)]
    return b"".join(b"%x\r\n%b\r\n" % (len(c), c) for c in (*chunks, b""))


async def read_response(reader):
    """Read a response; raise EOFError or OSError if its head doesn't arrive."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    status_line, *header_lines = head.strip().split("\r\n")
    headers = dict(item.split(": ", 1) for item in header_lines)
    status = int(status_line.split()[1])
    content = bytearray()
    try:
        if headers.get("Transfer-Encoding") == "chunked":
            while size := int(await reader.readuntil(b"\n"), 16):
                content += (await reader.readexactly(size + 2))[:-2]
            await reader.readuntil(b"\n")
        else:
            content += await reader.readexactly(int(headers.get("Content-Length", 0)))
    except (EOFError, OSError) as error:
        content += getattr(error, "partial", b"")
        return Response(status, headers, bytes(content), False)
    return Response(status, headers, bytes(content), True)
