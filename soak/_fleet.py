"""Processes under test, each on its own loopback address."""

import os
import pathlib
import re
import resource
import shutil
import signal
import subprocess
import sys
import tempfile

import attrs
from adapter.tests.stand_ins import BOOT_SETTINGS, BOOT_VARIABLE

ROOT = pathlib.Path(__file__).resolve().parent.parent
CONTROLLER_COUNT = 3
ENTRY_COUNT = 2
# All processes of a run use the same ports on different addresses. The process id
# selects one of PORT_RANGE_COUNT port ranges, so that parallel runs do not collide.
FIRST_PORT = 12000
PORTS_PER_RUN = 20
PORT_RANGE_COUNT = 500
STOP_GRACE_S = 3
# The smallest machines of the deployments.
MAX_OPEN_FILES = 1000
MEMORY_MB = {"core": 296, "front": 200}
STOP_TIMEOUT_S = 10.0


@attrs.define
class Fleet:
    """Processes of one run; it signals and stops only processes that it started."""

    folder: str = attrs.field(factory=lambda: tempfile.mkdtemp(prefix="soak-"))
    processes: dict[str, subprocess.Popen] = attrs.field(factory=dict)
    started_names: set[str] = attrs.field(factory=set)
    # First port of the range that this run uses.
    port: int = FIRST_PORT + os.getpid() % PORT_RANGE_COUNT * PORTS_PER_RUN
    link_mbps: float = 1000.0

    @property
    def controllers(self):
        return [f"core-{number}" for number in range(1, CONTROLLER_COUNT + 1)]

    @property
    def entries(self):
        return [f"front-{number}" for number in range(1, ENTRY_COUNT + 1)]

    def get_ip(self, name):
        role, _, number = name.partition("-")
        return f"127.0.{10 if role == 'core' else 20}.{number}"

    def get_control_address(self, name):
        return f"{self.get_ip(name)}:{self.port + 3}"

    def get_entry_address(self, name):
        return f"{self.get_ip(name)}:{self.port + 1}"

    def get_target_address(self, number):
        return f"127.0.30.{number}:{self.port + 5}"

    def get_peer_port(self, name):
        """Return the port for other instances: the entries share one.

        An instance dials the others at its own port. A proxy at that port stands in
        each link to a controller.
        """
        role, _, number = name.partition("-")
        return self.port + (8 + 2 * int(number) if role == "core" else 0)

    def list_links(self):
        """Return each link to a controller: source, target, dialed address, address."""
        links = []
        for target in self.controllers:
            ip = self.get_ip(target)
            for source in ("front", *self.controllers):
                if source != target:
                    dialed = f"{ip}:{self.get_peer_port(source)}"
                    upstream = f"{ip}:{self.get_peer_port(target)}"
                    links.append((source, target, dialed, upstream))
            # An entry dials the relay of a controller at the port that follows its own.
            dialed = f"{ip}:{self.get_peer_port('front') + 1}"
            upstream = f"{ip}:{self.get_peer_port(target) + 1}"
            links.append(("front", f"{target} relay", dialed, upstream))
        return links

    def get_proxy_address(self, address):
        """Return the address of the proxy in front of an address."""
        host, _, port = address.rpartition(":")
        first, second, third, last = host.split(".")
        return f"{first}.{second}.{int(third) + 100}.{last}:{port}"

    def start_all(self):
        for name in (*self.controllers, *self.entries):
            self.start(name)

    def start(self, name):
        path = pathlib.Path(self.folder) / f"{name}.toml"
        path.write_text(self._format_boot_settings(name))
        role = name.partition("-")[0]
        with open(pathlib.Path(self.folder) / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, str(ROOT / "platform" / "run.py"), role],
                cwd=ROOT,
                env={**os.environ, BOOT_VARIABLE: str(path)},
                stdout=log,
                stderr=subprocess.STDOUT,
                preexec_fn=_limit_open_files,
            )
        self.started_names.add(name)

    def kill(self, name):
        self._stop(name, signal.SIGKILL)

    def terminate(self, name):
        self._stop(name, signal.SIGTERM)

    def pause(self, name):
        self.processes[name].send_signal(signal.SIGSTOP)

    def list_oversized(self):
        """Return the names and memory in MB of the processes above their limit."""
        sizes = {
            name: read_memory_mb(item.pid) for name, item in self.processes.items()
        }
        return [
            (name, size)
            for name, size in sizes.items()
            if size > MEMORY_MB[name.partition("-")[0]]
        ]

    def resume(self, name):
        self.processes[name].send_signal(signal.SIGCONT)

    def delete_data_dir(self, name):
        """Delete the data directory of a stopped process, as if its disk were lost."""
        shutil.rmtree(f"{self.folder}/{name}", ignore_errors=True)

    def append_torn_write(self, name, data):
        """Append data to the newest file of a process, to simulate a torn write."""
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

    def _stop(self, name, signal_number):
        process = self.processes.pop(name)
        process.send_signal(signal_number)
        try:
            process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
            message = f"{name} had not ended {STOP_TIMEOUT_S:g} s after signal "
            raise RuntimeError(f"{message}{signal_number}") from None

    def _format_boot_settings(self, name):
        seeds = ", ".join(
            f'"{self.get_control_address(controller)}"'
            for controller in self.controllers
        )
        return BOOT_SETTINGS.format(
            name=name,
            role=name.partition("-")[0],
            ip=self.get_ip(name),
            zone="ab"[int(name[-1]) % 2],
            port=self.get_peer_port(name),
            last_port=self.get_peer_port(name) + 1,
            link_mbps=self.link_mbps,
            front=self.port + 1,
            ready=self.port + 2,
            control=self.port + 3,
            directory=self.port + 4,
            seeds=seeds,
            folder=self.folder,
            grace=STOP_GRACE_S,
            files=MAX_OPEN_FILES,
            memory_mb=MEMORY_MB[name.partition("-")[0]],
            bootstrap="false" if name in self.started_names else "true",
        )


def read_memory_mb(pid):
    """Return the memory that only this process uses in MB, 0 if it has ended."""
    try:
        status = pathlib.Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return 0.0
    sizes = re.findall(r"(?:RssAnon|VmSwap):\s+(\d+) kB", status)
    return sum(int(size) for size in sizes) / 1000


def _limit_open_files():
    resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_OPEN_FILES, MAX_OPEN_FILES))
