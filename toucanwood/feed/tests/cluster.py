"""Test cluster of replicas and entries on a fake network and a fake replicated log."""

import asyncio
import contextlib
import hashlib
import itertools
import math
import random
from unittest import mock

import attrs
import msgpack
from returns.result import Failure, Success

from toucanwood.feed import (
    CatalogView,
    ControlClient,
    ControlServer,
    Publisher,
    Subscriber,
    WithdrawalGossip,
)
from toucanwood.peering.testing import FakeNetwork
from toucanwood.state import ApplyDeclaration, Catalog, IssueKey, WithdrawKey
from toucanwood.utils import TaskGroup
from toucanwood.verdicts import build_uncertain_verdict, refuse

REPLICAS = ("c1", "c2", "c3")
ENTRIES = ("e1", "e2", "e3")
TICK_S = 0.05
LEASE_S = 0.4
COMMIT_DELAY_S = 0.004


class FakeLog:
    """Commit commands in a total order while a majority of replicas is connected."""

    def __init__(self, network, seed):
        self.network = network
        self.random = random.Random(seed)
        self.commands = []
        self.results = []
        self.replicas = {}
        self.leader_id = REPLICAS[0]
        self.result_loss_probability = 0.0

    def reaches(self, replica_id, other_id):
        return replica_id == other_id or other_id in self.network.list_reachable_peers(
            replica_id
        )

    def has_majority(self, replica_id):
        count = sum(self.reaches(replica_id, other) for other in self.replicas)
        return replica_id in self.replicas and 2 * count > len(REPLICAS)

    async def run(self):
        leaderless_ticks = 0
        while True:
            await asyncio.sleep(TICK_S)
            leaderless_ticks += 1
            if self.has_majority(self.leader_id):
                leaderless_ticks = 0
            elif leaderless_ticks * TICK_S > 1.0:
                candidates = [name for name in self.replicas if self.has_majority(name)]
                self.leader_id = min(candidates, default=self.leader_id)
            for replica in self.replicas.values():
                replica.catch_up()


class FakeReplica:
    """Implement the interface of `consensus.Replica` with the fake log."""

    def __init__(self, log, replica_id, *, snapshot_index):
        self.log = log
        self.replica_id = replica_id
        self.catalog = Catalog()
        self.applied = 0
        self.confirmed_at = -math.inf
        source = Catalog()
        for index, command in enumerate(log.commands[:snapshot_index]):
            source.apply(index, command)
        self.catalog.restore(source.snapshot())
        self.applied = snapshot_index
        log.replicas[replica_id] = self

    def catch_up(self):
        log = self.log
        leader = log.leader_id
        if log.has_majority(leader) and log.reaches(self.replica_id, leader):
            while self.applied < len(log.commands):
                self.catalog.apply(self.applied, log.commands[self.applied])
                self.applied += 1
            self.confirmed_at = asyncio.get_running_loop().time()

    def lease_age(self):
        return asyncio.get_running_loop().time() - self.confirmed_at

    def is_leader(self):
        return self.log.leader_id == self.replica_id and self.lease_age() < LEASE_S

    def leader(self):
        return self.log.leader_id

    async def propose(self, command, *, timeout):
        await asyncio.sleep(COMMIT_DELAY_S)
        log = self.log
        if not self.is_leader():
            return Failure(refuse("not_leader", "lost the lease", status=503))
        is_alive = log.replicas.get(self.replica_id) is self
        if not is_alive or not log.has_majority(self.replica_id):
            await asyncio.sleep(timeout)
            return Failure(
                build_uncertain_verdict("log_timeout", "no majority", status=504)
            )
        self.catch_up()
        log.commands.append(command)
        log.results.append(self.catalog.apply(self.applied, command))
        self.applied += 1
        if log.random.random() < log.result_loss_probability:
            return Failure(
                build_uncertain_verdict(
                    "log_timeout", "the result was lost", status=504
                )
            )
        return Success(log.results[-1])


