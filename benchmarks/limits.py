"""Compare token leases with a static split and with one leader call per request.

The scenarios run in virtual time with 8 entries and a delay of 12 ms between them.
``python -m benchmarks.limits --json -`` prints the figures of every scenario and
policy.
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
LEADER_CHANGE_AT_S = 10.0
CHANGE_WINDOW_S = 10.0
# Time without a leader during an election and during a leadership transfer.
ELECTION_S = 1.0
TRANSFER_S = 0.1
# Size of a frame header (length, version, kind and call id), which the fake network
# does not count.
FRAME_BYTES = 9
# Limits are pairs of a rate per second and a burst.
DEFAULT_LIMITS = (40.0, 80.0)
SMALL_BURST_LIMITS = (1100.0, 20.0)

Request = tuple[float, int, str]
Acquire = Callable[[int, str], Awaitable[bool]]


@attrs.frozen(kw_only=True)
class Scenario:
    """Requests as (time, entry, organisation), and the limits of the organisations.

    The organisations in `noisy` exceed their limits and are left out of the figures
    about refusals and waits.
    """

    limits: dict[str, tuple[float, float]]
    requests: list[Request]
    noisy: frozenset[str] = frozenset()


class TokenBucket:
    """A token bucket whose requests wait in order of arrival."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self.level = burst
        self.updated_at = 0.0

    async def acquire(self) -> bool:
        """Wait up to `MAX_WAIT_S` for a token; return whether one was taken."""
        loop = asyncio.get_running_loop()
        elapsed = loop.time() - self.updated_at
        self.updated_at = loop.time()
        self.level = min(self.level + self.rate * elapsed, self.burst)
        # In a static split the burst of a bucket may be below one token; such a bucket
        # can never admit a request.
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
    """Return the numbers of the requests that conform to their limits.

    One token bucket per organisation would admit them without a wait.
    """
    levels = {name: burst for name, (_, burst) in limits.items()}
    updated_at = dict.fromkeys(limits, 0.0)
    conforming = set()
    for number, (at, _, name) in enumerate(requests):
        rate, burst = limits[name]
        levels[name] = min(levels[name] + rate * (at - updated_at[name]), burst)
        updated_at[name] = at
        if levels[name] >= 1:
            levels[name] -= 1
            conforming.add(number)
    return conforming


def draw_arrivals(rng: random.Random, rate: float, duration: float) -> list[float]:
    """Return the arrival times of a Poisson process."""
    times = []
    now = rng.expovariate(rate)
    while now < duration:
        times.append(now)
        now += rng.expovariate(rate)
    return times


def build_scenarios(seed: int) -> dict[str, Scenario]:
    """Return the scenarios by name."""
    rng = random.Random(seed)
    default_limits = {"a": DEFAULT_LIMITS}
    small_burst_limits = {"a": SMALL_BURST_LIMITS}
    steady = draw_arrivals(rng, 36, 120)
    fast = draw_arrivals(rng, 990, 40)
    cold_bursts = [
        hour * 3600 + index / 400
        for hour in range(3)
        for index in range(int(DEFAULT_LIMITS[1]))
    ]
    return {
        "one_entry": Scenario(
            limits=default_limits, requests=_assign_entries(steady, lambda _: 3)
        ),
        "moving": Scenario(
            limits=default_limits, requests=_assign_entries(steady, _pick_moving_entry)
        ),
        "spread": Scenario(
            limits=default_limits,
            requests=_assign_entries(steady, lambda _: rng.randrange(ENTRIES)),
        ),
        "cold_burst": Scenario(
            limits=default_limits, requests=_assign_entries(cold_bursts, lambda _: 3)
        ),
        "small_burst_one_entry": Scenario(
            limits=small_burst_limits, requests=_assign_entries(fast, lambda _: 3)
        ),
        "small_burst_moving": Scenario(
            limits=small_burst_limits,
            requests=_assign_entries(fast, _pick_moving_entry),
        ),
        "small_burst_spread": Scenario(
            limits=small_burst_limits,
            requests=_assign_entries(fast, lambda _: rng.randrange(ENTRIES)),
        ),
        "overload": _build_overload(rng),
    }


def _build_overload(rng: random.Random) -> Scenario:
    """One organisation sends ten times its rate; seven stay within their rates."""
    names = [f"org-{index}" for index in range(8)]
    requests = []
    for name in names:
        rate = 400 if name == names[0] else 30
        for at in draw_arrivals(rng, rate, 30):
            requests.append((at, rng.randrange(ENTRIES), name))
    return Scenario(
        limits=dict.fromkeys(names, DEFAULT_LIMITS),
        requests=sorted(requests),
        noisy=frozenset({names[0]}),
    )


def _assign_entries(
    times: list[float], pick_entry: Callable[[float], int]
) -> list[Request]:
    return [(at, pick_entry(at), "a") for at in times]


