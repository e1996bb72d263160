import attrs

from toucanwood.placement import (
    TargetRecord,
    compute_even_shares,
    compute_object_weights,
)
from toucanwood.placement._affinity import ObjectRanking
from toucanwood.placement._region_fractions import compute_region_fractions
from toucanwood.placement.tests.test_decisions import TARGET

DEMAND = {"north": 1 / 3, "west": 1 / 3, "south": 1 / 3}
SLOTS = {"north": 10, "west": 30, "south": 40}


def build_records(targets_by_region):
    return [
        TargetRecord(attrs.evolve(TARGET, id=f"{region}-{number}"), region, 0.001)
        for region, count in targets_by_region.items()
        for number in range(count)
    ]


# Guards against regions with more load than their slots while others have room, and
# against traffic between regions that this balance does not need.
def test_load_of_each_region_follows_its_slots_with_least_traffic_between_regions():
    load = dict.fromkeys(SLOTS, 0.0)
    for home, share in DEMAND.items():
        fractions = compute_region_fractions(home, DEMAND, SLOTS)
        assert abs(sum(fractions.values()) - 1.0) < 1e-9
        for region, fraction in fractions.items():
            load[region] += share * fraction
        capacity = SLOTS[home] / sum(SLOTS.values())
        assert abs(fractions[home] - min(capacity / share, 1.0)) < 1e-9
    for region, slots in SLOTS.items():
        assert abs(load[region] - slots / sum(SLOTS.values())) < 1e-9


def test_region_without_slots_uses_the_regions_with_room():
    fractions = compute_region_fractions("north", DEMAND, {"west": 30, "south": 60})
    assert fractions["north"] == 0.0
    assert fractions["south"] > 0.5
    assert compute_region_fractions("north", {}, {"north": 4}) == {"north": 1.0}


# Guards against requests that fail because the only region with targets left has no
# objects assigned to it.
def test_every_target_has_a_weight():
    records = build_records({"north": 4, "south": 1})
    weights = compute_object_weights(records, "north", {"north": 0.1, "south": 0.9})
    assert min(weights.values()) > 0
    assert weights["south-0"] < weights["north-0"]
    assert compute_object_weights([], "north", DEMAND) == {}


# Replays the load of a fleet with a third of the callers in a region with an eighth of
# the targets. With a fixed weight for the own region, 43% of the requests left it.
def test_objects_stay_in_their_region_as_far_as_its_targets_allow():
    records = build_records({"north": 2, "west": 6, "south": 8})
    region_by_id = {record.id: record.region for record in records}
    placed = dict.fromkeys(DEMAND, 0)
    objects, crossed = 600, 0
    for home in DEMAND:
        ranking = ObjectRanking()
        ranking.set_targets(compute_object_weights(records, home, DEMAND))
        for number in range(objects):
            region = region_by_id[ranking.list_ranked_targets(f"{home}|{number}")[0]]
            placed[region] += 1
            crossed += region != home
    assert crossed / (3 * objects) < 0.25
    assert abs(placed["north"] / (3 * objects) - 2 / 16) < 0.03
    assert abs(placed["west"] / (3 * objects) - 6 / 16) < 0.04


def test_even_shares_follow_the_data_centres():
    shares = compute_even_shares({"a": "north", "b": "north", "c": "south"})
    assert shares == {"north": 2 / 3, "south": 1 / 3}
