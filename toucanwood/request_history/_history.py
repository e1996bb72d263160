"""Selection of the log lines that explain how one request was handled."""

import datetime
import re
from collections.abc import Iterable

import attrs

_PAIR_PATTERN = re.compile(r'([A-Za-z_]\w*)=("(?:[^"\\]|\\.)*"|\S*)')
# Time before the first line of a request for which other events are included, because
# they may have influenced how the request was handled.
CONTEXT_WINDOW_S = 10.0
# Events about one target.
TARGET_EVENTS = frozenset(
    {
        "target_ejected",
        "target_limit_changed",
        "target_waiting",
        "target_leaving",
        "target_probed",
        "target_reported",
        "target_left",
        "target_silent",
    }
)
# Events about the instance that logs them.
INSTANCE_EVENTS = frozenset(
    {
        "routing_applied",
        "controller_lost",
        "gateway_started",
        "gateway_leaving",
        "leader_elected",
        "order_answered",
        "controller_started",
    }
)


@attrs.frozen
class LogLine:
    """One log line: timestamp as written, name of its file, key=value pairs, text."""

    timestamp: str
    source: str
    pairs: dict[str, str]
    text: str

    @property
    def event(self) -> str:
        """Return the event name."""
        return self.pairs.get("event", "")


def parse_line(text: str, source: str) -> LogLine | None:
    """Parse a line of key=value pairs; return None for any other text."""
    pairs = {name: value.strip('"') for name, value in _PAIR_PATTERN.findall(text)}
    if "event" not in pairs or "timestamp" not in pairs:
        return None
    return LogLine(pairs["timestamp"], source, pairs, text.strip())


def find_request_lines(request_id: str, lines: Iterable[LogLine]) -> list[LogLine]:
    """Return the lines of a request and related events, in time order.

    Related events happened before or during the request and are about its targets or
    about the instances that logged it. Timestamps are ISO 8601 in UTC, so their order
    as strings is the order in time.
    """
    ordered = sorted(lines, key=lambda line: line.timestamp)
    request_lines = [
        line for line in ordered if line.pairs.get("request") == request_id
    ]
    if not request_lines:
        return []
    targets = {
        attempt.partition(":")[0]
        for line in request_lines
        for attempt in line.pairs.get("attempts", "").split(",")
        if attempt
    }
    sources = {line.source for line in request_lines}
    window_start = _subtract_seconds(request_lines[0].timestamp, CONTEXT_WINDOW_S)
    window_end = request_lines[-1].timestamp
    return [
        line
        for line in ordered
        if line in request_lines
        or (
            window_start <= line.timestamp <= window_end
            and _is_context(line, targets, sources)
        )
    ]


def _is_context(line: LogLine, targets: set[str], sources: set[str]) -> bool:
    if line.event in TARGET_EVENTS:
        return line.pairs.get("target") in targets
    return line.event in INSTANCE_EVENTS and line.source in sources


def _subtract_seconds(timestamp: str, seconds: float) -> str:
    time = datetime.datetime.fromisoformat(timestamp.replace("Z", "+00:00"))
    earlier = time - datetime.timedelta(seconds=seconds)
    return earlier.strftime("%Y-%m-%dT%H:%M:%S.%fZ")
