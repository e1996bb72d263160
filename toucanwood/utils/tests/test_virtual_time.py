"""Tests of the virtual-time event loop."""

import asyncio

from toucanwood.utils import run_virtual

MAX_SLEEPS = 10


def test_timer_due_now_runs():
    # Guards against a clock that stops exactly at the time of a timer, which then
    # never runs.
    async def main():
        loop = asyncio.get_running_loop()
        done = asyncio.Event()
        loop.call_at(loop.time() + 0.00014566925510413033, done.set)
        await done.wait()

    run_virtual(main())


def test_clock_reaches_a_deadline_less_than_a_nanosecond_away():
    # Guards against a loop that fires timers early and never reaches the deadline.
    async def main():
        loop = asyncio.get_running_loop()
        deadline = 4.5
        await asyncio.sleep(deadline - 9e-15)
        sleeps = 0
        while loop.time() < deadline and sleeps < MAX_SLEEPS:
            await asyncio.sleep(deadline - loop.time())
            sleeps += 1
        assert loop.time() >= deadline

    run_virtual(main())
