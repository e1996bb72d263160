"""Measure how changes spread over the example fleet, which runs as processes.

    python -m benchmarks.convergence --json -

Times are in seconds from the acceptance of a change until all running instances have
it in force, to the resolution of `POLL_S`.
"""

import contextlib
import os
import pathlib
import signal
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import typer

from benchmarks._output import build_command
from examples.fleet import Fleet
from examples.tests.fixtures import (
    call_operator_api,
    find_leader,
    kill,
    put_declaration,
    read_declaration,
    read_declaration_revision,
    run_fleet,
    wait_for,
)

CHANGES = 100
CHANGES_UNDER_FAULT = 20
POLL_S = 0.005
PATIENCE_S = 20.0
OBSERVER = "norte-2-a"


def run(seed: int) -> dict[str, Any]:
    """Return the figures; the seed only names the requests."""
    with run_fleet() as fleet:
        fleet.seed = seed
        figures = {"all_running": measure_with_costs(fleet, CHANGES)}
        control = [name for name in fleet.settings if name.endswith("-1-a")]
        leader = find_leader(fleet, instance=OBSERVER)
        follower = next(name for name in control if name != leader)
        with pause(fleet, follower):
            figures["one_control_stopped"] = measure(fleet, CHANGES_UNDER_FAULT)
        wait_for(lambda: read_declaration_revision(fleet, follower) == current(fleet))
        kill(fleet, follower)
        figures["one_control_killed"] = measure(fleet, CHANGES_UNDER_FAULT)
    return figures


@contextlib.contextmanager
def pause(fleet: Fleet, name: str) -> Iterator[None]:
    """Stop a process by SIGSTOP and continue it at the end."""
    process = fleet.processes[name]
    fleet.paused = {name}
    process.send_signal(signal.SIGSTOP)
    try:
        yield
    finally:
        process.send_signal(signal.SIGCONT)
        fleet.paused = set()


def list_running(fleet: Fleet) -> list[str]:
    """Return the instances that can have a change in force."""
    paused = getattr(fleet, "paused", set())
    return [
        name
        for name in fleet.settings
        if name in fleet.processes and name not in paused
    ]


def current(fleet: Fleet) -> int:
    """Return the revision in force at one instance."""
    return int(read_declaration_revision(fleet, OBSERVER))


def measure(fleet: Fleet, count: int) -> dict[str, Any]:
    """Apply changes one after another and return the times to convergence."""
    names = list_running(fleet)
    times = []
    with ThreadPoolExecutor(len(names)) as pool:
        for _ in range(count):
            revision = current(fleet)
            text = change(read_declaration(fleet, OBSERVER), revision)
            status, body = put_declaration(
                fleet, OBSERVER, text, revision, new_id(fleet)
            )
            accepted_at = time.monotonic()
            if status != 200:
                raise RuntimeError(f"the change was refused: {status} {body}")
            goals = [revision + 1] * len(names)
            seen = pool.map(wait_until, [fleet] * len(names), names, goals)
            times.append(max(seen) - accepted_at)
    times.sort()
    return {
        "changes": count,
        "instances": len(names),
        "p50_s": round(times[len(times) // 2], 4),
        "p99_s": round(times[int(len(times) * 0.99)], 4),
        "max_s": round(times[-1], 4),
    }


def new_id(fleet: Fleet) -> str:
    """Return a new request id."""
    return f"{fleet.seed}-{time.monotonic_ns()}"


def change(text: str, revision: int) -> str:
    """Change the rate of the first organisation."""
    head, _, tail = text.partition("rate: ")
    _, _, tail = tail.partition("\n")
    return f"{head}rate: {200 + revision % 100}\n{tail}"


def wait_until(fleet: Fleet, name: str, revision: int) -> float:
    """Return when an instance has a revision in force."""
    deadline = time.monotonic() + PATIENCE_S
    while read_declaration_revision(fleet, name) < revision:
        if time.monotonic() > deadline:
            raise RuntimeError(f"{name} does not have revision {revision}")
        time.sleep(POLL_S)
    return time.monotonic()


def measure_with_costs(fleet: Fleet, count: int) -> dict[str, Any]:
    """Add the costs per node and change; the same time without changes is deducted.

    The CPU time includes the HTTP requests of the measurement itself.
    """
    before, started_at = read_costs(fleet), time.monotonic()
    figures = measure(fleet, count)
    after, elapsed = read_costs(fleet), time.monotonic() - started_at
    time.sleep(elapsed / 4)
    idle = read_costs(fleet)
    names = list(before)
    for index, unit in enumerate(("sent_bytes", "cpu_s")):
        costs = [
            after[name][index]
            - before[name][index]
            - 4 * (idle[name][index] - after[name][index])
            for name in names
        ]
        figures[f"{unit}_per_node_and_change"] = round(
            sum(costs) / len(costs) / count, 5
        )
    return figures


def read_costs(fleet: Fleet) -> dict[str, tuple[float, float]]:
    """Return the bytes sent to instances and the CPU time of each instance."""
    costs = {}
    for name in list_running(fleet):
        network = call_operator_api(fleet, name, "GET", "dump")[1]["network"]
        stat = pathlib.Path(f"/proc/{fleet.processes[name].pid}/stat").read_text()
        ticks = sum(int(field) for field in stat.rpartition(")")[2].split()[11:13])
        cpu = ticks / os.sysconf("SC_CLK_TCK")
        costs[name] = (network["sent_bytes"], cpu)
    return costs


if __name__ == "__main__":
    typer.run(build_command(run))
