"""Measure the costs that entries cause at controllers, for docs/CAPACITY.md.

The cost of the real code is measured at several sizes. Each figure is a line fitted to
these costs, with its value at the size to design for. Times are CPU time on this
machine; bytes are encoded messages with their frames. Run it with
``python -m benchmarks control``.
"""

import asyncio
import tempfile
from collections.abc import Callable
from typing import Any

from benchmarks._linear_fits import count_bytes, fit_line, measure_cpu_us
from toucanwood.controller import (
    AnnounceEntry,
    ControllerInstance,
    ControllerSettings,
    EntryInfo,
    FleetUpdate,
    PollFleet,
    ReportUsage,
)
from toucanwood.controller._shared_signals import SharedSignals
from toucanwood.fleet import FleetView, Target, TargetState
from toucanwood.placement import choose_senders
from toucanwood.quota import QuotaCoordinator, Usage
from toucanwood.routing import Organisation

# Number of entries to design for.
DESIGN_ENTRIES = 900
ENTRY_COUNTS = (60, 300, 900)
ORGANISATION_COUNTS = (8, 72, 200)
# Number of targets to design for: 110 services with about 20 each.
DESIGN_TARGETS = 2200
TARGET_COUNTS = (200, 600, 1200)
LIMITED_TARGET_COUNTS = (20, 220, 1100)
SENDER_ENTRY_COUNTS = (60, 200, 900)
REGIONS = 11
CALLS = 200


def build_controller(entries: int) -> ControllerInstance:
    """Build a controller with `entries` announced entries, without starting it."""
    settings = ControllerSettings(
        id="127.0.0.1",
        data_centre="dc-0",
        region="region-0",
        control="127.0.0.1:1",
        directory="127.0.0.1:2",
        peer="127.0.0.1:3",
        peer_port=3,
        controllers=(),
        founders=(),
        region_by_data_centre={},
        data_dir=tempfile.mkdtemp(prefix="benchmark-"),
    )
    controller = ControllerInstance(settings)
    for number in range(entries):
        name = f"10.0.{number // 250}.{number % 250}"
        region = f"region-{number % REGIONS}"
        entry = EntryInfo(name, f"{name}:80", region, f"dc-{number % 24}", True)
        controller.directory.record_announcement(entry, 0.0)
    controller._now = lambda: 1.0  # type: ignore[method-assign]
    return controller


def measure_by_size(
    sizes: tuple[int, ...], at: float, build: Callable[[int], Callable[[], Any]]
) -> dict[str, Any]:
    """Fit the CPU time of a call in microseconds to the size.

    `build` prepares the call for one size.
    """
    points = [(size, measure_cpu_us(build(size), CALLS)) for size in sizes]
    return fit_line(points, at)


def _build_poll(entries: int) -> Callable[[], Any]:
    controller = build_controller(entries)
    mark = controller.list_entries()[1]
    request = PollFleet(0, mark)

    def poll() -> None:
        # The coroutine never suspends, so a single step runs it to its end.
        try:
            controller._answer_poll("e", request).send(None)
        except StopIteration:
            return

    return poll


def _build_look_up(entries: int) -> Callable[[], Any]:
    controller = build_controller(entries)
    return lambda: controller.look_up("region-1", "dc-1")


def _build_report(organisations: int, entries: int = 60) -> Callable[[], Any]:
    coordinator = QuotaCoordinator()
    organisation_by_name = {
        f"o-{n}": _build_organisation(f"o-{n}") for n in range(organisations)
    }
    usage = {name: Usage(5, 5) for name in list(organisation_by_name)[:8]}
    for number in range(entries):
        coordinator.process_report(
            f"e-{number}",
            {name: Usage(5, 5) for name in organisation_by_name},
            organisation_by_name,
            0,
        )
    return lambda: coordinator.process_report("e-1", usage, organisation_by_name, 0.5)


def _build_organisation(name: str) -> Organisation:
    return Organisation(
        name=name,
        keys=(),
        priority=1,
        rate=100.0,
        burst=100.0,
        regions=frozenset(),
    )


