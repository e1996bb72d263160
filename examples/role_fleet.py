"""Start a controller, an entry and a target on loopback and send one request."""

import argparse
import contextlib
import http.client
import http.server
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Iterator, Mapping, Sequence
from typing import Any

import yaml

from examples.write_deployments import OPERATOR_TOKEN, TARGET_TOKEN

SETTINGS_FOLDER = pathlib.Path(__file__).resolve().parent / "roles"
ROUTING_FILE = SETTINGS_FOLDER / "routing.yaml"
ROLES = ("controller", "entry")
KEY = "example-key-change-me"
HOST = "shop.example"
DATA_CENTRE = "norte-1"
TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.1
# A controller removes a target that has been silent for 10 s.
ANNOUNCE_INTERVAL_S = 1.5


class TargetHandler(http.server.BaseHTTPRequestHandler):
    """A target that answers each request with its path."""

    def do_GET(self) -> None:
        """Answer with the path and the id of the request."""
        body = self.path.encode()
        self.send_response(200)
        request_id = self.headers.get("Toucanwood-Request-Id", "")
        self.send_header("Toucanwood-Request-Id", request_id)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, format: str, *arguments: Any) -> None:
        """Write no line for each request."""


@contextlib.contextmanager
def run_target() -> Iterator[str]:
    """Run a target and return its address."""
    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), TargetHandler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    try:
        yield "{}:{}".format(*server.server_address[:2])
    finally:
        server.shutdown()
        server.server_close()


class RoleFleet:
    """One controller and one entry, started from the settings of the example.

    `changed` holds other values of settings, by role.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        *,
        program: Sequence[str],
        changed: Mapping[str, Mapping[str, Any]],
    ) -> None:
        self.folder = folder
        self.program = list(program)
        self.settings = {
            role: {
                **yaml.safe_load((SETTINGS_FOLDER / f"{role}.yaml").read_text()),
                **changed.get(role, {}),
            }
            for role in ROLES
        }
        self.settings["controller"]["data_dir"] = str(folder / "data")
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self._sequence = 0

    @property
    def controller(self) -> str:
        """Return the address of the controller's HTTP interface."""
        return str(self.settings["controller"]["http"])

    @property
    def entry(self) -> str:
        """Return the address at which the entry serves callers."""
        return str(self.settings["entry"]["listen"])

    def write_settings(self, role: str) -> pathlib.Path:
        """Write the settings file of a role and return its path."""
        path = self.folder / f"{role}.yaml"
        path.write_text(yaml.safe_dump(self.settings[role]))
        return path

    def start(self, role: str) -> None:
        """Start the process of a role; its log goes to a file."""
        with (self.folder / f"{role}.log").open("w") as log:
            self.processes[role] = subprocess.Popen(
                [*self.program, "serve", str(self.write_settings(role))],
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def read_log(self, role: str) -> str:
        """Return what a process has logged."""
        return (self.folder / f"{role}.log").read_text()

    def stop(self) -> dict[str, int]:
        """Stop the processes and return their exit statuses."""
        for process in self.processes.values():
            process.terminate()
        return {
            role: process.wait(TIMEOUT_S) for role, process in self.processes.items()
        }

    def run_command(self, *arguments: str) -> tuple[int, str]:
        """Run a command at the controller; return its exit status and output."""
        done = subprocess.run(
            [*self.program, *arguments, "--instance", self.controller],
            env={**os.environ, "TOUCANWOOD_OPERATOR_TOKEN": OPERATOR_TOKEN},
            capture_output=True,
            text=True,
        )
        return done.returncode, done.stdout + done.stderr

    def call(
        self,
        address: str,
        method: str,
        path: str,
        *,
        token: str = "",
        body: str | None = None,
    ) -> tuple[int, bytes]:
        """Send a request and return the status and body of the response."""
        connection = http.client.HTTPConnection(address, timeout=TIMEOUT_S)
        headers = {"Authorization": f"Bearer {token}", "Host": HOST}
        connection.request(method, path, body=body, headers=headers)
        response = connection.getresponse()
        return response.status, response.read()

    def announce(self, target: str, *, token: str = TARGET_TOKEN) -> int:
        """Announce a target to the controller and return the status."""
        self._sequence += 1
        announcement = {
            "service": "buscador",
            "address": target,
            "data_centre": DATA_CENTRE,
            "slots": 4,
            "start_time_ms": 1,
            "sequence": self._sequence,
        }
        path = "/.toucanwood/targets/t-1"
        body = json.dumps(announcement)
        return self.call(self.controller, "PUT", path, token=token, body=body)[0]

    @contextlib.contextmanager
    def keep_announcing(self, target: str) -> Iterator[None]:
        """Announce a target regularly from a thread."""
        is_ended = threading.Event()

        def run() -> None:
            while not is_ended.wait(ANNOUNCE_INTERVAL_S):
                with contextlib.suppress(OSError, http.client.HTTPException):
                    self.announce(target)

        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        try:
            yield
        finally:
            is_ended.set()
            thread.join()

    def look_up(self) -> bytes:
        """Return the controller's answer to which entries to use."""
        path = f"/.toucanwood/lookup?region=norte&data_centre={DATA_CENTRE}"
        return self.call(self.controller, "GET", path)[1]

    def request(self, path: str = "/buscador/1", key: str = KEY) -> tuple[int, bytes]:
        """Send a request through the entry."""
        return self.call(self.entry, "GET", path, token=key)

    def wait_until(self, condition: Any) -> None:
        """Wait until a condition holds; raise TimeoutError otherwise."""
        deadline = time.monotonic() + TIMEOUT_S
        while time.monotonic() < deadline:
            with contextlib.suppress(OSError, http.client.HTTPException):
                if condition():
                    return
            time.sleep(POLL_INTERVAL_S)
        raise TimeoutError(f"no process of {list(self.processes)} is ready")

    def start_all(self, target: str) -> None:
        """Start both processes with the routing document and one target."""
        self.start("controller")
        self.wait_until(lambda: self.run_command("routing", "get")[0] == 0)
        self.run_command("routing", "apply", str(ROUTING_FILE))
        self.announce(target)
        self.start("entry")
        self.wait_until(lambda: self.entry.encode() in self.look_up())


def main() -> int:
    """Run the example; with --keep-running, serve until interrupted."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--keep-running", action="store_true")
    arguments = parser.parse_args()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, signal.default_int_handler)
    exit_statuses: dict[str, int] = {}
    status = 0
    with tempfile.TemporaryDirectory() as folder, run_target() as target:
        program = [sys.executable, "-m", "toucanwood"]
        fleet = RoleFleet(pathlib.Path(folder), program=program, changed={})
        try:
            fleet.start_all(target)
            status, body = fleet.request()
            print(f"response through {fleet.entry}: {status} {body.decode()}")
            if arguments.keep_running:
                with fleet.keep_announcing(target):
                    print("running until interrupted")
                    signal.pause()
        except KeyboardInterrupt:
            pass
        finally:
            exit_statuses = fleet.stop()
    print(f"exit statuses: {exit_statuses}")
    return 0 if status == 200 and not any(exit_statuses.values()) else 1


if __name__ == "__main__":
    sys.exit(main())
