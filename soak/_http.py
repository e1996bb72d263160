"""Raw HTTP for callers and operators, so that nothing hides what was on the socket."""

import asyncio
import json

import attrs


@attrs.frozen
class Reply:
    """Hold an answer; `is_whole` tells whether the body came in full."""

    status: int
    headers: dict
    body: bytes
    is_whole: bool


async def send(address, method, path, *, headers=None, body=b"", timeout=3.0):
    """Send one request on a new connection; None means that no answer came."""
    try:
        async with asyncio.timeout(timeout):
            return await _send(address, method, path, headers or {}, body)
    except (OSError, EOFError, TimeoutError, ValueError):
        return None


async def send_json(address, method, path, content=None, **headers):
    """Send a call of an operator or target."""
    body = b"" if content is None else json.dumps(content).encode()
    names = {key.replace("_", "-"): value for key, value in headers.items()}
    return await send(address, method, path, headers=names, body=body, timeout=1.5)


async def _send(address, method, path, headers, body):
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        lines = [f"{method} {path} HTTP/1.1"]
        given = {"Host": "shop.example", **headers}
        if body:
            given["Content-Length"] = str(len(body))
        lines += [f"{name}: {value}" for name, value in given.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        return await _read(reader)
    finally:
        writer.close()


async def _read(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    line, *rest = head.strip().split("\r\n")
    headers = dict(item.split(": ", 1) for item in rest)
    length = int(headers.get("Content-Length", 0))
    try:
        content = await reader.readexactly(length)
    except asyncio.IncompleteReadError as error:
        return Reply(int(line.split()[1]), headers, error.partial, False)
    return Reply(int(line.split()[1]), headers, content, True)