class FeedInstance:
    """Run the catalog replication of one instance; a replica also has a publisher."""

    def __init__(self, log, instance_id, *, replica=None):
        now = asyncio.get_running_loop().time()
        self.instance_id = instance_id
        self.replica = replica
        self.transport = log.network.create_transport(instance_id)
        self.view = CatalogView(created_at=now)
        self.gossip = WithdrawalGossip(transport=self.transport, view=self.view)
        common = {
            "transport": self.transport,
            "gossip": self.gossip,
            "replicas": lambda: REPLICAS,
        }
        publisher = server = None
        if replica is not None:
            publisher = Publisher(
                transport=self.transport, catalog=replica.catalog, replica=replica
            )
            server = ControlServer(
                transport=self.transport,
                replica=replica,
                clock=asyncio.get_running_loop().time,
            )
        self.subscriber = Subscriber(view=self.view, publisher=publisher, **common)
        self.control = ControlClient(server=server, **common)

    def accepts(self, key):
        now = asyncio.get_running_loop().time()
        return isinstance(self.view.authenticate(key, now), Success)


@attrs.define
class SubmittedCommand:
    """Hold a submitted command and its result, which is None while it is pending."""

    command: dict
    result: object = None
    ended: float = math.inf


class Cluster:
    """Run replicas and entries, and check their invariants continuously."""

    def __init__(self, seed=0, network=None):
        self.network = network or FakeNetwork(seed)
        self.log = FakeLog(self.network, seed)
        self.instances = {}
        self.tasks = TaskGroup()
        self.submitted = []
        self.withdrawn = {}
        self.highest_revision = {}
        self.violations = []
        self.submission_ids = itertools.count(1)

    async def start(self):
        for instance_id in REPLICAS + ENTRIES:
            await self.start_instance(instance_id, snapshot_index=0)
        self.tasks.start(self.log.run(), name="log")
        self.tasks.start(self.watch(), name="watch")

    async def start_instance(self, instance_id, *, snapshot_index=None):
        await self.crash(instance_id)
        replica = None
        if instance_id in REPLICAS:
            if snapshot_index is None:
                snapshot_index = self.log.random.randint(0, len(self.log.commands))
            replica = FakeReplica(self.log, instance_id, snapshot_index=snapshot_index)
        instance = FeedInstance(self.log, instance_id, replica=replica)
        self.instances[instance_id] = instance
        await instance.subscriber.start()

    async def crash(self, instance_id):
        instance = self.instances.pop(instance_id, None)
        self.log.replicas.pop(instance_id, None)
        self.network.stop(instance_id)
        if instance is not None:
            await instance.subscriber.stop()

    def submit(self, instance_id, command, *, timeout=3.0):
        instance = self.instances.get(instance_id)
        # The catalog ignores the field `submission`, which tells a retry from the
        # original command.
        submitted = SubmittedCommand(
            {**command, "submission": next(self.submission_ids)}
        )
        if instance is not None:
            self.submitted.append(submitted)
            main = self.run_submit(instance, submitted, timeout)
            self.tasks.start(main, name="submit")
        return submitted

    async def run_submit(self, instance, submitted, timeout):
        started = asyncio.get_running_loop().time()
        submitted.result = await instance.control.submit(
            submitted.command, timeout=timeout
        )
        submitted.ended = asyncio.get_running_loop().time()
        # The last attempt may wait for the timeout of the log, which begins later than
        # the attempt and so may end after the timeout of the submission.
        self.check(
            submitted.ended - started <= timeout + 0.5, "the submission ended too late"
        )
        if submitted.command["kind"] == "withdraw_key" and is_accepted(submitted):
            self.withdrawn.setdefault(submitted.command["key_id"], submitted.ended)

    def declare(self, instance_id, base, request_id):
        config = {
            "regions": [{"name": "norte", "data_centres": ["norte-1"]}],
            "organisations": [{"name": request_id, "rate": 1, "burst": 1}],
            "services": [],
        }
        command = ApplyDeclaration(
            declaration=config, base_revision=base, request_id=request_id
        )
        return self.submit(instance_id, command.to_map())

    def issue(self, instance_id, key_id):
        sha256 = hashlib.sha256(build_secret(key_id).encode()).digest()
        command = IssueKey(key_id=key_id, sha256=sha256, organisation="o")
        return self.submit(instance_id, command.to_map())

    def withdraw(self, instance_id, key_id):
        return self.submit(instance_id, WithdrawKey(key_id=key_id).to_map())

    def check(self, condition, message):
        if not condition:
            self.violations.append(message)

    async def watch(self):
        while True:
            await asyncio.sleep(TICK_S)
            for instance in self.instances.values():
                self.check_instance(instance)

    def check_instance(self, instance):
        now = asyncio.get_running_loop().time()
        name = instance.instance_id
        for key_id, accepted in self.withdrawn.items():
            if instance.accepts(build_secret(key_id)):
                is_too_late = now - accepted >= 5.0
                self.check(not is_too_late, f"{name} accepts withdrawn {key_id}")
        if not instance.view.is_ready:
            self.check(
                not instance.accepts(build_secret("k1")), f"{name} serves before ready"
            )
            return
        revision = instance.view.revision
        highest = self.highest_revision.get(name, 0)
        self.check(
            revision >= highest, f"{name} went back from {highest} to {revision}"
        )
        self.highest_revision[name] = max(highest, revision)

    async def heal_and_check(self):
        """Heal the network, restart instances, and check that all states converge."""
        self.network.heal()
        for instance_id in REPLICAS + ENTRIES:
            if instance_id not in self.instances:
                await self.start_instance(instance_id)
        await asyncio.sleep(12.0)
        self.check_history()
        catalog = self.log.replicas[self.log.leader_id].catalog
        now = asyncio.get_running_loop().time()
        for name, instance in self.instances.items():
            view = instance.view
            self.check(view.get_age(now) < 2.0, f"{name} is stale after healing")
            self.check(view.version == catalog.version, f"{name} has an old version")
            names = [item.name for item in view.declaration.organisations]
            expected = catalog.published.declaration.get("organisations", [])
            is_equal = names == [item["name"] for item in expected]
            self.check(is_equal, f"{name} serves another declaration")
            for key_id in catalog.published.keys:
                is_live = key_id not in catalog.published.withdrawn
                is_right = instance.accepts(build_secret(key_id)) == is_live
                is_known = is_right or view.is_withdrawn(key_id)
                self.check(is_known, f"{name} wrongly accepts or refuses {key_id}")
        await self.tasks.stop()
        assert self.violations == [], self.violations[:5]

    def check_history(self):
        """Compare the results of the submissions with the log."""
        accepted = {}
        applied_submissions = set()
        accepted_by_revision = {}
        for command, command_result in zip(
            self.log.commands, self.log.results, strict=True
        ):
            if command_result.is_accepted:
                content = msgpack.unpackb(command, strict_map_key=False)
                accepted.setdefault(get_command_id(content), command_result)
                applied_submissions.add(content["submission"])
        for submitted in self.submitted:
            key = get_command_id(submitted.command)
            if submitted.result is None:
                self.check(False, f"submit of {key} never ended")
            elif is_accepted(submitted):
                command_result = submitted.result.unwrap()
                self.check(
                    accepted.get(key) == command_result, f"{key} is not in the log"
                )
                if submitted.command["kind"] == "apply_declaration":
                    revision = command_result.values["revision"]
                    first = accepted_by_revision.setdefault(revision, key)
                    self.check(
                        first == key,
                        f"two commands were accepted as revision {revision}",
                    )
            elif submitted.result.failure().is_not_run:
                is_false = submitted.command["submission"] in applied_submissions
                self.check(not is_false, f"false not-run of {key}")


def is_accepted(submitted):
    return isinstance(submitted.result, Success)


def build_secret(key_id):
    return f"secret of {key_id}"


def get_command_id(command):
    """Return the kind and the id by which the catalog recognises a retry."""
    return command["kind"], command.get("request_id") or command.get("key_id")


@contextlib.contextmanager
def force_fetches():
    """Set small limits, so that views fetch whole states in many parts."""
    with (
        mock.patch("toucanwood.state._catalog.MAX_KEPT_CHANGES", 2),
        mock.patch("toucanwood.feed._publisher.PART_BYTES", 32),
    ):
        yield
