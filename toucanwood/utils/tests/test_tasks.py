import asyncio

from toucanwood.utils import run_periodically, run_virtual


# Guards against a loop that ends for good with the first unreadable message.
def test_step_that_fails_is_run_again():
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
