"""Limiters on a fake network and a check of their admissions.

Used by tests and benchmarks.
"""

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
    """Check the admissions in every time window against the declared limits.

    `limit_history` has the limits and the times from which on they were declared. A
    lowered rate or burst may take effect up to `LEADER_TERM_S` late.
    """

    limit_history: list[tuple[float, Limits]] = attrs.field(factory=list)
    admission_times: list[float] = attrs.field(factory=list)

    def compute_excess(self) -> float:
        """Return the most admissions above the limit in any window; 0 if none."""
        times = sorted(self.admission_times)
        bursts = {burst for _, (_, burst) in self._list_bounds()}
        return max(
            (self._compute_excess_at(burst, times) for burst in bursts), default=0
        )

    def _compute_excess_at(self, burst: float, times: list[float]) -> float:
        """Return the excess in windows during which the burst is at most `burst`."""
        bounds = self._list_bounds()
        max_excess = 0.0
        fill = -math.inf
        previous = 0.0
        for time in times:
            refill, highest = self._measure_span(bounds, previous, time)
            fill = max(fill - refill, 0.0) + 1.0
            if highest > burst:
                fill = -math.inf
            max_excess = max(max_excess, fill - burst)
            previous = time
        return max_excess

    def _measure_span(
        self, bounds: list[tuple[float, Limits]], start: float, end: float
    ) -> tuple[float, float]:
        """Return the refill and the highest burst between two times."""
        refill = 0.0
        highest = 0.0
        ends = [at for at, _ in bounds[1:]] + [math.inf]
        for (begin, (rate, burst)), stop in zip(bounds, ends, strict=True):
            if begin <= end and stop >= start:
                refill += rate * max(min(stop, end) - max(begin, start), 0.0)
                highest = max(highest, burst)
        return refill, highest

    def _list_bounds(self) -> list[tuple[float, Limits]]:
        """Return the highest possible limits and the times from which on they apply."""
        times = {at for at, _ in self.limit_history}
        times |= {at + LEADER_TERM_S for at, _ in self.limit_history}
        return [(at, self.compute_max_limits(at)) for at in sorted(times)]

    def compute_max_limits(self, now: float) -> Limits:
        """Return the highest rate and the highest burst that may apply at `now`."""
        last = [item for item in self.limit_history if item[0] <= now][-1]
        recent = [
            limits
            for (_, limits), (ended_at, _) in zip(
                self.limit_history, self.limit_history[1:], strict=False
            )
            if now - LEADER_TERM_S < ended_at <= now
        ]
        recent.append(last[1])
        return max(rate for rate, _ in recent), max(burst for _, burst in recent)


class Harness:
    """Limiters on a fake network, with a leader that the test chooses."""

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
        self.oracles = {name: Oracle([(0.0, limit)]) for name, limit in limits.items()}
        self._clock_rates = clock_rates

    @property
    def leader(self) -> str | None:
        """Return the leader. Setting a leader other than None starts a new term."""
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
        """Stop an entry without returning its tokens or handing over its accounts."""
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
        """Start an entry; if it is running, let it crash first."""
        await self.crash(name)
        limiter = Limiter(
            transport=self.network.create_transport(name),
            leader=lambda: self.leader,
            is_leader=lambda: self.leader == name,
            term=lambda: self.term,
            find_limits=self.limits.get,
            successors=lambda: self.names,
            clock=self.build_clock(name),
        )
        self.limiters[name] = limiter
        await limiter.start()

    def build_clock(self, name: str) -> Callable[[], float]:
        """Return the clock of an entry, with the clock rate of this entry."""
        loop = asyncio.get_running_loop()
        index = self.names.index(name)
        rate = self._clock_rates[index % len(self._clock_rates)]
        return lambda: loop.time() * rate

    def set_limits(self, organisation: str, rate: float, burst: float) -> None:
        """Declare a new rate and burst, which apply from now on."""
        self.limits[organisation] = (rate, burst)
        self.oracles[organisation].limit_history.append((self.now, (rate, burst)))

    async def request(
        self, entry: str, organisation: str, *, max_wait: float = 1.0
    ) -> Result[None, Verdict] | None:
        """Acquire one token at an entry; return None if the entry is down."""
        limiter = self.limiters.get(entry)
        if limiter is None:
            return None
        deadline = self.build_clock(entry)() + max_wait
        result = await limiter.acquire(organisation, deadline=deadline)
        if isinstance(result, Success):
            self.oracles[organisation].admission_times.append(self.now)
        return result

    def compute_excess(self) -> float:
        """Return the most admissions above the limit of any organisation."""
        return max(oracle.compute_excess() for oracle in self.oracles.values())
