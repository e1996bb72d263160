"""The history of one request, from the logs of several instances."""

from toucanwood.request_history._history import LogLine, find_request_lines, parse_line

__all__ = ["LogLine", "parse_line", "find_request_lines"]
