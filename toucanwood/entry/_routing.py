"""The match of a request path to a service."""

from typing import Any

import attrs
from returns.result import Failure, Result, Success

from toucanwood.entry._guard import normalise_path, refuse_malformed
from toucanwood.verdicts import Verdict, refuse


@attrs.frozen
class Match:
    """Name the service of a request; `access` is "keyed" or "open"."""

    prefix: str
    service: Any
    access: str


class Router:
    """Find the longest matching prefix in one declaration."""

    def __init__(self, declaration: Any) -> None:
        self.declaration = declaration
        matches = [
            Match(route.prefix, service, route.access)
            for service in declaration.services
            for route in service.routes
        ]
        self._matches = sorted(matches, key=lambda match: -len(match.prefix))

    def match(self, path: str) -> Result[Match, Verdict]:
        """Return the match; refuse a path whose decoded form has another route.

        Targets differ in whether they decode a path before they use it, so a path
        with two readings could reach a keyed resource over an open route.
        """
        match = self._find(path)
        if ("%" in path or "//" in path) and self._find(normalise_path(path)) != match:
            message = "the request target has more than one reading"
            return Failure(refuse_malformed("target_ambiguous", message))
        if match is None:
            return Failure(refuse("route_unknown", "no route matches", status=404))
        return Success(match)

    def _find(self, path: str) -> Match | None:
        for match in self._matches:
            if path.startswith(match.prefix):
                return match
        return None
