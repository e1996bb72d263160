"""Tests of rate limiting and of the writer thread of the log."""

import asyncio
import os
import threading
import time

import structlog

from toucanwood.utils.logs import (
    MAX_BUFFERED_LINES,
    MAX_EVENT_BURST_LINES,
    MAX_EVENT_LINES_PER_S,
    EventLimiter,
    LineWriter,
)


class FakeClock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


def count_logged(limiter, name, events):
    logged = 0
    for _ in range(events):
        try:
            limiter(None, "info", {"event": name})
        except structlog.DropEvent:
            continue
        logged += 1
    return logged


# Guards against many refusals at once that fill the disk or use up the processor.
def test_rate_limited_event_stays_within_rate_and_burst():
    clock = FakeClock()
    limiter = EventLimiter(clock)
    logged = 0
    for _ in range(100):
        logged += count_logged(limiter, "request_failed", 200)
        clock.now += 0.1
    assert logged <= MAX_EVENT_BURST_LINES + MAX_EVENT_LINES_PER_S * 10
    assert logged >= MAX_EVENT_BURST_LINES


def test_number_of_dropped_lines_is_reported():
    clock = FakeClock()
    limiter = EventLimiter(clock)
    count_logged(limiter, "request_failed", int(MAX_EVENT_BURST_LINES) + 7)
    clock.now += 2.0
    event = limiter(None, "info", {"event": "request_failed"})
    assert event["left_out_before"] == 7


def test_other_events_are_never_dropped():
    limiter = EventLimiter(FakeClock())
    assert count_logged(limiter, "leader_elected", 5000) == 5000


# Guards against requests that are delayed because standard output is not read.
def test_blocked_output_does_not_delay_the_event_loop():
    read_descriptor, write_descriptor = os.pipe()
    stream = os.fdopen(write_descriptor, "w")
    writer = LineWriter(stream)

    async def main():
        max_delay = 0.0
        end = time.monotonic() + 10.0
        while time.monotonic() < end:
            started = time.monotonic()
            for _ in range(50):
                writer.msg("x" * 200)
            await asyncio.sleep(0.005)
            max_delay = max(max_delay, time.monotonic() - started)
        return max_delay

    max_delay = asyncio.run(main())
    # The pipe holds 64 KiB, so the thread is blocked for almost the whole test.
    assert writer.dropped > 0
    assert len(writer._lines) <= MAX_BUFFERED_LINES
    assert max_delay < 1.0
    drain = threading.Thread(target=_drain, args=(read_descriptor,), daemon=True)
    drain.start()


def _drain(descriptor):
    while os.read(descriptor, 65536):
        pass


def test_lines_are_written_in_order():
    read_descriptor, write_descriptor = os.pipe()
    writer = LineWriter(os.fdopen(write_descriptor, "w"))
    for number in range(20):
        writer.msg(str(number))
    writer.flush(2.0)
    time.sleep(0.05)
    lines = os.read(read_descriptor, 65536).decode().split()
    assert lines == [str(number) for number in range(20)]
