"""Counts and events over time, read from log lines."""

import datetime
import math
from collections import Counter
from collections.abc import Iterable

import attrs

from toucanwood.request_history import LogLine

# Number of intervals into which a long log is divided; a short one has intervals of a
# second.
MAX_INTERVALS = 600
REQUEST_EVENTS = frozenset({"request_answered", "request_failed"})
# Statuses that state that a request has not run.
REFUSAL_STATUSES = frozenset({"408", "421", "429", "503"})
# Events that are marked in every plot, with their labels.
MARKED_EVENTS = {
    "leader_elected": "leader elected",
    "order_answered": "configuration",
}
STATE_EVENTS = {
    "target_ejected": "ejected by an entry",
    "target_limit_changed": "rate limit changed",
    "target_waiting": "asked an entry to wait",
    "target_leaving": "leaving, by a response",
    "target_silent": "silent",
    "target_left": "left",
    "gateway_started": "entry started",
    "controller_started": "controller started",
}


@attrs.frozen
class Mark:
    """One event of the control group; `at` is in seconds from the start of the logs."""

    at: float
    label: str
    detail: str


@attrs.define
class Interval:
    """What was logged in one interval of time."""

    outcomes: Counter[str] = attrs.field(factory=Counter)
    refusals: Counter[str] = attrs.field(factory=Counter)
    states: Counter[str] = attrs.field(factory=Counter)
    held_ms: list[float] = attrs.field(factory=list)

    def compute_percentile(self, fraction: float) -> float:
        """Return a percentile of the logged times in milliseconds, or NaN."""
        if not self.held_ms:
            return math.nan
        ordered = sorted(self.held_ms)
        return ordered[min(int(fraction * len(ordered)), len(ordered) - 1)]


@attrs.define
class Timeline:
    """The logged requests and events in intervals of equal length, in seconds."""

    started_at: datetime.datetime
    duration_s: float
    interval_s: float
    intervals: list[Interval]
    marks: list[Mark]
    line_count: int

    @classmethod
    def from_lines(cls, lines: Iterable[LogLine]) -> "Timeline":
        """Build a timeline; raise ValueError if there is no line."""
        ordered = sorted(lines, key=lambda line: line.timestamp)
        if not ordered:
            raise ValueError("lines must hold at least one log line, got none")
        started_at = _read_time(ordered[0])
        duration_s = (_read_time(ordered[-1]) - started_at).total_seconds()
        interval_s = max(1.0, math.ceil(duration_s / MAX_INTERVALS))
        timeline = cls(
            started_at=started_at,
            duration_s=duration_s,
            interval_s=interval_s,
            intervals=[Interval() for _ in range(int(duration_s // interval_s) + 1)],
            marks=[],
            line_count=len(ordered),
        )
        for line in ordered:
            timeline._add(line)
        return timeline

    def list_times(self) -> list[float]:
        """Return the start of each interval in seconds."""
        return [number * self.interval_s for number in range(len(self.intervals))]

    def list_refusal_reasons(self, limit: int) -> list[str]:
        """Return the most frequent reasons of refusals."""
        total: Counter[str] = Counter()
        for interval in self.intervals:
            total.update(interval.refusals)
        return [reason for reason, _ in total.most_common(limit)]

    def count_outcomes(self) -> Counter[str]:
        """Return the number of logged requests by outcome."""
        total: Counter[str] = Counter()
        for interval in self.intervals:
            total.update(interval.outcomes)
        return total

    def _add(self, line: LogLine) -> None:
        at = (_read_time(line) - self.started_at).total_seconds()
        interval = self.intervals[int(at // self.interval_s)]
        if line.event in REQUEST_EVENTS:
            _count_request(interval, line)
        elif line.event in STATE_EVENTS:
            interval.states[STATE_EVENTS[line.event]] += 1
        elif line.event in MARKED_EVENTS:
            detail = " ".join(
                f"{name}={line.pairs[name]}"
                for name in ("replica", "term", "revision", "status")
                if name in line.pairs
            )
            label = MARKED_EVENTS[line.event]
            if line.pairs.get("revision") == "0":
                # Orders that are no configuration have no revision.
                label = "evacuation"
            self.marks.append(Mark(at, label, detail))


def _count_request(interval: Interval, line: LogLine) -> None:
    pairs = line.pairs
    code, status = pairs.get("code", "unknown"), pairs.get("status", "")
    if code == "answered":
        interval.outcomes["answered" if status < "500" else "failed"] += 1
    elif status in REFUSAL_STATUSES:
        interval.outcomes["refused"] += 1
        interval.refusals[code] += 1
    elif code == "caller_left":
        interval.outcomes["caller left"] += 1
    else:
        interval.outcomes["failed"] += 1
    held = pairs.get("held_ms", "")
    if held.isdecimal():
        interval.held_ms.append(float(held))


def _read_time(line: LogLine) -> datetime.datetime:
    return datetime.datetime.fromisoformat(line.timestamp.replace("Z", "+00:00"))
