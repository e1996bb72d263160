"""Matching of request paths to routes and services."""

from returns.result import Failure, Result, Success

from toucanwood.declaration import Declaration, Route, Service
from toucanwood.entry._interfaces import CatalogView
from toucanwood.entry._request_context import RequestError
from toucanwood.entry._request_validation import build_malformed_verdict, normalise_path
from toucanwood.verdicts import Verdict, refuse

STALE_STATE_RETRY_AFTER_S = 1.0


def check_ready(view: CatalogView) -> None:
    """Raise `RequestError` until the state has been confirmed as current once.

    Otherwise, a restarted instance could use an older revision than before the
    restart, or refuse a declared route as unknown.
    """
    if not view.is_ready:
        message = "this instance has not received the current state yet"
        verdict = refuse(
            "state_stale", message, status=503, retry_after=STALE_STATE_RETRY_AFTER_S
        )
        raise RequestError(verdict)


def match_route(
    declaration: Declaration, path: str
) -> Result[tuple[Route, Service], Verdict]:
    """Return the route and its service; refuse an ambiguous path.

    Some targets decode a path before they use it and others do not. If the decoded path
    matches another route, the request could reach a keyed resource over an open route.
    """
    match = declaration.find_route(path)
    if "%" in path or "//" in path:
        if declaration.find_route(normalise_path(path)) != match:
            message = "the request target matches another route when it is normalised"
            return Failure(build_malformed_verdict("target_ambiguous", message))
    if match is None:
        return Failure(refuse("route_unknown", "no route matches", status=404))
    return Success(match)
