"""Start an example deployment on loopback and send one request through it."""

import argparse
import collections
import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from collections.abc import Sequence
from typing import Any

import yaml

from examples.write_deployments import (
    DEPLOYMENTS,
    OPERATOR_TOKEN,
    TARGET_TOKEN,
    Deployment,
    build_settings,
    list_entries,
)

ROOT = pathlib.Path(__file__).resolve().parent.parent
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.2
ORDERS_FILE = "orders.txt"


class Fleet:
    """Own the processes of one deployment; `program` starts an instance."""

    def __init__(
        self,
        deployment: Deployment,
        *,
        program: list[str],
        ports: Sequence[int] | None = None,
    ) -> None:
        self.deployment = deployment
        self.program = program
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="toucanwood-"))
        settings = build_settings(deployment, ports)
        self.settings = {item["id"]: item for item in settings}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.environment = {
            **os.environ,
            "PYTHONPATH": str(ROOT),
            "TOUCANWOOD_OPERATOR_TOKEN": OPERATOR_TOKEN,
        }

    def start(self) -> None:
        """Start every instance and the targets, and apply the declaration."""
        for entry_id in self.settings:
            self.start_instance(entry_id)
        self.start_targets()
        self.apply_declaration()

    def start_instance(self, entry_id: str) -> None:
        """Start one instance."""
        path = self.folder / f"{entry_id}.yaml"
        path.write_text(yaml.safe_dump(self.settings[entry_id]))
        self.spawn(entry_id, [*self.program, "serve", str(path)])

    def start_targets(self) -> None:
        """Start the stand-in targets in one process for each data centre."""
        workers = self.build_workers()
        for data_centre in sorted({worker["data_centre"] for worker in workers}):
            own = [item for item in workers if item["data_centre"] == data_centre]
            path = self.folder / f"targets-{data_centre}.json"
            path.write_text(json.dumps({"workers": own, "token": TARGET_TOKEN}))
            command = [sys.executable, "-m", "examples.targets", str(path)]
            self.spawn(f"targets-{data_centre}", command)

    def build_workers(self) -> list[dict[str, Any]]:
        """Return every worker, spread over the data centres and their entries."""
        region_by_centre = {}
        entries_by_centre: dict[str, list[str]] = {}
        entries_by_region: dict[str, list[str]] = {}
        for entry_id, data_centre, region in list_entries(self.deployment):
            address = self.settings[entry_id]["http"]
            region_by_centre[data_centre] = region
            entries_by_centre.setdefault(data_centre, []).append(address)
            entries_by_region.setdefault(region, []).append(address)
        centres = sorted(entries_by_centre)
        workers = []
        for group in self.deployment.workers:
            for index in range(group.count):
                data_centre = centres[index % len(centres)]
                own = entries_by_centre[data_centre]
                shift = index // len(centres) % len(own)
                others = entries_by_region[region_by_centre[data_centre]]
                entries = own[shift:] + own[:shift]
                entries += [address for address in others if address not in own]
                workers.append(
                    {
                        "service": group.service,
                        "id": f"{group.service}-{index}",
                        "data_centre": data_centre,
                        "slots": group.slots,
                        "entries": entries,
                        "token": TARGET_TOKEN,
                        "orders_path": str(self.folder / ORDERS_FILE),
                    }
                )
        return workers

    def count_orders(self) -> collections.Counter[str]:
        """Return how often the targets ran the order of each path."""
        path = self.folder / ORDERS_FILE
        if not path.exists():
            return collections.Counter()
        return collections.Counter(path.read_text().splitlines())

    def spawn(self, name: str, command: list[str]) -> None:
        """Start a process that logs into the fleet's folder."""
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                command,
                cwd=self.folder,
                env=self.environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def apply_declaration(self) -> None:
        """Apply the declaration as soon as the control instances accept it."""
        path = ROOT / "examples" / self.deployment.name / "declaration.yaml"
        self.retry(["apply", str(path)])

    def run_command(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run one command of the program against the first instance."""
        address = next(iter(self.settings.values()))["http"]
        command = [*self.program, *arguments, "--instance", address]
        return subprocess.run(
            command,
            cwd=self.folder,
            env=self.environment,
            capture_output=True,
            text=True,
            timeout=START_TIMEOUT_S,
        )

    def retry(self, arguments: list[str]) -> str:
        """Run a command until it succeeds and return what it prints."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while True:
            done = self.run_command(*arguments)
            if done.returncode == 0:
                return done.stdout
            if time.monotonic() > deadline:
                raise RuntimeError(f"{arguments} failed: {done.stderr.strip()}")
            time.sleep(POLL_INTERVAL_S)

    def stop(self) -> dict[str, int]:
        """Stop the targets, then the instances; return the exit statuses."""
        names = sorted(self.processes, key=lambda name: not name.startswith("targets"))
        statuses = {}
        for name in names:
            self.processes[name].send_signal(signal.SIGTERM)
        for name in names:
            process = self.processes[name]
            try:
                statuses[name] = process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                statuses[name] = process.wait()
        return statuses

    def remove_files(self) -> None:
        """Remove the fleet's folder."""
        shutil.rmtree(self.folder, ignore_errors=True)


def send_request(address: str, path: str, key: str) -> tuple[int, dict[str, Any]]:
    """Send a GET request with a key and return the status and the JSON body."""
    request = urllib.request.Request(f"http://{address}{path}")
    request.add_header("Authorization", f"Bearer {key}")
    try:
        with urllib.request.urlopen(request, timeout=START_TIMEOUT_S) as response:
            return response.status, json.load(response)
    except urllib.error.HTTPError as error:
        return error.code, json.load(error)


def demonstrate(fleet: Fleet) -> bool:
    """Look up an entry, send a keyed request there and print the response."""
    service = fleet.deployment.workers[0].service
    key = json.loads(fleet.retry(["keys", "issue", "large-1"]))
    entries = json.loads(fleet.retry(["lookup", service]))["entries"]
    print(f"lookup of {service}: {[entry['id'] for entry in entries]}")
    deadline = time.monotonic() + START_TIMEOUT_S
    while True:
        address = entries[0]["address"]
        status, body = send_request(address, f"/{service}/4711", key["secret"])
        if status == 200 or time.monotonic() > deadline:
            break
        time.sleep(POLL_INTERVAL_S)
    print(f"response through {entries[0]['id']}: {status} {json.dumps(body)}")
    return status == 200


def main() -> int:
    """Run the demonstration; with --keep-running, serve until interrupted."""
    parser = argparse.ArgumentParser(description=__doc__)
    names = [deployment.name for deployment in DEPLOYMENTS]
    parser.add_argument("deployment", choices=names, nargs="?", default=names[0])
    parser.add_argument("--keep-running", action="store_true")
    parser.add_argument("--program", help="built program instead of the source tree")
    arguments = parser.parse_args()
    deployment = DEPLOYMENTS[names.index(arguments.deployment)]
    program = [sys.executable, "-m", "toucanwood"]
    if arguments.program:
        program = [str(pathlib.Path(arguments.program).resolve())]
    for number in (signal.SIGTERM, signal.SIGINT):
        # A background job of a shell script starts with SIGINT ignored.
        signal.signal(number, signal.default_int_handler)
    fleet = Fleet(deployment, program=program)
    print(f"logs and data are in {fleet.folder}")
    is_answered = False
    try:
        fleet.start()
        is_answered = demonstrate(fleet)
        if arguments.keep_running:
            print("running until interrupted")
            signal.pause()
    except KeyboardInterrupt:
        pass
    finally:
        statuses = fleet.stop()
    print(f"exit statuses: {statuses}")
    if not is_answered or any(statuses.values()):
        print(f"failed; see the logs in {fleet.folder}")
        return 1
    fleet.remove_files()
    return 0


if __name__ == "__main__":
    sys.exit(main())
