"""Find the lines of a request, and those of what was believed at that time."""

import datetime
import re
from collections.abc import Iterable

import attrs

_PAIR = re.compile(r'([A-Za-z_]\w*)=("(?:[^"\\]|\\.)*"|\S*)')
# Beliefs that changed this long before a request's line may have decided it.
BELIEF_WINDOW_S = 10.0
BELIEF_EVENTS = frozenset(
    {
        "target_ejected",
        "target_probed",
        "target_reported",
        "target_left",
        "target_silent",
    }
)
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
    """Hold one line: its time as written, its place in the files, and its pairs."""

    timestamp: str
    source: str
    pairs: dict[str, str]
    text: str

    @property
    def event(self) -> str:
        """Return the name of the event."""
        return self.pairs.get("event", "")


def parse_line(text: str, source: str) -> LogLine | None:
    """Read one line of key=value pairs; None if it is none."""
    pairs = {name: value.strip('"') for name, value in _PAIR.findall(text)}
    if "event" not in pairs or "timestamp" not in pairs:
        return None
    return LogLine(pairs["timestamp"], source, pairs, text.strip())


def find_request_lines(request_id: str, lines: Iterable[LogLine]) -> list[LogLine]:
    """Return the lines of a request, and the beliefs on its targets before them.

    Timestamps are ISO 8601 in UTC, so their order as text is that of time.
    """
    ordered = sorted(lines, key=lambda line: line.timestamp)
    own = [line for line in ordered if line.pairs.get("request") == request_id]
    if not own:
        return []
    targets = {
        attempt.partition(":")[0]
        for line in own
        for attempt in line.pairs.get("attempts", "").split(",")
        if attempt
    }
    sources = {line.source for line in own}
    first = _subtract(own[0].timestamp, BELIEF_WINDOW_S)
    last = own[-1].timestamp
    return [
        line
        for line in ordered
        if line in own
        or (first <= line.timestamp <= last and _counts(line, targets, sources))
    ]


def _counts(line: LogLine, targets: set[str], sources: set[str]) -> bool:
    if line.event in BELIEF_EVENTS:
        return line.pairs.get("target") in targets
    return line.event in INSTANCE_EVENTS and line.source in sources


def _subtract(timestamp: str, seconds: float) -> str:
    moment = datetime.datetime.fromisoformat(timestamp.replace("Z", "+00:00"))
    earlier = moment - datetime.timedelta(seconds=seconds)
    return earlier.strftime("%Y-%m-%dT%H:%M:%S.%fZ")
