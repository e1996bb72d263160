"""A small HTTP/1.1 client, with calls of the operator and of the platform."""

import asyncio
import json


class Answer:
    """Hold one answer: its status, lower-case headers and body."""

    def __init__(self, status, headers, body, is_complete):
        self.status = status
        self.headers = headers
        self.body = body
        self.is_complete = is_complete


async def connect(address):
    host, _, port = address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


def encode_request(method, path, headers, body=b""):
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def read_head(reader):
    """Return the status and the headers of the next answer."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    status_line, *lines = head.strip().split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return int(status_line.split()[1]), headers


async def read_answer(reader):
    status, headers = await read_head(reader)
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = await _read_chunks(reader)
        else:
            body = await reader.readexactly(int(headers.get("content-length", "0")))
    except asyncio.IncompleteReadError as error:
        return Answer(status, headers, error.partial, False)
    return Answer(status, headers, body, True)


async def _read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            return body


async def request(address, method, path, headers=None, body=b"", timeout=3.0):
    """Send a request on a new connection; return None if there is no answer in time."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await connect(address)
            all_headers = {"Host": address, **(headers or {})}
            writer.write(encode_request(method, path, all_headers, body))
            return await read_answer(reader)
    except (OSError, EOFError, TimeoutError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Operator:
    """Send orders as the page on the protocol tells.

    After a failure, a 5xx or a second without an answer, the next node is called.
    """

    def __init__(self, nodes, record):
        self._nodes = list(nodes)
        self._record = record

    async def order(self, method, path, content=None, headers=None, first=0, limit=20):
        """Send an order until it gets a clear answer; return its status or None."""
        body = b"" if content is None else json.dumps(content).encode()
        pause = 0.01
        for attempt in range(limit):
            node = self._nodes[(first + attempt) % len(self._nodes)]
            self._record(f"operator sends {method} {path} to {node}")
            answer = await request(node, method, path, headers, body, timeout=1.0)
            status = answer.status if answer is not None else None
            self._record(f"operator gets {status} for {method} {path} from {node}")
            if status is not None and status < 500 and status not in (408, 429):
                return status
            await asyncio.sleep(pause)
            pause = min(2 * pause, 0.5)
        return None
