"""Fuzz tests of catalog replication and command submission in virtual time."""

import asyncio
import collections

from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from toucanwood.feed.tests.cluster import (
    ENTRIES,
    REPLICAS,
    Cluster,
    force_fetches,
    is_accepted,
)
from toucanwood.peering.testing import LinkFaults
from toucanwood.utils import run_virtual

ALL_INSTANCES = REPLICAS + ENTRIES
EXPECTED_OUTCOMES = [
    ("apply_declaration", True),
    ("apply_declaration", "revision_conflict"),
    ("apply_declaration", "control_unknown"),
    ("issue_key", True),
    ("issue_key", "key_withdrawn"),
    ("withdraw_key", True),
    ("withdraw_key", "control_unknown"),
]

instances = st.sampled_from(ALL_INSTANCES)
key_ids = st.sampled_from(["k1", "k2", "k3"])
groups = st.sets(instances, min_size=1, max_size=4)
lossy = st.builds(
    LinkFaults,
    max_delay=st.sampled_from([0.01, 0.3, 2.0]),
    drop=st.sampled_from([0.0, 0.3]),
    duplicate=st.sampled_from([0.0, 0.3]),
)
steps = st.one_of(
    st.tuples(st.just("declare"), instances, st.integers(0, 1)),
    st.tuples(st.just("race"), instances, instances),
    st.tuples(st.just("resend"), instances, st.integers(0, 9)),
    st.tuples(st.just("issue"), instances, key_ids),
    st.tuples(st.just("withdraw"), instances, key_ids),
    st.tuples(st.just("partition"), groups),
    st.tuples(st.just("heal")),
    st.tuples(st.just("degrade"), instances, lossy),
    st.tuples(st.just("crash"), instances),
    st.tuples(st.just("restart"), instances),
    st.tuples(st.just("lose_answers"), st.sampled_from([0.0, 0.5])),
    st.tuples(st.just("wait"), st.sampled_from([0.02, 0.3, 1.0, 4.5])),
    st.tuples(st.just("wait"), st.sampled_from([0.3, 1.0, 2.0])),
)


async def run_step(cluster, name, *values):
    if name in ("issue", "withdraw"):
        getattr(cluster, name)(*values)
    elif name == "declare":
        base = max(0, current_revision(cluster) - values[1])
        cluster.declare(values[0], base, f"r{next(cluster.submission_ids)}")
    elif name == "race":
        for instance_id in values:
            request_id = f"r{next(cluster.submission_ids)}"
            cluster.declare(instance_id, current_revision(cluster), request_id)
    elif name == "resend" and cluster.submitted:
        submitted = cluster.submitted[-1 - values[1] % len(cluster.submitted)]
        cluster.submit(values[0], submitted.command)
    elif name == "partition":
        cluster.network.partition(values[0], set(ALL_INSTANCES) - values[0])
    elif name == "heal":
        cluster.network.heal()
    elif name == "degrade":
        for peer_id in ALL_INSTANCES:
            cluster.network.set_faults(values[0], peer_id, values[1])
    elif name == "crash":
        await cluster.crash(values[0])
    elif name == "restart":
        await cluster.start_instance(values[0])
    elif name == "lose_answers":
        cluster.log.result_loss_probability = values[0]
    elif name == "wait":
        await asyncio.sleep(values[0])


def current_revision(cluster):
    catalogs = [replica.catalog for replica in cluster.log.replicas.values()]
    return max((catalog.revision for catalog in catalogs), default=0)


async def run_steps(seed, chosen):
    cluster = Cluster(seed)
    await cluster.start()
    await asyncio.sleep(1.0)
    cluster.issue("e1", "k1")
    await asyncio.sleep(0.5)
    for step in chosen:
        await run_step(cluster, *step)
        await asyncio.sleep(0.05)
    await asyncio.sleep(4.0)
    await cluster.heal_and_check()
    return collections.Counter(
        (
            submitted.command["kind"],
            is_accepted(submitted) or submitted.result.failure().code,
        )
        for submitted in cluster.submitted
    )


def test_invariants_hold_under_random_faults():
    # Guards against two accepted commands for one revision, a false "not run", a view
    # that reverts or stays stale, and a withdrawn key that is accepted after 5 s.
    seen = collections.Counter()

    @settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=200,
        # Without shrinking, which would take minutes.
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
    )
    @given(seed=st.integers(0, 1000), chosen=st.lists(steps, min_size=5, max_size=30))
    def run(seed, chosen):
        with force_fetches():
            seen.update(run_virtual(run_steps(seed, chosen)))

    run()
    # Without these outcomes the random steps would not test the invariants.
    for outcome in EXPECTED_OUTCOMES:
        assert seen[outcome] > 0, (outcome, seen)
