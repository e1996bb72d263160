"""Tests of replication, repair and membership changes."""

import asyncio
import contextlib
import random

import msgpack
from returns.result import Failure, Success

from toucanwood.consensus import StorageError
from toucanwood.consensus._messages import (
    AppendEntries,
    InstallSnapshot,
)
from toucanwood.consensus.tests.fixtures import (
    get_core,
    now,
    on_cluster,
    other_ids,
    propose_many,
    wait_until,
)
from toucanwood.peering.testing import LinkFaults

MIB = 1024 * 1024


@on_cluster("abc")
async def test_three_replicas_form_a_group_and_apply_commands(cluster):
    # Guards against a group that cannot form, elect a leader or replicate.
    await propose_many(cluster, b"", 20)
    await cluster.wait_for_convergence()
    commands = cluster.state_machines["a"].commands.values()
    assert list(commands) == [b"%d" % n for n in range(20)]
    assert len(cluster.leaders()) == 1


@on_cluster("a")
async def test_a_single_replica_leads_and_restarts(cluster):
    # Guards against a group of one replica that never finds a majority.
    await propose_many(cluster, b"", 5)
    await cluster.restart("a")
    await propose_many(cluster, b"x", 1)
    assert len(cluster.state_machines["a"].commands) == 6


@on_cluster("abc")
async def test_a_follower_refuses_and_names_the_leader(cluster):
    # Guards against a caller that does not learn that it may retry at the leader.
    leader = await cluster.wait_for_leader()
    follower = other_ids(cluster, leader)[0]
    result = await cluster.propose_once(follower, b"x")
    assert result.failure().code == "not_leader"
    assert result.failure().is_not_run
    assert cluster.replicas[follower].leader() == leader


@on_cluster("abc")
async def test_a_proposal_without_a_majority_may_have_run(cluster):
    # Guards against the answer "not run" for an entry that a later leader may commit.
    leader = await cluster.wait_for_leader()
    cluster.network.partition({leader}, set(other_ids(cluster, leader)))
    result = await cluster.propose_once(leader, b"x", timeout=0.3)
    assert result.failure().code == "commit_unknown"
    assert not result.failure().is_not_run


@on_cluster("abc", snapshot_entries=1000)
async def test_concurrent_proposals_share_syncs(cluster):
    # Guards against a separate fsync and a separate message for each proposal.
    leader = await cluster.wait_for_leader()
    before = {key: disk.steps.count("sync") for key, disk in cluster.disks.items()}
    proposals = [cluster.propose_once(leader, b"%d" % n) for n in range(200)]
    results = await asyncio.gather(*proposals)
    assert all(isinstance(result, Success) for result in results)
    for key, disk in cluster.disks.items():
        assert disk.steps.count("sync") - before[key] <= 5


@on_cluster("abc")
async def test_messages_to_a_lost_incarnation_or_of_an_old_term_change_nothing(cluster):
    # Guards against accepting entries from the leader of an older term or from a leader
    # that addresses a lost disk.
    leader = await cluster.wait_for_leader()
    first, second = other_ids(cluster, leader)
    core = get_core(cluster, second)
    call = get_core(cluster, first).transport.call
    last = core.storage.log.last_index
    cases = [(core.term - 1, core.incarnation), (core.term, "lost")]
    for term, target in cases:
        entries = [[last + 1, term, 0, b"x"]]
        request = AppendEntries(
            term, target, last, core.storage.log.last_term, entries, last + 1
        )
        reply = await call(second, request, timeout=1.0)
        assert not reply.success
        chunk = InstallSnapshot(term, target, last + 9, term, is_last=True)
        assert not (await call(second, chunk, timeout=1.0)).success
    assert core.storage.log.last_index == last


@on_cluster("abc", seeds=4)
async def test_a_second_disk_is_lost_right_after_the_repair_of_the_first(cluster):
    # Guards against a repaired replica that counts as a voter before it has the data,
    # and against votes of incarnations whose disk was lost.
    await propose_many(cluster, b"", 60)
    for repair, lost in enumerate("abca"):
        await cluster.restart(lost, lose_disk=True)
        await wait_until(lambda at=lost: cluster.is_voter(at))
        await propose_many(cluster, b"repair %d " % repair, 3)
    await cluster.wait_for_convergence()
    assert sorted(cluster.members().voters) == ["a", "b", "c"]


@on_cluster("abc")
async def test_a_restart_after_600_changes_continues(cluster):
    # Guards against a log or snapshot that cannot be read back, and against a log that
    # grows without limit.
    await propose_many(cluster, b"", 600)
    for replica_id in cluster.ids:
        await cluster.crash(replica_id)
    for replica_id in cluster.ids:
        await cluster.restart(replica_id)
    await cluster.propose(b"x")
    await cluster.wait_for_convergence()
    assert len(cluster.state_machines["a"].commands) == 601
    for replica_id in cluster.ids:
        assert len(get_core(cluster, replica_id).storage.log.entries) < 60


