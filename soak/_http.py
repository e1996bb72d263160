"""Minimal HTTP client that exposes each response exactly as it was received."""

import asyncio
import json

import attrs


@attrs.frozen
class Response:
    """HTTP response; `is_complete` tells whether the whole body was received."""

    status: int
    headers: dict
    body: bytes
    is_complete: bool


async def send_request(address, method, path, *, headers=None, body=b"", timeout=3.0):
    """Send a request on a new connection; return None if no response was received."""
    try:
        async with asyncio.timeout(timeout):
            return await _exchange(address, method, path, headers or {}, body)
    except (OSError, EOFError, TimeoutError, ValueError):
        return None


async def send_json(address, method, path, content=None, **headers):
    """Send a JSON request; underscores in names of `headers` become hyphens."""
    body = b"" if content is None else json.dumps(content).encode()
    request_headers = {key.replace("_", "-"): value for key, value in headers.items()}
    return await send_request(
        address, method, path, headers=request_headers, body=body, timeout=1.5
    )


async def _exchange(address, method, path, headers, body):
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        head_lines = [f"{method} {path} HTTP/1.1"]
        all_headers = {"Host": "shop.example", **headers}
        if body:
            all_headers["Content-Length"] = str(len(body))
        head_lines += [f"{name}: {value}" for name, value in all_headers.items()]
        writer.write(("\r\n".join(head_lines) + "\r\n\r\n").encode() + body)
        return await _read_response(reader)
    finally:
        writer.close()


async def _read_response(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    status_line, *header_lines = head.strip().split("\r\n")
    headers = dict(item.split(": ", 1) for item in header_lines)
    length = int(headers.get("Content-Length", 0))
    try:
        content = await reader.readexactly(length)
    except asyncio.IncompleteReadError as error:
        return Response(int(status_line.split()[1]), headers, error.partial, False)
    return Response(int(status_line.split()[1]), headers, content, True)
