"""The processes under test, each with a loopback address of its own."""

import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile

import attrs

ROOT = pathlib.Path(__file__).resolve().parent.parent
CONTROLLERS = 3
FRONTS = 2
# Processes of one run share the ports and differ by address; runs side by side differ
# by the port, which follows from the process id.
FIRST_PORT = 12000
PORT_STEP = 8
PORT_RUNS = 500
GRACE_S = 3
STOP_TIMEOUT_S = 10.0

BOOT = """
node_name = "{name}"
role = "{role}"
ip = "{ip}"
zone = "{zone}"
region = "north"
internal_port_range = [{port}, {port}]
seeds = [{seeds}]
bootstrap = {bootstrap}
data_dir = "{folder}/{name}"
[zones]
a = "north"
b = "north"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
directory = "{ip}:{directory}"
[limits]
max_fds = 1000
link_mbps = 1000.0
[fault_tolerance]
machines = 1
[bounds]
grace_s = {grace}
config_apply_ms = 2000
retry_ratio = 0.2
retry_slack = 56
retry_window_s = 10
ttl_max_s = 5
"""


@attrs.define
class Fleet:
    """Start, signal and restart the processes; ends only those that it started."""

    folder: str = attrs.field(factory=lambda: tempfile.mkdtemp(prefix="soak-"))
    processes: dict[str, subprocess.Popen] = attrs.field(factory=dict)
    started: set[str] = attrs.field(factory=set)
    port: int = FIRST_PORT + os.getpid() % PORT_RUNS * PORT_STEP

    @property
    def controllers(self):
        return [f"core-{number}" for number in range(1, CONTROLLERS + 1)]

    @property
    def fronts(self):
        return [f"front-{number}" for number in range(1, FRONTS + 1)]

    def find_ip(self, name):
        role, _, number = name.partition("-")
        return f"127.0.{10 if role == 'core' else 20}.{number}"

    def find_control(self, name):
        return f"{self.find_ip(name)}:{self.port + 3}"

    def find_front(self, name):
        return f"{self.find_ip(name)}:{self.port + 1}"

    def find_target(self, number):
        return f"127.0.30.{number}:{self.port + 5}"

    def find_link(self, address):
        """Return the address of the proxy before an address."""
        host, _, port = address.rpartition(":")
        first, second, third, last = host.split(".")
        return f"{first}.{second}.{int(third) + 100}.{last}:{port}"

    def start_all(self):
        for name in (*self.controllers, *self.fronts):
            self.start(name)

    def start(self, name):
        path = pathlib.Path(self.folder) / f"{name}.toml"
        path.write_text(self._write_boot(name))
        role = name.partition("-")[0]
        with open(pathlib.Path(self.folder) / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, str(ROOT / "platform" / "run.py"), role],
                cwd=ROOT,
                env={**os.environ, "TOUCANWOOD_BOOT": str(path)},
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.started.add(name)

    def kill(self, name):
        self._end(name, signal.SIGKILL)

    def terminate(self, name):
        self._end(name, signal.SIGTERM)

    def pause(self, name):
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name):
        self.processes[name].send_signal(signal.SIGCONT)

    def wipe(self, name):
        """Lose the disk of a process that has ended."""
        shutil.rmtree(f"{self.folder}/{name}", ignore_errors=True)

    def tear(self, name, data):
        """Leave a torn write at the end of the newest file on a disk."""
        files = [
            path
            for path in pathlib.Path(self.folder, name).rglob("*")
            if path.is_file()
        ]
        if files:
            with max(files, key=lambda path: path.stat().st_mtime).open("ab") as file:
                file.write(data)

    def stop_all(self):
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()
        self.processes.clear()

    def remove_files(self):
        shutil.rmtree(self.folder, ignore_errors=True)

    def _end(self, name, number):
        process = self.processes.pop(name)
        process.send_signal(number)
        process.wait(STOP_TIMEOUT_S)

    def _write_boot(self, name):
        seeds = ", ".join(f'"{self.find_control(item)}"' for item in self.controllers)
        return BOOT.format(
            name=name,
            role=name.partition("-")[0],
            ip=self.find_ip(name),
            zone="ab"[int(name[-1]) % 2],
            port=self.port,
            front=self.port + 1,
            ready=self.port + 2,
            control=self.port + 3,
            directory=self.port + 4,
            seeds=seeds,
            folder=self.folder,
            grace=GRACE_S,
            bootstrap="false" if name in self.started else "true",
        )
