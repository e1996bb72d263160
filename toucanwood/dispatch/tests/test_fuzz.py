"""Stateful fuzzing of several dispatchers against an independent count."""

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from toucanwood.dispatch.tests.world import PLACES, World
from toucanwood.peering.testing import LinkFaults

names = st.sampled_from(sorted(PLACES))
target_names = st.sampled_from(["t1", "t2", "t3"])


class DispatchMachine(RuleBasedStateMachine):
    """Inject faults while requests run; the world counts what runs where."""

    def __init__(self):
        super().__init__()
        self.world = World()
        self.world.add_target("t1", "n1", 2, "a")
        self.world.add_target("t2", "n2", 3, "b")
        self.world.add_target("t3", "s1", 1, "c")
        self.world.wait(4.0)

    @rule(
        name=names,
        organisation=st.sampled_from("xyz"),
        region=st.sampled_from(["norte", "norte", "sureste"]),
        duration=st.sampled_from([0.01, 0.3, 4.0, 30.0]),
        deadline=st.sampled_from([0.5, 2.0, 40.0]),
        count=st.integers(1, 4),
    )
    def request(self, name, organisation, region, duration, deadline, count):
        for _ in range(count):
            self.world.request(
                name, organisation, region, duration=duration, deadline=deadline
            )

    @rule(seconds=st.sampled_from([0.01, 0.06, 0.4, 1.0, 2.6, 7.0]))
    def wait(self, seconds):
        self.world.wait(seconds)

    @rule(name=names)
    def crash(self, name):
        if len(self.world.dispatchers) > 1:
            self.world.crash(name)

    @rule(name=names)
    def restart(self, name):
        self.world.start(name)

    @rule(
        sender=names,
        receiver=names,
        drop=st.sampled_from([0.0, 0.3]),
        duplicate=st.sampled_from([0.0, 0.3]),
        max_delay=st.sampled_from([0.001, 0.3, 3.0]),
        is_cut=st.booleans(),
    )
    def disturb(self, sender, receiver, drop, duplicate, max_delay, is_cut):
        faults = LinkFaults(
            drop=drop, duplicate=duplicate, max_delay=max_delay, is_cut=is_cut
        )
        self.world.network.set_faults(sender, receiver, faults)

    @rule(name=names)
    def isolate(self, name):
        self.world.network.partition({name}, set(PLACES) - {name})

    @rule()
    def heal(self):
        self.world.network.heal()

    @rule(fake=target_names, instance=names)
    def leave(self, fake, instance):
        self.world.leave(fake, instance)

    @rule(fake=target_names)
    def pause_or_resume(self, fake):
        target = self.world.targets[fake]
        target.is_announcing = not target.is_announcing

    @rule(fake=target_names, instance=names)
    def move(self, fake, instance):
        self.world.targets[fake].instance = instance

    @invariant()
    def keeps_all_rules(self):
        assert not self.world.problems, self.world.problems

    def teardown(self):
        try:
            self.check_recovery()
        finally:
            self.world.close()

    def check_recovery(self):
        world = self.world
        world.network.heal()
        for name in PLACES:
            world.start(name)
        for target in world.targets.values():
            target.is_announcing = True
        world.wait(60.0)
        assert not world.problems, world.problems
        assert world.count_leases() == 0, "leases leak"
        world.results.clear()
        for organisation in "xy":
            for name in PLACES:
                world.request(name, organisation, "norte")
                world.request(name, organisation, "sureste")
        world.wait(4.0)
        served = [ok for _, ok in world.results]
        assert len(served) == 12 and all(served), "a waiter is not served"
        assert not world.problems, world.problems


def test_no_fault_exceeds_slots_or_loses_a_waiter():
    # Guards against more requests at a target than slots, work after a leave, leaked
    # slots and lost wake-ups under crashes, cuts, drops, delays and duplicates.
    options = settings(
        derandomize=True,
        max_examples=60,
        phases=[Phase.generate],
        stateful_step_count=40,
        deadline=None,
        database=None,
    )
    run_state_machine_as_test(DispatchMachine, settings=options)
