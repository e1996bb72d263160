"""Event loop whose clock counts the time for which the machine is suspended.

CLOCK_MONOTONIC, which asyncio uses, stands still while a machine is suspended. A leader
would hold its lease and a state would be current although others have long gone on.
"""

import asyncio
import time
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")

# CLOCK_BOOTTIME exists on Linux only.
_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
# Programs import this module first; their other imports take a third of a second.
_IMPORTED_AT = time.clock_gettime(_CLOCK)


class SuspendAwareEventLoop(asyncio.SelectorEventLoop):
    """Run timers by a steady clock that goes on while the machine is suspended."""

    def time(self) -> float:
        """Return the seconds since the machine was started."""
        return time.clock_gettime(_CLOCK)


def find_program_start() -> float:
    """Return a time of the running event loop at which the process ran already.

    It is early in the start of a program on a SuspendAwareEventLoop, else the present.
    """
    loop = asyncio.get_running_loop()
    return _IMPORTED_AT if isinstance(loop, SuspendAwareEventLoop) else loop.time()


def run_suspend_aware(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine on a new SuspendAwareEventLoop and return its result."""
    with asyncio.Runner(loop_factory=SuspendAwareEventLoop) as runner:
        return runner.run(main)
