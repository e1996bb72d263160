"""Ownership of background tasks."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import structlog

CANCEL_INTERVAL_S = 0.1

log = structlog.get_logger()


class TaskGroup:
    """Own background tasks: log the ones that fail, cancel all on `stop`."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def start(self, main: Coroutine[Any, Any, Any], *, name: str) -> asyncio.Task[Any]:
        """Start a task and keep a reference until it ends."""
        task = asyncio.get_running_loop().create_task(main, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._finish)
        return task

    def is_busy(self) -> bool:
        """Return whether a task is running."""
        return bool(self._tasks)

    async def stop(self) -> None:
        """Cancel every task and wait for it.

        A task can lose a cancellation, for example in `asyncio.wait_for` when the
        awaited future ends in the same loop iteration, so it is cancelled again.
        """
        current = asyncio.current_task()
        pending = {task for task in self._tasks if task is not current}
        while pending:
            for task in pending:
                task.cancel()
            _, pending = await asyncio.wait(pending, timeout=CANCEL_INTERVAL_S)

    def _finish(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            log.error("task_failed", task=task.get_name(), error=repr(error))


async def run_periodically(
    step: Callable[[], Awaitable[object]], interval_s: float, *, name: str
) -> None:
    """Run a step again and again; one that fails is logged and does not end it."""
    while True:
        try:
            await step()
        except Exception as error:
            log.error("step_failed", task=name, error=repr(error))
        await asyncio.sleep(interval_s)


async def cancel_and_wait(task: asyncio.Task[Any] | None) -> None:
    """Cancel a task, if there is one, and wait until it has ended."""
    if task is None:
        return
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
