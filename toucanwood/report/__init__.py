"""A report of what a fleet did, from the logs of its instances."""

from toucanwood.report._page import build_page
from toucanwood.report._timeline import Timeline

__all__ = ["Timeline", "build_page"]
