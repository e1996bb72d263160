"""The process of an instance: start, signals, stop and exit status."""

import asyncio
import signal

import structlog

from toucanwood.consensus import StorageError
from toucanwood.server._instance import Instance
from toucanwood.settings import Settings
from toucanwood.utils import run_suspend_aware
from toucanwood.utils.logs import configure_logging

EXIT_OK = 0
EXIT_FAILED = 1

log = structlog.get_logger()


def serve_forever(settings: Settings) -> int:
    """Run an instance until SIGTERM or SIGINT and return the exit status.

    A second signal stops at once with status 1, as does a failure of the data
    directory.
    """
    configure_logging()
    return run_suspend_aware(_serve(settings))


async def _serve(settings: Settings) -> int:
    stop_requested = asyncio.Event()
    kill_requested = asyncio.Event()
    _handle_signals(stop_requested, kill_requested)
    instance = Instance(settings)
    try:
        await instance.start()
    except (StorageError, OSError) as error:
        log.error("start_failed", id=settings.id, reason=str(error))
        await instance.close()
        return EXIT_FAILED
    failure_task = asyncio.create_task(instance.wait_failed())
    if not await _wait_event_before_task(stop_requested, failure_task):
        _report_failure(settings, failure_task)
        await instance.close()
        return EXIT_FAILED
    stop_task = asyncio.create_task(_drain_and_stop(instance))
    is_interrupted = await _wait_event_before_task(kill_requested, stop_task)
    if is_interrupted:
        log.warning("stop_interrupted", id=settings.id)
        return EXIT_FAILED
    stop_task.result()
    return EXIT_OK


async def _drain_and_stop(instance: Instance) -> None:
    await instance.drain()
    await instance.stop()


async def _wait_event_before_task(
    event: asyncio.Event, task: asyncio.Task[object]
) -> bool:
    """Return whether the event was set before the task ended."""
    waiter = asyncio.create_task(event.wait())
    await asyncio.wait({waiter, task}, return_when=asyncio.FIRST_COMPLETED)
    waiter.cancel()
    return event.is_set()


def _report_failure(settings: Settings, failure_task: "asyncio.Task[str]") -> None:
    reason = (
        failure_task.result()
        if failure_task.exception() is None
        else failure_task.exception()
    )
    log.error("data_dir_failed", id=settings.id, reason=str(reason))


def _handle_signals(
    stop_requested: asyncio.Event, kill_requested: asyncio.Event
) -> None:
    loop = asyncio.get_running_loop()

    def handle() -> None:
        if stop_requested.is_set():
            kill_requested.set()
        stop_requested.set()

    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, handle)
