"""Tests of replicas under single, named faults."""

import asyncio
import random

from returns.result import Failure, Success

from toucanwood.consensus._log import Entry
from toucanwood.consensus._messages import (
    AppendEntries,
    InstallSnapshot,
    RequestVote,
    VoteReply,
)
from toucanwood.consensus.tests.fixtures import Cluster, now, wait_until
from toucanwood.peering.testing import LinkFaults
from toucanwood.utils import run_virtual


def run_cluster(ids, scenario, **options):
    async def main():
        cluster = Cluster(ids, **options)
        await cluster.start()
        await cluster.wait_leader()
        await scenario(cluster)
        cluster.check()

    run_virtual(main())


async def propose_many(cluster, prefix, count):
    for number in range(count):
        await cluster.propose(b"%b%d" % (prefix, number))


def others(cluster, *ids):
    return [key for key in cluster.ids if key not in ids]


def get_core(cluster, replica_id):
    return cluster.replicas[replica_id]._core


def test_three_replicas_form_a_group_and_apply_commands():
    # Guards against a group that cannot form, elect or replicate.
    async def scenario(cluster):
        await propose_many(cluster, b"", 20)
        await cluster.wait_equal()
        commands = cluster.machines["a"].commands.values()
        assert list(commands) == [b"%d" % n for n in range(20)]
        assert len(cluster.leaders()) == 1

    run_cluster("abc", scenario)


def test_a_single_replica_leads_and_restarts():
    # Guards against a majority of one that is never reached.
    async def scenario(cluster):
        await propose_many(cluster, b"", 5)
        await cluster.restart("a")
        await propose_many(cluster, b"x", 1)
        assert len(cluster.machines["a"].commands) == 6

    run_cluster("a", scenario)


def test_a_follower_refuses_and_names_the_leader():
    # Guards against a caller that cannot tell that it may resend to the leader.
    async def scenario(cluster):
        leader = await cluster.wait_leader()
        follower = others(cluster, leader)[0]
        result = await cluster.propose_once(follower, b"x")
        assert result.failure().code == "not_leader"
        assert result.failure().is_not_run
        assert cluster.replicas[follower].leader() == leader

    run_cluster("abc", scenario)


def test_a_proposal_without_a_majority_may_have_run():
    # Guards against "not run" for an entry that a later leader may commit.
    async def scenario(cluster):
        leader = await cluster.wait_leader()
        cluster.network.partition({leader}, set(others(cluster, leader)))
        result = await cluster.propose_once(leader, b"x", timeout=0.3)
        assert result.failure().code == "commit_unknown"
        assert not result.failure().is_not_run

    run_cluster("abc", scenario)


def test_concurrent_proposals_share_syncs():
    # Guards against one fsync and one message for each proposal.
    async def scenario(cluster):
        leader = await cluster.wait_leader()
        before = {key: disk.steps.count("sync") for key, disk in cluster.disks.items()}
        proposals = [cluster.propose_once(leader, b"%d" % n) for n in range(200)]
        results = await asyncio.gather(*proposals)
        assert all(isinstance(result, Success) for result in results)
        for key, disk in cluster.disks.items():
            assert disk.steps.count("sync") - before[key] <= 5

    run_cluster("abc", scenario, snapshot_entries=1000)


def test_a_long_isolated_replica_returns_without_unsettling_the_majority():
    # Guards against an isolated replica that raises its term and deposes the leader.
    async def scenario(cluster):
        leader = await cluster.wait_leader()
        isolated = others(cluster, leader)[0]
        cluster.network.partition({isolated}, set(others(cluster, isolated)))
        term = get_core(cluster, leader).term
        for number in range(100):
            await cluster.propose(b"%d" % number)
            await cluster.watch(6.0, interval=1.0)
        cluster.network.heal()
        await cluster.watch(5.0)
        assert cluster.leaders() == [leader]
        assert {get_core(cluster, key).term for key in cluster.ids} == {term}
        await cluster.wait_equal()

    run_cluster("abc", scenario)


def test_an_isolated_leader_stops_within_its_lease():
    # Guards against two leaders with a lease, and an isolated leader that goes on.
    async def scenario(cluster):
        leader = await cluster.wait_leader()
        cluster.network.partition({leader}, set(others(cluster, leader)))
        await cluster.watch(0.45, interval=0.002)
        assert not cluster.replicas[leader].is_leader()
        successor = await cluster.wait_leader(others(cluster, leader))
        await cluster.propose(b"x", among=[successor])
        cluster.network.heal()
        await cluster.wait_equal()

    run_cluster("abcde", scenario)


