"""Faults of processes, disks and links, drawn from the seed of a run."""

import asyncio
import contextlib
import time

from soak._proxy import LinkFault

# Fraction of faults that hit network links; the others hit processes and disks.
LINK_FAULT_FRACTION = 0.4
DISK_FAULTS = ("lose_disk", "tear_write")


class FaultInjector:
    """Inject faults, and record when the names on the way of requests were disturbed.

    `proxies` are the links by name, `link_ends` the instances at both ends of those
    between instances.
    """

    def __init__(self, fleet, proxies, link_ends, rng, times):
        self.descriptions = []
        self.is_over = False
        self._fleet = fleet
        self._proxies = proxies
        self._link_ends = link_ends
        self._rng = rng
        self._times = times
        self._has_lost_disk = False

    async def run(self):
        """Inject faults one after another until `is_over`; several may run this."""
        while not self.is_over:
            await asyncio.sleep(self._rng.uniform(0.2, 1.5))
            if self._rng.random() < LINK_FAULT_FRACTION:
                await self._inject_link_fault()
                continue
            names = [*self._fleet.controllers, *self._fleet.entries]
            name = self._rng.choice(names)
            if name not in self._fleet.processes:
                continue
            kind = self._rng.choice(["kill", "terminate", "pause", *DISK_FAULTS])
            if kind in DISK_FAULTS and not self._is_disk_fault_allowed(kind, name):
                continue
            self.descriptions.append(f"{kind} {name}")
            begin = time.monotonic()
            with contextlib.suppress(KeyError):
                await self._inject_process_fault(kind, name)
            self._times.record(name, begin, time.monotonic())

    async def _inject_link_fault(self):
        name = self._rng.choice(sorted(self._proxies))
        proxy = self._proxies[name]
        kind = self._rng.choice(
            ["reset", LinkFault.DELAY, LinkFault.SILENCE, LinkFault.ONE_WAY]
        )
        self.descriptions.append(f"{kind} link of {name}")
        begin = time.monotonic()
        if kind == "reset":
            proxy.reset_connections()
        else:
            proxy.set_fault(kind)
            await asyncio.sleep(self._rng.uniform(0.2, 2.5))
            proxy.set_fault(LinkFault.NONE)
        # The proxies and the targets number their names alike.
        for end in self._link_ends.get(name, [name.replace("target-", "i-")]):
            self._times.record(end, begin, time.monotonic())

    def _is_disk_fault_allowed(self, kind, name):
        """Return whether the fleet has to tolerate this disk fault.

        One of the three controllers may lose its disk. A second loss is tolerated only
        after the group has repaired the first one, and the run does not wait for that.
        """
        if name not in self._fleet.controllers:
            return False
        if kind == "lose_disk":
            if self._has_lost_disk:
                return False
            self._has_lost_disk = True
        return True

    async def _inject_process_fault(self, kind, name):
        duration_s = self._rng.uniform(0.2, 2.5)
        if kind == "pause":
            process = self._fleet.processes[name]
            self._fleet.pause(name)
            await asyncio.sleep(duration_s)
            if self._fleet.processes.get(name) is process:
                self._fleet.resume(name)
            return
        stop_process = (
            self._fleet.terminate if kind == "terminate" else self._fleet.kill
        )
        with contextlib.suppress(KeyError):
            self._fleet.resume(name)
        await asyncio.to_thread(stop_process, name)
        if kind == "lose_disk":
            self._fleet.delete_data_dir(name)
        elif kind == "tear_write":
            self._fleet.append_torn_write(
                name, self._rng.randbytes(self._rng.randint(1, 40))
            )
        await asyncio.sleep(duration_s)
        if name not in self._fleet.processes:
            self._fleet.start(name)