@on_cluster("abc")
async def test_a_replica_behind_the_log_gets_a_chunked_snapshot(cluster):
    # Guards against a snapshot that is assembled incorrectly from its chunks.
    leader = await cluster.wait_for_leader()
    behind = other_ids(cluster, leader)[0]
    await cluster.crash(behind)
    generator = random.Random(1)
    for _ in range(40):
        await cluster.propose(generator.randbytes(20_000))
    cluster.network.default_faults = LinkFaults(
        duplicate=1.0, max_delay=0.08, drop=0.02
    )
    await cluster.restart(behind)
    await cluster.wait_for_convergence()
    assert get_core(cluster, behind).storage.log.base_index >= 20


@on_cluster("abcde", voters="abc", snapshot_entries=1000)
async def test_members_change_one_at_a_time_and_learners_catch_up_first(cluster):
    # Guards against two membership changes at once, and a voter that lacks the data.
    leader = await cluster.wait_for_leader(["a", "b", "c"])
    replica = cluster.replicas[leader]
    await propose_many(cluster, b"", 150)
    first = asyncio.create_task(replica.add_learner("d"))
    second = asyncio.create_task(replica.add_learner("e"))
    results = await asyncio.gather(first, second)
    codes = {r.failure().code for r in results if isinstance(r, Failure)}
    assert codes == {"change_in_progress"}
    learner = next(iter(set(cluster.members().by_id) - {"a", "b", "c"}))
    await wait_until(
        lambda: get_core(cluster, learner).applied_index > 150, timeout=5.0
    )
    await cluster.crash(learner)
    await asyncio.sleep(1.0)
    assert (await replica.promote(learner)).failure().code == "not_caught_up"
    await cluster.restart(learner)
    await cluster.wait_for_convergence()
    assert isinstance(await replica.promote(learner), Success)
    removed = next(key for key in "abc" if key != leader)
    assert isinstance(await replica.remove(removed), Success)
    await cluster.crash(removed)
    await propose_many(cluster, b"x", 3)
    assert sorted(cluster.members().voters) == sorted(
        {"a", "b", "c", learner} - {removed}
    )


@on_cluster("abc", seeds=5)
async def test_a_group_forms_with_the_incarnations_of_loaded_disks(cluster):
    # Guards against a reply to Identify before the incarnation was read from the disk.
    await asyncio.sleep(2.0)
    for replica_id in cluster.ids:
        core = get_core(cluster, replica_id)
        assert core.is_voter
        assert core.storage.log.last_index == 1


class CancellationIgnoringTransport:
    """Lose the cancellation of a call, as wait_for of Python 3.11 sometimes does."""

    def __init__(self, transport):
        self.transport = transport
        self.pending = 0

    def __getattr__(self, name):
        return getattr(self.transport, name)

    async def call(self, *args, **kwargs):
        self.pending += 1
        try:
            return await self.transport.call(*args, **kwargs)
        except asyncio.CancelledError:
            return None
        finally:
            self.pending -= 1


@on_cluster("abc")
async def test_a_stop_ends_every_task_although_a_cancellation_is_lost(cluster):
    # Guards against a stop that waits forever for a task that continues to run.
    cluster.network.default_faults = LinkFaults(min_delay=0.08, max_delay=0.08)
    leader = await cluster.wait_for_leader()
    for replica_id in other_ids(cluster, leader):
        core = get_core(cluster, replica_id)
        core.transport = transport = CancellationIgnoringTransport(core.transport)
        await wait_until(lambda at=transport: at.pending)
        await asyncio.wait_for(cluster.replicas[replica_id].stop(), 5.0)


@on_cluster("abc")
async def test_duplicate_chunks_of_a_snapshot_are_not_appended_twice(cluster):
    # Guards against a snapshot that contains the data of a duplicate message twice.
    leader = await cluster.wait_for_leader()
    follower, sender = other_ids(cluster, leader)
    cluster.network.partition({follower, sender}, {leader})
    core = get_core(cluster, follower)
    data = msgpack.packb({40: bytes(100)})
    for first, last in ((0, 30), (30, 60), (30, 60), (60, len(data))):
        request = InstallSnapshot(
            term=core.term,
            target=core.incarnation,
            index=core.commit_index + 50,
            snapshot_term=core.term,
            members=core.members.pack(),
            offset=first,
            data=data[first:last],
            is_last=last == len(data),
        )
        await get_core(cluster, sender).transport.call(follower, request, timeout=1.0)
    assert cluster.state_machines[follower].commands == {40: bytes(100)}


@on_cluster("abc", snapshot_entries=1000, keep_entries=500)
async def test_log_of_large_commands_is_compacted_by_its_size(cluster):
    # Guards against a log of a few hundred configurations that exceeds the memory and
    # the disk of a controller, because only its entries are counted.
    for number in range(160):
        await cluster.propose(b"%d " % number + bytes(256 * 1024))
        for key in cluster.ids:
            entries = get_core(cluster, key).storage.log.entries
            assert sum(len(entry.data) for entry in entries) < 32 * MIB
            assert cluster.disks[key].size("log") < 64 * MIB
    follower = other_ids(cluster, await cluster.wait_for_leader())[0]
    await cluster.restart(follower)
    await cluster.wait_for_convergence()


