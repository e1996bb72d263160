"""Responses that the entry itself makes."""

import json
import math
from collections.abc import Mapping
from typing import Any

from aiohttp.web_response import REASON_PHRASES

from toucanwood.entry._buffered_response import WholeResponse
from toucanwood.verdicts import Verdict

REQUEST_ID = "Toucanwood-Request-Id"
VERDICT = "Toucanwood-Verdict"
DEADLINE = "Toucanwood-Deadline-Ms"


def encode_json(value: Any) -> bytes:
    """Return a value as one line of JSON."""
    return json.dumps(value, default=str, separators=(",", ":")).encode() + b"\n"


def build_json(
    value: Any, *, status: int = 200, headers: Mapping[str, str] | None = None
) -> WholeResponse:
    """Build a JSON response."""
    pairs = [("Content-Type", "application/json"), *(headers or {}).items()]
    return WholeResponse(
        status=status,
        reason=REASON_PHRASES.get(status, ""),
        headers=pairs,
        body=encode_json(value),
    )


def describe_failure(verdict: Verdict, request_id: str) -> dict[str, Any]:
    """Return the JSON body of a failure."""
    return {
        "error": {
            "code": verdict.code,
            "message": verdict.message,
            "verdict": verdict.execution.value,
            "request_id": request_id,
        }
    }


def list_failure_headers(verdict: Verdict, request_id: str) -> dict[str, str]:
    """Return the headers of a failure; Retry-After only where a retry is safe."""
    headers = {VERDICT: verdict.execution.value}
    if request_id:
        headers[REQUEST_ID] = request_id
    if verdict.retry_after is not None and verdict.is_not_run:
        headers["Retry-After"] = str(max(0, math.ceil(verdict.retry_after)))
    if verdict.status == 401:
        headers["WWW-Authenticate"] = "Bearer"
    return headers


def build_failure(verdict: Verdict, request_id: str = "") -> WholeResponse:
    """Build the response to a request that failed."""
    return build_json(
        describe_failure(verdict, request_id),
        status=verdict.status,
        headers=list_failure_headers(verdict, request_id),
    )


def encode_failure(verdict: Verdict, *, reason: str) -> bytes:
    """Return a whole response for a connection without a parsed request."""
    body = encode_json(describe_failure(verdict, ""))
    lines = [f"HTTP/1.1 {verdict.status} {reason}"]
    headers = list_failure_headers(verdict, "")
    headers["Content-Type"] = "application/json"
    headers["Content-Length"] = str(len(body))
    headers["Connection"] = "close"
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode("ascii") + b"\r\n\r\n" + body
