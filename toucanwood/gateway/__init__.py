"""The entry: the process that callers connect to.

An entry forwards each request to a target that it chooses by its own measurements.
`GatewayInstance` is one entry.
"""

from typing import TYPE_CHECKING, Any

from toucanwood.gateway._headers import HeaderNames
from toucanwood.gateway._settings import GatewaySettings

if TYPE_CHECKING:
    from toucanwood.gateway._instance import GatewayInstance

__all__ = ["GatewayInstance", "GatewaySettings", "HeaderNames"]


def __getattr__(name: str) -> Any:
    """Import the entry on first use: controllers need its settings only."""
    if name == "GatewayInstance":
        from toucanwood.gateway._instance import GatewayInstance

        return GatewayInstance
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
