"""The components of an instance and their life cycle."""

import asyncio
import random
import time
from collections.abc import Iterable
from typing import Any

import structlog

from toucanwood.consensus import FileDisk, Replica, Storage
from toucanwood.declaration import Service
from toucanwood.dispatch import Dispatcher
from toucanwood.entry import Entry
from toucanwood.feed import (
    CatalogView,
    ControlClient,
    ControlServer,
    Publisher,
    Subscriber,
    WithdrawalGossip,
)
from toucanwood.limits import Limiter
from toucanwood.membership import Member, Membership, MemberState
from toucanwood.operations import OperationClient
from toucanwood.peering import PeerNetwork
from toucanwood.server._adapters import (
    ClientBlockLocator,
    DispatcherAdapter,
    OperationsAdapter,
    record_demand,
)
from toucanwood.server._metrics import Metrics
from toucanwood.server._operator_service import OperatorService
from toucanwood.server._ranking import EntryRanking
from toucanwood.settings import Settings
from toucanwood.state import Catalog
from toucanwood.steering import (
    Capacity,
    DemandMeter,
    RegionSelector,
    ServiceRules,
    Steering,
    SteeringCallbacks,
)
from toucanwood.utils import TaskGroup

WEIGHTS_TIMEOUT_S = 2.0
GAUGE_INTERVAL_S = 10.0
# Time in seconds after the last lookup response expires in which requests that were
# already routed to a leaving instance can still arrive.
LEAVE_MARGIN_S = 0.5

log = structlog.get_logger()


