"""Tests of reading, validating and comparing declarations."""

import copy

from toucanwood.declaration import Declaration, diff
from toucanwood.utils import ValidationError, load_yaml

VALID = """
regions:
  - {name: norte, data_centres: [norte-1, norte-2]}
  - {name: sureste, data_centres: [sureste-1]}
organisations:
  - {name: monterrey, rate: 40, burst: 80}
services:
  - name: buscador
    routes:
      - {prefix: /buscador/}
      - {prefix: /buscador/open, access: open}
    shift_cap: {fraction: 0.1, interval: 30}
drains: {regions: [sureste]}
links:
  - {regions: [norte, sureste], capacity_mbit: 4000}
client_blocks:
  - {block: 127.0.1.0/24, region: norte}
"""

# Path of the replaced value, invalid value, path of the expected error.
INVALID_VALUES = [
    (("regions", 0, "name"), 7, "regions[0].name"),
    (("regions", 0, "data_centres"), [], "regions[0].data_centres"),
    (("regions", 1, "name"), "norte", "regions"),
    (("organisations", 0, "rate"), -1, "organisations[0].rate"),
    (("organisations", 0, "burst"), True, "organisations[0].burst"),
    (("services", 0, "deadline"), 0, "services[0].deadline"),
    (("services", 0, "shed_statuses"), [200], "services[0].shed_statuses"),
    (("services", 0, "shift_cap", "fraction"), 2, "services[0].shift_cap.fraction"),
    (("services", 0, "routes", 0, "access"), "all", "services[0].routes[0].access"),
    (("services", 0, "routes", 0, "prefix"), "x", "services[0].routes[0].prefix"),
    (("services", 0, "retries"), 3, "services[0].retries"),
    (("drains", "regions"), ["este"], "drains.regions"),
    (("links", 0, "regions"), ["norte"], "links[0].regions"),
    (("client_blocks", 0, "block"), "127.0.1.9/24", "client_blocks[0].block"),
    (("client_blocks", 0, "region"), "este", "client_blocks[0].region"),
]


def load_valid():
    return load_yaml(VALID)


def replace(mapping, keys, value):
    changed = copy.deepcopy(mapping)
    container = changed
    for key in keys[:-1]:
        container = container[key]
    container[keys[-1]] = value
    return changed


def test_each_invalid_value_is_reported_with_its_path():
    # Guards against invalid values that are accepted or reported without their path.
    mapping, lines = load_valid()
    for keys, value, path in INVALID_VALUES:
        try:
            Declaration.from_config(replace(mapping, keys, value), lines)
        except ValidationError as error:
            assert path in [item.path for item in error.errors], (path, error)
        else:
            raise AssertionError(f"{path} accepted {value!r}")


def test_all_errors_are_reported_with_their_lines():
    # Guards against a check that stops at the first error.
    text = VALID.replace("rate: 40", "rate: -1").replace("capacity_mbit: 4000", "")
    mapping, lines = load_yaml(text)
    try:
        Declaration.from_config(mapping, lines)
    except ValidationError as error:
        assert len(error.errors) == 2
        assert error.errors[0].line == 6
    else:
        raise AssertionError("two errors accepted")


def test_config_round_trip_and_diff():
    # Guards against values that are lost when instances exchange a declaration.
    before = Declaration.from_config(load_valid()[0])
    assert Declaration.from_config(before.to_config()) == before
    changed = replace(load_valid()[0], ("organisations", 0, "rate"), 50)
    after = Declaration.from_config(changed)
    changes = [str(change) for change in diff(before, after)]
    assert changes == ["~ organisations[monterrey].rate: 40 -> 50"]


def test_longest_prefix_of_whole_segments_is_selected():
    # Guards against a path that needs a key but is served without one, because its
    # first characters equal the prefix of an open route.
    declaration = Declaration.from_config(load_valid()[0])
    assert declaration.find_route("/buscador/open/x")[0].is_open
    assert not declaration.find_route("/buscador/opened")[0].is_open
    assert declaration.find_route("/buscador2") is None
    assert declaration.is_drained("sureste-1")
