"""One soak run: load, configuration changes and faults, all drawn from a seed."""

import asyncio
import itertools
import random
import time

import attrs
from adapter.tests.stand_ins import (
    CONFIG_PATH,
    build_config,
    build_request_headers,
    decode_revision,
    format_version,
)

from soak._callers import CHUNK_BYTES, RefusedCaller
from soak._evacuations import EvacuationOperator
from soak._faults import FaultInjector
from soak._fleet import Fleet
from soak._history import History
from soak._http import send_json, send_request
from soak._pipelines import PipeliningCaller
from soak._pressure import PressureCaller
from soak._proxy import LinkFault, Proxy
from soak._short_lived import ShortLivedTargets
from soak._signals import (
    LEAVING_S,
    LIMIT_S,
    LIMITS,
    WAIT_S,
    FaultTimes,
)
from soak._targets import SLOW_LINK_MBPS, FaultyTarget

# On the slow link, large responses come through relays and are streamed.
LINKS_MBPS = (1000.0, 3.5)
API_KEY = "key-of-the-soak"
ORGANISATION = "org"
TARGET_COUNT = 5
CALLER_COUNT = 6
CALLER_PAUSE_S = 0.03
ROUTE_TYPES = ("safe", "safe", "unsafe", "unsafe", "download")
# Bytes of the bodies of requests.
BODY_BYTES = (0, 5, 5, 5, 100_000, 300_000)
# The same on a slow link, where a longer echo takes longer than the route's time-out.
SLOW_LINK_BODY_BYTES = (0, 5, 5, 5, 5, 20_000)
START_TIMEOUT_S = 20.0
MEMORY_CHECK_INTERVAL_S = 0.05
# Time that the fleet has to recover after the last fault.
RECOVERY_S = 8.0
# Duration of the phase after the recovery, in which the served requests are counted.
MEASUREMENT_S = 3.0
TIMEOUTS_MS = {"safe": 1000, "unsafe": 1000, "download": 3000}


@attrs.frozen
class RunResult:
    """Broken invariants, injected faults and request counts of one run."""

    seed: int
    violations: list
    faults: list
    requests: int
    served: int


