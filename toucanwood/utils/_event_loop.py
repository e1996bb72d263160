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


class SuspendAwareEventLoop(asyncio.SelectorEventLoop):
    """Run timers by a steady clock that goes on while the machine is suspended."""

    def time(self) -> float:
        """Return the seconds since the machine was started."""
        return time.clock_gettime(_CLOCK)


def run_suspend_aware(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine on a new SuspendAwareEventLoop and return its result."""
    with asyncio.Runner(loop_factory=SuspendAwareEventLoop) as runner:
        return runner.run(main)
