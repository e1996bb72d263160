"""Tests of the exit status of a program and of its signals."""

import asyncio
import os
import signal
import time
from unittest import mock

from structlog.testing import capture_logs

from toucanwood.utils import run_program


class FakeProgram:
    def __init__(self, *, start_error=None, failure=None):
        self._start_error = start_error
        self._failure = failure
        self.is_stopped = False
        self.is_closed = False

    async def start(self):
        if self._start_error is not None:
            raise self._start_error

    async def stop(self):
        self.is_stopped = True

    async def close(self):
        self.is_closed = True

    async def wait_failed(self):
        if self._failure is None:
            await asyncio.get_running_loop().create_future()
        return self._failure


# Guards against a traceback instead of a log line when a disk is full or damaged.
def test_failed_start_logs_one_line_and_exits_with_1():
    with capture_logs() as lines:
        program = FakeProgram(start_error=RuntimeError("the log is damaged"))
        assert run_program(lambda: program, on_hangup=lambda: None) == 1
    (line,) = lines
    assert line["event"] == "start_failed" and "damaged" in line["reason"]
    assert program.is_closed and not program.is_stopped


def test_failed_program_exits_with_1():
    program = FakeProgram(failure="the disk is full")
    assert run_program(lambda: program, on_hangup=lambda: None) == 1
    assert program.is_closed and not program.is_stopped


# Guards against a second failure that hides the reason of the first one.
def test_failed_close_is_logged_after_reason_of_failed_start():
    program = FakeProgram(start_error=RuntimeError("the log is damaged"))

    async def close():
        raise OSError("the address is gone")

    program.close = close
    with capture_logs() as lines:
        assert run_program(lambda: program, on_hangup=lambda: None) == 1
    assert [line["event"] for line in lines] == ["start_failed", "close_failed"]


def test_sigterm_stops_with_status_0_and_sighup_does_not_stop():
    program = FakeProgram()
    hangups = []

    async def start():
        loop = asyncio.get_running_loop()
        loop.call_later(0.05, os.kill, os.getpid(), signal.SIGHUP)
        loop.call_later(0.15, os.kill, os.getpid(), signal.SIGTERM)

    program.start = start
    status = run_program(lambda: program, on_hangup=lambda: hangups.append(1))
    assert status == 0 and program.is_stopped and hangups == [1]


# Guards against a leader that keeps its lease, and a state that counts as current,
# while the machine is suspended: CLOCK_MONOTONIC stands still then.
def test_clock_of_a_program_goes_on_while_the_machine_is_suspended():
    suspended_s = 0.0
    read_clock = time.clock_gettime

    def read_clock_after_suspension(clock):
        return read_clock(clock) + suspended_s * (clock == time.CLOCK_BOOTTIME)

    class SuspendedProgram(FakeProgram):
        async def wait_failed(self):
            nonlocal suspended_s
            loop = asyncio.get_running_loop()
            started = loop.time()
            expired = loop.create_future()
            loop.call_later(30.0, expired.set_result, None)
            suspended_s = 60.0
            await asyncio.wait_for(asyncio.shield(expired), 5.0)
            return f"{loop.time() - started:.0f} s"

    with mock.patch.object(time, "clock_gettime", read_clock_after_suspension):
        with capture_logs() as lines:
            assert run_program(SuspendedProgram, on_hangup=lambda: None) == 1
    assert [line["reason"] for line in lines] == ["60 s"]
