"""What the logs of several instances tell of one request."""

from toucanwood.stories._story import LogLine, parse_line, tell_story

__all__ = ["LogLine", "parse_line", "tell_story"]
