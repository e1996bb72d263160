import asyncio
import os
import signal

from structlog.testing import capture_logs

from toucanwood.utils import run_program


class Program:
    def __init__(self, *, start=None, failure=None):
        self._start = start
        self._failure = failure
        self.is_stopped = False

    async def start(self):
        if self._start is not None:
            raise self._start

    async def stop(self):
        self.is_stopped = True

    async def wait_failed(self):
        if self._failure is None:
            await asyncio.get_running_loop().create_future()
        return self._failure


# Guards against a traceback in place of a line when a disk is full or damaged.
def test_start_that_fails_writes_one_line_and_exits_with_1():
    with capture_logs() as lines:
        program = Program(start=RuntimeError("the log is damaged"))
        assert run_program(lambda: program, on_hangup=lambda: None) == 1
    (line,) = lines
    assert line["event"] == "start_failed" and "damaged" in line["reason"]


def test_program_that_fails_exits_with_1():
    program = Program(failure="the disk is full")
    assert run_program(lambda: program, on_hangup=lambda: None) == 1
    assert not program.is_stopped


def test_sigterm_stops_and_exits_with_0_and_sighup_does_not_stop():
    program = Program()
    hangups = []

    async def start():
        loop = asyncio.get_running_loop()
        loop.call_later(0.05, os.kill, os.getpid(), signal.SIGHUP)
        loop.call_later(0.15, os.kill, os.getpid(), signal.SIGTERM)

    program.start = start
    status = run_program(lambda: program, on_hangup=lambda: hangups.append(1))
    assert status == 0 and program.is_stopped and hangups == [1]
