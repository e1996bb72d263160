"""Logs: one line of key=value pairs for each event, on standard output.

Writing never blocks the caller: lines go through a bounded buffer to a thread. Events
that many requests can cause are limited by name; what is left out is counted, and a
line tells the count.
"""

import atexit
import logging
import sys
import threading
import time
from collections import deque
from collections.abc import Callable, MutableMapping
from typing import Any, TextIO

import attrs
import structlog

# Lines that wait for a slow reader; about 2 MB.
MAX_BUFFERED_LINES = 8192
# Lines a second of each limited event, and how many may come at once.
LINES_PER_S = 40.0
LINES_AT_ONCE = 400.0
REPORT_INTERVAL_S = 1.0
# The last lines of a process that ends are worth this wait.
EXIT_FLUSH_S = 0.5
# Events that requests and callers cause. Everything else tells of the process itself,
# of what it believes, or of an operator's order, and is never left out.
LIMITED_EVENTS = frozenset(
    {
        "request_answered",
        "request_failed",
        "request_malformed",
        "call_invalid",
        "call_incomplete",
        "target_probed",
        "controller_lost",
        "relay_lost",
        "relay_refused",
    }
)


class LineWriter:
    """Write lines from a thread; drop the newest ones when the buffer is full."""

    def __init__(self, stream: TextIO) -> None:
        self._stream = stream
        self._lines: deque[str] = deque()
        self._wake = threading.Event()
        self._thread: threading.Thread | None = None
        self.dropped = 0

    def msg(self, line: str) -> None:
        """Queue one line; never blocks."""
        if self._thread is None:
            self._start()
        if len(self._lines) >= MAX_BUFFERED_LINES:
            self.dropped += 1
            return
        if self.dropped:
            self._lines.append(
                f"level=warning event=log_lines_dropped n={self.dropped}"
            )
            self.dropped = 0
        self._lines.append(line)
        self._wake.set()

    debug = info = warning = error = critical = exception = log = fatal = msg

    def flush(self, timeout: float) -> None:
        """Wait until the queued lines are written, for `timeout` seconds at most."""
        deadline = time.monotonic() + timeout
        while self._lines and time.monotonic() < deadline:
            time.sleep(0.005)

    def _start(self) -> None:
        self._thread = threading.Thread(target=self._run, name="logs", daemon=True)
        self._thread.start()

    def _run(self) -> None:
        while True:
            self._wake.wait()
            self._wake.clear()
            while self._lines:
                batch = [self._lines.popleft() for _ in range(len(self._lines))]
                try:
                    self._stream.write("\n".join(batch) + "\n")
                    self._stream.flush()
                except (OSError, ValueError):
                    # Nobody reads any more; there is no other place to say so.
                    self.dropped += len(batch)


@attrs.define
class _Bucket:
    tokens: float = LINES_AT_ONCE
    filled_at: float = 0.0
    left_out: int = 0
    reported_at: float = 0.0


@attrs.define
class EventLimiter:
    """Leave out limited events beyond their rate, and say how many."""

    clock: Callable[[], float] = time.monotonic
    _buckets: dict[str, _Bucket] = attrs.field(factory=dict)

    def __call__(
        self, logger: Any, method: str, event: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        """Process one structlog event; raise DropEvent to leave it out."""
        name = event.get("event", "")
        if name not in LIMITED_EVENTS:
            return event
        now = self.clock()
        bucket = self._buckets.setdefault(name, _Bucket(filled_at=now))
        earned = (now - bucket.filled_at) * LINES_PER_S
        bucket.tokens = min(bucket.tokens + earned, LINES_AT_ONCE)
        bucket.filled_at = now
        if bucket.tokens < 1.0:
            bucket.left_out += 1
            raise structlog.DropEvent
        bucket.tokens -= 1.0
        if bucket.left_out and now - bucket.reported_at >= REPORT_INTERVAL_S:
            event["left_out_before"] = bucket.left_out
            bucket.left_out = 0
            bucket.reported_at = now
        return event


def configure_logging(stream: TextIO | None = None) -> LineWriter:
    """Write structlog events and library warnings as key=value lines."""
    writer = LineWriter(stream if stream is not None else sys.stdout)
    atexit.register(writer.flush, EXIT_FLUSH_S)
    structlog.configure(
        processors=[
            EventLimiter(),
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.LogfmtRenderer(
                key_order=["timestamp", "level", "event"], bool_as_flag=False
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=lambda *args: writer,
        cache_logger_on_first_use=True,
    )
    logging.basicConfig(level=logging.ERROR, handlers=[_LogfmtHandler()], force=True)
    return writer


class _LogfmtHandler(logging.Handler):
    """Pass records of the standard library on as events."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log the first line of the message; tracebacks would break the line."""
        message = record.getMessage().partition("\n")[0]
        error = repr(record.exc_info[1]) if record.exc_info else None
        log = structlog.get_logger()
        log.error("library_error", logger=record.name, message=message, error=error)
