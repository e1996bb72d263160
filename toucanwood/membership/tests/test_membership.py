"""Tests of gossip and failure detection on a fake network in virtual time."""

import asyncio

import attrs
import hypothesis.strategies as st
from hypothesis import given, settings

from toucanwood.membership import Member, Membership, MemberState, MemberTable
from toucanwood.peering.testing import FakeNetwork
from toucanwood.utils import run_virtual

IDS = ["a", "b", "c", "d", "e"]
# Detection: one round of probes, an indirect probe, the suspicion and gossip.
DETECTION_S = 10.0


def build_member(member_id, incarnation=1):
    return Member(
        id=member_id,
        data_centre="dc-" + member_id,
        region="r",
        http="127.0.0.1:1",
        peer="127.0.0.1:2",
        incarnation=incarnation,
    )


async def start_fleet(network, ids=IDS):
    fleet = {}
    for index, member_id in enumerate(ids):
        fleet[member_id] = await start_one(network, member_id, index)
    return fleet


async def start_one(network, member_id, seed, incarnation=1):
    membership = Membership(
        transport=network.create_transport(member_id),
        local_member=build_member(member_id, incarnation),
        seeds=[("a", "127.0.0.1:2"), ("b", "127.0.0.1:2")],
        set_address=lambda peer_id, address: None,
        seed=seed,
    )
    await membership.start()
    return membership


def list_live_ids(membership):
    return {member.id for member in membership.list_live()}


def test_all_instances_learn_of_one_another():
    # Guards against instances that only know their seeds.
    async def main():
        fleet = await start_fleet(FakeNetwork(1))
        await asyncio.sleep(DETECTION_S)
        assert all(list_live_ids(item) == set(IDS) for item in fleet.values())

    run_virtual(main())


def test_crash_is_detected_and_restart_is_learned():
    # Guards against dead instances in look-ups, and restarts that stay dead.
    async def main():
        network = FakeNetwork(2)
        fleet = await start_fleet(network)
        await asyncio.sleep(DETECTION_S)
        crashed = fleet.pop("c")
        network.stop("c")
        await crashed._tasks.stop()
        await asyncio.sleep(DETECTION_S)
        assert all("c" not in list_live_ids(item) for item in fleet.values())
        # The clock of the restarted instance is behind: its incarnation is lower.
        fleet["c"] = await start_one(network, "c", 9, incarnation=0)
        await asyncio.sleep(DETECTION_S)
        assert all(list_live_ids(item) == set(IDS) for item in fleet.values())

    run_virtual(main())


def test_partition_heals():
    # Guards against two halves that never merge again.
    async def main():
        network = FakeNetwork(3)
        fleet = await start_fleet(network)
        await asyncio.sleep(DETECTION_S)
        network.partition({"a", "b"}, {"c", "d", "e"})
        await asyncio.sleep(2 * DETECTION_S)
        assert list_live_ids(fleet["a"]) == {"a", "b"}
        assert list_live_ids(fleet["e"]) == {"c", "d", "e"}
        network.heal()
        await asyncio.sleep(3 * DETECTION_S)
        assert all(list_live_ids(item) == set(IDS) for item in fleet.values())

    run_virtual(main())


def test_leaving_and_stopped_instances_are_known_everywhere():
    # Guards against callers that are sent to an instance that stops.
    async def main():
        fleet = await start_fleet(FakeNetwork(4))
        await asyncio.sleep(DETECTION_S)
        fleet["d"].announce(MemberState.LEAVING)
        await asyncio.sleep(DETECTION_S)
        states = {item.table.find("d").state for item in fleet.values()}
        assert states == {MemberState.LEAVING}
        await fleet.pop("d").stop()
        await asyncio.sleep(DETECTION_S)
        states = {item.table.find("d").state for item in fleet.values()}
        assert states == {MemberState.LEFT}

    run_virtual(main())


RECORDS = st.builds(
    lambda member_id, incarnation, state: attrs.evolve(
        build_member(member_id, incarnation), state=MemberState(state)
    ),
    st.sampled_from(["b", "c"]),
    st.integers(0, 3),
    st.integers(0, 4),
)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(RECORDS, max_size=12), st.randoms(use_true_random=False))
def check_merge_order(records, shuffler):
    tables = [MemberTable(build_member("a")) for _ in range(2)]
    shuffled = list(records)
    shuffler.shuffle(shuffled)
    for table, order in zip(tables, (records, shuffled), strict=True):
        for record in order:
            table.merge(record, 0.0)
    assert tables[0].digest() == tables[1].digest()
    for record in records:
        assert not record.supersedes(tables[0].find(record.id))


def test_merge_gives_the_same_table_in_any_order():
    # Guards against tables that differ for good after crossed messages.
    check_merge_order()


def test_every_instance_hears_at_once_that_one_leaves():
    # Guards against lookup responses that list an instance until gossip arrives, after
    # which callers with a cached list use it when it no longer listens.
    async def main():
        fleet = await start_fleet(FakeNetwork(1))
        await asyncio.sleep(DETECTION_S)
        fleet["c"].announce(MemberState.LEAVING)
        await asyncio.sleep(0.1)
        for item in fleet.values():
            assert item.table.find("c").state is MemberState.LEAVING

    run_virtual(main())