def _build_state(targets: int) -> list[Any]:
    wire_targets = [
        Target(
            id=f"i-{number:010x}",
            start_time_ms=1_700_000_000_000 + number,
            sequence=1,
            service=f"s-{number % 110}",
            address=f"10.1.{number // 250}.{number % 250}:8080",
            data_centre=f"dc-{number % 24}",
            software="v1",
            slots=6,
            state=TargetState.READY,
            remaining_cold_start_s=0.0,
        ).to_wire()
        for number in range(targets)
    ]
    return [0, {}, [], wire_targets]


def _build_replace(targets: int) -> Callable[[], Any]:
    state = _build_state(targets)
    return lambda: FleetView().replace(1, state)


def _build_signals(limited: int) -> list[list[Any]]:
    return [
        [f"i-{number:010x}", 1_700_000_000_000 + number, 2.5, False, 0.123]
        for number in range(limited)
    ]


def _build_signal_report(limited: int) -> Callable[[], Any]:
    """Return the recording of one report on ten of the targets with a limit."""
    signals = SharedSignals(epoch=1)
    signals.record(_build_signals(limited), 0.0)
    report = _build_signals(10)
    return lambda: signals.record(report, 1.0)


def _build_signal_poll(limited: int) -> Callable[[], Any]:
    """Return the answer of a poll after one of the limits has changed."""
    signals = SharedSignals(epoch=1)
    signals.record(_build_signals(limited), 0.0)
    return lambda: signals.list_since(1, signals.version - 1, 1.0)


def _build_sender_choice(entries: int) -> Callable[[], Any]:
    """Return the choice of the senders of a target after the entries have changed."""
    names = frozenset(f"10.0.{n // 250}.{n % 250}" for n in range(entries))
    return lambda: choose_senders("i-0000000001", names, 6)


def run(seed: int) -> dict[str, Any]:
    """Measure polls, usage reports, lookups and full states; `seed` is unused."""
    return asyncio.run(_measure_all())


async def _measure_all() -> dict[str, Any]:
    return {
        "poll_us_by_entries": measure_by_size(
            ENTRY_COUNTS, DESIGN_ENTRIES, _build_poll
        ),
        "look_up_us_by_entries": measure_by_size(
            ENTRY_COUNTS, DESIGN_ENTRIES, _build_look_up
        ),
        "usage_us_by_organisations": measure_by_size(
            ORGANISATION_COUNTS, 200, _build_report
        ),
        "usage_us_by_entries": measure_by_size(
            ENTRY_COUNTS, DESIGN_ENTRIES, lambda size: _build_report(72, size)
        ),
        "state_us_by_targets": measure_by_size(
            TARGET_COUNTS, DESIGN_TARGETS, _build_replace
        ),
        "signal_report_us_by_limited_targets": measure_by_size(
            LIMITED_TARGET_COUNTS, DESIGN_TARGETS, _build_signal_report
        ),
        "signal_poll_us_by_limited_targets": measure_by_size(
            LIMITED_TARGET_COUNTS, DESIGN_TARGETS, _build_signal_poll
        ),
        "senders_us_by_entries": measure_by_size(
            SENDER_ENTRY_COUNTS, DESIGN_ENTRIES, _build_sender_choice
        ),
        "bytes": {
            "announcement_with_10_signals": count_bytes(
                AnnounceEntry(
                    "10.0.1.200:8206",
                    "region-1",
                    "dc-12",
                    True,
                    0.123,
                    signals=_build_signals(10),
                )
            ),
            "answer_with_100_signals": count_bytes(
                FleetUpdate(version=12345, signals=_build_signals(100))
            ),
            "poll": count_bytes(PollFleet(12345, 2**31)),
            "answer_without_news": count_bytes(
                FleetUpdate(
                    version=12345,
                    age_s=0.123,
                    leader="10.0.0.1",
                    controllers=[f"10.0.{n}.1" for n in range(9)],
                    entries_mark=2**31,
                )
            ),
            "announcement": count_bytes(
                AnnounceEntry("10.0.1.200:8206", "region-1", "dc-12", True, 0.123)
            ),
            "usage_report_8_organisations": count_bytes(
                ReportUsage({f"organisation-{n}": [12, 12] for n in range(8)})
            ),
        },
    }
