import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from toucanwood.fleet import (
    FleetState,
    FleetView,
    OrderStatus,
    PatchRouting,
    PutRouting,
    RemoveTarget,
    ReportTarget,
    SetEvacuation,
    Target,
    TargetState,
    pack_order,
)

ROUTE = {
    "name": "r-1",
    "host": "shop.example",
    "prefix": "/a/",
    "kind": "safe",
    "service": "s",
}
DOCUMENT = {"routes": [ROUTE], "services": [{"name": "s"}], "organisations": []}
TARGET = Target(
    id="t-1",
    start_time_ms=1000,
    sequence=1,
    service="s",
    address="127.0.0.1:80",
    data_centre="a",
    software="v1",
    slots=4,
    state=TargetState.READY,
    remaining_cold_start_s=0.0,
)


class Log:
    """Apply orders to a state and to a view that follows it by changes."""

    def __init__(self):
        self.state = FleetState()
        self.view = FleetView()
        self.index = 0

    def apply(self, order):
        self.index += 1
        result = self.state.apply(self.index, pack_order(order))
        changes = self.state.list_changes(self.view.version)
        self.view.apply_changes(self.state.version, changes)
        return result.status


def put(base, revision, document=DOCUMENT):
    return PutRouting(base, revision, document)


def report(**changed):
    return ReportTarget(attrs.evolve(TARGET, **changed))


def test_order_on_another_revision_conflicts():
    log = Log()
    assert log.apply(put(0, 5)) is OrderStatus.ACCEPTED
    assert log.apply(put(0, 6)) is OrderStatus.CONFLICT
    assert log.state.revision == 5


def test_accepted_order_is_acknowledged_again_even_after_later_ones():
    log = Log()
    log.apply(put(0, 5))
    log.apply(put(5, 7, {**DOCUMENT, "routes": []}))
    assert log.apply(put(0, 5)) is OrderStatus.ACCEPTED
    assert log.state.revision == 7


def test_of_two_orders_with_one_number_only_one_wins():
    log = Log()
    assert log.apply(put(0, 5)) is OrderStatus.ACCEPTED
    other = {**DOCUMENT, "routes": [{**ROUTE, "prefix": "/b/"}]}
    assert log.apply(put(0, 5, other)) is OrderStatus.CONFLICT
    assert log.view.table.match("shop.example", "/b/x") is None


def test_invalid_order_changes_nothing():
    log = Log()
    log.apply(put(0, 5))
    broken = {**DOCUMENT, "services": []}
    assert log.apply(put(5, 6, broken)) is OrderStatus.INVALID
    assert log.apply(put(5, 5)) is OrderStatus.INVALID
    assert log.state.document["routes"] == [ROUTE]


def test_patch_with_items_that_are_not_named_is_invalid():
    log = Log()
    log.apply(put(0, 5))
    for upsert in ({"routes": [{}]}, {"routes": ["x"]}):
        assert log.apply(PatchRouting(5, 6, upsert, {})) is OrderStatus.INVALID
    assert log.apply(PatchRouting(5, 6, {}, {"routes": 3})) is OrderStatus.INVALID


def test_late_announcement_does_not_bring_a_draining_target_back():
    log = Log()
    log.apply(report(sequence=3))
    log.apply(report(sequence=5, state=TargetState.DRAINING))
    log.apply(report(sequence=4))
    assert log.view.targets["t-1"].is_draining


def test_late_announcement_does_not_bring_a_departed_target_back():
    log = Log()
    log.apply(report())
    log.apply(RemoveTarget("t-1", None, None))
    log.apply(report(sequence=9))
    assert not log.view.targets
    log.apply(report(start_time_ms=2000, sequence=1))
    assert log.view.targets["t-1"].start_time_ms == 2000


def test_late_announcement_does_not_take_an_address_back():
    log = Log()
    log.apply(report())
    log.apply(report(id="t-2", start_time_ms=5000, service="other"))
    log.apply(report(sequence=8))
    assert set(log.view.targets) == {"t-2"}


def test_removal_names_an_earlier_start_and_leaves_the_later_one():
    log = Log()
    log.apply(report(start_time_ms=2000))
    log.apply(RemoveTarget("t-1", 1000, None))
    assert "t-1" in log.view.targets


def test_silent_target_that_announced_itself_meanwhile_stays():
    log = Log()
    log.apply(report(sequence=4))
    log.apply(RemoveTarget("t-1", 1000, 3))
    assert "t-1" in log.view.targets
    log.apply(RemoveTarget("t-1", 1000, 4))
    assert not log.view.targets
    # It was only silent, so its next announcement counts.
    log.apply(report(sequence=5))
    assert "t-1" in log.view.targets


def test_snapshot_restores_everything_that_was_acknowledged():
    log = Log()
    log.apply(put(0, 5))
    log.apply(SetEvacuation("a", True))
    log.apply(report())
    restored = FleetState()
    restored.restore(log.state.snapshot())
    assert restored.snapshot() == log.state.snapshot()
    assert restored.apply(9, pack_order(put(0, 5))).status is OrderStatus.ACCEPTED
    assert restored.evacuated == {"a"}


def test_view_refuses_an_older_state():
    log = Log()
    log.apply(put(0, 5))
    older = [3, {}, [], []]
    assert not log.view.replace(log.view.version + 1, older)
    assert log.view.revision == 5


def draw_orders():
    targets = st.builds(
        report,
        id=st.sampled_from(["t-1", "t-2"]),
        start_time_ms=st.sampled_from([1000, 2000]),
        sequence=st.integers(1, 4),
        address=st.sampled_from(["127.0.0.1:80", "127.0.0.1:81"]),
        state=st.sampled_from(list(TargetState)),
    )
    removals = st.builds(
        RemoveTarget,
        st.sampled_from(["t-1", "t-2"]),
        st.sampled_from([None, 1000, 2000]),
        st.sampled_from([None, 1, 4]),
    )
    evacuations = st.builds(SetEvacuation, st.sampled_from("ab"), st.booleans())
    documents = st.sampled_from([DOCUMENT, {**DOCUMENT, "routes": []}])
    puts = st.builds(put, st.integers(0, 3), st.integers(1, 4), documents)
    return st.lists(st.one_of(targets, removals, evacuations, puts), max_size=30)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(draw_orders())
def test_view_by_changes_equals_the_state_and_revisions_never_fall(orders):
    log = Log()
    revision = 0
    for order in orders:
        log.apply(order)
        assert log.view.revision >= revision
        revision = log.view.revision
    assert log.view.targets == log.state.targets
    assert log.view.evacuated == log.state.evacuated
    assert log.view.revision == log.state.revision
    addresses = [target.address for target in log.state.targets.values()]
    assert len(set(addresses)) == len(addresses)
