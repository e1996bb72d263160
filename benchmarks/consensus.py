"""Measure the speedup from sharing one fsync between concurrent proposals.

Three replicas with logs on disk commit the same number of commands first one at a time
and then all at once. The result is the ratio of the two rates of the same run. Run it
with ``python -m benchmarks consensus``.
"""

import asyncio
import contextlib
import pathlib
import tempfile
import time
from collections.abc import AsyncIterator
from typing import Any

import typer
from returns.result import Success

from benchmarks._output import build_command
from toucanwood.consensus import FileDisk, Replica, Storage
from toucanwood.peering.testing import FakeNetwork

REPLICA_IDS = ("a", "b", "c")
COMMANDS = 400
COMMAND_BYTES = 200


class CountingStateMachine:
    """A state machine that counts the commands."""

    def __init__(self) -> None:
        self.count = 0

    def apply(self, index: int, command: bytes) -> int:
        """Count one command."""
        self.count += 1
        return index

    def snapshot(self) -> bytes:
        """Return the count."""
        return self.count.to_bytes(8, "big")

    def restore(self, data: bytes) -> None:
        """Set the count."""
        self.count = int.from_bytes(data, "big")


@contextlib.asynccontextmanager
async def start_group(directory: str, seed: int) -> AsyncIterator[Replica]:
    """Start three replicas and yield the leader."""
    network = FakeNetwork(seed)
    replicas = [
        Replica(
            transport=network.create_transport(replica_id),
            storage=Storage(FileDisk(pathlib.Path(directory) / replica_id)),
            state_machine=CountingStateMachine(),
            voters=REPLICA_IDS,
            seed=seed,
        )
        for replica_id in REPLICA_IDS
    ]
    await asyncio.gather(*(replica.start() for replica in replicas))
    try:
        yield await find_leader(replicas)
    finally:
        for replica in replicas:
            await replica.stop()


async def find_leader(replicas: list[Replica]) -> Replica:
    """Wait until a leader is elected and return it."""
    while True:
        for replica in replicas:
            if replica.is_leader():
                return replica
        await asyncio.sleep(0.01)


async def propose(leader: Replica) -> None:
    """Commit one command; raise if it is not committed."""
    result: Any = await leader.propose(bytes(COMMAND_BYTES), timeout=10.0)
    if not isinstance(result, Success):
        raise RuntimeError(f"command was not committed: {result.failure().code}")


async def measure_sequential(leader: Replica) -> float:
    """Return the commands per second when they are proposed one at a time."""
    started = time.perf_counter()
    for _ in range(COMMANDS):
        await propose(leader)
    return COMMANDS / (time.perf_counter() - started)


async def measure_concurrent(leader: Replica) -> float:
    """Return the commands per second when all are proposed at once."""
    started = time.perf_counter()
    await asyncio.gather(*(propose(leader) for _ in range(COMMANDS)))
    return COMMANDS / (time.perf_counter() - started)


async def measure(seed: int) -> dict[str, Any]:
    """Return both rates and their ratio."""
    with tempfile.TemporaryDirectory() as directory:
        async with start_group(directory, seed) as leader:
            sequential = await measure_sequential(leader)
            concurrent = await measure_concurrent(leader)
    return {
        "sequential_per_s": round(sequential),
        "concurrent_per_s": round(concurrent),
        "ratio": round(concurrent / sequential, 1),
    }


def run(seed: int) -> dict[str, Any]:
    """Return the commands per second and the speedup from sharing an fsync."""
    return asyncio.run(measure(seed))


if __name__ == "__main__":
    typer.run(build_command(run))