class Instance:
    """Build, start and stop the components of a process."""

    def __init__(self, settings: Settings) -> None:
        now = asyncio.get_running_loop().time()
        self.settings = settings
        self._incarnation = time.time_ns() // 1_000_000
        self._random = random.Random(settings.seed)
        self._tasks = TaskGroup()
        self._metrics = Metrics(settings.statsd)
        self._demand_meter = DemandMeter(now=now)
        self._build_network()
        self._build_state(now)
        self._build_limits()
        self._build_dispatch()
        self._build_steering(now)
        self._build_entry()

    async def start(self) -> None:
        """Start every component; the entry starts to listen last.

        Raises DamagedStorageError or OSError.
        """
        await self.network.start()
        if self.replica is not None:
            await self.replica.start()
        await self.membership.start()
        await self.subscriber.start()
        await self.limiter.start()
        await self.dispatcher.start()
        await self.steering.start()
        await self.entry.start()
        self._tasks.start(self._send_gauges(), name="gauges")
        log.info("instance_started", id=self.settings.id, http=self.settings.http)

    async def drain(self) -> None:
        """Announce that the instance leaves and finish every running request."""
        self.membership.announce(MemberState.LEAVING)
        log.info("instance_leaving", id=self.settings.id)
        await asyncio.sleep(self.settings.lookup_ttl + LEAVE_MARGIN_S)
        is_complete = await self.entry.drain(timeout=self.settings.stop_timeout)
        log.info("instance_drained", id=self.settings.id, complete=is_complete)

    async def stop(self) -> None:
        """Release tokens, slots and leadership, and stop every component."""
        await self.entry.stop()
        await self.operations.stop()
        await self.limiter.stop()
        await self.steering.stop()
        await self.dispatcher.stop()
        if self.replica is not None:
            await self.replica.stop()
        await self.subscriber.stop()
        await self.membership.stop()
        await self._tasks.stop()
        await self.network.stop()
        log.info("instance_stopped", id=self.settings.id)

    async def close(self) -> None:
        """Close the connections between instances without a graceful stop."""
        await self.network.stop()

    async def wait_failed(self) -> str:
        """Wait until the data directory fails and return the reason."""
        if self.replica is None:
            await asyncio.get_running_loop().create_future()
            raise AssertionError(
                "an instance without a data directory can't fail this way"
            )
        return await self.replica.wait_failed()

    def dump(self) -> dict[str, Any]:
        """Return the state of every component, without secrets."""
        components: dict[str, Any] = {
            "network": self.network,
            "members": self.membership,
            "replica": self.replica,
            "catalog": self.catalog,
            "view": self.view,
            "subscriber": self.subscriber,
            "limiter": self.limiter,
            "operations": self.operations,
            "dispatcher": self.dispatcher,
            "plan": self.region_selector,
            "steering": self.steering,
            "entry": self.entry,
        }
        dumps = {
            name: component.dump()
            for name, component in components.items()
            if component is not None
        }
        return {"id": self.settings.id, "incarnation": self._incarnation, **dumps}

    def _build_network(self) -> None:
        settings = self.settings
        self.network = PeerNetwork(
            instance_id=settings.id,
            address=settings.peer,
            secret=settings.peer_secret.encode(),
        )
        local_member = Member(
            id=settings.id,
            data_centre=settings.data_centre,
            region=settings.region,
            http=settings.http,
            peer=settings.peer,
            is_control=settings.data_dir is not None,
            incarnation=self._incarnation,
        )
        self.membership = Membership(
            transport=self.network,
            local_member=local_member,
            seeds=[
                (peer_address.id, peer_address.address)
                for peer_address in settings.peers
            ],
            set_address=self.network.set_address,
            seed=settings.seed,
        )
        for peer_address in settings.control:
            if peer_address.id != settings.id:
                self.network.set_address(peer_address.id, peer_address.address)

    def _build_state(self, now: float) -> None:
        settings = self.settings
        self.catalog: Catalog | None = None
        self.replica: Replica | None = None
        self.view = CatalogView(created_at=now)
        gossip = WithdrawalGossip(transport=self.network, view=self.view)
        publisher = None
        server = None
        if settings.data_dir is not None:
            self.catalog = Catalog()
            self.replica = Replica(
                transport=self.network,
                storage=Storage(FileDisk(settings.data_dir)),
                state_machine=self.catalog,
                voters=[peer.id for peer in settings.control],
                seed=settings.seed,
            )
            publisher = Publisher(
                transport=self.network, catalog=self.catalog, replica=self.replica
            )
            server = ControlServer(transport=self.network, replica=self.replica)
        self.subscriber = Subscriber(
            transport=self.network,
            view=self.view,
            gossip=gossip,
            replicas=self._list_replicas,
            publisher=publisher,
        )
        self.control = ControlClient(
            transport=self.network,
            gossip=gossip,
            replicas=self._list_replicas,
            server=server,
        )

    def _build_limits(self) -> None:
        self.limiter = Limiter(
            transport=self.network,
            leader=self._get_leader,
            is_leader=self._is_leader,
            term=self._get_term,
            find_limits=self._get_limits,
            successors=self._list_replicas,
        )
        self.operations = OperationClient(submitter=self.control)

    def _build_dispatch(self) -> None:
        self.dispatcher = Dispatcher(
            transport=self.network,
            data_centre=self.settings.data_centre,
            incarnation=self._incarnation,
            members=self._list_member_ids,
            find_region=lambda name: self.view.declaration.region_by_data_centre.get(
                name
            ),
            is_drained=lambda name: self.view.declaration.is_drained(name),
            random=self._random,
        )
        self.membership.add_listener(self._handle_member_change)

    def _build_steering(self, now: float) -> None:
        self.region_selector = RegionSelector(
            cap=lambda service: self._get_service(service).shift_cap,
            published=self.view.weights,
            capacity=self._get_capacity,
            regions=self._list_regions,
            now=now,
        )
        callbacks = SteeringCallbacks(
            leader=self._get_leader,
            is_leader=self._is_leader,
            services=self._list_service_rules,
            regions=self._list_regions,
            drained=lambda: self.view.declaration.drains.regions,
            slots=self.dispatcher.count_slots,
            published=self.view.weights,
            publish=self._publish_weights,
        )
        self.steering = Steering(
            transport=self.network, meter=self._demand_meter, callbacks=callbacks
        )

    def _build_entry(self) -> None:
        operators = OperatorService(
            control=self.control,
            view=self.view,
            replica=self.replica,
            collect_dump=self.dump,
        )
        self.entry = Entry(
            settings=self.settings,
            view=self.view,
            limiter=self.limiter,
            operations=OperationsAdapter(self.operations),
            region_selector=self.region_selector,
            dispatcher=DispatcherAdapter(self.dispatcher, self._is_leaving),
            client_blocks=ClientBlockLocator(self.view),
            rank_entries=EntryRanking(self.view, self.membership).rank,
            operators=operators,
            count_entries=self._count_entries,
            on_decision=self._record_decision,
        )

    def _list_replicas(self) -> Iterable[str]:
        """Return the ids of the control instances, those of the settings first."""
        ids = dict.fromkeys(item.id for item in self.settings.control)
        members = self.membership.list_live()
        ids.update(dict.fromkeys(item.id for item in members if item.is_control))
        return list(ids)

    def _list_member_ids(self) -> frozenset[str]:
        return frozenset(member.id for member in self.membership.list_live())

    def _list_regions(self) -> list[str]:
        return [region.name for region in self.view.declaration.regions]

    def _list_service_rules(self) -> dict[str, ServiceRules]:
        return {
            service.name: ServiceRules(
                cap=service.shift_cap, fixed_weights=service.weight_by_region
            )
            for service in self.view.declaration.services
        }

    def _get_service(self, name: str) -> Service:
        return self.view.declaration.service_by_name[name]

    def _get_limits(self, name: str) -> tuple[float, float] | None:
        organisation = self.view.declaration.organisation_by_name.get(name)
        if organisation is None:
            return None
        return organisation.rate, organisation.burst

    def _is_leaving(self) -> bool:
        return not self.membership.table.local_member.is_serving

    def _is_leader(self) -> bool:
        return self.replica is not None and self.replica.is_leader()

    def _get_term(self) -> int:
        return 0 if self.replica is None else self.replica.term

    def _get_leader(self) -> str | None:
        if self.replica is not None:
            return self.replica.leader()
        return self.subscriber.leader

    def _get_capacity(self, service: str, region: str) -> Capacity:
        return Capacity(
            slots=self.dispatcher.count_slots(service, region),
            free=self.dispatcher.count_free(service, region),
        )

    async def _publish_weights(
        self, service: str, home: str, weights: dict[str, float]
    ) -> bool:
        command = {
            "kind": "set_weights",
            "service": service,
            "home_region": home,
            "weights": weights,
        }
        result = await self.control.submit(command, timeout=WEIGHTS_TIMEOUT_S)
        return result.map(lambda _: True).value_or(False)

    def _count_entries(self) -> int:
        region = self.settings.region
        return sum(member.region == region for member in self.membership.list_live())

    def _handle_member_change(self, member: Member) -> None:
        # A member that is declared dead may only be unreachable and still run requests,
        # so its slots stay in use until their leases end.
        if member.state is MemberState.LEFT:
            self.dispatcher.remove_instance(member.id)

    def _record_decision(self, decision: Any) -> None:
        record_demand(self._demand_meter, decision)
        self._metrics.record_decision(decision)

    async def _send_gauges(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            sent, received = self.network.count_bytes()
            self._metrics.set_gauges(
                {
                    f"{self.settings.id}.view.revision": self.view.revision,
                    f"{self.settings.id}.view.age_s": self.view.get_age(loop.time()),
                    f"{self.settings.id}.members": len(self.membership.list_live()),
                    f"{self.settings.id}.peers.sent_bytes": sent,
                    f"{self.settings.id}.peers.received_bytes": received,
                }
            )
            await asyncio.sleep(GAUGE_INTERVAL_S)
