"""Responses that the entry generates itself."""

import json
import math
from collections.abc import Mapping
from typing import Any

from aiohttp.web_response import REASON_PHRASES

from toucanwood.entry._buffered_response import BufferedResponse
from toucanwood.verdicts import Verdict

REQUEST_ID_HEADER = "Toucanwood-Request-Id"
VERDICT_HEADER = "Toucanwood-Verdict"
DEADLINE_HEADER = "Toucanwood-Deadline-Ms"


def encode_json(value: Any) -> bytes:
    """Encode a value as one line of JSON."""
    return json.dumps(value, default=str, separators=(",", ":")).encode() + b"\n"


def build_json_response(
    value: Any, *, status: int = 200, headers: Mapping[str, str] | None = None
) -> BufferedResponse:
    """Build a JSON response."""
    pairs = [("Content-Type", "application/json"), *(headers or {}).items()]
    return BufferedResponse(
        status=status,
        reason=REASON_PHRASES.get(status, ""),
        headers=pairs,
        body=encode_json(value),
    )


def build_failure_body(verdict: Verdict, request_id: str) -> dict[str, Any]:
    """Build the JSON body of a failure response."""
    return {
        "error": {
            "code": verdict.code,
            "message": verdict.message,
            "verdict": verdict.execution.value,
            "request_id": request_id,
        }
    }


def build_failure_headers(verdict: Verdict, request_id: str) -> dict[str, str]:
    """Build the headers of a failure response; Retry-After only if a retry is safe."""
    headers = {VERDICT_HEADER: verdict.execution.value}
    if request_id:
        headers[REQUEST_ID_HEADER] = request_id
    if verdict.retry_after is not None and verdict.is_not_run:
        headers["Retry-After"] = str(max(0, math.ceil(verdict.retry_after)))
    if verdict.status == 401:
        headers["WWW-Authenticate"] = "Bearer"
    return headers


def build_failure_response(verdict: Verdict, request_id: str = "") -> BufferedResponse:
    """Build the response to a request that failed."""
    return build_json_response(
        build_failure_body(verdict, request_id),
        status=verdict.status,
        headers=build_failure_headers(verdict, request_id),
    )


def encode_failure_response(verdict: Verdict, *, reason: str) -> bytes:
    """Encode a failure response for a connection without a parsed request."""
    body = encode_json(build_failure_body(verdict, ""))
    lines = [f"HTTP/1.1 {verdict.status} {reason}"]
    headers = build_failure_headers(verdict, "")
    headers["Content-Type"] = "application/json"
    headers["Content-Length"] = str(len(body))
    headers["Connection"] = "close"
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode("ascii") + b"\r\n\r\n" + body