def test_a_replica_that_misses_the_leader_cannot_depose_it():
    # Guards against votes while the voters still hear a leader, which would let two
    # leases overlap.
    async def scenario(cluster):
        for _ in range(10):
            leader = await cluster.wait_leader()
            deaf = others(cluster, leader)[0]
            cluster.network.set_faults(leader, deaf, LinkFaults(is_cut=True))
            await cluster.watch(3.0, interval=0.002)
            assert cluster.leaders() == [leader]
            cluster.network.heal()
            await cluster.watch(1.0)

    run_cluster("abc", scenario)


async def ask_vote(cluster, candidate, voter, **fields):
    core = get_core(cluster, voter)
    request = RequestVote(
        **{
            "term": core.term + 1,
            "target": core.incarnation,
            "incarnation": get_core(cluster, candidate).incarnation,
            "last_index": core.storage.log.last_index,
            "last_term": core.storage.log.last_term,
            **fields,
        }
    )
    call = cluster.replicas[candidate]._core.transport.call
    reply = await call(voter, request, timeout=1.0)
    assert isinstance(reply, VoteReply)
    return reply.granted


async def silence(cluster):
    """Crash the leader and wait until the followers would vote."""
    leader = await cluster.wait_leader()
    first, second = others(cluster, leader)
    cluster.network.partition({leader}, {first}, {second})
    await asyncio.sleep(1.0)
    cluster.network.heal()
    cluster.network.set_faults(leader, first, LinkFaults(is_cut=True))
    cluster.network.set_faults(leader, second, LinkFaults(is_cut=True))
    return first, second


def test_a_replica_does_not_vote_early():
    # Guards against a vote within the lease of a leader: on hearing it, after a
    # restart that forgot it, and by the leader itself.
    async def scenario(cluster):
        leader = await cluster.wait_leader()
        first, second = others(cluster, leader)
        assert not await ask_vote(cluster, first, second)
        assert not await ask_vote(cluster, first, leader)
        await cluster.restart(second)
        cluster.network.set_faults(leader, second, LinkFaults(is_cut=True))
        assert not await ask_vote(cluster, first, second)
        await asyncio.sleep(0.45)
        assert not await ask_vote(cluster, first, second)
        assert get_core(cluster, second).term == get_core(cluster, leader).term

    run_cluster("abc", scenario)


def test_a_vote_needs_a_complete_log_and_the_right_incarnation():
    # Guards against a leader without committed entries, two votes in one term, and
    # votes of an identity whose disk was lost.
    async def scenario(cluster):
        await propose_many(cluster, b"", 5)
        first, second = await silence(cluster)
        core = get_core(cluster, second)
        last = core.storage.log.last_index
        assert not await ask_vote(cluster, first, second, last_index=last - 1)
        assert not await ask_vote(cluster, first, second, last_term=0)
        assert not await ask_vote(cluster, first, second, target="lost")
        term = core.term + 5
        assert await ask_vote(cluster, first, second, term=term)
        assert await ask_vote(cluster, first, second, term=term)
        other = {"term": term, "incarnation": "after the loss of the disk"}
        assert not await ask_vote(cluster, first, second, **other)
        await cluster.restart(second)
        await asyncio.sleep(0.51)
        assert not await ask_vote(cluster, first, second, **other)

    run_cluster("abc", scenario)


def test_messages_to_a_lost_identity_or_of_an_old_term_change_nothing():
    # Guards against an old leader, or one that addresses a lost disk, whose entries
    # are counted.
    async def scenario(cluster):
        leader = await cluster.wait_leader()
        first, second = others(cluster, leader)
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

    run_cluster("abc", scenario)


