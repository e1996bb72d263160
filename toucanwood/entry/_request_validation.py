"""Validation of request heads before a request is processed."""

import re
from urllib.parse import unquote

from multidict import CIMultiDictProxy
from returns.result import Failure, Result, Success

from toucanwood.verdicts import Verdict, refuse

# Number of times that a path is percent-decoded to find encoded dot segments.
MAX_DECODING_PASSES = 3
# Request targets without "%", "." and other characters that need further checks.
_PLAIN_REQUEST_TARGET = re.compile(r"/[A-Za-z0-9_~!$&'()*+,;=:@?/-]*")
_VISIBLE_ASCII = re.compile(r"[!-~]+")
_INVALID_PERCENT_ENCODING = re.compile(r"%(?![0-9A-Fa-f]{2})")
_DIGITS = re.compile(r"[0-9]+")
_REQUEST_ID = re.compile(r"[A-Za-z0-9._-]{1,64}")
_ACCEPTED: Result[None, Verdict] = Success(None)
_UNSUPPORTED_METHODS = frozenset({"CONNECT", "TRACE"})


def build_malformed_verdict(code: str, message: str, *, status: int = 400) -> Verdict:
    """Build the verdict for a malformed request."""
    return refuse(code, message, status=status)


def check_request_target(request_target: str) -> Result[str, Verdict]:
    """Return the path of an origin-form request target, without the query."""
    if _PLAIN_REQUEST_TARGET.fullmatch(request_target) and "//" not in request_target:
        return Success(request_target.partition("?")[0])
    if not request_target.startswith("/"):
        message = "the request target must be a path that starts with '/'"
        return Failure(build_malformed_verdict("target_not_origin_form", message))
    if (
        not _VISIBLE_ASCII.fullmatch(request_target)
        or "#" in request_target
        or "\\" in request_target
    ):
        message = "the request target contains a character that is not allowed"
        return Failure(build_malformed_verdict("target_invalid", message))
    path = request_target.partition("?")[0]
    if _INVALID_PERCENT_ENCODING.search(path) or "%00" in path:
        message = "the request target contains an invalid percent-encoding"
        return Failure(build_malformed_verdict("target_invalid", message))
    if _has_dot_segment(path):
        message = "the request target must not contain dot segments"
        return Failure(build_malformed_verdict("target_dot_segment", message))
    return Success(path)


def _has_dot_segment(path: str) -> bool:
    for _ in range(MAX_DECODING_PASSES):
        segments = path.replace("\\", "/").split("/")
        # Some servers drop a path parameter (";...") that follows the dots.
        if any(item.partition(";")[0] in (".", "..") for item in segments):
            return True
        decoded = unquote(path)
        if decoded == path:
            return False
        path = decoded
    return False


def normalise_path(path: str) -> str:
    """Return the path as a target may interpret it: decoded, with single slashes."""
    return re.sub("/+", "/", unquote(path).replace("\\", "/"))


def check_request_head(
    method: str, headers: CIMultiDictProxy[str], *, is_http11: bool
) -> Result[None, Verdict]:
    """Refuse unsupported methods, duplicate Host headers and ambiguous body framing."""
    if method in _UNSUPPORTED_METHODS:
        message = f"the method {method} is not supported"
        return Failure(
            build_malformed_verdict("method_unsupported", message, status=405)
        )
    if len(headers.getall("Host", ())) > 1:
        message = "the request has more than one Host header"
        return Failure(build_malformed_verdict("host_ambiguous", message))
    lengths = headers.getall("Content-Length", ())
    encodings = headers.getall("Transfer-Encoding", ())
    if not lengths and not encodings:
        return _ACCEPTED
    if encodings and not (is_http11 and _is_only_chunked(encodings)):
        message = "Transfer-Encoding must be 'chunked' and requires HTTP/1.1"
        return Failure(build_malformed_verdict("framing_unsupported", message))
    if len(lengths) + len(encodings) > 1 or not _are_valid_lengths(lengths):
        message = "the request must have one Content-Length or Transfer-Encoding"
        return Failure(build_malformed_verdict("framing_ambiguous", message))
    return Success(None)


def _is_only_chunked(encodings: list[str] | tuple[()]) -> bool:
    return [item.strip().lower() for item in encodings] == ["chunked"]


def _are_valid_lengths(lengths: list[str] | tuple[()]) -> bool:
    return all(_DIGITS.fullmatch(item) for item in lengths)


def read_api_key(headers: CIMultiDictProxy[str]) -> Result[str | None, Verdict]:
    """Return the caller's API key; refuse a request with two different keys."""
    bearer = read_bearer_token(headers)
    key = headers.get("X-Api-Key")
    if bearer is not None and key is not None and bearer != key:
        message = "Authorization and X-Api-Key contain different keys"
        return Failure(build_malformed_verdict("key_ambiguous", message))
    return Success(bearer if bearer is not None else key)


def read_bearer_token(headers: CIMultiDictProxy[str]) -> str | None:
    """Return the bearer token of the Authorization header, or None."""
    value = headers.get("Authorization")
    if value is None or value[:7].lower() != "bearer ":
        return None
    return value[7:].strip()


def is_valid_request_id(value: str) -> bool:
    """Return whether a request id of the caller may be used."""
    return _REQUEST_ID.fullmatch(value) is not None
