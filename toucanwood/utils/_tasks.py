"""Background tasks that are logged when they fail and cancelled on stop."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import structlog

CANCEL_RETRY_INTERVAL_S = 0.1

log = structlog.get_logger()


class TaskGroup:
    """Background tasks of one owner: failures are logged, `stop` cancels all."""

    def __init__(self) -> None:
        # In the order of their start, so that tests in virtual time repeat exactly.
        self._tasks: dict[asyncio.Task[Any], None] = {}

    def start(
        self, coroutine: Coroutine[Any, Any, Any], *, name: str
    ) -> asyncio.Task[Any]:
        """Start a task and keep a reference to it until it ends."""
        task = asyncio.get_running_loop().create_task(coroutine, name=name)
        self._tasks[task] = None
        task.add_done_callback(self._on_task_done)
        return task

    def __len__(self) -> int:
        """Return the number of running tasks."""
        return len(self._tasks)

    def is_busy(self) -> bool:
        """Return whether any task is running."""
        return bool(self._tasks)

    async def stop(self) -> None:
        """Cancel every task except the calling one and wait until they have ended.

        A task can lose a cancellation, for example in `asyncio.wait_for` when the
        awaited future completes in the same loop iteration, so cancellation is repeated
        until the task has ended.
        """
        current = asyncio.current_task()
        pending = [task for task in self._tasks if task is not current]
        while pending:
            for task in pending:
                task.cancel()
            await asyncio.wait(pending, timeout=CANCEL_RETRY_INTERVAL_S)
            pending = [task for task in pending if not task.done()]

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.pop(task, None)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            log.error("task_failed", task=task.get_name(), error=repr(error))


async def run_periodically(
    step: Callable[[], Awaitable[object]], interval_s: float, *, name: str
) -> None:
    """Call `step` periodically; log an exception of a call and continue."""
    while True:
        await run_step(step, name=name)
        await asyncio.sleep(interval_s)


async def run_step(step: Callable[[], Awaitable[object]], *, name: str) -> None:
    """Call `step`; log an exception of the call."""
    try:
        await step()
    except Exception as error:
        log.error("step_failed", task=name, error=repr(error))


async def cancel_and_wait(task: asyncio.Task[Any] | None) -> None:
    """Cancel a task, if there is one, and wait until it has ended."""
    if task is None:
        return
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
