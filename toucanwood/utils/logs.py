"""Logging: one line of key=value pairs for each event, on standard output.

Logging never blocks the caller: lines go through a bounded buffer to a writer thread.
Events that requests can cause in large numbers are rate limited by event name. Dropped
lines are counted, and a later line reports the count.
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

# Maximum number of lines buffered for a slow reader of the log; about 2 MB.
MAX_BUFFERED_LINES = 8192
# Rate and burst size of each rate-limited event.
MAX_EVENT_LINES_PER_S = 40.0
MAX_EVENT_BURST_LINES = 400.0
# Minimum time between two reports of the number of dropped lines of one event.
REPORT_INTERVAL_S = 1.0
# Maximum time that the process waits at exit until the last lines are written.
EXIT_FLUSH_TIMEOUT_S = 0.5
# Rate-limited events: the ones that requests and callers cause. All other events are
# about the process, its view of other processes, or an operator's command, and are
# never dropped.
RATE_LIMITED_EVENTS = frozenset(
    {
        "request_answered",
        "request_failed",
        "request_malformed",
        "call_invalid",
        "call_incomplete",
        "target_probed",
        "target_limit_changed",
        "target_waiting",
        "target_signal_invalid",
        "update_unused",
        "controller_lost",
        "relay_lost",
        "relay_refused",
    }
)


class LineWriter:
    """Writer of lines from a thread; drops new lines while the buffer is full."""

    def __init__(self, stream: TextIO) -> None:
        self._stream = stream
        self._lines: deque[str] = deque()
        self._has_lines = threading.Event()
        self._thread: threading.Thread | None = None
        self.dropped = 0

    def msg(self, line: str) -> None:
        """Queue one line without blocking."""
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
        self._has_lines.set()

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
            self._has_lines.wait()
            self._has_lines.clear()
            while self._lines:
                batch = [self._lines.popleft() for _ in range(len(self._lines))]
                try:
                    self._stream.write("\n".join(batch) + "\n")
                    self._stream.flush()
                except (OSError, ValueError):
                    # The reader has closed the stream, and there is no other output to
                    # report that on.
                    self.dropped += len(batch)


@attrs.define
class _TokenBucket:
    tokens: float = MAX_EVENT_BURST_LINES
    refilled_at: float = 0.0
    dropped: int = 0
    reported_at: float = 0.0


@attrs.define
class EventLimiter:
    """Processor that drops rate-limited events and reports how many."""

    clock: Callable[[], float] = time.monotonic
    _buckets: dict[str, _TokenBucket] = attrs.field(factory=dict)

    def __call__(
        self, logger: Any, method: str, event: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        """Return the event; raise DropEvent if its rate is exceeded."""
        name = event.get("event", "")
        if name not in RATE_LIMITED_EVENTS:
            return event
        now = self.clock()
        bucket = self._buckets.setdefault(name, _TokenBucket(refilled_at=now))
        refill = (now - bucket.refilled_at) * MAX_EVENT_LINES_PER_S
        bucket.tokens = min(bucket.tokens + refill, MAX_EVENT_BURST_LINES)
        bucket.refilled_at = now
        if bucket.tokens < 1.0:
            bucket.dropped += 1
            raise structlog.DropEvent
        bucket.tokens -= 1.0
        if bucket.dropped and now - bucket.reported_at >= REPORT_INTERVAL_S:
            event["left_out_before"] = bucket.dropped
            bucket.dropped = 0
            bucket.reported_at = now
        return event


def configure_logging(stream: TextIO | None = None) -> LineWriter:
    """Write structlog events and library warnings as key=value lines."""
    writer = LineWriter(stream if stream is not None else sys.stdout)
    atexit.register(writer.flush, EXIT_FLUSH_TIMEOUT_S)
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
    """Handler that logs records of the `logging` module as events."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log the first line of the message, because an event is one line."""
        message = record.getMessage().partition("\n")[0]
        error = repr(record.exc_info[1]) if record.exc_info else None
        log = structlog.get_logger()
        log.error("library_error", logger=record.name, message=message, error=error)
