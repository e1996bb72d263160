"""Tests of the signals of targets that entries share through a controller."""

import asyncio

import attrs

from toucanwood.controller import AnnounceEntry, FleetUpdate
from toucanwood.controller._shared_signals import SharedSignals
from toucanwood.fleet import FleetView, Target, TargetState
from toucanwood.gateway._dispatcher import Dispatcher
from toucanwood.gateway.tests.test_feed_client import STATE, build_client
from toucanwood.placement import Outcome, PlacementRequest, Refused, ResponseSignals
from toucanwood.utils import run_virtual

ENTRIES = frozenset(f"e-{number}" for number in range(12))
TARGETS = [
    Target(
        id=f"t-{number}",
        start_time_ms=1,
        sequence=1,
        service="s",
        address=f"127.0.0.1:{80 + number}",
        data_centre="a",
        software="",
        slots=50,
        state=TargetState.READY,
        remaining_cold_start_s=0.0,
    )
    for number in range(3)
]


@attrs.define
class SimulatedController:
    """Share the signals that one entry announces; state and lists stay the same."""

    signals: SharedSignals
    proven_from: dict = attrs.field(factory=lambda: {"c": 0.0})

    def set_address(self, controller, address):
        pass

    def send(self, controller, message):
        assert isinstance(message, AnnounceEntry)
        now = asyncio.get_running_loop().time()
        self.signals.record(message.signals, now)
        return True

    async def call(self, controller, request, *, timeout):
        await asyncio.sleep(0.02)
        now = asyncio.get_running_loop().time()
        epoch = getattr(request, "signals_epoch", 0)
        version = getattr(request, "signals_version", 0)
        return FleetUpdate(
            version=1,
            age_s=0.1,
            state=STATE if getattr(request, "version", 1) < 1 else None,
            signals=self.signals.list_since(epoch, version, now),
            signals_epoch=self.signals.epoch,
            signals_version=self.signals.version,
        )


class SimulatedEntry:
    """The placement of an entry and its connection to the controller."""

    def __init__(self, name, network):
        self.dispatcher = Dispatcher(
            entry_id=name,
            data_centre="a",
            region="north",
            find_region=lambda data_centre: "north",
            shift_limiter=None,
            demand={},
            close_connections=lambda record: None,
            on_signal=lambda: self.feed.announce_soon(),
        )
        view = FleetView(targets={item.id: item for item in TARGETS})
        self.dispatcher.update(view, ENTRIES)
        self.feed = build_client(
            network,
            FleetView(),
            build_announcement=lambda: AnnounceEntry(
                signals=self.dispatcher.list_heard_signals()
            ),
            on_signals=self.dispatcher.merge_signals,
        )

    def send(self, limits, leaving=()):
        """Send a request; its target states its signals. Return the target's id."""
        now = asyncio.get_running_loop().time()
        request = PlacementRequest("s", (1, 1), now, now + 0.5, now + 2.0, kind="r")
        lease = self.dispatcher.acquire(request)
        if isinstance(lease, Refused):
            return None
        target = lease.target.id
        signals = ResponseSignals(limits.get(target), is_leaving=target in leaving)
        self.dispatcher.record_signals(lease, signals)
        # Unlike a success, it leaves no response time, which would prefer the target.
        self.dispatcher.release(lease, Outcome.CANCELLED)
        return lease.target.id

    def list_limits(self):
        return {
            record.id: record.signals.rate_limit
            for record in self.dispatcher.list_records()
            if record.signals.rate_limit is not None
        }


def run_entries(scenario):
    async def main():
        network = SimulatedController(SharedSignals(epoch=7))
        entries = [SimulatedEntry(name, network) for name in sorted(ENTRIES)]
        for entry in entries:
            entry.feed.start()
        await asyncio.sleep(1.0)
        await scenario(entries)
        for entry in entries:
            await entry.feed.stop()

    run_virtual(main())


# Guards against entries that keep sending to a target until each of them has heard of
# its limit, and that never learn of its end because they send nothing any more.
def test_limit_that_one_entry_hears_holds_and_ends_at_all_entries():
    async def scenario(entries):
        limits = {"t-0": 2.0}
        assert entries[0].send(limits) == "t-0"
        await asyncio.sleep(1.0)
        assert all(entry.list_limits() == limits for entry in entries)
        counts = dict.fromkeys(["t-0", "t-1", "t-2", None], 0)
        for step in range(200):
            counts[entries[step % len(entries)].send(limits)] += 1
            await asyncio.sleep(0.05)
        assert 10 <= counts["t-0"] <= 24, counts
        assert counts[None] == 0
        for step in range(60):
            entries[step % len(entries)].send({})
            await asyncio.sleep(0.05)
        assert all(entry.list_limits() == {} for entry in entries)

    run_entries(scenario)


# Guards against a late response of an incarnation that has ended.
def test_signal_of_an_earlier_incarnation_is_ignored():
    async def scenario(entries):
        dispatcher = entries[0].dispatcher
        now = asyncio.get_running_loop().time()
        request = PlacementRequest("s", (1, 1), now, now + 0.5, now + 2.0, kind="r")
        lease = dispatcher.acquire(request)
        restarted = [attrs.evolve(item, start_time_ms=2) for item in TARGETS]
        view = FleetView(targets={item.id: item for item in restarted})
        dispatcher.update(view, ENTRIES)
        dispatcher.record_signals(lease, ResponseSignals(1.0, is_leaving=True))
        dispatcher.merge_signals([[lease.target.id, 1, 1.0, True, 0.0]])
        assert entries[0].list_limits() == {}
        assert not any(item.signals.is_leaving for item in dispatcher.list_records())
        dispatcher.merge_signals([[lease.target.id, 2, 1.0, False, 0.0]])
        assert entries[0].list_limits() == {lease.target.id: 1.0}

    run_entries(scenario)


# Guards against requests to a target that leaves from entries that did not hear it.
def test_target_that_one_entry_hears_leaving_gets_no_request_from_any():
    async def scenario(entries):
        leaving = {"t-0", "t-1"}
        heard = {entries[0].send({}, leaving) for _ in range(6)}
        assert heard == {"t-0", "t-1", "t-2"}
        await asyncio.sleep(1.0)
        targets = {entry.send({}) for entry in entries for _ in range(20)}
        assert targets == {"t-2"}

    run_entries(scenario)
