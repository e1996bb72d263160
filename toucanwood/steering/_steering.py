"""Periodic tasks: report the demand and, as the leader, publish region weights."""

import asyncio
from collections.abc import Awaitable, Callable, Collection, Iterable, Mapping
from typing import Any

import attrs
import structlog

from toucanwood.peering import Transport
from toucanwood.steering._demand import DemandMeter, DemandTable
from toucanwood.steering._messages import DemandReport
from toucanwood.steering._planner import Measurement, RegionPlanner, ServiceRules
from toucanwood.steering._shift import Weights
from toucanwood.utils import TaskGroup

REPORT_INTERVAL_S = 1.0
PLAN_INTERVAL_S = 1.0

log = structlog.get_logger()


@attrs.frozen(kw_only=True)
class SteeringCallbacks:
    """Functions that connect steering to the other components of an instance.

    `slots(service, region)` returns the number of usable slots.
    `publish(service, home, weights)` returns whether the weights were accepted into the
    replicated state.
    """

    leader: Callable[[], str | None]
    is_leader: Callable[[], bool]
    services: Callable[[], Mapping[str, ServiceRules]]
    regions: Callable[[], Iterable[str]]
    drained: Callable[[], Collection[str]]
    slots: Callable[[str, str], float]
    published: Callable[[str, str], Weights]
    publish: Callable[[str, str, dict[str, float]], Awaitable[bool]]


class Steering:
    """Report the demand at this entry and, as the leader, plan and publish weights."""

    def __init__(
        self, *, transport: Transport, meter: DemandMeter, callbacks: SteeringCallbacks
    ):
        self._transport = transport
        self._meter = meter
        self._callbacks = callbacks
        self._demand_table = DemandTable()
        self._planner: RegionPlanner | None = None
        self._sequence = 0
        self._tasks = TaskGroup()
        transport.register(DemandReport, self._handle_report)

    async def start(self) -> None:
        """Start the periodic tasks."""
        self._tasks.start(self._run_reports(), name="steering-reports")
        self._tasks.start(self._run_plans(), name="steering-plans")

    async def stop(self) -> None:
        """Stop the periodic tasks."""
        await self._tasks.stop()

    def dump(self) -> dict[str, Any]:
        """Return published and desired weights; empty unless this instance leads."""
        return self._planner.dump() if self._planner else {}

    async def _run_reports(self) -> None:
        while True:
            self._send_report(_now())
            await asyncio.sleep(REPORT_INTERVAL_S)

    def _send_report(self, now: float) -> None:
        demand = self._meter.collect(now)
        leader = self._callbacks.leader()
        if leader is None:
            return
        self._sequence += 1
        report = DemandReport(self._sequence, demand)
        if leader == self._transport.instance_id:
            self._demand_table.apply(leader, report, now)
        else:
            self._transport.send(leader, report)

    async def _handle_report(self, sender: str, report: DemandReport) -> None:
        self._demand_table.apply(sender, report, _now())

    async def _run_plans(self) -> None:
        while True:
            await asyncio.sleep(PLAN_INTERVAL_S)
            if not self._callbacks.is_leader():
                self._planner = None
                continue
            self._planner = self._planner or RegionPlanner(now=_now())
            await self._publish_steps(self._planner)

    async def _publish_steps(self, planner: RegionPlanner) -> None:
        for service, rules in self._callbacks.services().items():
            steps = self._plan_service(planner, service, rules)
            for home, weights in steps.items():
                is_accepted = await self._callbacks.publish(service, home, weights)
                if not is_accepted:
                    # The next planner starts from the weights that are published.
                    self._planner = None
                    return
                log.info("region_step", service=service, home=home, weights=weights)

    def _plan_service(
        self, planner: RegionPlanner, service: str, rules: ServiceRules
    ) -> dict[str, dict[str, float]]:
        now = _now()
        regions = sorted(self._callbacks.regions())
        total = self._demand_table.total(service, now)
        measurement = Measurement(
            slots={
                region: self._callbacks.slots(service, region) for region in regions
            },
            demand={region: total.get(region, 0.0) for region in regions},
            measured_at=self._demand_table.measured_at(),
        )
        published = {
            region: self._callbacks.published(service, region) for region in regions
        }
        return planner.plan(
            service,
            rules,
            measurement,
            drained=self._callbacks.drained(),
            published=published,
            now=now,
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
