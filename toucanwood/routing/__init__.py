"""Routes, services, organisations and caller limits, as operators declare them."""

from toucanwood.routing._document import (
    SECTIONS,
    apply_change,
    diff_documents,
    patch_document,
)
from toucanwood.routing._model import (
    CallerLimits,
    Organisation,
    Route,
    RouteKind,
    Service,
    Split,
)
from toucanwood.routing._table import RoutingTable

__all__ = [
    "SECTIONS",
    "CallerLimits",
    "Organisation",
    "Route",
    "RouteKind",
    "RoutingTable",
    "Service",
    "Split",
    "apply_change",
    "diff_documents",
    "patch_document",
]
