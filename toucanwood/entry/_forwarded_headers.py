"""Headers of forwarded requests and responses."""

from collections.abc import Iterable

from multidict import CIMultiDict, CIMultiDictProxy

HOP_BY_HOP = frozenset(
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
_NOT_FORWARDED = HOP_BY_HOP | {
    "authorization",
    "x-api-key",
    "host",
    "content-length",
    "expect",
}
_OWN_PREFIX = "toucanwood-"


def list_connection_names(headers: CIMultiDictProxy[str]) -> set[str]:
    """Return the lower-case header names that Connection declares as hop-by-hop."""
    values = headers.getall("Connection", ())
    return {name.strip().lower() for value in values for name in value.split(",")}


def select_headers(
    headers: CIMultiDictProxy[str], dropped: frozenset[str]
) -> Iterable[tuple[str, str]]:
    """Yield the end-to-end headers, without `dropped` and the entry's own."""
    named = list_connection_names(headers) if "Connection" in headers else ()
    for name, value in headers.items():
        lower = name.lower()
        if lower in dropped or lower in named or lower.startswith(_OWN_PREFIX):
            continue
        yield name, value


def encode_request_head(
    method: str,
    target: str,
    headers: CIMultiDictProxy[str],
    *,
    address: str,
    framing: str,
    own: Iterable[tuple[str, str]],
) -> bytes:
    """Return the request line and the headers for a target."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines.append(f"Host: {headers.get('Host') or address}")
    for name, value in select_headers(headers, _NOT_FORWARDED):
        lines.append(f"{name}: {value}")
    for name, value in own:
        lines.append(f"{name}: {value}")
    if framing:
        lines.append(framing)
    text = "\r\n".join(lines) + "\r\n\r\n"
    return text.encode("utf-8", "surrogateescape")


def select_response_headers(headers: CIMultiDictProxy[str]) -> CIMultiDict[str]:
    """Return the headers of a target's response that the caller may see."""
    return CIMultiDict(select_headers(headers, HOP_BY_HOP))
