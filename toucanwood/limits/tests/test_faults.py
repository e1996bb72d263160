"""Tests that inject each fault at each message of the limits protocol."""

import asyncio

import msgpack
import structlog

from toucanwood.limits._account import LEADER_TERM_S
from toucanwood.limits.testing import Harness
from toucanwood.utils import run_virtual

structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(30))

# Message numbers of ReportLeases, GrantLeases and PushLeases.
MESSAGES = (60, 61, 62)
# Message number of HandOverAccounts.
HAND_OVER = 63
FAULTS = (
    "drop",
    "delay",
    "duplicate",
    "reorder",
    "crash",
    "crash_leader",
    "change",
    "stop",
)
# Rate and burst. The last burst is less than 0.2 s of its rate, so that shares are
# used.
LIMITS = ((40.0, 30.0), (150.0, 20.0))


class Interceptor:
    """Apply a fault to every third message with a given number while active."""

    def __init__(self, harness, number, fault):
        self.harness = harness
        self.number = number
        self.fault = fault
        self.is_active = False
        self.count = 0
        self.faults = 0
        self.deliver = harness.network.deliver
        harness.network.deliver = self.intercept

    def intercept(self, sender, receiver, encoded, handle):
        is_selected = msgpack.unpackb(encoded)[0] == self.number
        self.count += is_selected and self.is_active
        if not (is_selected and self.is_active and self.count % 3 == 1):
            self.deliver(sender, receiver, encoded, handle)
            return
        self.faults += 1
        loop = asyncio.get_running_loop()
        arguments = (sender, receiver, encoded, handle)
        if self.fault == "delay":
            loop.call_later(0.9, self.deliver, *arguments)
        elif self.fault == "reorder":
            loop.call_later(0.05, self.deliver, *arguments)
        elif self.fault != "drop":
            self.deliver(*arguments)
        if self.fault == "duplicate":
            self.deliver(*arguments)
            loop.call_later(4.5, self.deliver, *arguments)


async def send_load(harness, duration):
    """Send three times the rate to two entries."""
    rate, _ = harness.limits["o"]
    count = int(3 * rate * duration)
    tasks = []
    for number in range(count):
        name = harness.names[1 + number % 2]
        tasks.append(asyncio.create_task(harness.request(name, "o", max_wait=0.3)))
        await asyncio.sleep(duration / count)
    await asyncio.gather(*tasks)


async def inject(harness, fault, interceptor):
    """Crash an entry, or crash, change or stop the leader, after the first fault."""
    while not interceptor.faults:
        await asyncio.sleep(0.001)
    if fault == "crash":
        await harness.restart("entry-1")
    if fault == "crash_leader":
        await harness.restart("entry-0")
    if fault == "stop":
        await stop_leader(harness)
    if fault == "change":
        harness.leader = None
        await asyncio.sleep(0.15)
        harness.leader = "entry-3"


async def stop_leader(harness):
    await harness.stop("entry-0")
    harness.leader = None
    await asyncio.sleep(0.1)
    harness.leader = "entry-3"


async def run_handover(limits, fault):
    """Return the excess over two changes of the leader with faults in the handover.

    The first leader stops gracefully; the second one then loses the leadership.
    """
    harness = Harness(seed=3, limits={"o": limits}, entries=4, clock_rates=(1.0, 1.01))
    harness.network.default_faults.min_delay = (
        harness.network.default_faults.max_delay
    ) = 0.012
    await harness.start()
    await asyncio.sleep(5.0)
    await send_load(harness, 2.0)
    interceptor = Interceptor(harness, HAND_OVER, fault)
    interceptor.is_active = True
    stopping = asyncio.create_task(stop_leader(harness))
    await send_load(harness, 3.0)
    await stopping
    # This leader must not use the handover, which is older than the previous term.
    harness.leader = "entry-1"
    await send_load(harness, 9.0)
    assert interceptor.faults > 0
    return harness.compute_excess()


def test_faults_of_the_handover_grant_no_token_twice():
    # Guards against a handover that is used late, twice or by the wrong leader.
    for limits in LIMITS:
        for fault in ("drop", "delay", "duplicate", "reorder"):
            assert run_virtual(run_handover(limits, fault)) <= 1e-6, (limits, fault)


async def run_fault(limits, number, fault):
    harness = Harness(seed=3, limits={"o": limits}, entries=4, clock_rates=(1.0, 1.01))
    harness.network.default_faults.min_delay = (
        harness.network.default_faults.max_delay
    ) = 0.012
    await harness.start()
    await asyncio.sleep(5.0)
    interceptor = Interceptor(harness, number, fault)
    await send_load(harness, 2.0)
    interceptor.is_active = True
    injection = asyncio.create_task(inject(harness, fault, interceptor))
    # Traffic moves to another entry, so that the leader recalls tokens.
    harness.names[1], harness.names[2] = harness.names[2], harness.names[1]
    await send_load(harness, 3.0)
    await send_load(harness, 6.0)
    await injection
    interceptor.is_active = False
    admitted = harness.oracles["o"].admission_times
    # For up to `LEADER_TERM_S`, the leader treats a lease lost by the fault as valid.
    await asyncio.sleep(LEADER_TERM_S)
    before = len(admitted)
    await send_load(harness, 4.0)
    assert interceptor.faults > 0
    return harness.compute_excess(), (len(admitted) - before) / (limits[0] * 4.0)


def check_fault(fault):
    for limits in LIMITS:
        for number in MESSAGES:
            excess, admitted_fraction = run_virtual(run_fault(limits, number, fault))
            case = (limits, number, fault, excess, admitted_fraction)
            assert excess <= 1e-6, case
            assert admitted_fraction >= 0.9, case


def build_test(fault):
    def check():
        check_fault(fault)

    check.__name__ = check.__qualname__ = f"test_{fault}_of_each_message"
    return check


# Each test guards against tokens that are granted twice and against an organisation
# that stays without tokens, after one kind of fault at each message.
for _fault in FAULTS:
    globals()[f"test_{_fault}_of_each_message"] = build_test(_fault)
