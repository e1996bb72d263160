"""Tests of the region selection at entries."""

from collections import Counter

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)
from returns.result import Success

from toucanwood.steering import Capacity, RegionSelector, measure_distance

REGIONS = ["norte", "occidente", "sureste"]
ENTRIES = 4


@attrs.frozen
class Cap:
    fraction: float = 0.1
    interval: float = 30.0


@attrs.define
class Harness:
    cap: Cap = Cap()
    weights: dict = attrs.field(factory=lambda: {"norte": 1.0})
    slots: dict = attrs.field(factory=lambda: dict.fromkeys(REGIONS, 10))

    def build_selector(self, now=0.0):
        return RegionSelector(
            cap=lambda service: self.cap,
            published=lambda service, home: self.weights,
            capacity=lambda service, name: Capacity(self.slots[name], self.slots[name]),
            regions=lambda: REGIONS,
            now=now,
        )


def get_weights(selector):
    return selector.dump().get("s@norte")


class ShiftMachine(RuleBasedStateMachine):
    """Check that the entries together move at most the cap in every window."""

    def __init__(self):
        super().__init__()
        self.harness = Harness()
        self.selectors = [self.harness.build_selector() for _ in range(ENTRIES)]
        self.now = 0.0
        self.history = []
        self.choose_everywhere()

    def choose_everywhere(self):
        for selector in self.selectors:
            selector.choose("s", "norte", self.now)
        self.history.append(
            (self.now, [get_weights(selector) for selector in self.selectors])
        )

    @rule(step=st.sampled_from([0.05, 0.2, 3.0, 14.9, 15.1, 30.0, 31.0]))
    def wait(self, step):
        self.now += step
        self.choose_everywhere()

    @rule(entry=st.integers(0, ENTRIES - 1))
    def choose_at_one(self, entry):
        self.selectors[entry].choose("s", "norte", self.now)

    @rule(home=st.floats(0, 1), other=st.floats(0, 1))
    def publish(self, home, other):
        away = (1 - home) * other
        self.harness.weights = {
            "norte": home,
            "occidente": away,
            "sureste": 1 - home - away,
        }

    @rule(region=st.sampled_from(REGIONS), slots=st.sampled_from([0, 10]))
    def set_slots(self, region, slots):
        self.harness.slots[region] = slots

    @rule()
    def lose_measurements(self):
        self.harness.weights = {}

    @invariant()
    def moves_at_most_the_cap(self):
        for at, weights in self.history:
            if at < self.now - self.harness.cap.interval:
                continue
            now = [get_weights(selector) for selector in self.selectors]
            pairs = zip(weights, now, strict=True)
            moved = sum(measure_distance(*pair) for pair in pairs) / ENTRIES
            assert moved <= self.harness.cap.fraction + 1e-6, (at, self.now, moved)


def test_no_window_moves_more_than_the_cap():
    # Guards against moves by which all entries together exceed the cap.
    steps = settings(
        derandomize=True,
        max_examples=150,
        stateful_step_count=40,
        deadline=None,
        database=None,
    )
    run_state_machine_as_test(ShiftMachine, settings=steps)


def test_drain_completes_at_the_rate_of_the_cap():
    # Guards against a selector that stays under the cap by not moving at all.
    harness = Harness()
    selector = harness.build_selector()
    selector.choose("s", "norte", 0.0)
    harness.weights = {"occidente": 1.0}
    shares = []
    for now in (31.0, 62.0, 341.0):
        for step in range(12):
            selector.choose("s", "norte", now + step * 0.2)
        shares.append(get_weights(selector).get("norte", 0.0))
    assert 0.85 < shares[0] < 0.91 and 0.75 < shares[1] < 0.81
    for interval in range(12):
        selector.choose("s", "norte", 400.0 + 31 * interval)
    assert get_weights(selector) == {"occidente": 1.0}


def test_requests_for_an_unreachable_region_are_refused_beyond_the_cap():
    # Guards against an unreachable region whose whole traffic moves to the others at
    # once.
    harness = Harness()
    selector = harness.build_selector()
    selector.choose("s", "norte", 0.0)
    harness.slots["norte"] = 0
    now, codes = 40.0, Counter()
    for _ in range(1000):
        now += 0.02
        result = selector.choose("s", "norte", now)
        if isinstance(result, Success):
            codes[result.unwrap()] += 1
            continue
        verdict = result.failure()
        assert verdict.is_not_run and verdict.status == 503
        assert 1.0 <= verdict.retry_after <= 30.0
        codes[verdict.code] += 1
    assert 890 <= codes["shift_cap_reached"] <= 910
    assert codes["norte"] == 0


def test_restarted_entry_keeps_published_weights_for_one_interval():
    # Guards against a restart that gives an entry the whole cap a second time.
    harness = Harness(weights={"norte": 0.5, "occidente": 0.5})
    selector = harness.build_selector(now=100.0)
    selector.choose("s", "norte", 100.0)
    harness.weights = {"occidente": 1.0}
    selector.choose("s", "norte", 129.0)
    assert get_weights(selector) == {"norte": 0.5, "occidente": 0.5}
    selector.choose("s", "norte", 131.0)
    assert abs(get_weights(selector)["norte"] - 0.4) < 1e-6


def test_start_without_published_weights_waits_for_home_targets():
    # Guards against traffic that leaves its home region because the targets there
    # announce themselves late.
    harness = Harness(weights={}, slots={"norte": 0, "occidente": 30, "sureste": 10})
    selector = harness.build_selector()
    assert selector.choose("s", "norte", 9.0) == Success("norte")
    chosen = Counter(selector.choose("s", "norte", 11.0).unwrap() for _ in range(400))
    assert chosen == {"occidente": 300, "sureste": 100}


def test_small_weights_are_never_rounded_up():
    # Guards against entries with little traffic that each send one request too many.
    harness = Harness(weights={"norte": 0.9, "occidente": 0.06, "sureste": 0.04})
    selector = harness.build_selector()
    chosen = Counter()
    for count in range(1, 2001):
        chosen[selector.choose("s", "norte", 0.0).unwrap()] += 1
        assert chosen["occidente"] <= 0.06 * count + 1e-6
        assert chosen["sureste"] <= 0.04 * count + 1e-6
    assert chosen["occidente"] >= 119 and chosen["sureste"] >= 79
