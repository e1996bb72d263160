"""Declaration of services, organisations, shift caps, drains and links."""

from toucanwood.declaration._declaration import (
    ClientBlock,
    Declaration,
    Drains,
    Link,
    Organisation,
    Region,
    Route,
    Service,
    ShiftCap,
)
from toucanwood.declaration._diff import Change, diff

__all__ = [
    "Change",
    "ClientBlock",
    "Declaration",
    "Drains",
    "Link",
    "Organisation",
    "Region",
    "Route",
    "Service",
    "ShiftCap",
    "diff",
]
