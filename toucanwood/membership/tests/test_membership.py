"""Tests of membership gossip and failure detection in virtual time."""

import asyncio

import attrs
import hypothesis.strategies as st
from hypothesis import given, settings

from toucanwood.membership import Member, Membership, MemberState, MemberTable
from toucanwood.peering.testing import FakeNetwork
from toucanwood.utils import run_virtual

IDS = ["a", "b", "c", "d", "e"]
# Upper bound of the time for one round of probes, an indirect probe, the suspect
# timeout and gossip.
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
        fleet[member_id] = await start_instance(network, member_id, index)
    return fleet


async def start_instance(network, member_id, seed, incarnation=1):
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


def test_every_instance_discovers_all_others():
    # Guards against instances that know only their seeds.
    async def main():
        fleet = await start_fleet(FakeNetwork(1))
        await asyncio.sleep(DETECTION_S)
        assert all(list_live_ids(item) == set(IDS) for item in fleet.values())

    run_virtual(main())


def test_crash_and_restart_are_detected():
    # Guards against dead instances in lookups and restarted ones that count as dead.
    async def main():
        network = FakeNetwork(2)
        fleet = await start_fleet(network)
        await asyncio.sleep(DETECTION_S)
        crashed = fleet.pop("c")
        network.stop("c")
        await crashed._tasks.stop()
        await asyncio.sleep(DETECTION_S)
        assert all("c" not in list_live_ids(item) for item in fleet.values())
        # The incarnation after the restart is lower, because the clock is behind.
        fleet["c"] = await start_instance(network, "c", 9, incarnation=0)
        await asyncio.sleep(DETECTION_S)
        assert all(list_live_ids(item) == set(IDS) for item in fleet.values())

    run_virtual(main())


def test_partition_heals():
    # Guards against two halves of the group that never merge again.
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


def test_every_instance_learns_of_leaving_and_stopped_instances():
    # Guards against lookups that send callers to an instance that is stopping.
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
def check_merge_order_is_irrelevant(records, rng):
    tables = [MemberTable(build_member("a")) for _ in range(2)]
    shuffled = list(records)
    rng.shuffle(shuffled)
    for table, order in zip(tables, (records, shuffled), strict=True):
        for record in order:
            table.merge(record, 0.0)
    assert tables[0].digest() == tables[1].digest()
    for record in records:
        assert not record.supersedes(tables[0].find(record.id))


def test_merge_gives_the_same_table_in_any_order():
    # Guards against tables that differ permanently after messages in another order.
    check_merge_order_is_irrelevant()


def test_announcement_reaches_every_instance_at_once():
    # Guards against lookup responses that return a leaving instance until gossip
    # arrives; callers that cached such a response would use the instance after it has
    # stopped listening.
    async def main():
        fleet = await start_fleet(FakeNetwork(1))
        await asyncio.sleep(DETECTION_S)
        fleet["c"].announce(MemberState.LEAVING)
        await asyncio.sleep(0.1)
        for item in fleet.values():
            assert item.table.find("c").state is MemberState.LEAVING

    run_virtual(main())
