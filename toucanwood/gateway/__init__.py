"""An entry instance that places requests by its own observations."""

from toucanwood.gateway._headers import HeaderNames
from toucanwood.gateway._instance import GatewayInstance
from toucanwood.gateway._settings import GatewaySettings

__all__ = ["GatewayInstance", "GatewaySettings", "HeaderNames"]