def test_an_entry_of_an_older_term_is_not_committed_by_counting():
    # Guards against committing an entry that a later leader may still replace
    # (Raft, section 5.4.2).
    async def scenario(cluster):
        leader = await cluster.wait_leader()
        core = get_core(cluster, leader)
        commit_index = core.commit_index
        leadership = cluster.replicas[leader]._leadership
        cluster.network.partition(*({key} for key in cluster.ids))
        await core.observe_term(core.term + 1)
        index = core.storage.log.last_index + 1
        core.append(Entry(index, core.term - 1, 0, b"old"))
        await core.storage.sync()
        async with core.lock:
            await leadership.lead()
        for peer in leadership.peers.values():
            peer.match_index = index
        leadership._advance_commit()
        assert core.commit_index == commit_index
        await core.storage.sync()
        for peer in leadership.peers.values():
            peer.match_index = index + 1
        leadership._advance_commit()
        assert core.commit_index == index + 1

    run_cluster("abc", scenario)


def test_stopping_the_leader_hands_over_at_once():
    # Guards against a planned stop that leaves the group without a leader until an
    # election timeout has passed, and against a lease that outlives the handover.
    async def scenario(cluster):
        await propose_many(cluster, b"", 5)
        leader = await cluster.wait_leader()
        started = now()
        stop = asyncio.create_task(cluster.replicas[leader].stop())
        await wait_until(lambda: set(cluster.leaders()) - {leader}, 0.3)
        assert now() - started < 0.3
        await stop
        cluster.network.stop(leader)
        del cluster.replicas[leader]
        await cluster.propose(b"x")

    for seed in range(5):
        run_cluster("abc", scenario, seed=seed)


def test_no_lease_remains_after_a_handover():
    # Guards against an old leader whose lease overlaps with its successor's.
    async def scenario(cluster):
        for _ in range(10):
            leader = await cluster.wait_leader()
            await asyncio.sleep(0.3)
            replica = cluster.replicas[leader]
            transfer = asyncio.create_task(replica._leadership.transfer())
            await wait_until(lambda at=leader: get_core(cluster, at).term, 1.0)
            await transfer
            cluster.network.partition({leader}, set(others(cluster, leader)))
            await cluster.watch(1.5, interval=0.001)
            cluster.network.heal()

    run_cluster("abc", scenario)


def test_a_second_disk_is_lost_right_after_the_repair_of_the_first():
    # Guards against a repaired replica that counts before it holds the data, and
    # against votes of lost identities.
    async def scenario(cluster):
        await propose_many(cluster, b"", 60)
        for repair, lost in enumerate("abca"):
            await cluster.restart(lost, lose_disk=True)
            await wait_until(lambda at=lost: cluster.is_voter(at))
            await propose_many(cluster, b"repair %d " % repair, 3)
        await cluster.wait_equal()
        assert sorted(cluster.members().voters) == ["a", "b", "c"]

    for seed in range(4):
        run_cluster("abc", scenario, seed=seed)


def test_a_replica_with_a_lost_disk_does_not_vote_before_its_repair():
    # Guards against an empty disk that helps to elect a leader without the data.
    async def scenario(cluster):
        leader = await cluster.wait_leader()
        behind, lost = others(cluster, leader)
        await cluster.crash(behind)
        await propose_many(cluster, b"", 5)
        await cluster.crash(leader)
        await cluster.restart(lost, lose_disk=True)
        await cluster.restart(behind)
        await cluster.watch(20.0, interval=0.1)
        assert cluster.leaders() == []
        await cluster.restart(leader)
        await cluster.propose(b"x")
        await cluster.wait_equal()

    run_cluster("abc", scenario)


def test_a_restart_after_600_changes_continues():
    # Guards against a log or snapshot that cannot be read back, and one that grows.
    async def scenario(cluster):
        await propose_many(cluster, b"", 600)
        for replica_id in cluster.ids:
            await cluster.crash(replica_id)
        for replica_id in cluster.ids:
            await cluster.restart(replica_id)
        await cluster.propose(b"x")
        await cluster.wait_equal()
        assert len(cluster.machines["a"].commands) == 601
        for replica_id in cluster.ids:
            assert len(get_core(cluster, replica_id).storage.log.entries) < 60

    run_cluster("abc", scenario)


def test_a_replica_behind_the_log_gets_a_chunked_snapshot():
    # Guards against a snapshot that is assembled wrongly from chunks.
    async def scenario(cluster):
        leader = await cluster.wait_leader()
        behind = others(cluster, leader)[0]
        await cluster.crash(behind)
        generator = random.Random(1)
        for _ in range(40):
            await cluster.propose(generator.randbytes(20_000))
        cluster.network.default = LinkFaults(duplicate=0.3, max_delay=0.02, drop=0.05)
        await cluster.restart(behind)
        await cluster.wait_equal()
        assert get_core(cluster, behind).storage.log.base_index >= 20

    run_cluster("abc", scenario)


