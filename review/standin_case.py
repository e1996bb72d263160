"""The frame of a case: its record, its exit status and the end of its processes."""

import asyncio
import os
import pathlib
import signal
import sys
import time

import standin_http as http

HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMIT_S = 116.0


class Record:
    """Lines with the seconds since the start, written to `record.txt`."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / "record.txt", "w")
        self._started = time.monotonic()

    def __call__(self, line):
        seconds = time.monotonic() - self._started
        self._file.write(f"{seconds:9.3f} {line}\n")
        self._file.flush()


class CaseError(Exception):
    """Report that the case could not run."""


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder, fleet, play):
    """Run `play(fleet, record)`, which returns whether the rule held, and exit."""
    record = Record(folder)
    status = NOT_RUN
    # The processes are ended as well if the case itself is stopped.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:
        held = asyncio.run(asyncio.wait_for(play(fleet, record), LIMIT_S))
        status = HELD if held else BROKEN
    except (CaseError, OSError, TimeoutError) as error:
        record(f"the case could not run: {error!r}")
        for name in fleet.processes:
            for line in fleet.read_log(name).splitlines()[-5:]:
                record(f"log of {name}: {line}")
    finally:
        if os.environ.get("KEEP_LOGS"):
            for name in list(fleet.processes):
                pathlib.Path(os.environ["KEEP_LOGS"], f"{name}.log").write_text(
                    fleet.read_log(name)
                )
        fleet.end_all()
    verdict = {HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[status]
    record(f"the rule: {verdict}")
    print(verdict)
    sys.exit(status)


async def wait_until(check, seconds, what):
    """Wait until the coroutine function `check` returns true."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if await check():
            return
        await asyncio.sleep(0.1)
    raise CaseError(f"no {what} within {seconds} s")


async def wait_ready(fleet, fronts):
    """Wait until the fronts say that they are ready."""

    async def check():
        for name in fronts:
            address = fleet.get_address(name, "ready")
            answer = await http.request(address, "GET", "/toucanwood/ready")
            if answer is None or answer.status != 200:
                return False
        return True

    await wait_until(check, 20.0, "ready front")


async def find_leader(fleet):
    """Return the core that leads, by the metrics that the deploy file names."""
    for name in fleet.cores:
        address = f"{fleet.get_ip(name)}:9464"
        answer = await http.request(address, "GET", "/metrics")
        if answer is not None:
            for line in answer.body.decode().splitlines():
                if "leading" in line and line.endswith(" 1.0"):
                    return name
    return None


def build_config(version, routes, services, tenants=None):
    """Return a configuration in the form of the page on the protocol."""
    content = {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health_path": "/health",
                "max_conns": 330,
                "protocol": "h1",
                "tls": False,
                "cold_start_s": 3.0,
                "cold_per_s": 14.0,
            }
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }
    if tenants is not None:
        content["tenants"] = tenants
    return content


def build_route(name, prefix, service, **options):
    return {
        "name": name,
        "host": "jepu9.example",
        "path_prefix": prefix,
        "type": options.get("type", "safe"),
        "timeout_ms": options.get("timeout_ms", 1000),
        "target_latency_ms": options.get("target_latency_ms", 250),
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "anonymous": False,
        "sticky": False,
        "allowed_regions": [],
    }
