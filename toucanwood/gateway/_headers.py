"""The headers that callers, entries and targets exchange."""

import re
from collections.abc import Iterable

import attrs
from multidict import CIMultiDictProxy

from toucanwood.placement import (
    MAX_RATE_LIMIT,
    MAX_WAIT_S,
    MIN_RATE_LIMIT,
    LoadReport,
    ResponseSignals,
)

MS_PER_S = 1000.0
# Lower-case names of the headers that are not forwarded: hop-by-hop headers, body
# framing and Expect.
_EXCLUDED_HEADERS = frozenset(
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
        "content-length",
        "expect",
    }
)
_DIGITS_PATTERN = re.compile(r"[0-9]{1,12}")
_DECIMAL_PATTERN = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?")
_LOAD_PATTERN = re.compile(r"\s*(\d{1,6})\s*,\s*(\d{1,6})\s*,\s*(\d{1,6})\s*")


@attrs.frozen
class HeaderNames:
    """Names of the headers; an empty name means that the header is not used."""

    request_id: str = "Toucanwood-Request-Id"
    remaining_ms: str = "Toucanwood-Deadline-Ms"
    # Id of the target that a request is for; no other target may run the request.
    target_id: str = "Toucanwood-Target"
    organisation: str = "Toucanwood-Organisation"
    # A response with this header states that the target did not run the request.
    not_run: str = "Toucanwood-Not-Run"
    load: str = "Toucanwood-Load"
    # The requests per second that a target takes from all entries together.
    rate_limit: str = "Toucanwood-Rate-Limit"
    # A target with this header in its responses takes no new requests, if it is "1".
    leaving: str = "Toucanwood-Leaving"
    # A response with this header comes from the target itself.
    signature: str = ""
    answering_target: str = "Toucanwood-Answering-Target"
    cold_remaining_ms: str = "Toucanwood-Cold-Ms"
    object_cookie: str = "toucanwood-object"
    # Whether a request without an id gets one, so that its response can be recognised.
    adds_missing_request_id: bool = True

    def read_request_id(self, headers: CIMultiDictProxy[str]) -> str:
        """Return the id of a request or response, or "" if it has none."""
        return headers.get(self.request_id, "")

    def read_remaining_time(self, headers: CIMultiDictProxy[str]) -> float | None:
        """Return how many seconds the caller will wait, or None if not stated."""
        value = headers.get(self.remaining_ms, "").strip()
        return int(value) / MS_PER_S if _DIGITS_PATTERN.fullmatch(value) else None

    def read_api_key(self, headers: CIMultiDictProxy[str]) -> str | None:
        """Return the API key of the caller, or None if there is none."""
        value = headers.get("Authorization", "")
        return value[7:].strip() if value[:7].lower() == "bearer " else None

    def read_object_key(self, headers: CIMultiDictProxy[str]) -> str | None:
        """Return the key of the object that a request concerns, or None."""
        for cookie in headers.getall("Cookie", ()):
            for part in cookie.split(";"):
                name, _, value = part.strip().partition("=")
                if name == self.object_cookie and value:
                    return value
        return None

    def read_load_report(self, headers: CIMultiDictProxy[str]) -> LoadReport | None:
        """Return the load that a target reports, or None if it reports none."""
        match = _LOAD_PATTERN.fullmatch(headers.get(self.load, ""))
        if match is None:
            return None
        running, waiting, slots = (int(item) for item in match.groups())
        return LoadReport(running, waiting, slots)

    def read_signals(
        self, status: int, headers: CIMultiDictProxy[str]
    ) -> ResponseSignals:
        """Return what a response says of its target; values are bounded."""
        is_leaving = headers.get(self.leaving, "").strip() == "1"
        limit = _read_decimal(headers, self.rate_limit)
        wait_s = _read_decimal(headers, "Retry-After") if status == 503 else None
        return ResponseSignals(
            rate_limit=None
            if limit is None
            else min(max(limit, MIN_RATE_LIMIT), MAX_RATE_LIMIT),
            is_limit_valid=limit is not None or self.rate_limit not in headers,
            is_leaving=is_leaving,
            wait_s=min(wait_s or 0.0, MAX_WAIT_S),
        )

    def read_remaining_cold_start(self, headers: CIMultiDictProxy[str]) -> float:
        """Return for how many more seconds a target is cold."""
        value = headers.get(self.cold_remaining_ms, "").strip()
        return int(value) / MS_PER_S if _DIGITS_PATTERN.fullmatch(value) else 0.0

    def is_signed(self, headers: CIMultiDictProxy[str]) -> bool:
        """Return whether a response carries the signature header of its target."""
        return not self.signature or self.signature in headers

    def build_target_headers(
        self,
        headers: Iterable[tuple[str, str]],
        *,
        request_id: str,
        target_id: str,
        remaining_s: float,
        organisation: str | None,
    ) -> list[tuple[str, str]]:
        """Return the headers of a request to a target, without the API key."""
        replaced = {
            self.remaining_ms.lower(),
            self.target_id.lower(),
            self.organisation.lower(),
            "authorization",
        }
        listed = filter_headers(headers, replaced)
        listed.append((self.remaining_ms, str(max(int(remaining_s * MS_PER_S), 1))))
        listed.append((self.target_id, target_id))
        if self.adds_missing_request_id and not any(
            name.lower() == self.request_id.lower() for name, _ in listed
        ):
            listed.append((self.request_id, request_id))
        if organisation is not None:
            listed.append((self.organisation, organisation))
        return listed


def _read_decimal(headers: CIMultiDictProxy[str], name: str) -> float | None:
    """Return the number in a header that occurs once, None if there is none."""
    values = headers.getall(name, ())
    if len(values) != 1 or not _DECIMAL_PATTERN.fullmatch(values[0].strip()):
        return None
    return float(values[0])


def filter_headers(
    headers: Iterable[tuple[str, str]], excluded: Iterable[str] = ()
) -> list[tuple[str, str]]:
    """Return the end-to-end headers without `excluded`."""
    items = list(headers)
    dropped = {*_EXCLUDED_HEADERS, *excluded}
    for name, value in items:
        if name.lower() == "connection":
            dropped.update(part.strip().lower() for part in value.split(","))
    return [(name, value) for name, value in items if name.lower() not in dropped]
