"""Command line interface."""

from toucanwood.cli._commands import app, run

__all__ = ["app", "run"]
