"""Responses to callers and their encoding."""

import json
from collections.abc import Iterable

import attrs
from aiohttp.web_response import REASON_PHRASES

from toucanwood.verdicts import Verdict

MAX_JOINED_BYTES = 64 * 1024
_NO_BODY_STATUSES = frozenset({204, 304})


@attrs.frozen
class Response:
    """Hold a complete response; `headers` must not contain framing headers."""

    status: int
    headers: Iterable[tuple[str, str]] = ()
    body: bytes = b""
    reason: str | None = None
    # The Content-Length of a response to HEAD.
    declared_length: str | None = None
    code: str = ""


def build_error_response(
    verdict: Verdict, headers: Iterable[tuple[str, str]] = ()
) -> Response:
    """Build the response to a request that failed."""
    lines = [("Content-Type", "application/json"), *headers]
    lines.append(("Toucanwood-Verdict", verdict.execution.value))
    if verdict.retry_after is not None:
        lines.append(("Retry-After", f"{verdict.retry_after:.3f}"))
    error = {
        "code": verdict.code,
        "message": verdict.message,
        "verdict": verdict.execution.value,
    }
    body = json.dumps({"error": error}).encode()
    return Response(status=verdict.status, headers=lines, body=body, code=verdict.code)


def encode_head(
    status: int,
    reason: str | None,
    headers: Iterable[tuple[str, str]],
    framing: str,
    *,
    closes_connection: bool,
) -> bytes:
    """Return the status line and the header lines of a response."""
    phrase = REASON_PHRASES.get(status, "") if reason is None else reason
    lines = [f"HTTP/1.1 {status} {phrase}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if framing:
        lines.append(framing)
    if closes_connection:
        lines.append("Connection: close")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("utf-8", "surrogateescape")


def encode_response(
    response: Response, *, is_head: bool, closes_connection: bool
) -> list[bytes]:
    """Return the bytes of a complete response in one or two parts.

    A long body is a part of its own, so that it isn't copied.
    """
    length = f"Content-Length: {len(response.body)}"
    body = response.body
    if is_head or response.status in _NO_BODY_STATUSES:
        body = b""
        length = ""
        if response.declared_length is not None and response.status != 204:
            length = f"Content-Length: {response.declared_length}"
    head = encode_head(
        response.status,
        response.reason,
        response.headers,
        length,
        closes_connection=closes_connection,
    )
    if len(body) > MAX_JOINED_BYTES:
        return [head, body]
    return [head + body]
