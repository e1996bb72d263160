"""Compare token leases with a static split and with one call per request.

Runs in virtual time with 8 entries and 12 ms between them. `python -m benchmarks.limits
--json -` prints the figures of every scenario and policy.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import msgpack
import structlog
import typer
from returns.result import Success

from benchmarks._output import build_command
from toucanwood.limits._messages import LeaseReport, ReportLeases, encode_items
from toucanwood.limits.testing import Harness, Oracle
from toucanwood.peering import encode_message
from toucanwood.utils import run_virtual

ENTRIES = 8
DELAY_S = 0.012
MAX_WAIT_S = 1.0
WARM_UP_S = 10.0
CHANGE_AT_S = 10.0
CHANGE_WINDOW_S = 10.0
# Times without a leader: an election, and a transfer of the leadership.
ELECTION_S = 1.0
TRANSFER_S = 0.1
# Length, version, kind and call id of a frame, which the fake network leaves out.
FRAME_BYTES = 9
STATED_LIMITS = (40.0, 80.0)
SMALL_BURST_LIMITS = (1100.0, 20.0)

Request = tuple[float, int, str]
Acquire = Callable[[int, str], Awaitable[bool]]


@attrs.frozen(kw_only=True)
class Scenario:
    """Requests as (time, entry, organisation) and the limits they run under.

    Figures about refusals and waiting leave out the organisations in `noisy`.
    """

    limits: dict[str, tuple[float, float]]
    requests: list[Request]
    noisy: frozenset[str] = frozenset()


class Bucket:
    """A token bucket whose requests wait in order of arrival."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self.level = burst
        self.updated_at = 0.0

    async def acquire(self) -> bool:
        """Take a token, waiting up to 1 s for it."""
        loop = asyncio.get_running_loop()
        elapsed = loop.time() - self.updated_at
        self.updated_at = loop.time()
        self.level = min(self.level + self.rate * elapsed, self.burst)
        # A share of the burst under one token can never admit a request.
        delay = (1 - self.level) / self.rate
        if self.burst < 1 or delay > MAX_WAIT_S:
            return False
        self.level -= 1
        if delay > 0:
            await asyncio.sleep(delay)
        return True


def find_conforming(
    requests: list[Request], limits: dict[str, tuple[float, float]]
) -> set[int]:
    """Return the requests that one bucket per organisation admits at once."""
    levels = {name: burst for name, (_, burst) in limits.items()}
    updated = dict.fromkeys(limits, 0.0)
    conforming = set()
    for number, (at, _, name) in enumerate(requests):
        rate, burst = limits[name]
        levels[name] = min(levels[name] + rate * (at - updated[name]), burst)
        updated[name] = at
        if levels[name] >= 1:
            levels[name] -= 1
            conforming.add(number)
    return conforming


def draw_arrivals(
    generator: random.Random, rate: float, duration: float
) -> list[float]:
    """Return the times of a Poisson process."""
    times = []
    now = generator.expovariate(rate)
    while now < duration:
        times.append(now)
        now += generator.expovariate(rate)
    return times


def make_scenarios(seed: int) -> dict[str, Scenario]:
    """Return the scenarios by name."""
    generator = random.Random(seed)
    stated = {"a": STATED_LIMITS}
    small = {"a": SMALL_BURST_LIMITS}
    steady = draw_arrivals(generator, 36, 120)
    fast = draw_arrivals(generator, 990, 40)
    cold = [
        hour * 3600 + index / 400
        for hour in range(3)
        for index in range(int(STATED_LIMITS[1]))
    ]
    return {
        "one_entry": Scenario(limits=stated, requests=_place(steady, lambda _: 3)),
        "moving": Scenario(limits=stated, requests=_place(steady, _move)),
        "spread": Scenario(
            limits=stated,
            requests=_place(steady, lambda _: generator.randrange(ENTRIES)),
        ),
        "cold_burst": Scenario(limits=stated, requests=_place(cold, lambda _: 3)),
        "small_burst_one_entry": Scenario(
            limits=small, requests=_place(fast, lambda _: 3)
        ),
        "small_burst_moving": Scenario(limits=small, requests=_place(fast, _move)),
        "small_burst_spread": Scenario(
            limits=small, requests=_place(fast, lambda _: generator.randrange(ENTRIES))
        ),
        "overload": _make_overload(generator),
    }


