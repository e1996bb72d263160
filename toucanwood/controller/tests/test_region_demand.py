from toucanwood.controller._region_demand import OBSERVATION_S, RegionDemand


def count_requests(demand, rates, seconds, start=0.0):
    """Record counts that grow by `rates`, by region, once a second."""
    for second in range(int(seconds) + 1):
        for region, rate in rates.items():
            demand.record(f"e-{region}", region, rate * second, start + second)


def test_shares_follow_the_counted_requests():
    demand = RegionDemand(0.0)
    count_requests(demand, {"north": 30, "south": 10}, OBSERVATION_S)
    shares, mark = demand.get_shares(OBSERVATION_S)
    assert shares == {"north": 0.75, "south": 0.25}
    assert mark != 0


# Guards against objects that move to other targets because a controller has restarted.
def test_controller_that_has_just_started_publishes_nothing():
    demand = RegionDemand(100.0)
    count_requests(demand, {"north": 30}, 20, start=100.0)
    assert demand.get_shares(120.0) == ({}, 0)


# Guards against objects that move with every passing peak of a region.
def test_short_peak_does_not_change_published_shares():
    demand = RegionDemand(0.0)
    count_requests(demand, {"north": 20, "south": 20}, 600)
    published = demand.get_shares(600.0)
    for second in range(20):
        demand.record("e-south", "south", 12_000 + 60 * second, 600.0 + second)
        demand.record("e-north", "north", 12_000 + 20 * second, 600.0 + second)
    assert demand.get_shares(620.0) == published


def test_restarted_entry_counts_from_zero():
    demand = RegionDemand(0.0)
    demand.record("e-1", "north", 5_000, 0.0)
    demand.record("e-1", "north", 5_010, 0.5)
    demand.record("e-1", "north", 10, 0.9)
    demand.record("e-2", "south", 0, 0.0)
    demand.record("e-2", "south", 20, 0.9)
    assert demand.get_shares(OBSERVATION_S)[0] == {"north": 0.5, "south": 0.5}
