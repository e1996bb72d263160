"""One soak run: load, changes and faults by a seed, then the verdict."""

import asyncio
import contextlib
import itertools
import json
import random
import time

import attrs

from soak._fleet import Fleet
from soak._history import History
from soak._http import send, send_json
from soak._proxy import Harm, Proxy
from soak._targets import Target

KEY = "key-of-the-soak"
ORGANISATION = "org"
TARGETS = 5
CALLERS = 6
CALLER_PAUSE_S = 0.03
# Faults of links among all faults; the others strike processes and disks.
LINK_PART = 0.4
DISK_FAULTS = ("lose_disk", "tear_write")
START_TIMEOUT_S = 20.0
# Faults end, and this time is given to recover before the last requests are counted.
RECOVERY_S = 8.0
SETTLED_S = 3.0
CONFIG = {
    "routes": [
        {
            "name": f"r-{kind}",
            "host": "shop.example",
            "path_prefix": f"/{kind}/",
            "type": kind,
            "timeout_ms": 1000,
            "target_latency_ms": 500,
            "priority": 1,
            "service": "s",
            "max_attempts": 2,
            "sticky": True,
        }
        for kind in ("safe", "unsafe")
    ],
    "services": [{"name": "s", "health_path": "/health"}],
    "tenants": [
        {"name": ORGANISATION, "api_keys": [KEY], "rate_per_s": 1000, "burst": 1000}
    ],
}


@attrs.frozen
class Verdict:
    """Hold the broken invariants, the faults and the counts of one run."""

    seed: int
    broken: list
    faults: list
    requests: int
    served: int


