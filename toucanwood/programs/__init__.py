"""The entry and the controller as programs of their own, without the platform."""

from toucanwood.programs._programs import serve_role
from toucanwood.programs._settings import ControllerRole, EntryRole, read_role

__all__ = ["ControllerRole", "EntryRole", "read_role", "serve_role"]
