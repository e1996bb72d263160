import asyncio
import os
import threading
import time

import structlog

from toucanwood.utils.logs import (
    LINES_AT_ONCE,
    LINES_PER_S,
    MAX_BUFFERED_LINES,
    EventLimiter,
    LineWriter,
)


class Clock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


def count_passed(limiter, name, events):
    passed = 0
    for _ in range(events):
        try:
            limiter(None, "info", {"event": name})
        except structlog.DropEvent:
            continue
        passed += 1
    return passed


# Guards against a flood of refusals that fills the disk or the processor.
def test_flood_of_refusals_stays_within_the_stated_volume():
    clock = Clock()
    limiter = EventLimiter(clock)
    passed = 0
    for _ in range(100):
        passed += count_passed(limiter, "request_failed", 200)
        clock.now += 0.1
    assert passed <= LINES_AT_ONCE + LINES_PER_S * 10
    assert passed >= LINES_AT_ONCE


def test_count_of_left_out_lines_is_told():
    clock = Clock()
    limiter = EventLimiter(clock)
    count_passed(limiter, "request_failed", int(LINES_AT_ONCE) + 7)
    clock.now += 2.0
    event = limiter(None, "info", {"event": "request_failed"})
    assert event["left_out_before"] == 7


def test_events_of_the_process_are_never_left_out():
    limiter = EventLimiter(Clock())
    assert count_passed(limiter, "leader_elected", 5000) == 5000


# Guards against requests that wait because nobody reads standard output.
def test_blocked_output_delays_nothing():
    reading, writing = os.pipe()
    stream = os.fdopen(writing, "w")
    writer = LineWriter(stream)

    async def main():
        latest = 0.0
        end = time.monotonic() + 10.0
        while time.monotonic() < end:
            started = time.monotonic()
            for _ in range(50):
                writer.msg("x" * 200)
            await asyncio.sleep(0.005)
            latest = max(latest, time.monotonic() - started)
        return latest

    latest = asyncio.run(main())
    # The pipe is full after 64 KiB, so the thread is blocked almost all of the time.
    assert writer.dropped > 0
    assert len(writer._lines) <= MAX_BUFFERED_LINES
    assert latest < 1.0
    drain = threading.Thread(target=_drain, args=(reading,), daemon=True)
    drain.start()


def _drain(descriptor):
    while os.read(descriptor, 65536):
        pass


def test_lines_are_written_in_order_once_there_is_a_reader():
    reading, writing = os.pipe()
    writer = LineWriter(os.fdopen(writing, "w"))
    for number in range(20):
        writer.msg(str(number))
    writer.flush(2.0)
    time.sleep(0.05)
    lines = os.read(reading, 65536).decode().split()
    assert lines == [str(number) for number in range(20)]
