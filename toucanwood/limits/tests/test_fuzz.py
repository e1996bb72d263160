"""Stateful fuzz test: faults must not let any time window exceed its limit."""

import asyncio

import structlog
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
    run_state_machine_as_test,
)

from toucanwood.limits.testing import Harness
from toucanwood.peering.testing import LinkFaults
from toucanwood.utils import VirtualTimeLoop

structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(30))

ENTRIES = 4
# Rate and burst. The last burst is less than 0.2 s of its rate, so that shares are
# used.
LIMITS = [(40.0, 30.0), (10.0, 8.0), (120.0, 60.0), (300.0, 20.0)]
# Rates of the entries' clocks relative to the clock of the oracle, which checks the
# limits. The entries' clocks differ by up to 1%, and none is slower than the oracle's.
CLOCK_RATES = [(1.0,), (1.01, 1.0), (1.0, 1.01), (1.005, 1.0, 1.01)]
TOLERANCE = 1e-6
entries = st.integers(0, ENTRIES - 1)


class LimiterMachine(RuleBasedStateMachine):
    """Inject faults while the entries together request more than the rate."""

    def __init__(self):
        super().__init__()
        self.loop = VirtualTimeLoop()
        self.harness = None
        self.tasks = set()

    def run(self, main):
        self.loop.run_until_complete(main)

    @initialize(limits=st.sampled_from(LIMITS), clocks=st.sampled_from(CLOCK_RATES))
    def start(self, limits, clocks):
        self.run(self.start_harness(limits, clocks))

    async def start_harness(self, limits, clocks):
        self.harness = Harness(
            seed=7, limits={"o": limits}, entries=ENTRIES, clock_rates=clocks
        )
        self.harness.network.default_faults.max_delay = 0.02
        await self.harness.start()
        await self.send({0, 1}, 5.0)

    @rule(
        active=st.sets(entries, min_size=1),
        duration=st.sampled_from([0.05, 0.3, 1.0, 4.5]),
    )
    def overload(self, active, duration):
        self.run(self.send(active, duration))

    @rule(
        active=st.sets(entries, min_size=1),
        pause=st.sampled_from([0.0, 0.5, 1.5, 3.0]),
    )
    def leave_unspent(self, active, pause):
        """Leave unspent tokens at the active entries."""
        self.run(self.send_and_wait(active, pause))

    async def send_and_wait(self, active, pause):
        await self.send(active, 1.0, fraction=0.7)
        await asyncio.sleep(pause)

    async def send(self, active, duration, fraction=0.0):
        """Send requests for `duration` seconds at `fraction` of the rate.

        With a fraction of 0, send the burst and twice the rate, at most 300 requests.
        """
        rate, burst = self.harness.limits["o"]
        count = int(min(2 * rate * duration + burst, 300))
        count = int(fraction * rate * duration) or count
        for number in range(count):
            name = self.harness.names[sorted(active)[number % len(active)]]
            max_wait = (0.01, 0.2, 1.0)[number % 3]
            request = self.harness.request(name, "o", max_wait=max_wait)
            task = asyncio.ensure_future(request)
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(duration / count)
        self.check_account()

    def check_account(self):
        """Check that balance and outstanding tokens stay within the burst."""
        limiter = self.harness.limiters.get(self.harness.leader)
        account = limiter and limiter.service._accounts.get("o")
        if account:
            _, burst = self.harness.oracles["o"].compute_max_limits(self.harness.now)
            assert account.balance + account.outstanding <= burst + TOLERANCE

    @rule(entry=entries, down=st.sampled_from([0.0, 0.2, 5.0]))
    def crash(self, entry, down):
        self.run(self.crash_entry(self.harness.names[entry], down))

    async def crash_entry(self, name, down):
        await self.harness.crash(name)
        await asyncio.sleep(down)
        await self.harness.restart(name)

    @rule(entry=entries, gap=st.sampled_from([0.15, 0.6, 3.0]))
    def change_leader(self, entry, gap):
        self.run(self.move_leader(self.harness.names[entry], gap))

    @rule(entry=entries, gap=st.sampled_from([0.02, 0.1, 0.6]))
    def stop_leader(self, entry, gap):
        """Stop the leader gracefully; the next leader may not have its accounts."""
        self.run(self.replace_leader(self.harness.names[entry], gap))

    async def replace_leader(self, name, gap):
        stopped = self.harness.leader
        if stopped in self.harness.limiters:
            await self.harness.stop(stopped)
        self.harness.leader = None
        await asyncio.sleep(gap)
        self.harness.leader = name
        await self.send({0, 1}, 0.3)
        if stopped is not None:
            await self.harness.restart(stopped)

    async def move_leader(self, name, gap):
        # The same entry can become the leader again only after at least 0.6 s.
        gap = max(gap, 0.6) if name == self.harness.leader else gap
        self.harness.leader = None
        await asyncio.sleep(gap)
        self.harness.leader = name

    @rule(limits=st.sampled_from(LIMITS))
    def change_limits(self, limits):
        self.run(self.set_limits(limits))

    async def set_limits(self, limits):
        self.harness.set_limits("o", *limits)

    @rule(cut=st.sets(entries))
    def partition(self, cut):
        names = {self.harness.names[entry] for entry in cut}
        self.harness.network.partition(names, set(self.harness.names) - names)

    @rule(
        first=entries,
        second=entries,
        drop=st.sampled_from([0.0, 0.3]),
        duplicate=st.sampled_from([0.0, 0.5]),
        delay=st.sampled_from([0.02, 0.5, 4.2]),
    )
    def inject_link_faults(self, first, second, drop, duplicate, delay):
        names = self.harness.names
        faults = LinkFaults(max_delay=delay, drop=drop, duplicate=duplicate)
        self.harness.network.set_faults(names[first], names[second], faults)

    @rule()
    def heal(self):
        self.harness.network.heal()

    def teardown(self):
        self.run(self.finish())
        excess = self.harness.compute_excess()
        self.loop.close()
        assert excess <= TOLERANCE, excess

    async def finish(self):
        await self.send(set(range(ENTRIES)), 0.5)
        await self.send({0, 3}, 6.0)
        await asyncio.gather(*self.tasks)
        for name in self.harness.names:
            await self.harness.crash(name)


def test_no_window_exceeds_rate_and_burst_under_random_faults():
    # Guards against a token that is granted twice after any mix of crashes, restarts,
    # partitions, message faults, leader changes, clock rates and changed limits.
    run_state_machine_as_test(
        LimiterMachine,
        settings=settings(
            derandomize=True,
            deadline=None,
            max_examples=40,
            # Shrinking a failure of this fuzz takes minutes.
            phases=[Phase.generate],
            stateful_step_count=20,
            suppress_health_check=list(HealthCheck),
        ),
    )
