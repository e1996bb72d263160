"""Unit tests of the catalog view."""

import hashlib

import msgpack
from returns.result import Success

from toucanwood.feed import CatalogView, rank_replicas
from toucanwood.state import KeyRecord, PublishedState


def key_change(key_id, secret):
    sha256 = hashlib.sha256(secret.encode()).digest()
    return msgpack.packb(["key", key_id, sha256, "monterrey"])


def build_view():
    view = CatalogView(created_at=10.0)
    view.apply_changes(0, [key_change("k1", "s1"), key_change("k2", "s2")])
    view.confirm(2, 10.0)
    return view


def test_keys_are_accepted_only_if_the_state_is_younger_than_4_s():
    # Guards against a partitioned instance that accepts keys without a time limit.
    view = build_view()
    assert view.authenticate("s1", 13.99) == Success("monterrey")
    refused = view.authenticate("s1", 14.0).failure()
    assert (refused.code, refused.status) == ("state_stale", 503)
    assert refused.is_not_run
    unknown = view.authenticate("s3", 13.0).failure()
    assert (unknown.code, unknown.status) == ("key_unknown", 401)


def test_view_is_not_ready_before_a_confirmation_after_its_creation():
    # Guards against a quick restart after which an older state is served than before.
    view = CatalogView(created_at=10.0)
    view.apply_changes(0, [key_change("k1", "s1")])
    view.confirm(1, 9.9)
    assert not view.is_ready
    assert view.authenticate("s1", 10.1).failure().code == "state_stale"
    view.confirm(1, 10.0)
    assert view.is_ready


def test_confirmation_requires_the_version_and_never_moves_back():
    # Guards against a late reply that makes an old state appear current.
    view = build_view()
    view.confirm(3, 20.0)
    assert view.get_age(20.0) == 10.0
    view.confirm(1, 15.0)
    view.confirm(2, 12.0)
    assert view.get_age(20.0) == 5.0


def test_withdrawn_key_is_refused_before_and_after_the_commit():
    # Guards against a withdrawal that a state received later reverts.
    view = build_view()
    assert view.withdraw(["k1", "k9"]) == ["k1", "k9"]
    assert view.withdraw(["k1"]) == []
    assert view.authenticate("s1", 11.0).failure().code == "key_unknown"
    older = PublishedState(version=9, keys={"k1": KeyRecord(b"", "monterrey")})
    older.keys["k1"] = KeyRecord(hashlib.sha256(b"s1").digest(), "monterrey")
    assert view.load(older)
    assert view.authenticate("s1", 11.0).failure().code == "key_unknown"
    assert view.apply_changes(9, [msgpack.packb(["withdrawal", "k1"])]) == []
    assert view.apply_changes(10, [msgpack.packb(["withdrawal", "k2"])]) == ["k2"]
    assert view.is_withdrawn("k1") and view.is_withdrawn("k2")


def test_changes_are_applied_once_and_without_gaps():
    # Guards against duplicated, late and lost pushes.
    view = build_view()
    changes = [key_change(f"k{number}", f"s{number}") for number in (2, 3)]
    assert view.apply_changes(1, changes) == []
    assert view.version == 3
    view.apply_changes(1, changes)
    view.apply_changes(5, changes)
    assert view.version == 3
    assert not view.load(PublishedState(version=3))
    assert view.authenticate("s3", 11.0) == Success("monterrey")


def test_last_declaration_stays_if_the_next_cannot_be_parsed():
    # Guards against an instance that stops serving while other instances run a newer
    # version, whose declarations have unknown fields.
    view = build_view()
    known = {"regions": [{"name": "norte", "data_centres": ["norte-1"]}]}
    for revision, config in ((1, known), (2, {**known, "later": 1})):
        patch = {"removed": [], "replaced": config, "spliced": {}}
        change = msgpack.packb(["declaration", revision, patch])
        view.apply_changes(view.version, [change])
        assert view.revision == revision
        assert view.declaration.regions[0].name == "norte"


def test_instances_are_distributed_evenly_over_replicas():
    # Guards against one replica that serves every instance, also after another fails.
    replicas = [f"c{number}" for number in range(5)]
    for remaining in (replicas, replicas[1:]):
        firsts = [rank_replicas(f"e{n}", remaining)[0] for n in range(900)]
        counts = [firsts.count(replica) for replica in remaining]
        assert max(counts) < 1.3 * 900 / len(remaining)
    assert rank_replicas("c3", replicas)[0] == "c3"
