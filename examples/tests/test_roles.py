"""End-to-end test of the entry and the controller as programs with YAML settings."""

import contextlib
import pathlib
import signal
import socket
import subprocess
import tempfile

import yaml

from examples.role_fleet import ROUTING_FILE, RoleFleet, run_target
from examples.tests.fixtures import PROGRAM, WAIT_TIMEOUT_S, find_free_ports, wait_for


def build_fleet(folder):
    ports = find_free_ports(4)
    changed = {
        "controller": {"http": f"127.0.1.1:{ports[0]}", "peer_port": ports[3]},
        "entry": {
            "listen": f"127.0.1.2:{ports[1]}",
            "ready": f"127.0.1.2:{ports[2]}",
            "peer_port": ports[3],
        },
    }
    return RoleFleet(pathlib.Path(folder), program=PROGRAM, changed=changed)


@contextlib.contextmanager
def run_controller():
    """Run a fleet whose controller is started."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = build_fleet(folder)
        try:
            fleet.start("controller")
            wait_for(lambda: fleet.run_command("routing", "get")[0] == 0)
            yield fleet
        finally:
            for process in fleet.processes.values():
                if process.poll() is None:
                    process.kill()
                    process.wait()


# Guards against roles that only the platform's adapter can start, and against commands
# that do not reach the entries.
def test_entry_and_controller_serve_requests_from_their_settings():
    routing = str(ROUTING_FILE)
    with run_target() as target, run_controller() as fleet:
        status, output = fleet.run_command("routing", "diff", routing)
        assert status == 0 and "add routes.lookup" in output
        assert fleet.run_command("routing", "apply", routing)[0] == 0
        status, output = fleet.run_command("routing", "get")
        document = yaml.safe_load(ROUTING_FILE.read_text())
        assert status == 0 and yaml.safe_load(output) == document
        # The revision is not above the current one.
        assert fleet.run_command("routing", "apply", routing)[0] == 2
        assert fleet.announce(target, token="wrong") == 401
        assert fleet.announce(target) == 200
        fleet.start("entry")
        wait_for(lambda: fleet.entry.encode() in fleet.look_up())
        with fleet.keep_announcing(target):
            assert fleet.request() == (200, b"/buscador/1")
            assert fleet.request(key="unknown")[0] == 401
            assert fleet.request("/status/1", key="unknown") == (200, b"/status/1")
            check_evacuation(fleet)
            check_reload(fleet)
        expected = "127.0.1.1 voter live\n"
        assert fleet.run_command("controllers", "list") == (0, expected)
        # The last voter stays.
        assert fleet.run_command("controllers", "remove", "127.0.1.1")[0] == 3
        assert fleet.stop() == {"controller": 0, "entry": 0}


def check_evacuation(fleet):
    assert fleet.run_command("evacuation", "start", "nowhere")[0] == 2
    assert fleet.run_command("evacuation", "start", "norte-1")[0] == 0
    assert fleet.run_command("evacuation", "list") == (0, "norte-1\n")
    wait_for(lambda: fleet.request()[0] == 503)
    assert fleet.run_command("evacuation", "end", "norte-1")[0] == 0
    wait_for(lambda: fleet.request()[0] == 200)


def check_reload(fleet):
    """Check that SIGHUP names what changed, and that a new controller is used."""
    peer_port = fleet.settings["entry"]["peer_port"]
    fleet.settings["entry"] |= {"controllers": ["127.0.1.1", "127.0.1.9"]}
    fleet.settings["entry"] |= {"retry_slack": 7}
    fleet.write_settings("entry")
    with socket.create_server(("127.0.1.9", peer_port)) as listener:
        listener.settimeout(WAIT_TIMEOUT_S)
        fleet.processes["entry"].send_signal(signal.SIGHUP)
        listener.accept()[0].close()
    lines = fleet.read_log("entry").splitlines()
    line = next(line for line in lines if "settings_changed" in line)
    assert "changed=controllers,retry_slack needs_restart=retry_slack" in line
    assert fleet.request()[0] == 200


# Guards against a traceback, or a process without settings, after a typing error.
def test_wrong_settings_end_with_one_line_for_each_error():
    with tempfile.TemporaryDirectory() as folder:
        fleet = build_fleet(folder)
        fleet.settings["entry"] |= {"peer_port": "x", "unknown": 1, "listen": "here"}
        path = str(fleet.write_settings("entry"))
        for command in ("serve", "check"):
            done = subprocess.run(
                [*PROGRAM, command, path], capture_output=True, text=True
            )
            lines = done.stderr.splitlines()
            assert done.returncode == 2 and len(lines) == 3, done.stderr
            assert all(line.startswith("error: line ") for line in lines), lines
