"""Tests of background tasks."""

import asyncio
import contextlib

from toucanwood.utils import TaskGroup, run_virtual


def test_stop_ends_a_task_that_lost_a_cancellation():
    # Guards against a process that hangs in its stop.
    async def lose_one_cancellation():
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.sleep(1000)
        await asyncio.sleep(1000)

    async def main():
        tasks = TaskGroup()
        task = tasks.start(lose_one_cancellation(), name="loses")
        await asyncio.sleep(0)
        await tasks.stop()
        assert task.cancelled()
        assert asyncio.get_running_loop().time() < 1

    run_virtual(main())
