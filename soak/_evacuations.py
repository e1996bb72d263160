"""An operator that evacuates a zone, and the check that its targets stay unused."""

import asyncio
import time

from adapter.tests.stand_ins import format_evacuation_path

from soak._http import send_json

ZONE = "b"
# Time after the acknowledgement from which on no request may run in the zone.
EVACUATE_S = 5.0
# Time before a request in which a fault of its entry excuses it.
CONTACT_S = 4.0
PAUSE_S = (0.2, 1.0)
# Time for which an evacuation is kept in force, so that the check has something to see.
KEEP_S = (EVACUATE_S, EVACUATE_S + 4.0)
# Time for which an order is sent again until it is acknowledged.
ORDER_TIMEOUT_S = 8.0


class EvacuationOperator:
    """Start and end evacuations of one zone, each order again until acknowledged."""

    def __init__(self, fleet, history, rng):
        self._fleet = fleet
        self._history = history
        self._rng = rng
        # Time of the acknowledgement of the evacuation in force.
        self._acknowledged_at = None

    async def run(self):
        """Give orders until the task is cancelled."""
        while True:
            await asyncio.sleep(self._rng.uniform(*PAUSE_S))
            if await self.start():
                await asyncio.sleep(
                    self._rng.uniform(*self._rng.choice((PAUSE_S, KEEP_S)))
                )
            await self.end()

    async def start(self):
        """Start an evacuation; return whether that was acknowledged."""
        is_acknowledged = await self._order("POST")
        if is_acknowledged:
            self._acknowledged_at = time.monotonic()
        return is_acknowledged

    async def end(self):
        """End the evacuation; return whether that was acknowledged."""
        self._acknowledged_at = None
        return await self._order("DELETE")

    def record_run(self, zone, request_id):
        """Check a request that begins to run at a target of a zone."""
        now = time.monotonic()
        since = self._acknowledged_at
        if zone != ZONE or since is None or now < since + EVACUATE_S:
            return
        entry = self._history.find_entry(request_id)
        message = f"{request_id}: ran in zone {zone}, evacuated {now - since:.1f} s ago"
        names = {entry, *self._fleet.controllers}
        self._history.interrupted.append((names, now - CONTACT_S, now, message))

    async def _order(self, method):
        deadline = time.monotonic() + ORDER_TIMEOUT_S
        while time.monotonic() < deadline:
            name = self._rng.choice(self._fleet.controllers)
            address = self._fleet.get_proxy_address(
                self._fleet.get_control_address(name)
            )
            path = format_evacuation_path(ZONE)
            response = await send_json(address, method, path)
            if response is not None and response.status == 200:
                return True
            await asyncio.sleep(0.05)
        return False