@on_cluster("abc")
async def test_leader_without_a_synced_majority_refuses_proposals_by_their_size(
    cluster,
):
    # Guards against a leader whose memory fills with entries while the disks of the
    # others stall.
    leader = await cluster.wait_for_leader()
    for key in other_ids(cluster, leader):
        cluster.disks[key].max_delay = 60.0
    results = await asyncio.gather(
        *(
            cluster.propose_once(leader, b"%d " % number + bytes(MIB - 8), timeout=0.2)
            for number in range(64)
        )
    )
    codes = [result.failure().code for result in results]
    assert codes.count("overloaded") >= 64 - 16
    entries = get_core(cluster, leader).storage.log.entries
    assert sum(len(entry.data) for entry in entries) <= 17 * MIB


@on_cluster("abc", seeds=5, snapshot_entries=50, keep_entries=30)
async def test_end_of_the_leader_while_a_snapshot_is_stored_skips_no_entry(cluster):
    # Guards against a follower that has stored a snapshot and not restored it, skips
    # the entries between and answers reads with the old state as current.
    leader = await cluster.wait_for_leader()
    behind = other_ids(cluster, leader)[0]
    await propose_many(cluster, b"first ", 5)
    await cluster.wait_for_convergence()
    for key in other_ids(cluster, behind):
        cluster.network.set_faults(key, behind, LinkFaults(is_cut=True))
        cluster.network.set_faults(behind, key, LinkFaults(is_cut=True))
    await propose_many(cluster, b"second ", 100)
    cluster.disks[behind].max_delay = 0.05
    cluster.network.heal()
    storage = get_core(cluster, behind).storage
    await wait_until(storage._snapshot_lock.locked)
    await cluster.crash(leader)
    await cluster.run_checked(2.0)
    await cluster.restart(leader)
    await propose_many(cluster, b"third ", 30)
    await cluster.wait_for_convergence()


@on_cluster("abcde", seeds=3)
async def test_cancelled_handlers_leave_each_replica_in_a_whole_state(cluster):
    # Guards against a handler that stops between two changes that belong together,
    # because the connection of its caller ends.
    async def reset_connections():
        generator = random.Random(cluster.seed)
        while True:
            sender, receiver = generator.sample(cluster.ids, 2)
            cluster.network.reset(sender, receiver)
            await asyncio.sleep(generator.uniform(0, 0.001))

    for key in cluster.ids:
        cluster.disks[key].max_delay = 0.01
    resets = asyncio.create_task(reset_connections())
    for round_number in range(6):
        await propose_many(cluster, b"%d " % round_number, 30)
        lost = cluster.ids[round_number % len(cluster.ids)]
        await cluster.restart(lost, lose_disk=round_number % 2 == 0)
        await wait_until(lambda at=lost: cluster.is_voter(at))
        cluster.check()
    resets.cancel()
    await cluster.wait_for_convergence()


@on_cluster("abc")
async def test_replica_whose_state_is_behind_its_log_fails_and_answers_no_reads(
    cluster,
):
    # Guards against a replica with contradicting indexes that applies other entries.
    leader = await cluster.wait_for_leader()
    await propose_many(cluster, b"", 60)
    broken = other_ids(cluster, leader)[0]
    core = get_core(cluster, broken)
    core.applied_index = core.storage.log.base_index - 10
    await cluster.propose(b"next")
    replica = cluster.replicas[broken]
    reason = await asyncio.wait_for(replica.wait_failed(), 5.0)
    assert "does not continue" in reason
    await asyncio.sleep(1.0)
    assert replica.lease_age() > 0.8


async def run_on_full_disk(cluster, replica_id, seconds):
    """Fill a disk for a while; start its replica again each time that it fails."""
    until = now() + seconds
    while now() < until:
        cluster.disks[replica_id].is_full = True
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(
                cluster.replicas[replica_id].wait_failed(), max(until - now(), 0)
            )
            await cluster.crash(replica_id)
            cluster.disks[replica_id] = cluster.disks[replica_id].restart()
            cluster.disks[replica_id].is_full = True
            await asyncio.sleep(0.3)
            with contextlib.suppress(StorageError):
                await cluster.start(replica_id)
    cluster.disks[replica_id].is_full = False
    if cluster.replicas[replica_id]._core.failure.done():
        await cluster.restart(replica_id)


@on_cluster("abc", seeds=3)
async def test_commands_are_committed_after_disks_were_full_in_turn(cluster):
    # Guards against a group that refuses commands for good after each disk was full for
    # a while, though never two at once.
    for round_number in range(2):
        for replica_id in cluster.ids:
            filling = asyncio.create_task(run_on_full_disk(cluster, replica_id, 4.0))
            await asyncio.sleep(1.0)
            for number in range(20):
                command = b"%d %b %d" % (round_number, replica_id.encode(), number)
                await cluster.propose(command)
            await filling
    await propose_many(cluster, b"last ", 20)
    await cluster.wait_for_convergence()
    assert sorted(cluster.members().voters) == ["a", "b", "c"]