def test_members_change_one_at_a_time_and_learners_catch_up_first():
    # Guards against two changes at once, and a voter that lacks the data.
    async def scenario(cluster):
        leader = await cluster.wait_leader(["a", "b", "c"])
        replica = cluster.replicas[leader]
        await propose_many(cluster, b"", 150)
        first = asyncio.create_task(replica.add_learner("d"))
        second = asyncio.create_task(replica.add_learner("e"))
        results = await asyncio.gather(first, second)
        codes = {r.failure().code for r in results if isinstance(r, Failure)}
        assert codes == {"change_in_progress"}
        learner = next(iter(set(cluster.members().by_id) - {"a", "b", "c"}))
        await wait_until(
            lambda: get_core(cluster, learner).applied_index > 150, limit=5.0
        )
        await cluster.crash(learner)
        await asyncio.sleep(1.0)
        assert (await replica.promote(learner)).failure().code == "not_caught_up"
        await cluster.restart(learner)
        await cluster.wait_equal()
        assert isinstance(await replica.promote(learner), Success)
        removed = next(key for key in "abc" if key != leader)
        assert isinstance(await replica.remove(removed), Success)
        await cluster.crash(removed)
        await propose_many(cluster, b"x", 3)
        assert sorted(cluster.members().voters) == sorted(
            {"a", "b", "c", learner} - {removed}
        )

    run_cluster("abcde", scenario, voters="abc", snapshot_entries=1000)


def test_the_age_counts_from_the_send_time_of_an_answered_request():
    # Guards against a withdrawn key that still works because a delayed answer or an
    # unapplied index made the state look current.
    async def scenario(cluster):
        leader = await cluster.wait_leader()
        follower = others(cluster, leader)[0]
        await cluster.watch(1.0)
        assert cluster.replicas[follower].lease_age() < 0.2
        slow = LinkFaults(min_delay=0.1, max_delay=0.1)
        cluster.network.set_faults(leader, follower, slow)
        await cluster.watch(1.0)
        for _ in range(300):
            assert cluster.replicas[follower].lease_age() >= 0.1
            await asyncio.sleep(0.001)

    run_cluster("abc", scenario)


def test_the_age_grows_without_a_majority_or_while_entries_are_missing():
    # Guards against an age that a leader without a lease confirms, and one that is
    # counted before the commit index has been applied.
    async def scenario(cluster):
        leader = await cluster.wait_leader()
        follower = others(cluster, leader)[0]
        rest = set(others(cluster, leader, follower))
        await cluster.watch(1.0)
        cluster.network.partition({leader, follower}, rest)
        started = now()
        await asyncio.sleep(3.0)
        age = cluster.replicas[follower].lease_age()
        assert now() - started - 0.4 <= age <= now() - started + 0.4
        cluster.network.heal()
        await cluster.wait_equal()
        await cluster.watch(1.0)
        freshness = cluster.replicas[follower]._freshness
        await cluster.crash(leader)
        await asyncio.sleep(0.3)
        before = now() - freshness.age()
        freshness._waiting.append(
            (now(), get_core(cluster, follower).applied_index + 1)
        )
        assert now() - freshness.age() <= before + 1e-9

    run_cluster("abcde", scenario)


def test_a_replica_that_has_just_started_has_no_proof():
    # Guards against an instance that serves an older revision after its restart.
    async def scenario(cluster):
        await cluster.watch(1.0)
        leader = await cluster.wait_leader()
        follower = others(cluster, leader)[0]
        cluster.network.partition({follower}, set(others(cluster, follower)))
        await cluster.restart(follower)
        await asyncio.sleep(5.0)
        assert cluster.replicas[follower].lease_age() == float("inf")

    run_cluster("abc", scenario)


def test_a_group_forms_with_the_identities_of_loaded_disks():
    # Guards against an identity that is answered before the disk has been read.
    async def scenario(cluster):
        await asyncio.sleep(2.0)
        for replica_id in cluster.ids:
            core = get_core(cluster, replica_id)
            assert core.is_voter
            assert core.storage.log.last_index == 1

    for seed in range(5):
        run_cluster("abc", scenario, seed=seed)
