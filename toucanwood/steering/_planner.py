"""Desired and published weights at the leader."""

from collections.abc import Collection, Mapping
from typing import Any

import attrs

from toucanwood.steering._shift import (
    ROUNDING,
    Cap,
    ShiftLimiter,
    Weights,
    measure_distance,
    normalise,
)

# A region takes traffic from other homes up to 90% of its slots, or up to the fleet's
# mean use if that is higher. Traffic leaves its home above that level and a margin. It
# returns when the home region would use 10% less.
SPILL_LEVEL = 0.9
HYSTERESIS = 0.1
# A region's measured demand varies by about 2% around its mean at 30 slots. Without a
# margin, half of the measurements would send traffic away from balanced regions.
SPILL_MARGIN = 0.02
# Older measurements no longer change the desired weights.
MAX_MEASUREMENT_AGE_S = 10.0
# Time in s for targets to announce before the first weights of a home are published.
START_GRACE_S = 10.0
# Smaller steps wait, because every published step is a record in the replicated log.
MIN_STEP = 0.01


@attrs.frozen(kw_only=True)
class Measurement:
    """Give slots by region and demand in slots by home region for one service.

    Only healthy targets in data centres that are not drained count as slots.
    """

    slots: Mapping[str, float]
    demand: Mapping[str, float]
    measured_at: float


@attrs.frozen(kw_only=True)
class ServiceRules:
    """Give what the operators declared for one service."""

    cap: Cap
    fixed_weights: Mapping[str, float] = attrs.field(factory=dict)


@attrs.define
class HomeState:
    """Hold what is published for one service and home region."""

    limiter: ShiftLimiter
    published: dict[str, float]
    desired: dict[str, float]


class RegionPlanner:
    """Compute desired weights and the steps towards them.

    A new leader starts from the published weights and moves nothing for one interval.
    """

    def __init__(self, *, now: float) -> None:
        self._started_at = now
        self._states: dict[tuple[str, str], HomeState] = {}
        self._measurements: dict[str, Measurement] = {}

    def plan(
        self,
        service: str,
        rules: ServiceRules,
        measurement: Measurement,
        *,
        drained: Collection[str],
        published: Mapping[str, Weights],
        now: float,
    ) -> dict[str, dict[str, float]]:
        """Return the weights to publish now, by home region; empty if there are none.

        `published` has the weights in force by home region.
        """
        known = self._select_measurement(service, measurement, now)
        if known is None:
            return {}
        current = {
            home: self._find_current(service, home, published) for home in known.demand
        }
        desired = compute_desired(known, drained, current, rules.fixed_weights)
        steps = {}
        for home, weights in desired.items():
            step = self._step(
                service, home, weights, published.get(home, {}), rules, now
            )
            if step:
                steps[home] = step
        return steps

    def dump(self) -> dict[str, Any]:
        """Return the published and the desired weights."""
        return {
            f"{service}@{home}": {
                "published": state.published,
                "desired": state.desired,
            }
            for (service, home), state in self._states.items()
        }

    def _select_measurement(
        self, service: str, measurement: Measurement, now: float
    ) -> Measurement | None:
        is_fresh = now < measurement.measured_at + MAX_MEASUREMENT_AGE_S
        if is_fresh and sum(measurement.slots.values()) > 0:
            self._measurements[service] = measurement
        return self._measurements.get(service)

    def _find_current(
        self, service: str, home: str, published: Mapping[str, Weights]
    ) -> Weights:
        state = self._states.get((service, home))
        return state.limiter.weights if state else published.get(home, {})

    def _step(
        self,
        service: str,
        home: str,
        desired: dict[str, float],
        published: Weights,
        rules: ServiceRules,
        now: float,
    ) -> dict[str, float]:
        state = self._states.get((service, home))
        if state is None:
            return self._start(service, home, desired, published, now)
        state.desired = desired
        state.limiter.move(desired, rules.cap, now)
        weights = dict(state.limiter.weights)
        is_reached = measure_distance(weights, desired) < MIN_STEP
        distance = measure_distance(weights, state.published)
        if distance < MIN_STEP and not (is_reached and distance > 0):
            return {}
        state.published = weights
        return weights

    def _start(
        self,
        service: str,
        home: str,
        desired: dict[str, float],
        published: Weights,
        now: float,
    ) -> dict[str, float]:
        serves_home = self._measurements[service].slots.get(home, 0.0) > 0
        placed = {home: 1.0} if serves_home else desired
        is_resumed = bool(published)
        if not is_resumed and now < self._started_at + START_GRACE_S:
            return {}
        # Entries have sent all traffic home so far, so that other weights are a shift.
        first = normalise(published) if is_resumed else placed
        limiter = ShiftLimiter(first, is_resumed=is_resumed, now=now)
        self._states[service, home] = HomeState(limiter, dict(first), desired)
        return {} if is_resumed else dict(first)


