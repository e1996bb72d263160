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
EXECUTIONS_FILE = "orders.txt"


class Fleet:
    """Processes of one example deployment.

    `program` is the command that runs toucanwood; `ports` is described in
    `build_settings`.
    """

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
        self.start_process(entry_id, [*self.program, "serve", str(path)])

    def start_targets(self) -> None:
        """Start the simulated targets, in one process per data centre."""
        targets = self.build_target_configs()
        for data_centre in sorted({target["data_centre"] for target in targets}):
            local_targets = [
                item for item in targets if item["data_centre"] == data_centre
            ]
            path = self.folder / f"targets-{data_centre}.json"
            path.write_text(
                json.dumps({"workers": local_targets, "token": TARGET_TOKEN})
            )
            command = [sys.executable, "-m", "examples.targets", str(path)]
            self.start_process(f"targets-{data_centre}", command)

    def build_target_configs(self) -> list[dict[str, Any]]:
        """Return the configuration of each target.

        Targets are spread evenly over the data centres. Each target lists the entries
        of its data centre first, in rotated order, and then the others of its region.
        """
        region_by_data_centre = {}
        entries_by_data_centre: dict[str, list[str]] = {}
        entries_by_region: dict[str, list[str]] = {}
        for entry_id, data_centre, region in list_entries(self.deployment):
            address = self.settings[entry_id]["http"]
            region_by_data_centre[data_centre] = region
            entries_by_data_centre.setdefault(data_centre, []).append(address)
            entries_by_region.setdefault(region, []).append(address)
        data_centres = sorted(entries_by_data_centre)
        targets = []
        for group in self.deployment.targets:
            for index in range(group.count):
                data_centre = data_centres[index % len(data_centres)]
                local_entries = entries_by_data_centre[data_centre]
                rotation = index // len(data_centres) % len(local_entries)
                region_entries = entries_by_region[region_by_data_centre[data_centre]]
                entries = local_entries[rotation:] + local_entries[:rotation]
                entries += [
                    address
                    for address in region_entries
                    if address not in local_entries
                ]
                targets.append(
                    {
                        "service": group.service,
                        "id": f"{group.service}-{index}",
                        "data_centre": data_centre,
                        "slots": group.slots,
                        "entries": entries,
                        "token": TARGET_TOKEN,
                        "orders_path": str(self.folder / EXECUTIONS_FILE),
                    }
                )
        return targets

    def count_executions(self) -> collections.Counter[str]:
        """Return how often the targets executed the operation of each path."""
        path = self.folder / EXECUTIONS_FILE
        if not path.exists():
            return collections.Counter()
        return collections.Counter(path.read_text().splitlines())

    def start_process(self, name: str, command: list[str]) -> None:
        """Start a process whose output goes to a log file in the fleet's folder."""
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                command,
                cwd=self.folder,
                env=self.environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def apply_declaration(self) -> None:
        """Apply the declaration, retrying until the control instances accept it."""
        path = ROOT / "examples" / self.deployment.name / "declaration.yaml"
        self.run_until_success(["apply", str(path)])

    def run_command(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run one command of the program, which connects to the first instance."""
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

    def run_until_success(self, arguments: list[str]) -> str:
        """Run a command until it succeeds and return its output."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while True:
            completed = self.run_command(*arguments)
            if completed.returncode == 0:
                return completed.stdout
            if time.monotonic() > deadline:
                raise RuntimeError(
                    f"command {arguments} failed: {completed.stderr.strip()}"
                )
            time.sleep(POLL_INTERVAL_S)

    def stop(self) -> dict[str, int]:
        """Stop the targets, then the instances, and return all exit statuses."""
        names = sorted(self.processes, key=lambda name: not name.startswith("targets"))
        exit_statuses = {}
        for name in names:
            self.processes[name].send_signal(signal.SIGTERM)
        for name in names:
            process = self.processes[name]
            try:
                exit_statuses[name] = process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                exit_statuses[name] = process.wait()
        return exit_statuses

    def remove_files(self) -> None:
        """Remove the folder with the logs and data of the fleet."""
        shutil.rmtree(self.folder, ignore_errors=True)


def send_request(address: str, path: str, key: str) -> tuple[int, dict[str, Any]]:
    """Send a GET request with an API key; return the status and the JSON body."""
    request = urllib.request.Request(f"http://{address}{path}")
    request.add_header("Authorization", f"Bearer {key}")
    try:
        with urllib.request.urlopen(request, timeout=START_TIMEOUT_S) as response:
            return response.status, json.load(response)
    except urllib.error.HTTPError as error:
        return error.code, json.load(error)


def demonstrate(fleet: Fleet) -> bool:
    """Look up an entry, send it a request with an API key and print the response.

    Return whether the response has status 200.
    """
    service = fleet.deployment.targets[0].service
    key = json.loads(fleet.run_until_success(["keys", "issue", "large-1"]))
    entries = json.loads(fleet.run_until_success(["lookup", service]))["entries"]
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
    """Run the example; with --keep-running, serve until interrupted.

    Return 1 if the request failed or a process ended with an error.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    names = [deployment.name for deployment in DEPLOYMENTS]
    parser.add_argument("deployment", choices=names, nargs="?", default=names[0])
    parser.add_argument("--keep-running", action="store_true")
    parser.add_argument(
        "--program", help="built program to run instead of the source tree"
    )
    arguments = parser.parse_args()
    deployment = DEPLOYMENTS[names.index(arguments.deployment)]
    program = [sys.executable, "-m", "toucanwood"]
    if arguments.program:
        program = [str(pathlib.Path(arguments.program).resolve())]
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        # SIGINT is ignored by default in background jobs of shell scripts.
        signal.signal(signal_number, signal.default_int_handler)
    fleet = Fleet(deployment, program=program)
    print(f"logs and data are in {fleet.folder}")
    is_successful = False
    try:
        fleet.start()
        is_successful = demonstrate(fleet)
        if arguments.keep_running:
            print("running until interrupted")
            signal.pause()
    except KeyboardInterrupt:
        pass
    finally:
        exit_statuses = fleet.stop()
    print(f"exit statuses: {exit_statuses}")
    if not is_successful or any(exit_statuses.values()):
        print(f"failed; see the logs in {fleet.folder}")
        return 1
    fleet.remove_files()
    return 0


if __name__ == "__main__":
    sys.exit(main())
