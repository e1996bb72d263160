"""Tests of the ranking of members for lookups."""

import attrs

from toucanwood.declaration import Declaration, Drains
from toucanwood.feed import CatalogView
from toucanwood.membership import Member, Membership, MemberState
from toucanwood.peering.testing import FakeNetwork
from toucanwood.server._ranking import (
    MAX_ENTRIES,
    MAX_GROUP_ENTRIES,
    EntryRanking,
)


def build_member(index, region="norte", state=MemberState.ALIVE, incarnation=1):
    return Member(
        id=f"m{index:03}",
        data_centre=f"{region}-1",
        region=region,
        http="127.0.0.1:1",
        peer="127.0.0.1:2",
        incarnation=incarnation,
        state=state,
    )


def build_ranking(members):
    membership = Membership(
        transport=FakeNetwork(1).create_transport(members[0].id),
        local_member=members[0],
        seeds=[],
        set_address=lambda peer_id, address: None,
        seed=1,
    )
    for member in members[1:]:
        membership.table.merge(member, 0.0)
    view = CatalogView(created_at=0.0)
    return EntryRanking(view, membership), view, membership


def list_ids(ranking, now=0.0):
    return [entry.id for entry in ranking.rank("norte", now)]


def test_small_fleet_is_listed_in_full():
    # Guards against a limit that hides entries of a small deployment.
    members = [build_member(index) for index in range(8)]
    ranking, _, _ = build_ranking(members)
    assert sorted(list_ids(ranking)) == [member.id for member in members]


def test_large_fleet_is_sampled_from_home_and_other_regions():
    # Guards against responses that grow with the fleet, that lack an entry outside the
    # home region, or that always list the same entries.
    home_members = [build_member(index) for index in range(40)]
    other_members = [build_member(index, "sureste") for index in range(40, 200)]
    ranking, _, _ = build_ranking([*home_members, *other_members])
    seen = set()
    for now in range(200):
        ranked = ranking.rank("norte", float(now))
        regions = [entry.region for entry in ranked]
        assert len(ranked) == MAX_ENTRIES
        assert regions[:MAX_GROUP_ENTRIES] == ["norte"] * MAX_GROUP_ENTRIES
        assert set(regions[MAX_GROUP_ENTRIES:]) == {"sureste"}
        seen |= {entry.id for entry in ranked}
    assert len(seen) == 200


def test_next_lookup_reflects_changes():
    # Guards against cached groups that ignore a leaving, drained or busy entry.
    members = [build_member(0), build_member(1), build_member(2, "sureste")]
    ranking, view, membership = build_ranking(members)
    assert set(list_ids(ranking)) == {"m000", "m001", "m002"}
    leaving = build_member(1, state=MemberState.LEAVING, incarnation=2)
    membership.table.merge(leaving, 1.0)
    assert list_ids(ranking) == ["m000", "m002"]
    drains = Drains(regions=frozenset({"norte"}))
    view.declaration = attrs.evolve(Declaration(), drains=drains)
    assert list_ids(ranking) == ["m002", "m000"]
    membership.load_by_id["m002"] = 0.5
    assert ranking.rank("norte", 0.0)[0].load == 0.5
