"""Tests of the feed client with simulated controllers, in virtual time."""

import asyncio
import itertools

import attrs

from toucanwood.controller import FleetUpdate, ReportUsage, UsageAnswer
from toucanwood.controller._messages import encode_payload
from toucanwood.fleet import Change, ChangeKind, FleetView
from toucanwood.gateway._feed_client import PROBE_INTERVAL_S, FeedClient
from toucanwood.gateway.tests.harness import build_routing_document
from toucanwood.peering import PeerUnavailable
from toucanwood.quota import QuotaEnforcer
from toucanwood.quota._enforcer import ANSWER_TIMEOUT_S
from toucanwood.utils import run_virtual
from toucanwood.verdicts import Execution

ROUND_TRIP_S = 0.07
# Time within which an accepted configuration must be in force at an entry that reaches
# a controller with a proven state.
MAX_APPLY_S = 2.0
STATE = encode_payload([1, build_routing_document(), [], []])


@attrs.define
class SimulatedControllers:
    """Answer the polls of an entry; `proven_from` is a time for each controller.

    A controller with the time None does not answer.
    """

    proven_from: dict
    versions: dict = attrs.field(factory=dict)
    # Sent to an entry that has a state, if set.
    changes: bytes | None = None
    state: bytes = STATE
    signals: list | None = None
    revision: int = 1
    # Time that a reply with changes or a state takes on a busy link.
    content_s: float = 0.0
    sent_states: int = 0
    reports: list = attrs.field(factory=list)

    def set_address(self, controller, address):
        pass

    def send(self, controller, message):
        return True

    async def call(self, controller, request, *, timeout):
        proven_from = self.proven_from[controller]
        if proven_from is None:
            await asyncio.sleep(timeout)
            raise PeerUnavailable(controller, "no answer", Execution.NOT_RUN)
        await asyncio.sleep(ROUND_TRIP_S)
        if isinstance(request, ReportUsage):
            self.reports.append(asyncio.get_running_loop().time())
            return UsageAnswer(is_valid=True)
        version = self.versions.get(controller, 1)
        has_changes = 0 < request.version < version and self.changes is not None
        has_state = request.version < version and not has_changes
        self.sent_states += has_state
        if has_changes or has_state:
            await asyncio.sleep(min(self.content_s, timeout))
            if self.content_s > timeout:
                reason = "no reply in time"
                raise PeerUnavailable(controller, reason, Execution.MAY_HAVE_RUN)
        is_proven = asyncio.get_running_loop().time() >= proven_from
        return FleetUpdate(
            version=version,
            age_s=0.1 if is_proven else -1.0,
            state=self.state if has_state else None,
            changes=self.changes if has_changes else None,
            signals=self.signals,
            controllers=sorted(self.proven_from),
            revision=self.revision,
            leader=next(iter(self.proven_from)),
        )


def build_client(network, view, *, quota=None, **callbacks):
    return FeedClient(
        network=network,
        view=view,
        quota=quota or QuotaEnforcer(),
        **{
            "build_announcement": lambda: None,
            "on_update": lambda: None,
            "on_relays": lambda relays: None,
            "on_signals": lambda signals: None,
            **callbacks,
        },
        peer_port=1,
        controllers=tuple(network.proven_from),
    )


def get_first_state(proven_from, versions=()):
    """Return when an entry got its first state, its version, and the states sent."""

    async def main():
        loop = asyncio.get_running_loop()
        network = SimulatedControllers(proven_from, dict(versions))
        view = FleetView()
        arrived = loop.create_future()
        client = build_client(
            network,
            view,
            on_update=lambda: arrived.done() or arrived.set_result(loop.time()),
        )
        started = loop.time()
        client.start()
        at = await asyncio.wait_for(arrived, 10.0)
        await client.stop()
        return at - started, view.version, network.sent_states

    return run_virtual(main())


# Guards against an entry that waits for one controller after the other after a start of
# all instances, and against copies of the state that delay each other on a slow link.
def test_first_state_comes_from_any_controller_that_has_one():
    seconds, _, states = get_first_state({"a": None, "b": 100.0, "c": 0.5})
    assert seconds < 0.5 + PROBE_INTERVAL_S + 3 * ROUND_TRIP_S
    assert states == 1


def test_first_state_without_proof_is_accepted_after_a_wait():
    seconds, _, _ = get_first_state({"a": 100.0})
    assert 1.5 < seconds < 2.0


# Guards against a key or a target that is in use again after a restart of the entry: a
# controller that was down meanwhile does not know that it was withdrawn.
def test_first_state_without_proof_is_the_newest_one():
    proven_from = dict.fromkeys("abcd", 100.0)
    _, version, _ = get_first_state(proven_from, {"a": 3, "b": 7, "c": 8, "d": 5})
    assert version == 8


