"""Running a program until it fails or a signal stops it."""

import asyncio
import signal
from collections.abc import Callable
from typing import Protocol

import structlog

from toucanwood.utils._event_loop import run_suspend_aware

EXIT_OK = 0
EXIT_FAILED = 1

log = structlog.get_logger()


class Program(Protocol):
    """Interface of the programs that `run_program` runs."""

    async def start(self) -> None:
        """Start the program; raise OSError if it can't start."""

    async def stop(self) -> None:
        """Stop the program gracefully."""

    async def close(self) -> None:
        """Close the connections between instances without a graceful stop."""

    async def wait_failed(self) -> str:
        """Wait until the program fails and return the reason."""


def run_program(
    create_program: Callable[[], Program], *, on_hangup: Callable[[], None]
) -> int:
    """Run a program until SIGTERM or SIGINT and return the exit status.

    A second signal during the graceful stop ends the process at once with status 1.
    A program that fails ends the process with status 1 as well; it is closed without a
    graceful stop.
    """
    return run_suspend_aware(_run(create_program, on_hangup))


async def _run(
    create_program: Callable[[], Program], on_hangup: Callable[[], None]
) -> int:
    stop_requested = asyncio.Event()
    interrupted = asyncio.Event()
    _handle_signals(stop_requested, interrupted, on_hangup)
    program = create_program()
    try:
        await program.start()
    except Exception as error:
        # A damaged or full disk or an address in use: log one line, no traceback.
        log.error("start_failed", reason=f"{type(error).__name__}: {error}")
        await _close(program)
        return EXIT_FAILED
    failure_task = asyncio.create_task(program.wait_failed())
    if not await _wait_first(stop_requested, failure_task):
        log.error("program_failed", reason=failure_task.result())
        await _close(program)
        return EXIT_FAILED
    stop_task = asyncio.create_task(program.stop())
    if await _wait_first(interrupted, stop_task):
        log.warning("stop_interrupted")
        return EXIT_FAILED
    stop_task.result()
    return EXIT_OK


async def _close(program: Program) -> None:
    """Close a failed program before the event loop closes.

    A connection accepted while the event loop closes would run on a closed loop.
    """
    try:
        await program.close()
    except Exception as error:
        log.error("close_failed", reason=f"{type(error).__name__}: {error}")


async def _wait_first(event: asyncio.Event, task: "asyncio.Task[object]") -> bool:
    """Wait for the event or the task and return whether the event is set."""
    waiter = asyncio.create_task(event.wait())
    await asyncio.wait({waiter, task}, return_when=asyncio.FIRST_COMPLETED)
    waiter.cancel()
    return event.is_set()


def _handle_signals(
    stop_requested: asyncio.Event,
    interrupted: asyncio.Event,
    on_hangup: Callable[[], None],
) -> None:
    loop = asyncio.get_running_loop()

    def handle() -> None:
        if stop_requested.is_set():
            interrupted.set()
        stop_requested.set()

    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, handle)
    loop.add_signal_handler(signal.SIGHUP, on_hangup)
