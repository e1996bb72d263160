"""One instance: its components, its life cycle and its state dump."""

from toucanwood.server._instance import Instance
from toucanwood.server._serve import serve_forever

__all__ = ["Instance", "serve_forever"]
