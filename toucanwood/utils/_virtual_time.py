"""An event loop whose clock jumps to the next timer, for tests and benchmarks."""

import asyncio
import math
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class _JumpingSelector(selectors.SelectSelector):
    """Report no events and advance the loop's clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Poll once without waiting, then advance the clock by `timeout` seconds."""
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            # No timer and no callback is left, so nothing could ever wake the loop.
            raise RuntimeError("virtual-time loop has nothing left to wait for")
        # The loop runs a timer only once the clock is past it.
        self.now = math.nextafter(self.now + max(timeout, 0.0), math.inf)
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Run timers in order without waiting for them; `time` is in virtual seconds."""

    def __init__(self) -> None:
        self._jumping_selector = _JumpingSelector()
        super().__init__(self._jumping_selector)
        # The default fires timers up to 1 ns early without moving the virtual clock, so
        # that code which waits until a deadline would repeat the wait for ever.
        self._clock_resolution = 0.0

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._jumping_selector.now


def run_virtual(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine on a new virtual-time loop and cancel what it left running."""
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
