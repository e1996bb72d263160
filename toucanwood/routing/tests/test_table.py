from toucanwood.routing import (
    RouteKind,
    RoutingTable,
    apply_change,
    diff_documents,
    patch_document,
)
from toucanwood.utils import ValidationError


def build_route(**changed):
    route = {
        "name": "r-1",
        "host": "shop.example",
        "prefix": "/a/",
        "kind": "safe",
        "timeout_ms": 1000,
        "objective_ms": 250,
        "priority": 2,
        "splits": [{"service": "s", "weight": 90}, {"service": "t", "weight": 10}],
        "max_attempts": 2,
        "open": False,
        "sticky": True,
        "regions": [],
    }
    return {**route, **changed}


def build_document(routes=None, organisations=()):
    return {
        "revision": 1,
        "routes": routes if routes is not None else [build_route()],
        "services": [{"name": "s"}, {"name": "t", "cold_rate": 7.8}],
        "organisations": list(organisations),
        "caller_limits": {"idle_timeout_ms": 15000},
    }


def get_validation_error(document):
    try:
        RoutingTable.from_config(document)
    except ValidationError as error:
        return str(error)
    return ""


def test_valid_document_is_read_in_full():
    table = RoutingTable.from_config(build_document())
    route = table.match("shop.example", "/a/b")
    assert route.kind is RouteKind.SAFE and route.is_idempotent
    assert (route.timeout_s, route.objective_s) == (1.0, 0.25)
    assert table.caller_limits.idle_timeout_s == 15.0


def test_match_takes_the_longest_prefix_of_the_same_host():
    routes = [build_route(), build_route(name="r-2", prefix="/a/b/")]
    table = RoutingTable.from_config(build_document(routes))
    assert table.match("shop.example", "/a/b/c").name == "r-2"
    assert table.match("shop.example", "/a/bc").name == "r-1"
    assert table.match("other.example", "/a/b/c") is None


def test_unknown_service_is_rejected():
    assert "declared service" in get_validation_error(
        build_document([build_route(splits=[{"service": "x", "weight": 1}])])
    )


def test_two_routes_with_the_same_host_and_prefix_are_rejected():
    routes = [build_route(), build_route(name="r-2")]
    assert "other than those of r-1" in get_validation_error(build_document(routes))


def test_weights_that_are_negative_or_sum_to_zero_are_rejected():
    for weights in ([0, 0], [5, -1]):
        splits = [
            {"service": service, "weight": weight}
            for service, weight in zip("st", weights, strict=True)
        ]
        assert get_validation_error(build_document([build_route(splits=splits)]))


# Guards against shares that are not defined, although each weight is a finite number.
def test_weights_with_an_infinite_sum_keep_their_proportions():
    splits = [{"service": name, "weight": 1e308} for name in "sst"]
    route = build_route(splits=splits)
    table = RoutingTable.from_config(build_document([route]))
    matched = table.match(route["host"], route["prefix"] + "x")
    assert [split.weight for split in matched.splits] == [1.0, 1.0, 1.0]


def test_objective_a_minute_above_the_timeout_is_rejected():
    assert get_validation_error(build_document([build_route(objective_ms=61_000)]))
    assert not get_validation_error(build_document([build_route(objective_ms=60_999)]))


# Guards against an invalid document in force: a timeout of 0 also bounds the objective.
def test_objective_a_minute_above_a_timeout_of_zero_is_rejected():
    route = build_route(timeout_ms=0, objective_ms=60_000)
    assert get_validation_error(build_document([route]))
    route = build_route(timeout_ms=0, objective_ms=59_999)
    assert not get_validation_error(build_document([route]))


def test_numbers_that_are_not_finite_are_rejected():
    for value in (float("nan"), float("inf"), float("-inf")):
        splits = [{"service": "s", "weight": value}, {"service": "t", "weight": 1}]
        for changed in (
            {"timeout_ms": value},
            {"objective_ms": value},
            {"splits": splits},
        ):
            document = build_document([build_route(**changed)])
            assert "a finite number" in get_validation_error(document), changed
        organisation = {"name": "a", "keys": ["k"], "rate": value}
        assert get_validation_error(build_document(organisations=[organisation]))


def test_empty_host_is_rejected():
    assert "a host name" in get_validation_error(build_document([build_route(host="")]))


def test_key_of_two_organisations_is_rejected():
    organisations = [{"name": "a", "keys": ["k"]}, {"name": "b", "keys": ["k"]}]
    assert "each key once" in get_validation_error(build_document([], organisations))


def test_every_fault_is_reported_at_once():
    error_text = get_validation_error(
        build_document([build_route(host="", kind="x", prefix=3)])
    )
    assert all(name in error_text for name in ("host", "kind", "prefix"))


# Guards against a time for each change that grows with the document: with many routes,
# changes in quick succession were applied seconds later.
def test_unchanged_items_are_taken_from_the_previous_table():
    routes = [build_route(), build_route(name="r-2", prefix="/b/")]
    old = RoutingTable.from_config(build_document(routes))
    routes = [build_route(priority=7), build_route(name="r-2", prefix="/b/")]
    new = RoutingTable.from_config(build_document(routes), previous=old)
    assert new == RoutingTable.from_config(build_document(routes))
    assert new.routes["r-2"] is old.routes["r-2"]
    assert new.routes["r-1"].priority == 7
    # A value of another type is invalid although 1 equals True.
    document = build_document([build_route(sticky=1)])
    try:
        RoutingTable.from_config(document, previous=old)
    except ValidationError as error:
        assert "sticky" in str(error)
    else:
        raise AssertionError("an invalid item was taken from the previous table")


def test_patch_replaces_adds_and_removes_named_items():
    document = build_document()
    patched = patch_document(
        document,
        upsert={"routes": [build_route(priority=7), build_route(name="r-2")]},
        remove={"services": ["t"]},
    )
    assert [item["name"] for item in patched["routes"]] == ["r-1", "r-2"]
    assert patched["routes"][0]["priority"] == 7
    assert [item["name"] for item in patched["services"]] == ["s"]
    assert document["routes"][0]["priority"] == 2


def test_applying_the_difference_to_the_old_document_gives_the_new_one():
    old = build_document([build_route(), build_route(name="r-2", prefix="/b/")])
    new = build_document([build_route(name="r-2", prefix="/c/")])
    new["caller_limits"] = {"idle_timeout_ms": 1000}
    changed = apply_change(old, diff_documents(old, new).to_wire())
    assert changed == new
