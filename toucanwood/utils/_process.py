"""The life of a process: start, signals, stop, exit status."""

import asyncio
import signal
from collections.abc import Callable
from typing import Protocol

import structlog

EXIT_OK = 0
EXIT_FAILED = 1

log = structlog.get_logger()


class Program(Protocol):
    """Start and stop everything that one process runs."""

    async def start(self) -> None:
        """Start; raise OSError when that is not possible."""

    async def stop(self) -> None:
        """Stop gracefully."""

    async def wait_failed(self) -> str:
        """Wait until the program can't go on and return the reason."""


def run_program(build: Callable[[], Program], *, on_hangup: Callable[[], None]) -> int:
    """Run a program until SIGTERM or SIGINT and return the exit status.

    A second signal stops at once with status 1, as does a failure of the program.
    """
    return asyncio.run(_run(build, on_hangup))


async def _run(build: Callable[[], Program], on_hangup: Callable[[], None]) -> int:
    stopped = asyncio.Event()
    killed = asyncio.Event()
    _handle_signals(stopped, killed, on_hangup)
    program = build()
    try:
        await program.start()
    except Exception as error:
        # A damaged or full disk, or a taken address: one line says why.
        log.error("start_failed", reason=f"{type(error).__name__}: {error}")
        return EXIT_FAILED
    failed = asyncio.create_task(program.wait_failed())
    if not await _wait_first(stopped, failed):
        log.error("program_failed", reason=failed.result())
        return EXIT_FAILED
    stopping = asyncio.create_task(program.stop())
    if await _wait_first(killed, stopping):
        log.warning("stop_interrupted")
        return EXIT_FAILED
    stopping.result()
    return EXIT_OK


async def _wait_first(event: asyncio.Event, other: "asyncio.Task[object]") -> bool:
    """Return whether the event was set before the task ended."""
    waiter = asyncio.create_task(event.wait())
    await asyncio.wait({waiter, other}, return_when=asyncio.FIRST_COMPLETED)
    waiter.cancel()
    return event.is_set()


def _handle_signals(
    stopped: asyncio.Event, killed: asyncio.Event, on_hangup: Callable[[], None]
) -> None:
    loop = asyncio.get_running_loop()

    def handle() -> None:
        if stopped.is_set():
            killed.set()
        stopped.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, handle)
    loop.add_signal_handler(signal.SIGHUP, on_hangup)
