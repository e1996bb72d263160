"""Short seeded runs of the schedules of faults in virtual time."""

from soak.schedules import run_schedule

# Seeds to run. A seed that has failed is added with a line on its cause; none has yet.
SEEDS = (1, 2)


# Guards against changes that are in force late, or come back older, around the changes
# of the leader, lost disks, replaced controllers and partitions.
def test_changes_are_in_force_in_time_under_schedules_of_faults():
    for seed in SEEDS:
        schedule = run_schedule(seed, 30.0)
        assert schedule.violations == [], schedule.faults
        assert len(schedule.acknowledged) > 20
