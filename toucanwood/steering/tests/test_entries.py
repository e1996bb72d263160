"""Tests of the ranking of entries for lookups."""

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


def name_all(entries):
    return [entry.id for entry in entries]


def test_home_region_first_and_leaving_last():
    # Guards against callers that are sent to a stopping or drained instance first.
    members = [
        Member("leaving", "norte", "norte-1", is_leaving=True),
        Member("away", "sureste", "sureste-1"),
        Member("drained", "norte", "norte-2"),
        Member("home", "norte", "norte-1"),
    ]
    view = make_view(data_centres=frozenset({"norte-2"}))
    for now in range(20):
        ranked = name_all(rank_entries(view, members, "norte", float(now)))
        assert ranked == ["home", "away", "drained", "leaving"]


def test_callers_spread_by_spare_capacity():
    # Guards against every caller that caches a list hitting the same instance.
    members = [Member("idle", "norte", "n1"), Member("busy", "norte", "n1", load=0.8)]
    times = random.Random(1)
    first = Counter(
        rank_entries(make_view(), members, "norte", times.uniform(0, 1e5))[0].id
        for _ in range(2000)
    )
    assert 2.5 < first["idle"] / first["busy"] < 6.0


def test_small_load_changes_keep_the_order():
    # Guards against a cached list that another instance would have ordered otherwise.
    low = [Member(name, "norte", "n1", load=0.30) for name in "abcd"]
    high = [Member(name, "norte", "n1", load=0.45) for name in "abcd"]
    for now in range(50):
        first = rank_entries(make_view(), low, "norte", now)
        second = rank_entries(make_view(), reversed(high), "norte", now)
        assert name_all(first) == name_all(second)
