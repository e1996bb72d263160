"""Tests of the order in which lookups return entries."""

import random
from collections import Counter

import attrs

from toucanwood.steering import rank_entries


@attrs.frozen
class Member:
    id: str
    region: str
    data_centre: str
    load: float = 0.0
    is_leaving: bool = False


@attrs.frozen
class Drains:
    regions: frozenset = frozenset()
    data_centres: frozenset = frozenset()


@attrs.frozen
class Declaration:
    drains: Drains


@attrs.frozen
class View:
    declaration: Declaration


def make_view(**drains):
    return View(Declaration(Drains(**drains)))


def list_ids(entries):
    return [entry.id for entry in entries]


def test_home_region_is_first_and_leaving_entries_are_last():
    # Guards against callers that try a leaving or drained instance first.
    members = [
        Member("leaving", "norte", "norte-1", is_leaving=True),
        Member("away", "sureste", "sureste-1"),
        Member("drained", "norte", "norte-2"),
        Member("home", "norte", "norte-1"),
    ]
    view = make_view(data_centres=frozenset({"norte-2"}))
    for now in range(20):
        ranked = list_ids(rank_entries(view, members, "norte", float(now)))
        assert ranked == ["home", "away", "drained", "leaving"]


def test_callers_spread_by_spare_capacity():
    # Guards against callers that cache a list and then all use the same instance.
    members = [Member("idle", "norte", "n1"), Member("busy", "norte", "n1", load=0.8)]
    times = random.Random(1)
    first = Counter(
        rank_entries(make_view(), members, "norte", times.uniform(0, 1e5))[0].id
        for _ in range(2000)
    )
    assert 2.5 < first["idle"] / first["busy"] < 6.0


def test_small_load_changes_keep_the_order():
    # Guards against instances that return different orders because they know slightly
    # different loads.
    low = [Member(name, "norte", "n1", load=0.30) for name in "abcd"]
    high = [Member(name, "norte", "n1", load=0.45) for name in "abcd"]
    for now in range(50):
        first = rank_entries(make_view(), low, "norte", now)
        second = rank_entries(make_view(), reversed(high), "norte", now)
        assert list_ids(first) == list_ids(second)
