"""Headers of forwarded requests and responses."""

from collections.abc import Iterable

from multidict import CIMultiDict, CIMultiDictProxy

HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# Keys, framing and the entry's own headers are never taken over from the caller.
_EXCLUDED_REQUEST_HEADERS = HOP_BY_HOP_HEADERS | {
    "authorization",
    "x-api-key",
    "host",
    "content-length",
    "expect",
}
_ENTRY_HEADER_PREFIX = "toucanwood-"


def list_connection_options(headers: CIMultiDictProxy[str]) -> set[str]:
    """Return the lower-case header names that Connection declares as hop-by-hop."""
    values = headers.getall("Connection", ())
    return {name.strip().lower() for value in values for name in value.split(",")}


def filter_headers(
    headers: CIMultiDictProxy[str], excluded: frozenset[str]
) -> Iterable[tuple[str, str]]:
    """Yield the end-to-end headers, without `dropped` and the entry's own."""
    connection_options = (
        list_connection_options(headers) if "Connection" in headers else ()
    )
    for name, value in headers.items():
        lower = name.lower()
        if (
            lower in excluded
            or lower in connection_options
            or lower.startswith(_ENTRY_HEADER_PREFIX)
        ):
            continue
        yield name, value


def encode_request_head(
    method: str,
    request_target: str,
    headers: CIMultiDictProxy[str],
    *,
    address: str,
    framing: str,
    entry_headers: Iterable[tuple[str, str]],
) -> bytes:
    """Return the request line and the headers for a target."""
    lines = [f"{method} {request_target} HTTP/1.1"]
    lines.append(f"Host: {headers.get('Host') or address}")
    for name, value in filter_headers(headers, _EXCLUDED_REQUEST_HEADERS):
        lines.append(f"{name}: {value}")
    for name, value in entry_headers:
        lines.append(f"{name}: {value}")
    if framing:
        lines.append(framing)
    text = "\r\n".join(lines) + "\r\n\r\n"
    return text.encode("utf-8", "surrogateescape")


def filter_response_headers(headers: CIMultiDictProxy[str]) -> CIMultiDict[str]:
    """Return the headers of a target's response that the caller may see."""
    return CIMultiDict(filter_headers(headers, HOP_BY_HOP_HEADERS))
