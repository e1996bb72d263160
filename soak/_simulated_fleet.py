"""Controllers and entries in one process, on simulated links and disks."""

import asyncio
import contextlib
import functools
from unittest import mock

import toucanwood.controller._instance as controller_instance
from toucanwood.consensus import Replica
from toucanwood.consensus.testing import FakeDisk
from toucanwood.controller import AnnounceEntry, ControllerInstance, ControllerSettings
from toucanwood.fleet import FleetView
from toucanwood.gateway._feed_client import FeedClient
from toucanwood.peering.testing import FakeNetwork, FakeTransport, LinkFaults
from toucanwood.quota import QuotaEnforcer

FOUNDERS = ("c0", "c1", "c2")
# Snapshots within the time of a schedule, so that followers that lag receive them.
SNAPSHOT_LIMITS = {"snapshot_entries": 30, "keep_entries": 10}


class SimulatedTransport(FakeTransport):
    """The life cycle of a real transport on a simulated network."""

    async def start(self):
        """Do nothing; the transport works from its creation on."""

    async def stop(self):
        self.is_alive = False

    def set_address(self, peer_id, address):
        """Do nothing; peers are found by their ids."""


class SimulatedNetwork(FakeNetwork):
    """A network whose transports have the life cycle of real ones."""

    def create_transport(self, instance_id):
        self.stop(instance_id)
        transport = SimulatedTransport(self, instance_id)
        self._transports[instance_id] = transport
        return transport


class SimulatedFleet:
    """Start, crash, replace and cut off controllers; entries follow their state."""

    def __init__(self, seed, controllers, entries):
        self.network = SimulatedNetwork(seed)
        self.controller_names = [f"c{number}" for number in range(controllers)]
        self.entry_names = [f"e{number}" for number in range(entries)]
        self.running = {}
        self.views = {}
        self._seed = seed
        self._disks = {}
        self._feeds = []
        self._disk_count = 0
        # The seed of the next controller's random numbers.
        self._start_count = seed * 1000
        self._cuts = {}
        self._cut_count = 0

    async def start(self):
        for name in self.controller_names:
            await self.start_controller(name, founders=FOUNDERS)
        for name in self.entry_names:
            self._start_entry(name)

    async def stop(self):
        for feed in self._feeds:
            await feed.stop()
        for name in list(self.running):
            await self.crash(name)

    async def start_controller(self, name, *, founders=(), loses_disk=False):
        """Start a controller on its disk as a crash has left it, or on an empty one."""
        self._start_count += 1
        disk = self._disks.get(name)
        if disk is None or loses_disk:
            self._disk_count += 1
            self._disks[name] = FakeDisk(self._seed * 1000 + self._disk_count)
        else:
            self._disks[name] = disk.restart()
        settings = ControllerSettings.from_config(
            {
                "id": name,
                "data_centre": "a",
                "region": "north",
                "control": "127.0.0.1:0",
                "directory": "127.0.0.1:0",
                "peer": "127.0.0.1:1",
                "peer_port": 1,
                "controllers": list(FOUNDERS),
                "founders": list(founders),
                "region_by_data_centre": {"a": "north"},
                "data_dir": name,
            }
        )
        with contextlib.ExitStack() as stack:
            replacements = {
                "PeerNetwork": self._build_transport,
                "Replica": functools.partial(
                    Replica, seed=self._start_count, **SNAPSHOT_LIMITS
                ),
                "FileDisk": self._disks.get,
                "MetricsServer": mock.MagicMock(),
                "find_program_start": asyncio.get_running_loop().time,
            }
            for attribute, value in replacements.items():
                stack.enter_context(
                    mock.patch.object(controller_instance, attribute, value)
                )
            controller = ControllerInstance(settings)
        await controller.start()
        self.running[name] = controller

    async def crash(self, name):
        """End a controller without a handover, as a loss of power does."""
        controller = self.running.pop(name)
        self.network.stop(name)
        self._disks[name].crash()
        controller.replica._core.close("crashed")
        await controller.replica._core.tasks.stop()
        await controller._tasks.stop()

    def call_at_disk_step(self, name, countdown, callback):
        """Call back once before a later step of the disk of a running controller."""

        def count_step(step):
            nonlocal countdown
            countdown -= 1
            if countdown == 0:
                callback()

        self._disks[name].on_step = count_step

    def fill_disk(self, name):
        """Let the disk of a controller refuse writes until its next start."""
        self._disks[name].is_full = True

    def find_leader(self):
        """Return the name of the leader, or None."""
        return next(
            (name for name, item in self.running.items() if item.replica.is_leader()),
            None,
        )

    def cut(self, pairs, *, holds=False):
        """Drop, or hold, all messages of pairs of sender and receiver.

        Returns a number for the cut.
        """
        self._cut_count += 1
        self._cuts[self._cut_count] = pairs, holds
        self._apply_cuts()
        return self._cut_count

    def join(self, number):
        """End the cut with a number."""
        del self._cuts[number]
        self._apply_cuts()
        self.network.release_held()

    def _apply_cuts(self):
        self.network.heal()
        for pairs, holds in self._cuts.values():
            faults = LinkFaults(is_cut=True, holds=holds)
            for sender, receiver in pairs:
                self.network.set_faults(sender, receiver, faults)

    def _build_transport(self, *, instance_id, address, secret):
        return self.network.create_transport(instance_id)

    def _start_entry(self, name):
        self.views[name] = FleetView()
        feed = FeedClient(
            network=self.network.create_transport(name),
            view=self.views[name],
            quota=QuotaEnforcer(),
            build_announcement=AnnounceEntry,
            on_update=lambda: None,
            on_relays=lambda relays: None,
            on_signals=lambda signals: None,
            peer_port=1,
            controllers=FOUNDERS,
        )
        feed.start()
        self._feeds.append(feed)
