"""The life of the process: start, signals, stop, exit status."""

import asyncio
import signal

import structlog

from toucanwood.consensus import StorageError
from toucanwood.server._instance import Instance
from toucanwood.settings import Settings
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
    return asyncio.run(_serve(settings))


async def _serve(settings: Settings) -> int:
    stopped = asyncio.Event()
    killed = asyncio.Event()
    _handle_signals(stopped, killed)
    instance = Instance(settings)
    try:
        await instance.start()
    except (StorageError, OSError) as error:
        log.error("start_failed", id=settings.id, reason=str(error))
        return EXIT_FAILED
    failed = asyncio.create_task(instance.wait_failed())
    if not await _wait_first(stopped, failed):
        return _report_failure(settings, failed)
    stopping = asyncio.create_task(_stop(instance))
    is_killed = await _wait_first(killed, stopping)
    if is_killed:
        log.warning("stop_interrupted", id=settings.id)
        return EXIT_FAILED
    stopping.result()
    return EXIT_OK


async def _stop(instance: Instance) -> None:
    await instance.drain()
    await instance.stop()


async def _wait_first(event: asyncio.Event, other: asyncio.Task[object]) -> bool:
    """Return whether the event was set before the task ended."""
    waiter = asyncio.create_task(event.wait())
    await asyncio.wait({waiter, other}, return_when=asyncio.FIRST_COMPLETED)
    waiter.cancel()
    return event.is_set()


def _report_failure(settings: Settings, failed: "asyncio.Task[str]") -> int:
    reason = failed.result() if failed.exception() is None else failed.exception()
    log.error("data_dir_failed", id=settings.id, reason=str(reason))
    return EXIT_FAILED


def _handle_signals(stopped: asyncio.Event, killed: asyncio.Event) -> None:
    loop = asyncio.get_running_loop()

    def handle() -> None:
        if stopped.is_set():
            killed.set()
        stopped.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, handle)