def _pick_moving_entry(at: float) -> int:
    return int(at // 10) % ENTRIES


async def _run_requests(scenario: Scenario, acquire: Acquire) -> dict[str, Any]:
    """Send all requests at their times and return the figures."""
    loop = asyncio.get_running_loop()
    start = loop.time()
    oracles = {
        name: Oracle([(0.0, rate_and_burst)])
        for name, rate_and_burst in scenario.limits.items()
    }
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
    evaluated = conforming & quiet
    refused = sum(number not in admitted for number in evaluated)
    waits = sorted(delay for number, delay in admitted.items() if number in quiet)
    return {
        "requests": len(scenario.requests),
        "admitted": len(admitted),
        "admitted_quiet": len(waits),
        "wrongful_refusals": refused / len(evaluated),
        "admitted_at_once": sum(delay == 0 for delay in waits) / max(len(waits), 1),
        "p99_wait_ms": 1000 * waits[int(len(waits) * 0.99)] if waits else None,
        "excess": max(oracle.compute_excess() for oracle in oracles.values()),
    }


async def _run_token_leases(scenario: Scenario, seed: int) -> dict[str, Any]:
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
    figures = await _run_requests(scenario, acquire)
    elapsed = harness.now - start
    sent = messages[0] - before[0]
    payload = sum(harness.network.delivered_bytes.values()) - before[1]
    round_trips = sum(
        state["round_trips"]
        for limiter in harness.limiters.values()
        for name, state in limiter.dump()["organisations"].items()
        if name not in scenario.noisy
    )
    figures["without_round_trip"] = 1 - round_trips / max(figures["admitted_quiet"], 1)
    figures["messages_per_s"] = sent / elapsed
    figures["bytes_per_s"] = (payload + sent * FRAME_BYTES) / elapsed
    return figures


def _count_messages(harness: Harness) -> list[int]:
    """Return a list whose only item counts the messages of the fake network."""
    count = [0]
    deliver = harness.network.deliver

    def count_and_deliver(*arguments: Any) -> None:
        count[0] += 1
        deliver(*arguments)

    harness.network.deliver = count_and_deliver  # type: ignore[method-assign]
    return count


async def _run_static_split(scenario: Scenario, seed: int) -> dict[str, Any]:
    buckets = {
        (entry, name): TokenBucket(rate / ENTRIES, burst / ENTRIES)
        for entry in range(ENTRIES)
        for name, (rate, burst) in scenario.limits.items()
    }
    figures = await _run_requests(
        scenario, lambda entry, name: buckets[entry, name].acquire()
    )
    return {
        **figures,
        "without_round_trip": 1.0,
        "messages_per_s": 0.0,
        "bytes_per_s": 0.0,
    }


async def _run_synchronous_calls(scenario: Scenario, seed: int) -> dict[str, Any]:
    buckets = {name: TokenBucket(*limits) for name, limits in scenario.limits.items()}

    async def acquire(entry: int, name: str) -> bool:
        if entry == 0:
            return await buckets[name].acquire()
        await asyncio.sleep(DELAY_S)
        is_admitted = await buckets[name].acquire()
        await asyncio.sleep(DELAY_S)
        return is_admitted

    figures = await _run_requests(scenario, acquire)
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


async def _run_leader_change(seed: int, *, is_planned: bool) -> dict[str, Any]:
    """Change the leader while 8 organisations send 60% of their rate.

    The requests go to the entries that were not the first leader. `is_planned` selects
    a stop with a leadership transfer instead of a crash with an election.
    """
    rng = random.Random(seed)
    names = [f"org-{index}" for index in range(8)]
    limits = dict.fromkeys(names, DEFAULT_LIMITS)
    duration = LEADER_CHANGE_AT_S + CHANGE_WINDOW_S
    requests = sorted(
        (at, rng.randrange(1, ENTRIES), name)
        for name in names
        for at in draw_arrivals(rng, 0.6 * DEFAULT_LIMITS[0], duration)
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

    async def change_leader() -> None:
        await asyncio.sleep(LEADER_CHANGE_AT_S)
        name = harness.names[0]
        if is_planned:
            await harness.limiters.pop(name).stop()
            harness.network.stop(name)
        else:
            await harness.crash(name)
        harness.leader = None
        await asyncio.sleep(TRANSFER_S if is_planned else ELECTION_S)
        harness.leader = harness.names[1]

    tasks = [asyncio.create_task(change_leader())]
    for number, (at, entry, name) in enumerate(requests):
        await asyncio.sleep(max(start + at - harness.now, 0.0))
        tasks.append(asyncio.create_task(send(number, entry, name)))
    await asyncio.gather(*tasks)
    evaluated = {
        number
        for number in find_conforming(requests, limits)
        if requests[number][0] >= LEADER_CHANGE_AT_S
    }
    changed_at = start + LEADER_CHANGE_AT_S
    times = [at for oracle in harness.oracles.values() for at in oracle.admission_times]
    times = sorted([changed_at, *(at for at in times if at > changed_at)])
    gaps = [later - earlier for earlier, later in zip(times, times[1:], strict=False)]
    return {
        "requests": len(evaluated),
        "wrongful_refusals": len(evaluated - admitted) / len(evaluated),
        "longest_time_without_admission_s": max(gaps),
        "excess": harness.compute_excess(),
    }


POLICIES = {
    "token_leases": _run_token_leases,
    "static_split": _run_static_split,
    "synchronous_call": _run_synchronous_calls,
}


def run(seed: int) -> dict[str, Any]:
    """Return the figures of every scenario and policy."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(30))
    figures = {
        name: {
            policy: run_virtual(run_policy(scenario, seed))
            for policy, run_policy in POLICIES.items()
        }
        for name, scenario in build_scenarios(seed).items()
    }
    return {**figures, **run_leader_changes(seed)}


def run_leader_changes(seed: int) -> dict[str, Any]:
    """Return the figures of the 10 s after a leader change."""
    return {
        "leader_crash": run_virtual(_run_leader_change(seed, is_planned=False)),
        "leader_stop": run_virtual(_run_leader_change(seed, is_planned=True)),
    }


if __name__ == "__main__":
    typer.run(build_command(run))