class Run:
    """Play one seed."""

    def __init__(self, seed, seconds):
        self._seed = seed
        self._seconds = seconds
        self._draw = random.Random(seed)
        self._fleet = Fleet()
        self._history = History(KEY, ORGANISATION)
        self._targets = []
        self._proxies = {}
        self._has_lost_disk = False
        self._faults = []
        self._ids = itertools.count(1)
        self._revision = 0
        self._is_settled = False
        self._is_over = False

    async def play(self):
        """Return the verdict; the logs stay where invariants were broken."""
        try:
            self._fleet.start_all()
            await self._start_proxies()
            await self._start_targets()
            await self._configure()
            await self._wait_served()
            await self._play_faults()
        except RuntimeError as error:
            self._history.broken.append(str(error))
        finally:
            for target in self._targets:
                await target.stop()
            for proxy in self._proxies.values():
                await proxy.stop()
            self._fleet.stop_all()
        broken = self._history.conclude()
        if broken:
            broken.append(f"logs are in {self._fleet.folder}")
        else:
            self._fleet.remove_files()
        answers = self._history.answers.values()
        served = sum(reply is not None and reply.status == 200 for reply in answers)
        return Verdict(
            self._seed, broken, self._faults, len(self._history.answers), served
        )

    async def _start_proxies(self):
        fleet = self._fleet
        ends = {f"target-{n}": fleet.find_target(n) for n in range(1, TARGETS + 1)}
        ends |= {name: fleet.find_front(name) for name in fleet.fronts}
        ends |= {name: fleet.find_control(name) for name in fleet.controllers}
        for name, address in ends.items():
            proxy = Proxy(fleet.find_link(address), address)
            await proxy.start()
            self._proxies[name] = proxy

    async def _start_targets(self):
        for number in range(1, TARGETS + 1):
            address = self._fleet.find_target(number)
            target = Target(
                number,
                address,
                self._fleet.find_link(address),
                self._fleet,
                self._draw,
                self._history,
            )
            await target.start()
            self._targets.append(target)

    async def _configure(self):
        deadline = time.monotonic() + START_TIMEOUT_S
        while not await self._change():
            if time.monotonic() > deadline:
                raise RuntimeError("no controller took the first configuration")
            await asyncio.sleep(0.2)

    async def _change(self):
        """Send the next configuration; return whether it was acknowledged."""
        revision = self._revision + self._draw.randint(1, 3)
        config = {**CONFIG, "version": f"r{revision}"}
        name = self._draw.choice(self._fleet.controllers)
        address = self._find_control(name)
        for _ in range(3):
            reply = await send_json(
                address,
                "PUT",
                "/toucanwood/config",
                config,
                If_Match=f"r{self._revision}",
            )
            if reply is not None and reply.status == 200:
                self._revision = revision
                self._history.note_acknowledged(revision)
                return True
            address = self._find_control(self._draw.choice(self._fleet.controllers))
        await self._read()
        return False

    async def _read(self):
        """Read the configuration at any controller and go on from there."""
        name = self._draw.choice(self._fleet.controllers)
        sent_at = time.monotonic()
        address = self._find_control(name)
        reply = await send_json(address, "GET", "/toucanwood/config")
        if reply is None or reply.status != 200:
            return
        revision = int(json.loads(reply.body)["version"].removeprefix("r"))
        self._history.note_read(sent_at, revision)
        self._revision = max(self._revision, revision)

    def _find_control(self, name):
        return self._fleet.find_link(self._fleet.find_control(name))

    async def _wait_served(self):
        deadline = time.monotonic() + START_TIMEOUT_S
        for name in self._fleet.fronts:
            while not await self._request(name, "safe"):
                if time.monotonic() > deadline:
                    raise RuntimeError(f"{name} serves nothing")
                await asyncio.sleep(0.1)

    async def _request(self, name, kind):
        request_id = f"q{self._seed}-{next(self._ids)}"
        is_unsafe = kind == "unsafe"
        if is_unsafe:
            self._history.unsafe.add(request_id)
        is_settled = self._is_settled
        reply = await send(
            self._fleet.find_link(self._fleet.find_front(name)),
            "POST" if is_unsafe else "GET",
            f"/{kind}/x",
            headers={
                "X-Request-Id": request_id,
                "X-Deadline-Remaining": "1500",
                "Authorization": f"Bearer {KEY}",
                "Cookie": f"X-Affinity-Key={self._draw.randrange(20)}",
            },
            body=b"order" if is_unsafe else b"",
        )
        self._history.note_answer(request_id, reply, is_settled=is_settled)
        return reply is not None and reply.status == 200

    async def _play_faults(self):
        callers = [asyncio.create_task(self._call()) for _ in range(CALLERS)]
        operator = asyncio.create_task(self._operate())
        faults = [asyncio.create_task(self._disturb()) for _ in range(2)]
        await asyncio.sleep(self._seconds)
        self._is_over = True
        await asyncio.gather(*faults)
        for name in (*self._fleet.controllers, *self._fleet.fronts):
            if name not in self._fleet.processes:
                self._fleet.start(name)
        for proxy in self._proxies.values():
            proxy.set_harm(Harm.NONE)
        await asyncio.sleep(RECOVERY_S)
        self._is_settled = True
        await asyncio.sleep(SETTLED_S)
        for task in (*callers, operator):
            task.cancel()
        await asyncio.gather(*callers, operator, return_exceptions=True)
        await self._read()
        # Targets may still run what was given up.
        await asyncio.sleep(1.0)

    async def _call(self):
        while True:
            name = self._draw.choice(self._fleet.fronts)
            await self._request(name, self._draw.choice(["safe", "unsafe"]))
            await asyncio.sleep(CALLER_PAUSE_S)

    async def _operate(self):
        while True:
            await asyncio.sleep(self._draw.uniform(0.3, 1.0))
            if self._draw.random() < 0.5:
                await self._change()
            else:
                await self._read()

    async def _disturb(self):
        """Let one fault follow the other; two such series overlap."""
        while not self._is_over:
            await asyncio.sleep(self._draw.uniform(0.2, 1.5))
            if self._draw.random() < LINK_PART:
                await self._harm_link()
                continue
            names = [*self._fleet.controllers, *self._fleet.fronts]
            name = self._draw.choice(names)
            if name not in self._fleet.processes:
                continue
            kind = self._draw.choice(["kill", "terminate", "pause", *DISK_FAULTS])
            if kind in DISK_FAULTS and not self._may_harm_disk(kind, name):
                continue
            self._faults.append(f"{kind} {name}")
            with contextlib.suppress(KeyError):
                await self._strike(kind, name)

    async def _harm_link(self):
        name = self._draw.choice(sorted(self._proxies))
        proxy = self._proxies[name]
        kind = self._draw.choice(["reset", Harm.DELAY, Harm.SILENCE, Harm.ONE_WAY])
        self._faults.append(f"{kind} link of {name}")
        if kind == "reset":
            proxy.reset()
            return
        proxy.set_harm(kind)
        await asyncio.sleep(self._draw.uniform(0.2, 2.5))
        proxy.set_harm(Harm.NONE)

    def _may_harm_disk(self, kind, name):
        """Return whether a fault of a disk is within what the fleet must bear.

        One of three disks may be lost, and the second one only after the group has
        repaired the first, which this run does not wait for.
        """
        if name not in self._fleet.controllers:
            return False
        if kind == "lose_disk":
            if self._has_lost_disk:
                return False
            self._has_lost_disk = True
        return True

    async def _strike(self, kind, name):
        lasts = self._draw.uniform(0.2, 2.5)
        if kind == "pause":
            process = self._fleet.processes[name]
            self._fleet.pause(name)
            await asyncio.sleep(lasts)
            if self._fleet.processes.get(name) is process:
                self._fleet.resume(name)
            return
        end = self._fleet.terminate if kind == "terminate" else self._fleet.kill
        with contextlib.suppress(KeyError):
            self._fleet.resume(name)
        await asyncio.to_thread(end, name)
        if kind == "lose_disk":
            self._fleet.wipe(name)
        elif kind == "tear_write":
            self._fleet.tear(name, self._draw.randbytes(self._draw.randint(1, 40)))
        await asyncio.sleep(lasts)
        if name not in self._fleet.processes:
            self._fleet.start(name)


def play_seed(seed, seconds):
    """Play one seed and return its verdict."""
    return asyncio.run(Run(seed, seconds).play())
