"""Short seeded runs of the schedules of faults in virtual time."""

from soak.schedules import run_schedule

# Seeds to run and their seconds. A seed that has failed is added with its cause.
SEEDS = (
    (1, 30.0),
    (2, 30.0),
    # The leader ended while a follower stored a snapshot; its state stayed behind.
    (50060, 40.0),
    (50091, 40.0),
    # Connections were reset all the time while the check took the group for stable.
    (440127, 40.0),
)


# Guards against changes that are in force late, or come back older, around the changes
# of the leader, lost disks, replaced controllers and partitions.
def test_changes_are_in_force_in_time_under_schedules_of_faults():
    for seed, seconds in SEEDS:
        schedule = run_schedule(seed, seconds)
        assert schedule.violations == [], schedule.faults
        assert len(schedule.acknowledged) > 20
