"""The gateway: the process that callers connect to.

A gateway forwards each request to a target that it chooses by its own measurements.
Messages, dumps, metrics and some identifiers call a gateway an "entry".
"""

from toucanwood.gateway._headers import HeaderNames
from toucanwood.gateway._instance import GatewayInstance
from toucanwood.gateway._settings import GatewaySettings

__all__ = ["GatewayInstance", "GatewaySettings", "HeaderNames"]
