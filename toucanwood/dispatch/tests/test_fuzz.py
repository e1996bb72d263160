"""Stateful fuzzing of several dispatchers.

The harness checks the number of running requests independently.
"""

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from toucanwood.dispatch.tests.harness import DATA_CENTRE_BY_INSTANCE, Harness
from toucanwood.peering.testing import LinkFaults

instance_names = st.sampled_from(sorted(DATA_CENTRE_BY_INSTANCE))
target_names = st.sampled_from(["t1", "t2", "t3"])


class DispatchMachine(RuleBasedStateMachine):
    """Inject faults while requests run; the harness checks the invariants."""

    def __init__(self):
        super().__init__()
        self.harness = Harness()
        self.harness.add_target("t1", "n1", 2, "a")
        self.harness.add_target("t2", "n2", 3, "b")
        self.harness.add_target("t3", "s1", 1, "c")
        self.harness.wait(4.0)

    @rule(
        name=instance_names,
        organisation=st.sampled_from("xyz"),
        region=st.sampled_from(["norte", "norte", "sureste"]),
        duration=st.sampled_from([0.01, 0.3, 4.0, 30.0]),
        deadline=st.sampled_from([0.5, 2.0, 300.0]),
        count=st.integers(1, 4),
    )
    def request(self, name, organisation, region, duration, deadline, count):
        for _ in range(count):
            self.harness.request(
                name, organisation, region, duration=duration, deadline=deadline
            )

    @rule(seconds=st.sampled_from([0.01, 0.06, 0.4, 1.0, 2.6, 7.0]))
    def wait(self, seconds):
        self.harness.wait(seconds)

    @rule(name=instance_names)
    def crash(self, name):
        if len(self.harness.dispatchers) > 1:
            self.harness.crash(name)

    @rule(name=instance_names)
    def restart(self, name):
        self.harness.start(name)

    @rule(
        sender=instance_names,
        receiver=instance_names,
        drop=st.sampled_from([0.0, 0.3]),
        duplicate=st.sampled_from([0.0, 0.3]),
        max_delay=st.sampled_from([0.001, 0.3, 3.0]),
        is_cut=st.booleans(),
    )
    def set_link_faults(self, sender, receiver, drop, duplicate, max_delay, is_cut):
        faults = LinkFaults(
            drop=drop, duplicate=duplicate, max_delay=max_delay, is_cut=is_cut
        )
        self.harness.network.set_faults(sender, receiver, faults)

    @rule(name=instance_names)
    def isolate(self, name):
        self.harness.network.partition({name}, set(DATA_CENTRE_BY_INSTANCE) - {name})

    @rule()
    def heal(self):
        self.harness.network.heal()

    @rule(target_name=target_names, instance=instance_names)
    def leave(self, target_name, instance):
        self.harness.leave(target_name, instance)

    @rule(target_name=target_names)
    def pause_or_resume(self, target_name):
        target = self.harness.targets[target_name]
        target.is_announcing = not target.is_announcing

    @rule(target_name=target_names, instance=instance_names)
    def move(self, target_name, instance):
        self.harness.targets[target_name].instance = instance

    @invariant()
    def violates_no_invariant(self):
        assert not self.harness.problems, self.harness.problems

    def teardown(self):
        try:
            self.check_recovery()
        finally:
            self.harness.close()

    def check_recovery(self):
        harness = self.harness
        harness.network.heal()
        for name in DATA_CENTRE_BY_INSTANCE:
            harness.start(name)
        for target in harness.targets.values():
            target.is_announcing = True
        harness.wait(60.0)
        assert not harness.problems, harness.problems
        running = sum(len(target.running) for target in harness.targets.values())
        assert harness.count_leases() == running, "leases leak"
        # Requests that take 30 s may still run and let others wait.
        harness.cancel_requests()
        harness.wait(3.0)
        assert harness.count_leases() == 0, "cancelled requests leak leases"
        harness.results.clear()
        for organisation in "xy":
            for name in DATA_CENTRE_BY_INSTANCE:
                harness.request(name, organisation, "norte")
                harness.request(name, organisation, "sureste")
        harness.wait(4.0)
        served = [ok for _, ok in harness.results]
        assert len(served) == 12 and all(served), "a waiter is not served"
        assert not harness.problems, harness.problems


def test_no_fault_exceeds_slots_or_loses_a_waiter():
    # Guards against more requests at a target than slots, requests to a target that
    # left, leaked slots and lost wake-ups, caused by crashes, cut links, and dropped,
    # delayed or duplicate messages.
    options = settings(
        derandomize=True,
        max_examples=60,
        phases=[Phase.generate],
        stateful_step_count=40,
        deadline=None,
        database=None,
    )
    run_state_machine_as_test(DispatchMachine, settings=options)
