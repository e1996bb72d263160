"""End-to-end test of the entry and the controller as programs with YAML settings."""

import contextlib
import hashlib
import http.client
import http.server
import json
import os
import pathlib
import signal
import socket
import subprocess
import tempfile
import threading

import yaml

from examples.tests.fixtures import PROGRAM, WAIT_TIMEOUT_S, find_free_ports, wait_for

EXAMPLES = pathlib.Path(__file__).resolve().parents[1] / "roles"
OPERATOR_TOKEN = "operator-token"
TARGET_TOKEN = "target-token"
KEY = "example-key-change-me"


class TargetHandler(http.server.BaseHTTPRequestHandler):
    """A target that answers each request with its path."""

    def do_GET(self):
        body = self.path.encode()
        self.send_response(200)
        self.send_header(
            "Toucanwood-Request-Id", self.headers.get("Toucanwood-Request-Id", "")
        )
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *arguments):
        pass


@contextlib.contextmanager
def run_target():
    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), TargetHandler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    try:
        yield "{}:{}".format(*server.server_address)
    finally:
        server.shutdown()
        server.server_close()


class Roles:
    """One controller and one entry, started from the settings of the example."""

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        ports = find_free_ports(4)
        self.controller = f"127.0.1.1:{ports[0]}"
        self.entry = f"127.0.1.2:{ports[1]}"
        self.settings = {
            "controller": {
                **yaml.safe_load((EXAMPLES / "controller.yaml").read_text()),
                "http": self.controller,
                "peer_port": ports[3],
                "data_dir": f"{folder}/data",
                "operator_token_sha256": hash_token(OPERATOR_TOKEN),
                "target_token_sha256": hash_token(TARGET_TOKEN),
            },
            "entry": {
                **yaml.safe_load((EXAMPLES / "entry.yaml").read_text()),
                "listen": self.entry,
                "ready": f"127.0.1.2:{ports[2]}",
                "peer_port": ports[3],
            },
        }
        self.processes = {}

    def write_settings(self, role):
        path = self.folder / f"{role}.yaml"
        path.write_text(yaml.safe_dump(self.settings[role]))
        return path

    def start(self, role):
        with (self.folder / f"{role}.log").open("w") as log:
            self.processes[role] = subprocess.Popen(
                [*PROGRAM, "serve", str(self.write_settings(role))],
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def read_log(self, role):
        return (self.folder / f"{role}.log").read_text()

    def stop(self):
        """Stop both processes and return their exit statuses."""
        for process in self.processes.values():
            process.terminate()
        return [item.wait(WAIT_TIMEOUT_S) for item in self.processes.values()]

    def run_command(self, *arguments):
        """Run a command at the controller; return its exit status and its output."""
        done = subprocess.run(
            [*PROGRAM, *arguments, "--instance", self.controller],
            env={**os.environ, "TOUCANWOOD_OPERATOR_TOKEN": OPERATOR_TOKEN},
            capture_output=True,
            text=True,
        )
        return done.returncode, done.stdout + done.stderr

    def call(self, address, method, path, *, token, body=None):
        """Send a request; return its status and body."""
        connection = http.client.HTTPConnection(address, timeout=WAIT_TIMEOUT_S)
        headers = {"Authorization": f"Bearer {token}", "Host": "shop.example"}
        connection.request(method, path, body=body, headers=headers)
        response = connection.getresponse()
        return response.status, response.read()

    def announce(self, address, sequence, *, token=TARGET_TOKEN):
        target = {
            "service": "buscador",
            "address": address,
            "data_centre": "norte-1",
            "slots": 4,
            "start_time_ms": 1,
            "sequence": sequence,
        }
        path = "/.toucanwood/targets/t-1"
        body = json.dumps(target)
        return self.call(self.controller, "PUT", path, token=token, body=body)[0]

    def request(self, path="/buscador/1", key=KEY):
        return self.call(self.entry, "GET", path, token=key)


def hash_token(token):
    return hashlib.sha256(token.encode()).hexdigest()


@contextlib.contextmanager
def run_roles():
    with tempfile.TemporaryDirectory() as folder:
        roles = Roles(folder)
        try:
            roles.start("controller")
            wait_for(lambda: roles.run_command("routing", "get")[0] == 0)
            yield roles
        finally:
            for process in roles.processes.values():
                if process.poll() is None:
                    process.kill()
                    process.wait()


# Guards against roles that only the platform's adapter can start, and against commands
# that do not reach the entries.
def test_entry_and_controller_serve_requests_from_their_settings():
    routing = str(EXAMPLES / "routing.yaml")
    with run_target() as target, run_roles() as roles:
        status, output = roles.run_command("routing", "diff", routing)
        assert status == 0 and "add routes.lookup" in output
        assert roles.run_command("routing", "apply", routing)[0] == 0
        status, output = roles.run_command("routing", "get")
        document = yaml.safe_load(pathlib.Path(routing).read_text())
        assert status == 0 and yaml.safe_load(output) == document
        # The revision is not above the current one.
        assert roles.run_command("routing", "apply", routing)[0] == 2
        assert roles.announce(target, 1, token="wrong") == 401
        assert roles.announce(target, 1) == 200
        roles.start("entry")
        path = "/.toucanwood/lookup?region=norte&data_centre=norte-1"
        wait_for(
            lambda: (
                roles.entry.encode()
                in roles.call(roles.controller, "GET", path, token="")[1]
            )
        )
        assert roles.request() == (200, b"/buscador/1")
        assert roles.request(key="unknown")[0] == 401
        assert roles.request("/status/1", key="unknown") == (200, b"/status/1")
        check_evacuation(roles)
        check_reload(roles)
        expected = "127.0.1.1 voter live\n"
        assert roles.run_command("controllers", "list") == (0, expected)
        # The last voter stays.
        assert roles.run_command("controllers", "remove", "127.0.1.1")[0] == 3
        assert roles.stop() == [0, 0]


def check_evacuation(roles):
    assert roles.run_command("evacuation", "start", "nowhere")[0] == 2
    assert roles.run_command("evacuation", "start", "norte-1")[0] == 0
    assert roles.run_command("evacuation", "list") == (0, "norte-1\n")
    wait_for(lambda: roles.request()[0] == 503)
    assert roles.run_command("evacuation", "end", "norte-1")[0] == 0
    wait_for(lambda: roles.request()[0] == 200)


def check_reload(roles):
    """Check that SIGHUP names what changed, and that a new controller is used."""
    peer_port = roles.settings["entry"]["peer_port"]
    roles.settings["entry"] |= {"controllers": ["127.0.1.1", "127.0.1.9"]}
    roles.settings["entry"] |= {"retry_slack": 7}
    roles.write_settings("entry")
    with socket.create_server(("127.0.1.9", peer_port)) as listener:
        listener.settimeout(WAIT_TIMEOUT_S)
        roles.processes["entry"].send_signal(signal.SIGHUP)
        listener.accept()[0].close()
    lines = roles.read_log("entry").splitlines()
    line = next(line for line in lines if "settings_changed" in line)
    assert "changed=controllers,retry_slack needs_restart=retry_slack" in line
    assert roles.request()[0] == 200


# Guards against a traceback, or a process without settings, after a typing error.
def test_wrong_settings_end_with_one_line_for_each_error():
    with tempfile.TemporaryDirectory() as folder:
        roles = Roles(folder)
        roles.settings["entry"] |= {"peer_port": "x", "unknown": 1, "listen": "here"}
        path = str(roles.write_settings("entry"))
        for command in ("serve", "check"):
            done = subprocess.run(
                [*PROGRAM, command, path], capture_output=True, text=True
            )
            lines = done.stderr.splitlines()
            assert done.returncode == 2 and len(lines) == 3, done.stderr
            assert all(line.startswith("error: line ") for line in lines), lines
