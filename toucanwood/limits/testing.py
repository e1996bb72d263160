"""A fleet of limiters on a fake network and an oracle, for tests and benchmarks."""

import asyncio
import math
from collections.abc import Callable

import attrs
from returns.result import Result, Success

from toucanwood.limits._account import LEADER_TERM_S
from toucanwood.limits._limiter import Limiter
from toucanwood.limits._service import Limits
from toucanwood.peering.testing import FakeNetwork
from toucanwood.verdicts import Verdict


@attrs.define
class Oracle:
    """Know the declared limits over time and check every window of admissions.

    A lowered rate or burst may take effect up to one lease term late.
    """

    history: list[tuple[float, Limits]] = attrs.field(factory=list)
    admission_times: list[float] = attrs.field(factory=list)

    def compute_excess(self) -> float:
        """Return the most admissions over the limit of any window; 0 for none."""
        times = sorted(self.admission_times)
        bursts = {burst for _, (_, burst) in self._find_bounds()}
        return max(
            (self._compute_excess_at(burst, times) for burst in bursts), default=0
        )

    def _compute_excess_at(self, burst: float, times: list[float]) -> float:
        """Check the windows during which the burst is at most `burst`."""
        bounds = self._find_bounds()
        worst = 0.0
        running = -math.inf
        previous = 0.0
        for time in times:
            refill, highest = self._scan(bounds, previous, time)
            running = max(running - refill, 0.0) + 1.0
            if highest > burst:
                running = -math.inf
            worst = max(worst, running - burst)
            previous = time
        return worst

    def _scan(
        self, bounds: list[tuple[float, Limits]], start: float, end: float
    ) -> tuple[float, float]:
        """Return the refill and the highest burst of one span of time."""
        refill = 0.0
        highest = 0.0
        ends = [at for at, _ in bounds[1:]] + [math.inf]
        for (begin, (rate, burst)), stop in zip(bounds, ends, strict=True):
            if begin <= end and stop >= start:
                refill += rate * max(min(stop, end) - max(begin, start), 0.0)
                highest = max(highest, burst)
        return refill, highest

    def _find_bounds(self) -> list[tuple[float, Limits]]:
        """Return the limits in force from each time on."""
        times = {at for at, _ in self.history}
        times |= {at + LEADER_TERM_S for at, _ in self.history}
        return [(at, self.find_limits(at)) for at in sorted(times)]

    def find_limits(self, now: float) -> Limits:
        """Return the highest rate and burst that may be in force."""
        last = [one for one in self.history if one[0] <= now][-1]
        recent = [
            limits
            for (_, limits), (ended_at, _) in zip(
                self.history, self.history[1:], strict=False
            )
            if now - LEADER_TERM_S < ended_at <= now
        ]
        recent.append(last[1])
        return max(rate for rate, _ in recent), max(burst for _, burst in recent)


class Fleet:
    """Run limiters on a fake network under one leader chosen by the test."""

    def __init__(
        self,
        *,
        seed: int,
        limits: dict[str, Limits],
        entries: int = 8,
        clock_rates: tuple[float, ...] = (1.0,),
    ) -> None:
        self.network = FakeNetwork(seed)
        self.limits = dict(limits)
        self.names = [f"entry-{index}" for index in range(entries)]
        self.term = 1
        self._leader: str | None = self.names[0]
        self.limiters: dict[str, Limiter] = {}
        self.oracles = {name: Oracle([(0.0, one)]) for name, one in limits.items()}
        self._clock_rates = clock_rates

    @property
    def leader(self) -> str | None:
        """Return the leader; each one that is set leads in a term of its own."""
        return self._leader

    @leader.setter
    def leader(self, name: str | None) -> None:
        self.term += name is not None
        self._leader = name

    @property
    def now(self) -> float:
        """Return the virtual time in seconds."""
        return asyncio.get_running_loop().time()

    async def start(self) -> None:
        """Start every entry."""
        for name in self.names:
            await self.restart(name)

    async def crash(self, name: str) -> None:
        """Stop an entry without any farewell."""
        self.network.stop(name)
        limiter = self.limiters.pop(name, None)
        if limiter is not None:
            await limiter._tasks.stop()
            await limiter.service.stop()

    async def stop(self, name: str) -> None:
        """Stop an entry gracefully."""
        limiter = self.limiters.pop(name)
        await limiter.stop()
        self.network.stop(name)

    async def restart(self, name: str) -> None:
        """Start an entry, after a crash if it runs."""
        await self.crash(name)
        limiter = Limiter(
            transport=self.network.create_transport(name),
            leader=lambda: self.leader,
            is_leader=lambda: self.leader == name,
            term=lambda: self.term,
            limits_of=self.limits.get,
            successors=lambda: self.names,
            clock=self.find_clock(name),
        )
        self.limiters[name] = limiter
        await limiter.start()

    def find_clock(self, name: str) -> Callable[[], float]:
        """Return the clock of an entry, which runs at its own rate."""
        loop = asyncio.get_running_loop()
        index = self.names.index(name)
        rate = self._clock_rates[index % len(self._clock_rates)]
        return lambda: loop.time() * rate

    def set_limits(self, organisation: str, rate: float, burst: float) -> None:
        """Declare a new rate and burst from now on."""
        self.limits[organisation] = (rate, burst)
        self.oracles[organisation].history.append((self.now, (rate, burst)))

    async def request(
        self, entry: str, organisation: str, *, patience: float = 1.0
    ) -> Result[None, Verdict] | None:
        """Acquire one token at an entry; return None if the entry is down."""
        limiter = self.limiters.get(entry)
        if limiter is None:
            return None
        deadline = self.find_clock(entry)() + patience
        result = await limiter.acquire(organisation, deadline=deadline)
        if isinstance(result, Success):
            self.oracles[organisation].admission_times.append(self.now)
        return result

    def compute_excess(self) -> float:
        """Return the most admissions over the limit of any window."""
        return max(oracle.compute_excess() for oracle in self.oracles.values())
