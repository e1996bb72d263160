"""Measure how fast declaration changes spread over the processes of the example fleet.

    python -m benchmarks.convergence --json -

Times are in seconds from the acceptance of a change until all running instances apply
it, with a resolution of `POLL_S`.
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
WAIT_TIMEOUT_S = 20.0
OBSERVER = "norte-2-a"


def run(seed: int) -> dict[str, Any]:
    """Return the figures; the seed is only part of the request ids."""
    with run_fleet() as fleet:
        fleet.seed = seed
        figures = {"all_running": measure_with_costs(fleet, CHANGES)}
        control = [name for name in fleet.settings if name.endswith("-1-a")]
        leader = find_leader(fleet, instance=OBSERVER)
        follower = next(name for name in control if name != leader)
        with pause(fleet, follower):
            figures["one_control_stopped"] = measure_convergence(
                fleet, CHANGES_UNDER_FAULT
            )
        wait_for(
            lambda: (
                read_declaration_revision(fleet, follower)
                == read_current_revision(fleet)
            )
        )
        kill(fleet, follower)
        figures["one_control_killed"] = measure_convergence(fleet, CHANGES_UNDER_FAULT)
    return figures


@contextlib.contextmanager
def pause(fleet: Fleet, name: str) -> Iterator[None]:
    """Pause a process with SIGSTOP and resume it at the end."""
    process = fleet.processes[name]
    fleet.paused = {name}
    process.send_signal(signal.SIGSTOP)
    try:
        yield
    finally:
        process.send_signal(signal.SIGCONT)
        fleet.paused = set()


def list_running(fleet: Fleet) -> list[str]:
    """Return the instances that run and are not paused."""
    paused = getattr(fleet, "paused", set())
    return [
        name
        for name in fleet.settings
        if name in fleet.processes and name not in paused
    ]


def read_current_revision(fleet: Fleet) -> int:
    """Return the revision that the observed instance applies."""
    return int(read_declaration_revision(fleet, OBSERVER))


def measure_convergence(fleet: Fleet, count: int) -> dict[str, Any]:
    """Apply changes one after another and return the times to convergence."""
    names = list_running(fleet)
    times = []
    with ThreadPoolExecutor(len(names)) as pool:
        for _ in range(count):
            revision = read_current_revision(fleet)
            text = change_rate(read_declaration(fleet, OBSERVER), revision)
            status, body = put_declaration(
                fleet, OBSERVER, text, revision, build_request_id(fleet)
            )
            accepted_at = time.monotonic()
            if status != 200:
                raise RuntimeError(f"the change was refused: {status} {body}")
            revisions = [revision + 1] * len(names)
            reached_at = pool.map(
                wait_for_revision, [fleet] * len(names), names, revisions
            )
            times.append(max(reached_at) - accepted_at)
    times.sort()
    return {
        "changes": count,
        "instances": len(names),
        "p50_s": round(times[len(times) // 2], 4),
        "p99_s": round(times[int(len(times) * 0.99)], 4),
        "max_s": round(times[-1], 4),
    }


def build_request_id(fleet: Fleet) -> str:
    """Return a unique request id."""
    return f"{fleet.seed}-{time.monotonic_ns()}"


def change_rate(text: str, revision: int) -> str:
    """Change the rate of the first organisation."""
    head, _, tail = text.partition("rate: ")
    _, _, tail = tail.partition("\n")
    return f"{head}rate: {200 + revision % 100}\n{tail}"


def wait_for_revision(fleet: Fleet, name: str, revision: int) -> float:
    """Wait until an instance applies a revision and return the time."""
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while read_declaration_revision(fleet, name) < revision:
        if time.monotonic() > deadline:
            raise RuntimeError(f"{name} did not reach revision {revision} in time")
        time.sleep(POLL_S)
    return time.monotonic()


def measure_with_costs(fleet: Fleet, count: int) -> dict[str, Any]:
    """Measure convergence, and the costs per node and change.

    The costs of an idle fleet are subtracted; they are measured over a quarter of the
    time and scaled up. The CPU time includes the HTTP requests of the measurement.
    """
    before, started_at = read_costs(fleet), time.monotonic()
    figures = measure_convergence(fleet, count)
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
    """Return the bytes that each instance has sent to others, and its CPU seconds."""
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
