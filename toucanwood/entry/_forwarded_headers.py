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
# Headers that are not copied from the caller's request: API keys, Host, Expect, body
# framing and hop-by-hop headers.
_EXCLUDED_REQUEST_HEADERS = HOP_BY_HOP_HEADERS | {
    "authorization",
    "x-api-key",
    "host",
    "content-length",
    "expect",
}
# Prefix of the headers that only the entry sets. They are never copied from a caller or
# a target.
_ENTRY_HEADER_PREFIX = "toucanwood-"


def list_connection_options(headers: CIMultiDictProxy[str]) -> set[str]:
    """Return the lower-case header names that `Connection` declares as hop-by-hop."""
    values = headers.getall("Connection", ())
    return {name.strip().lower() for value in values for name in value.split(",")}


def filter_headers(
    headers: CIMultiDictProxy[str], excluded: frozenset[str]
) -> Iterable[tuple[str, str]]:
    """Yield the end-to-end headers without `excluded` and without Toucanwood-*."""
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
    """Return the encoded request line and headers for a target.

    `entry_headers` are headers that the entry adds; `framing` is the header line that
    declares the body framing, or an empty string.
    """
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
    """Return the headers of a target's response that are sent to the caller."""
    return CIMultiDict(filter_headers(headers, HOP_BY_HOP_HEADERS))