def _make_overload(generator: random.Random) -> Scenario:
    """One organisation sends ten times its rate, seven stay within theirs."""
    names = [f"org-{index}" for index in range(8)]
    requests = []
    for name in names:
        rate = 400 if name == names[0] else 30
        for at in draw_arrivals(generator, rate, 30):
            requests.append((at, generator.randrange(ENTRIES), name))
    return Scenario(
        limits=dict.fromkeys(names, STATED_LIMITS),
        requests=sorted(requests),
        noisy=frozenset({names[0]}),
    )


def _place(times: list[float], pick: Callable[[float], int]) -> list[Request]:
    return [(at, pick(at), "a") for at in times]


def _move(at: float) -> int:
    return int(at // 10) % ENTRIES


async def _drive(scenario: Scenario, acquire: Acquire) -> dict[str, Any]:
    """Send all requests and return what happened to them."""
    loop = asyncio.get_running_loop()
    start = loop.time()
    oracles = {name: Oracle([(0.0, one)]) for name, one in scenario.limits.items()}
    admitted: dict[int, float] = {}

    async def send(number: int, entry: int, name: str) -> None:
        sent_at = loop.time()
        if await acquire(entry, name):
            admitted[number] = loop.time() - sent_at
            oracles[name].admission_times.append(loop.time())

    tasks = []
    for number, (at, entry, name) in enumerate(scenario.requests):
        await asyncio.sleep(max(start + at - loop.time(), 0.0))
        tasks.append(asyncio.create_task(send(number, entry, name)))
    await asyncio.gather(*tasks)
    return _summarise(scenario, admitted, oracles)


def _summarise(
    scenario: Scenario, admitted: dict[int, float], oracles: dict[str, Oracle]
) -> dict[str, Any]:
    conforming = find_conforming(scenario.requests, scenario.limits)
    quiet = {
        number
        for number, (_, _, name) in enumerate(scenario.requests)
        if name not in scenario.noisy
    }
    judged = conforming & quiet
    refused = sum(number not in admitted for number in judged)
    waits = sorted(delay for number, delay in admitted.items() if number in quiet)
    return {
        "requests": len(scenario.requests),
        "admitted": len(admitted),
        "admitted_quiet": len(waits),
        "wrongful_refusals": refused / len(judged),
        "admitted_at_once": sum(delay == 0 for delay in waits) / max(len(waits), 1),
        "p99_wait_ms": 1000 * waits[int(len(waits) * 0.99)] if waits else None,
        "excess": max(oracle.compute_excess() for oracle in oracles.values()),
    }


async def _run_leases(scenario: Scenario, seed: int) -> dict[str, Any]:
    harness = Harness(seed=seed, limits=scenario.limits, entries=ENTRIES)
    harness.network.default_faults.min_delay = (
        harness.network.default_faults.max_delay
    ) = DELAY_S
    messages = _count_messages(harness)
    await harness.start()
    await asyncio.sleep(WARM_UP_S)
    before = messages[0], sum(harness.network.delivered_bytes.values())

    async def acquire(entry: int, name: str) -> bool:
        return isinstance(await harness.request(harness.names[entry], name), Success)

    start = harness.now
    figures = await _drive(scenario, acquire)
    elapsed = harness.now - start
    sent = messages[0] - before[0]
    payload = sum(harness.network.delivered_bytes.values()) - before[1]
    trips = sum(
        state["round_trips"]
        for limiter in harness.limiters.values()
        for name, state in limiter.dump()["organisations"].items()
        if name not in scenario.noisy
    )
    figures["without_round_trip"] = 1 - trips / max(figures["admitted_quiet"], 1)
    figures["messages_per_s"] = sent / elapsed
    figures["bytes_per_s"] = (payload + sent * FRAME_BYTES) / elapsed
    return figures


def _count_messages(harness: Harness) -> list[int]:
    """Count the messages of the fake network in a list of one item."""
    count = [0]
    deliver = harness.network.deliver

    def count_and_deliver(*arguments: Any) -> None:
        count[0] += 1
        deliver(*arguments)

    harness.network.deliver = count_and_deliver  # type: ignore[method-assign]
    return count


async def _run_static_split(scenario: Scenario, seed: int) -> dict[str, Any]:
    buckets = {
        (entry, name): Bucket(rate / ENTRIES, burst / ENTRIES)
        for entry in range(ENTRIES)
        for name, (rate, burst) in scenario.limits.items()
    }
    figures = await _drive(scenario, lambda entry, name: buckets[entry, name].acquire())
    return {
        **figures,
        "without_round_trip": 1.0,
        "messages_per_s": 0.0,
        "bytes_per_s": 0.0,
    }


async def _run_synchronous(scenario: Scenario, seed: int) -> dict[str, Any]:
    buckets = {name: Bucket(*limits) for name, limits in scenario.limits.items()}

    async def acquire(entry: int, name: str) -> bool:
        if entry == 0:
            return await buckets[name].acquire()
        await asyncio.sleep(DELAY_S)
        is_admitted = await buckets[name].acquire()
        await asyncio.sleep(DELAY_S)
        return is_admitted

    figures = await _drive(scenario, acquire)
    remote = sum(entry != 0 for _, entry, _ in scenario.requests)
    elapsed = scenario.requests[-1][0]
    report = LeaseReport(organisation="a", lease=1, wanted=1)
    body = ReportLeases("0123456789ab", encode_items([report]))
    size = len(msgpack.packb(encode_message(body))) + FRAME_BYTES
    return {
        **figures,
        "without_round_trip": 1 - remote / len(scenario.requests),
        "messages_per_s": 2 * remote / elapsed,
        "bytes_per_s": 2 * remote * size / elapsed,
    }


async def _run_change(seed: int, *, is_planned: bool) -> dict[str, Any]:
    """Lose the leader while 8 organisations send 60% of their rate to the others."""
    generator = random.Random(seed)
    names = [f"org-{index}" for index in range(8)]
    limits = dict.fromkeys(names, STATED_LIMITS)
    length = CHANGE_AT_S + CHANGE_WINDOW_S
    requests = sorted(
        (at, generator.randrange(1, ENTRIES), name)
        for name in names
        for at in draw_arrivals(generator, 0.6 * STATED_LIMITS[0], length)
    )
    harness = Harness(seed=seed, limits=limits, entries=ENTRIES)
    harness.network.default_faults.min_delay = (
        harness.network.default_faults.max_delay
    ) = DELAY_S
    await harness.start()
    await asyncio.sleep(WARM_UP_S)
    start = harness.now
    admitted: set[int] = set()

    async def send(number: int, entry: int, name: str) -> None:
        if isinstance(await harness.request(harness.names[entry], name), Success):
            admitted.add(number)

    async def change() -> None:
        await asyncio.sleep(CHANGE_AT_S)
        name = harness.names[0]
        if is_planned:
            await harness.limiters.pop(name).stop()
            harness.network.stop(name)
        else:
            await harness.crash(name)
        harness.leader = None
        await asyncio.sleep(TRANSFER_S if is_planned else ELECTION_S)
        harness.leader = harness.names[1]

    tasks = [asyncio.create_task(change())]
    for number, (at, entry, name) in enumerate(requests):
        await asyncio.sleep(max(start + at - harness.now, 0.0))
        tasks.append(asyncio.create_task(send(number, entry, name)))
    await asyncio.gather(*tasks)
    judged = {
        number
        for number in find_conforming(requests, limits)
        if requests[number][0] >= CHANGE_AT_S
    }
    changed_at = start + CHANGE_AT_S
    times = [at for one in harness.oracles.values() for at in one.admission_times]
    times = sorted([changed_at, *(at for at in times if at > changed_at)])
    gaps = [late - early for early, late in zip(times, times[1:], strict=False)]
    return {
        "requests": len(judged),
        "wrongful_refusals": len(judged - admitted) / len(judged),
        "longest_time_without_admission_s": max(gaps),
        "excess": harness.compute_excess(),
    }


POLICIES = {
    "token_leases": _run_leases,
    "static_split": _run_static_split,
    "synchronous_call": _run_synchronous,
}


def run(seed: int) -> dict[str, Any]:
    """Return the figures of every scenario and policy."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(30))
    figures = {
        name: {
            policy: run_virtual(run_policy(scenario, seed))
            for policy, run_policy in POLICIES.items()
        }
        for name, scenario in make_scenarios(seed).items()
    }
    return {**figures, **run_changes(seed)}


def run_changes(seed: int) -> dict[str, Any]:
    """Return the figures of the 10 s after a change of the leader."""
    return {
        "leader_crash": run_virtual(_run_change(seed, is_planned=False)),
        "leader_stop": run_virtual(_run_change(seed, is_planned=True)),
    }


if __name__ == "__main__":
    typer.run(build_command(run))
