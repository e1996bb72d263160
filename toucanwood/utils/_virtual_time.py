"""Event loop with a virtual clock that jumps to the next timer.

Tests and benchmarks use it to run timers without waiting.
"""

import asyncio
import math
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class _VirtualTimeSelector(selectors.SelectSelector):
    """Selector that advances the virtual clock instead of waiting for events."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Poll once without waiting, then advance the clock by `timeout` seconds."""
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            # No timer and no callback is left, so the loop would wait forever.
            raise RuntimeError("virtual-time loop would wait forever: no timer is left")
        # The loop runs a timer only after the clock has passed its time.
        self.now = math.nextafter(self.now + max(timeout, 0.0), math.inf)
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop that runs timers in order without waiting, on a virtual clock."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)
        # The default resolution fires timers up to 1 ns early without advancing the
        # virtual clock. Code that waits until a deadline would then loop forever.
        self._clock_resolution = 0.0

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.now


def run_virtual(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine on a new virtual-time loop, then cancel the remaining tasks."""
    loop = VirtualTimeLoop()
    try:
        return loop.run_until_complete(main)
    finally:
        _cancel_all(loop)
        loop.close()


def _cancel_all(loop: asyncio.AbstractEventLoop) -> None:
    tasks = asyncio.all_tasks(loop)
    for task in tasks:
        task.cancel()
    if tasks:
        loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
