"""Tests of periodic tasks."""

import asyncio

from toucanwood.utils import run_periodically, run_virtual


# Guards against a periodic task that ends when one call raises an exception.
def test_periodic_task_continues_after_an_exception():
    calls = []

    async def step():
        calls.append(1)
        raise ValueError("unreadable")

    async def main():
        task = asyncio.create_task(run_periodically(step, 1.0, name="step"))
        await asyncio.sleep(3.5)
        task.cancel()

    run_virtual(main())
    assert len(calls) == 4
