"""Targets that leave right after their registration."""

import asyncio
import time

from soak._targets import FaultyTarget

FIRST_NUMBER = 50
PAUSE_S = (0.2, 1.0)
# Time from the acknowledged registration to the leave.
LIFE_S = (0.0, 0.02, 0.3, 1.0)
# Time for which a target that has left still serves.
SERVICE_S = 5.0
LEAVE_TRIES = 5
MAX_RUNNING = 12


class ShortLivedTargets:
    """Start targets that leave soon, each at any two controllers."""

    def __init__(self, fleet, rng, history):
        self._fleet = fleet
        self._rng = rng
        self._history = history
        self._history.controller_names.update(fleet.controllers)
        self._running = set()
        self._count = 0

    async def run(self):
        """Start one target after another until the task is cancelled."""
        try:
            while True:
                await asyncio.sleep(self._rng.uniform(*PAUSE_S))
                if len(self._running) < MAX_RUNNING:
                    self._count += 1
                    number = FIRST_NUMBER + self._count % 100
                    task = asyncio.create_task(self._run_target(number))
                    self._running.add(task)
                    task.add_done_callback(self._running.discard)
        finally:
            for task in list(self._running):
                task.cancel()
            await asyncio.gather(*self._running, return_exceptions=True)

    async def _run_target(self, number):
        address = self._fleet.get_target_address(number)
        target = FaultyTarget(
            number,
            address,
            address,
            self._fleet,
            self._rng,
            self._history,
            lambda zone, request_id: None,
        )
        target.id = f"i-{number}-{self._count}"
        await target.listen()
        try:
            if not await target.announce():
                return
            await asyncio.sleep(self._rng.choice(LIFE_S))
            for _ in range(LEAVE_TRIES):
                if await target.leave():
                    self._history.drained_at[target.id] = time.monotonic()
                    break
            await asyncio.sleep(SERVICE_S)
        finally:
            await target.stop()