class SoakRun:
    """One run with the fleet, its targets, the load and the injected faults."""

    def __init__(self, seed, fault_duration_s):
        self._seed = seed
        self._fault_duration_s = fault_duration_s
        self._rng = random.Random(seed)
        self._fleet = Fleet(link_mbps=self._rng.choice(LINKS_MBPS))
        self._body_bytes = BODY_BYTES
        if self._fleet.link_mbps < SLOW_LINK_MBPS:
            self._body_bytes = SLOW_LINK_BODY_BYTES
        self._history = History(API_KEY, ORGANISATION)
        self._targets = []
        self._proxies = {}
        self._fault_times = FaultTimes()
        self._evacuations = EvacuationOperator(self._fleet, self._history, self._rng)
        # The instances at both ends of each proxy between instances, by its name.
        self._link_ends = {}
        self._faults = FaultInjector(
            self._fleet, self._proxies, self._link_ends, self._rng, self._fault_times
        )
        self._request_numbers = itertools.count(1)
        self._revision = 0
        self._is_after_recovery_period = False

    async def run_scenario(self):
        """Return the result; the log files are kept if an invariant was broken."""
        try:
            await self._start_proxies()
            self._fleet.start_all()
            await self._start_targets()
            await self._apply_first_config()
            await self._wait_until_serving()
            await self._run_phases()
        except RuntimeError as error:
            self._history.violations.append(str(error))
        finally:
            for target in self._targets:
                await target.stop()
            for proxy in self._proxies.values():
                await proxy.stop()
            self._fleet.stop_all()
        violations = self._history.list_violations()
        for target in self._targets:
            for signals in target.signals:
                violations += signals.check(self._fault_times)
        violations += [
            message
            for names, begin, end, message in self._history.interrupted
            if not self._fault_times.disturbed(names, begin, end)
        ]
        if violations:
            violations.append(f"logs are in {self._fleet.folder}")
        else:
            self._fleet.remove_files()
        responses = self._history.responses.values()
        served = sum(
            response is not None and response.status == 200 for response in responses
        )
        return RunResult(
            self._seed,
            violations,
            self._faults.descriptions,
            len(self._history.responses),
            served,
        )

    async def _start_proxies(self):
        fleet = self._fleet
        addresses = {
            f"target-{n}": fleet.get_target_address(n)
            for n in range(1, TARGET_COUNT + 1)
        }
        addresses |= {name: fleet.get_entry_address(name) for name in fleet.entries}
        addresses |= {
            name: fleet.get_control_address(name) for name in fleet.controllers
        }
        for name, address in addresses.items():
            proxy = Proxy(fleet.get_proxy_address(address), address)
            await proxy.start()
            self._proxies[name] = proxy
        for source, target, dialed, upstream in fleet.list_links():
            proxy = Proxy(dialed, upstream)
            await proxy.start()
            name = f"link {source} {target}"
            self._proxies[name] = proxy
            sources = fleet.entries if source == "front" else [source]
            self._link_ends[name] = [*sources, target.removesuffix(" relay")]

    async def _start_targets(self):
        for number in range(1, TARGET_COUNT + 1):
            address = self._fleet.get_target_address(number)
            target = FaultyTarget(
                number,
                address,
                self._fleet.get_proxy_address(address),
                self._fleet,
                self._rng,
                self._history,
                self._evacuations.record_run,
            )
            await target.start()
            self._targets.append(target)
            self._history.target_ids.add(target.id)

    async def _apply_first_config(self):
        deadline = time.monotonic() + START_TIMEOUT_S
        while not await self._apply_next_config():
            if time.monotonic() > deadline:
                raise RuntimeError("no controller accepted the first configuration")
            await asyncio.sleep(0.2)

    async def _apply_next_config(self):
        """Send a new configuration revision; return whether it was acknowledged."""
        revision = self._revision + self._rng.randint(1, 3)
        config = build_config(
            revision, timeouts_ms=TIMEOUTS_MS, organisation=ORGANISATION, key=API_KEY
        )
        name = self._rng.choice(self._fleet.controllers)
        address = self._get_control_proxy(name)
        for _ in range(3):
            response = await send_json(
                address,
                "PUT",
                CONFIG_PATH,
                config,
                If_Match=format_version(self._revision),
            )
            if response is not None and response.status == 200:
                self._revision = revision
                self._history.record_acknowledgement(revision)
                return True
            address = self._get_control_proxy(self._rng.choice(self._fleet.controllers))
        await self._read_config()
        return False

    async def _read_config(self):
        """Read the configuration from a random controller and adopt its revision."""
        name = self._rng.choice(self._fleet.controllers)
        sent_at = time.monotonic()
        address = self._get_control_proxy(name)
        response = await send_json(address, "GET", CONFIG_PATH)
        if response is None or response.status != 200:
            return
        revision = decode_revision(response.body)
        self._history.record_read(sent_at, revision)
        self._revision = max(self._revision, revision)

    def _get_control_proxy(self, name):
        return self._fleet.get_proxy_address(self._fleet.get_control_address(name))

    async def _wait_until_serving(self):
        deadline = time.monotonic() + START_TIMEOUT_S
        for name in self._fleet.entries:
            while not await self._send_request(name, "safe"):
                if time.monotonic() > deadline:
                    raise RuntimeError(f"{name} did not serve a request in time")
                await asyncio.sleep(0.1)

    async def _send_request(self, name, route_type):
        request_id = self._build_request_id()
        self._history.record_sent(request_id, name)
        is_unsafe = route_type == "unsafe"
        if is_unsafe:
            self._history.unsafe_ids.add(request_id)
        if route_type == "download":
            self._history.download_ids.add(request_id)
        is_after_recovery_period = self._is_after_recovery_period
        response = await send_request(
            self._fleet.get_proxy_address(self._fleet.get_entry_address(name)),
            "POST" if is_unsafe else "GET",
            f"/{route_type}/x",
            headers=self._build_headers(
                request_id,
                deadline_ms=4000 if route_type == "download" else 1500,
            ),
            timeout=5.0,
            body=b"o" * self._rng.choice(self._body_bytes) if is_unsafe else b"",
            chunk_bytes=self._rng.choice(CHUNK_BYTES) if is_unsafe else 0,
        )
        self._history.record_response(
            request_id, response, is_after_recovery_period=is_after_recovery_period
        )
        return response is not None and response.status == 200

    def _build_request_id(self):
        return f"q{self._seed}-{next(self._request_numbers)}"

    def _build_headers(self, request_id, key=API_KEY, deadline_ms=1500):
        return build_request_headers(
            request_id,
            deadline_ms=deadline_ms,
            key=key,
            object_key=self._rng.randrange(20),
        )

    async def _run_phases(self):
        callers = [asyncio.create_task(self._run_caller()) for _ in range(CALLER_COUNT)]
        refused_caller = RefusedCaller(
            self._fleet,
            self._history,
            self._rng,
            next_id=self._build_request_id,
            build_headers=self._build_headers,
        )
        callers.append(asyncio.create_task(refused_caller.run()))
        pipelining_caller = PipeliningCaller(
            self._fleet,
            self._history,
            self._rng,
            next_id=self._build_request_id,
            build_headers=self._build_headers,
        )
        callers += [asyncio.create_task(pipelining_caller.run()) for _ in range(2)]
        short_lived = ShortLivedTargets(self._fleet, self._rng, self._history)
        callers.append(asyncio.create_task(short_lived.run()))
        pressure = PressureCaller(
            self._fleet,
            self._history,
            self._rng,
            next_id=self._build_request_id,
            build_headers=self._build_headers,
        )
        disturbers = [
            asyncio.create_task(pressure.run()),
            asyncio.create_task(self._evacuations.run()),
        ]
        watcher = asyncio.create_task(self._watch_memory())
        operator = asyncio.create_task(self._run_operator())
        signals = asyncio.create_task(self._change_signals())
        faults = [asyncio.create_task(self._faults.run()) for _ in range(2)]
        await asyncio.sleep(self._fault_duration_s)
        self._faults.is_over = True
        await asyncio.gather(*faults)
        for task in disturbers:
            task.cancel()
        await asyncio.gather(*disturbers, return_exceptions=True)
        for name in (*self._fleet.controllers, *self._fleet.entries):
            if name not in self._fleet.processes:
                self._fleet.start(name)
        for proxy in self._proxies.values():
            proxy.set_fault(LinkFault.NONE)
        # Stays in force during the recovery, also if a link still holds an older order.
        if not await self._evacuations.start():
            self._history.violations.append("an evacuation could not be started")
        await asyncio.sleep(RECOVERY_S)
        if not await self._evacuations.end():
            self._history.violations.append("an evacuation could not be ended")
        signals.cancel()
        for target in self._targets:
            target.signals[-1].end_limit()
        self._is_after_recovery_period = True
        await asyncio.sleep(MEASUREMENT_S)
        tasks = (*callers, operator, watcher)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._read_config()
        # Targets may still run requests whose callers were cancelled or timed out.
        await asyncio.sleep(1.0)

    async def _watch_memory(self):
        """Record and kill each process that exceeds its memory."""
        while True:
            await asyncio.sleep(MEMORY_CHECK_INTERVAL_S)
            for name, size in self._fleet.list_oversized():
                self._history.violations.append(f"{name} takes {size:.0f} MB")
                await asyncio.to_thread(self._fleet.kill, name)
                self._fleet.start(name)

    async def _run_caller(self):
        while True:
            name = self._rng.choice(self._fleet.entries)
            await self._send_request(name, self._rng.choice(ROUTE_TYPES))
            await asyncio.sleep(CALLER_PAUSE_S)

    async def _change_signals(self):
        """Let targets name limits, ask to wait, and leave and start again."""
        rng = self._rng
        while True:
            await asyncio.sleep(rng.uniform(0.3, 1.0))
            now = time.monotonic()
            for target in self._targets:
                signals = target.signals[-1]
                if signals.limit is not None and now > signals.limit_until:
                    signals.end_limit()
                if signals.leaving_until and now > signals.leaving_until:
                    target.restart()
            signals = rng.choice(self._targets).signals[-1]
            kind = rng.choice(["limit", "wait", "leave"])
            leaving = [item for item in self._targets if item.signals[-1].leaving_until]
            if kind == "limit":
                signals.start_limit(rng.choice(LIMITS), rng.uniform(*LIMIT_S))
            elif kind == "wait":
                signals.next_wait_s = rng.uniform(*WAIT_S)
            elif not leaving:
                signals.leaving_until = now + rng.uniform(*LEAVING_S)

    async def _run_operator(self):
        while True:
            await asyncio.sleep(self._rng.uniform(0.3, 1.0))
            if self._rng.random() < 0.5:
                await self._apply_next_config()
            else:
                await self._read_config()


def run_seed(seed, fault_duration_s):
    """Run one seed and return its result."""
    return asyncio.run(SoakRun(seed, fault_duration_s).run_scenario())