# Guards against reports that fill the leader of a large fleet although there is nothing
# to report, and against gaps in which an entry falls back to its local limit.
def test_entry_without_requests_reports_seldom_but_in_time():
    async def main():
        network = SimulatedControllers({"a": 0.0})
        quota = QuotaEnforcer()
        client = build_client(network, FleetView(), quota=quota)
        client.start()
        await asyncio.sleep(10.0)
        await client.stop()
        gaps = [b - a for a, b in itertools.pairwise(network.reports)]
        assert len(network.reports) < 25
        assert max(gaps) < ANSWER_TIMEOUT_S

    run_virtual(main())


def lose_controllers(total, lost):
    """Return the seconds until a state is proven again after controllers were lost.

    The lost ones are the polled controller and those that follow it in the list.
    """

    async def main():
        loop = asyncio.get_running_loop()
        names = [f"c{number:02}" for number in range(total)]
        network = SimulatedControllers(dict.fromkeys(names, 0.0))
        client = build_client(network, FleetView())
        client.start()
        await asyncio.sleep(3.0)
        first = names.index(client.dump()["current"])
        for offset in range(lost):
            network.proven_from[names[(first + offset) % total]] = None
        lost_at = loop.time()
        while client.measure_state_age(loop.time()) > loop.time() - lost_at:
            await asyncio.sleep(0.01)
        await client.stop()
        return loop.time() - lost_at

    return run_virtual(main())


# Guards against an entry that keeps an old configuration while it waits for one
# unreachable controller after the other: those of a lost region, or replaced ones.
def test_state_is_proven_in_time_after_loss_of_several_controllers():
    for total, lost in ((6, 1), (6, 3), (9, 4), (9, 8), (18, 12)):
        assert lose_controllers(total, lost) < MAX_APPLY_S, (total, lost)


async def wait_until(condition, timeout_s):
    """Return the seconds until a condition is true, or `timeout_s` if it never is."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    while not condition() and loop.time() - started < timeout_s:
        await asyncio.sleep(0.01)
    return loop.time() - started


# Guards against an entry that counts an update that it could not apply as its state.
def test_update_that_cannot_be_applied_is_followed_by_the_full_state():
    async def main():
        network = SimulatedControllers({"a": 0.0})
        view = FleetView()
        client = build_client(network, view)
        client.start()
        await wait_until(lambda: view.table is not None, MAX_APPLY_S)
        unreadable = Change(ChangeKind.ROUTING, [2, {"routes": 3}, {}, {}]).to_wire()
        network.changes = encode_payload([unreadable])
        network.state = encode_payload([2, build_routing_document(), [], []])
        network.versions["a"] = 2
        seconds = await wait_until(lambda: view.revision == 2, 10.0)
        await client.stop()
        return seconds, view

    seconds, view = run_virtual(main())
    assert seconds < MAX_APPLY_S
    assert (view.version, view.table.revision) == (2, 2)


# Guards against targets and limits that the parts of an entry never learn of.
def test_update_is_passed_on_again_after_an_error():
    async def main():
        calls = []

        def pass_on():
            calls.append(asyncio.get_running_loop().time())
            if len(calls) == 1:
                raise ValueError("the update can't be used")

        network = SimulatedControllers({"a": 0.0})
        client = build_client(network, FleetView(), on_update=pass_on)
        client.start()
        await wait_until(lambda: len(calls) >= 2, 10.0)
        await client.stop()
        return calls

    first, second, *_ = run_virtual(main())
    assert second - first < MAX_APPLY_S


# Guards against an entry that gets no configuration any more because it can't read the
# signals of targets in the same answer.
def test_error_in_signals_does_not_keep_the_state_back():
    async def main():
        def fail(signals):
            raise ValueError("the signals can't be read")

        network = SimulatedControllers({"a": 0.0}, signals=[["t-1"]])
        view = FleetView()
        client = build_client(network, view, on_signals=fail)
        client.start()
        seconds = await wait_until(lambda: view.revision == 1, 10.0)
        await client.stop()
        return seconds

    assert run_virtual(main()) < MAX_APPLY_S


# Guards against an entry on a busy link that gives up each long reply and asks another
# controller for the same one.
def test_long_reply_on_a_busy_link_is_used_when_it_arrives():
    async def main():
        names = [f"c{number}" for number in range(9)]
        network = SimulatedControllers(dict.fromkeys(names, 0.0))
        view = FleetView()
        client = build_client(network, view)
        client.start()
        await asyncio.sleep(3.0)
        network.content_s = 1.8
        network.revision = 2
        network.state = encode_payload([2, build_routing_document(), [], []])
        network.versions = dict.fromkeys(names, 2)
        known_s = await wait_until(lambda: not client.has_newest_revision(), 10.0)
        applied_s = await wait_until(lambda: view.revision == 2, 10.0)
        assert client.has_newest_revision()
        network.content_s = 0.0
        await asyncio.sleep(1.0)
        loop = asyncio.get_running_loop()
        assert client.measure_state_age(loop.time()) < 1.0
        await client.stop()
        return known_s, applied_s

    known_s, applied_s = run_virtual(main())
    assert known_s < 1.5
    assert applied_s < 2.5
