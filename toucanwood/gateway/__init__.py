"""The entry: the process that callers connect to.

An entry forwards each request to a target that it chooses by its own measurements.
`GatewayInstance` is one entry.
"""

from toucanwood.gateway._headers import HeaderNames
from toucanwood.gateway._instance import GatewayInstance
from toucanwood.gateway._settings import GatewaySettings

__all__ = ["GatewayInstance", "GatewaySettings", "HeaderNames"]
