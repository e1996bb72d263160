"""A test harness that runs the controllers of one fleet in one process."""

import asyncio
import contextlib
import shutil
import socket
import tempfile

import attrs
from returns.result import Success

from toucanwood.controller import ControllerInstance, ControllerSettings
from toucanwood.fleet import Target, TargetState

WAIT_TIMEOUT_S = 10.0
TARGET = Target(
    id="t-1",
    start_time_ms=1,
    sequence=1,
    service="s",
    address="127.0.0.1:80",
    data_centre="a",
    software="",
    slots=4,
    state=TargetState.READY,
    remaining_cold_start_s=0.0,
)
DOCUMENT = {"routes": [], "services": [{"name": "s"}], "organisations": []}


def find_free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


@attrs.define
class ControllerHarness:
    """Start, stop and restart controllers, each with its own loopback address as id."""

    directory: str
    port: int
    running: dict = attrs.field(factory=dict)

    async def start(self, number, *, founders=(1, 2, 3), seeds=(1, 2, 3), **changed):
        name = self.name(number)
        settings = ControllerSettings.from_config(
            {
                "id": name,
                "data_centre": "a",
                "region": "north",
                "control": f"{name}:0",
                "directory": f"{name}:0",
                "peer": f"{name}:{self.port}",
                "peer_port": self.port,
                "controllers": [self.name(item) for item in seeds],
                "founders": [self.name(item) for item in founders],
                "region_by_data_centre": {"a": "north"},
                "data_dir": f"{self.directory}/{name}",
                **changed,
            }
        )
        controller = ControllerInstance(settings)
        await controller.start()
        self.running[number] = controller
        return controller

    async def stop(self, number):
        await self.running.pop(number).stop()

    async def kill(self, number):
        """Stop a controller without a handover, as if its process had been killed."""
        controller = self.running.pop(number)
        await controller.network.stop()
        controller.replica._core.close("killed")
        await controller.replica._core.tasks.stop()
        await controller._tasks.stop()
        controller.replica._core.storage._disk.close()

    def delete_disk(self, number):
        shutil.rmtree(f"{self.directory}/{self.name(number)}")

    def name(self, number):
        return f"127.0.1.{number}"

    def find_leader(self):
        leaders = [
            key for key, item in self.running.items() if item.replica.is_leader()
        ]
        return leaders[0] if len(leaders) == 1 else None

    async def wait_leader(self):
        await wait_for(lambda: self.find_leader() is not None)
        return self.find_leader()

    async def submit(self, order, *, at=None):
        """Submit an order to any controller, or to number `at`, until it commits."""
        deadline = asyncio.get_running_loop().time() + WAIT_TIMEOUT_S
        while asyncio.get_running_loop().time() < deadline:
            for number in [at] if at is not None else list(self.running):
                result = await self.running[number].submit(order)
                if isinstance(result, Success):
                    return result.unwrap()
            await asyncio.sleep(0.05)
        raise AssertionError("no controller committed the order")


async def wait_for(condition):
    deadline = asyncio.get_running_loop().time() + WAIT_TIMEOUT_S
    while not condition():
        assert asyncio.get_running_loop().time() < deadline, "condition is still false"
        await asyncio.sleep(0.02)


def run_scenario(scenario):
    """Run a scenario with a harness whose data directories are empty."""

    async def main():
        directory = tempfile.mkdtemp(prefix="controllers-")
        controllers = ControllerHarness(directory, find_free_port())
        try:
            await scenario(controllers)
        finally:
            for number in list(controllers.running):
                with contextlib.suppress(Exception):
                    await controllers.kill(number)
            shutil.rmtree(directory, ignore_errors=True)

    asyncio.run(main())
