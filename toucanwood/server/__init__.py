"""The components, life cycle and state dump of an instance."""

from toucanwood.server._instance import Instance
from toucanwood.server._serve import serve_forever

__all__ = ["Instance", "serve_forever"]