def compute_desired(
    measurement: Measurement,
    drained: Collection[str],
    current: Mapping[str, Weights],
    fixed_weights: Weights,
) -> dict[str, dict[str, float]]:
    """Return the weights that serve the demand without overloading a region."""
    slots = {
        region: 0.0 if region in drained else float(count)
        for region, count in measurement.slots.items()
    }
    demand = dict(measurement.demand)
    level = find_spill_level(slots, demand)
    margin = find_margin(slots, demand)
    spill = _spread(slots, demand, fixed_weights, level, margin)
    back_level = level - find_hysteresis(slots, demand)
    back = _spread(slots, demand, fixed_weights, back_level, margin)
    chosen = {
        home: _apply_hysteresis(home, current.get(home, {}), spill[home], back[home])
        for home in demand
    }
    if fixed_weights:
        return chosen
    return spill if _overloads(chosen, slots, demand, level) else chosen


def find_spill_level(slots: Mapping[str, float], demand: Mapping[str, float]) -> float:
    """Return the share of its slots that a region may use before traffic leaves it.

    Above 90% in the whole fleet all regions are used evenly.
    """
    return min(max(SPILL_LEVEL, _find_use(slots, demand)), 1.0)


def find_margin(slots: Mapping[str, float], demand: Mapping[str, float]) -> float:
    """Return how far above the spill level traffic leaves its home.

    Up to 88% fleet use the level itself is above the mean and needs no margin.
    """
    level = find_spill_level(slots, demand)
    leave = min(max(SPILL_LEVEL, _find_use(slots, demand) + SPILL_MARGIN), 1.0)
    return leave - level


def find_hysteresis(slots: Mapping[str, float], demand: Mapping[str, float]) -> float:
    """Return how far below the spill level traffic returns, as a share of the slots.

    A request away from home holds a slot for the round trips between regions as well.
    The hysteresis ends at 90% fleet use, where these slots are missing elsewhere.
    """
    return min(max(SPILL_LEVEL - _find_use(slots, demand), 0.0), HYSTERESIS)


def _find_use(slots: Mapping[str, float], demand: Mapping[str, float]) -> float:
    total = sum(slots.values())
    return sum(demand.values()) / total if total > 0 else 1.0


def _overloads(
    planned: Mapping[str, Weights],
    slots: Mapping[str, float],
    demand: Mapping[str, float],
    level: float,
) -> bool:
    """Return whether traffic from other homes takes more than a region has to spare."""
    for region, count in slots.items():
        usable = count * level
        local = min(demand.get(region, 0.0), usable)
        moved_in = sum(
            demand[home] * weights.get(region, 0.0)
            for home, weights in planned.items()
            if home != region
        )
        if moved_in + local > usable + ROUNDING:
            return True
    return False


def _apply_hysteresis(
    home: str,
    current: Weights,
    spill: dict[str, float],
    back: dict[str, float],
) -> dict[str, float]:
    if not current:
        return spill
    at_home = current.get(home, 0.0)
    if back.get(home, 0.0) <= at_home <= spill.get(home, 0.0):
        return dict(current)
    return back if at_home < back.get(home, 0.0) else spill


def _spread(
    slots: Mapping[str, float],
    demand: Mapping[str, float],
    fixed_weights: Weights,
    level: float,
    margin: float,
) -> dict[str, dict[str, float]]:
    usable = {region: count * level for region, count in slots.items()}
    if fixed_weights:
        return _spread_fixed(usable, demand, fixed_weights)
    local = {
        home: min(amount, usable.get(home, 0.0)) for home, amount in demand.items()
    }
    spare = {
        region: amount - local.get(region, 0.0) for region, amount in usable.items()
    }
    overflow = {
        home: max(amount - slots.get(home, 0.0) * (level + margin), 0.0)
        for home, amount in demand.items()
    }
    moved = _scale(sum(overflow.values()), sum(spare.values()))
    parts = normalise(spare)
    return {
        home: _weigh(home, demand[home], overflow[home] * moved, parts, usable)
        for home in demand
    }


def _spread_fixed(
    usable: Mapping[str, float], demand: Mapping[str, float], fixed_weights: Weights
) -> dict[str, dict[str, float]]:
    healthy = normalise(
        {
            region: weight
            for region, weight in fixed_weights.items()
            if usable.get(region, 0.0) > 0
        }
    )
    return {home: dict(healthy or {home: 1.0}) for home in demand}


def _scale(overflow: float, spare: float) -> float:
    """Return the share of the overflow that the spare slots can take."""
    return min(1.0, spare / overflow) if overflow > 0 else 1.0


def _weigh(
    home: str,
    demand: float,
    moved: float,
    parts: Weights,
    usable: Mapping[str, float],
) -> dict[str, float]:
    if demand <= 0:
        is_served = usable.get(home, 0.0) > 0 or not parts
        return {home: 1.0} if is_served else dict(parts)
    weights = {region: moved * part / demand for region, part in parts.items()}
    # What no region has room for stays at home and is refused or queued there.
    weights[home] = weights.get(home, 0.0) + 1.0 - moved / demand
    return normalise(weights)
