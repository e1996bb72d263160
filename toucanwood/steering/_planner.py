"""Planning of region weights at the leader."""

from collections.abc import Collection, Mapping
from typing import Any

import attrs

from toucanwood.steering._shift import (
    ROUNDING_TOLERANCE,
    Cap,
    ShiftLimiter,
    Weights,
    measure_distance,
    normalise,
)

# Utilisation up to which a region takes traffic from other home regions. If the mean
# utilisation of the fleet is higher, the mean applies instead, but at most 1.
SPILLOVER_LEVEL = 0.9
# Difference below the spillover level, as a fraction of the slots, at which traffic
# returns to its home region.
HYSTERESIS = 0.1
# Margin above the mean utilisation of the fleet. Traffic leaves its home region above a
# utilisation of max(SPILLOVER_LEVEL, mean + SPILLOVER_MARGIN), but at most 1.
# The measured demand of a region with 30 slots varies by about 2% around its mean.
# Without a margin, half of the measurements would move traffic out of balanced regions.
SPILLOVER_MARGIN = 0.02
# Age from which on a measurement no longer changes the desired weights.
MAX_MEASUREMENT_AGE_S = 10.0
# Time for targets to announce themselves, before the first weights of a home region
# are published.
START_GRACE_S = 10.0
# Smallest fraction of traffic for which new weights are published, because each
# publication adds a record to the replicated log. The last step may be smaller.
MIN_STEP = 0.01


@attrs.frozen(kw_only=True)
class Measurement:
    """Slots by region and demand in slots by home region, for one service.

    Only slots of healthy targets in data centres that are not drained count.
    """

    slots: Mapping[str, float]
    demand: Mapping[str, float]
    measured_at: float


@attrs.frozen(kw_only=True)
class ServiceRules:
    """Shift cap and fixed weights that the operators declared for one service."""

    cap: Cap
    fixed_weights: Mapping[str, float] = attrs.field(factory=dict)


@attrs.define
class HomeState:
    """Published and desired weights of one service and home region."""

    limiter: ShiftLimiter
    published: dict[str, float]
    desired: dict[str, float]


class RegionPlanner:
    """Compute the desired weights and move the published weights towards them.

    A new leader starts from the published weights and moves nothing for one interval of
    the cap.
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
        """Return the weights to publish now, by home region.

        `published` contains the weights that apply at present, by home region.
        """
        selected = self._select_measurement(service, measurement, now)
        if selected is None:
            return {}
        current = {
            home: self._get_current_weights(service, home, published)
            for home in selected.demand
        }
        desired = compute_desired(selected, drained, current, rules.fixed_weights)
        steps = {}
        for home, weights in desired.items():
            step = self._compute_step(
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

    def _get_current_weights(
        self, service: str, home: str, published: Mapping[str, Weights]
    ) -> Weights:
        state = self._states.get((service, home))
        return state.limiter.weights if state else published.get(home, {})

    def _compute_step(
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
            return self._start_home(service, home, desired, published, now)
        state.desired = desired
        state.limiter.move(desired, rules.cap, now)
        weights = dict(state.limiter.weights)
        reaches_desired = measure_distance(weights, desired) < MIN_STEP
        distance = measure_distance(weights, state.published)
        if distance < MIN_STEP and not (reaches_desired and distance > 0):
            return {}
        state.published = weights
        return weights

    def _start_home(
        self,
        service: str,
        home: str,
        desired: dict[str, float],
        published: Weights,
        now: float,
    ) -> dict[str, float]:
        serves_home = self._measurements[service].slots.get(home, 0.0) > 0
        default_weights = {home: 1.0} if serves_home else desired
        is_resumed = bool(published)
        if not is_resumed and now < self._started_at + START_GRACE_S:
            return {}
        # Entries send all traffic to its home region until weights are published, so
        # any other weights are a shift.
        initial = normalise(published) if is_resumed else default_weights
        limiter = ShiftLimiter(initial, is_resumed=is_resumed, now=now)
        self._states[service, home] = HomeState(limiter, dict(initial), desired)
        return {} if is_resumed else dict(initial)


def compute_desired(
    measurement: Measurement,
    drained: Collection[str],
    current: Mapping[str, Weights],
    fixed_weights: Weights,
) -> dict[str, dict[str, float]]:
    """Return the desired weights by home region.

    Unless the weights are fixed, moved traffic overloads no region.
    """
    slots = {
        region: 0.0 if region in drained else float(count)
        for region, count in measurement.slots.items()
    }
    demand = dict(measurement.demand)
    level = compute_spillover_level(slots, demand)
    margin = compute_spillover_margin(slots, demand)
    spillover = _distribute_demand(slots, demand, fixed_weights, level, margin)
    return_level = level - compute_hysteresis(slots, demand)
    returning = _distribute_demand(slots, demand, fixed_weights, return_level, margin)
    chosen = {
        home: _apply_hysteresis(
            home, current.get(home, {}), spillover[home], returning[home]
        )
        for home in demand
    }
    if fixed_weights:
        return chosen
    return spillover if _exceeds_capacity(chosen, slots, demand, level) else chosen


def compute_spillover_level(
    slots: Mapping[str, float], demand: Mapping[str, float]
) -> float:
    """Return the utilisation up to which a region takes traffic of other home regions.

    Above a utilisation of 90% in the whole fleet, all regions are used evenly.
    """
    return min(max(SPILLOVER_LEVEL, _compute_utilisation(slots, demand)), 1.0)


def compute_spillover_margin(
    slots: Mapping[str, float], demand: Mapping[str, float]
) -> float:
    """Return how far above the spillover level traffic leaves its home region.

    Up to a utilisation of 88% in the whole fleet, the level itself is far enough above
    the mean and needs no margin.
    """
    level = compute_spillover_level(slots, demand)
    leave_level = min(
        max(SPILLOVER_LEVEL, _compute_utilisation(slots, demand) + SPILLOVER_MARGIN),
        1.0,
    )
    return leave_level - level


def compute_hysteresis(
    slots: Mapping[str, float], demand: Mapping[str, float]
) -> float:
    """Return how far below the spillover level traffic returns to its home region.

    Hysteresis keeps requests outside their home region for longer, where each also
    holds a slot during the round trips between regions. If the utilisation of the
    whole fleet is 90% or more, other requests need these slots, and the result is 0.
    """
    return min(
        max(SPILLOVER_LEVEL - _compute_utilisation(slots, demand), 0.0), HYSTERESIS
    )


def _compute_utilisation(
    slots: Mapping[str, float], demand: Mapping[str, float]
) -> float:
    total = sum(slots.values())
    return sum(demand.values()) / total if total > 0 else 1.0


def _exceeds_capacity(
    planned: Mapping[str, Weights],
    slots: Mapping[str, float],
    demand: Mapping[str, float],
    level: float,
) -> bool:
    """Return whether traffic of other home regions exceeds the spare slots anywhere."""
    for region, count in slots.items():
        usable_slots = count * level
        local_demand = min(demand.get(region, 0.0), usable_slots)
        moved_in = sum(
            demand[home] * weights.get(region, 0.0)
            for home, weights in planned.items()
            if home != region
        )
        if moved_in + local_demand > usable_slots + ROUNDING_TOLERANCE:
            return True
    return False


def _apply_hysteresis(
    home: str,
    current: Weights,
    spillover: dict[str, float],
    returning: dict[str, float],
) -> dict[str, float]:
    if not current:
        return spillover
    home_weight = current.get(home, 0.0)
    if returning.get(home, 0.0) <= home_weight <= spillover.get(home, 0.0):
        return dict(current)
    return returning if home_weight < returning.get(home, 0.0) else spillover


def _distribute_demand(
    slots: Mapping[str, float],
    demand: Mapping[str, float],
    fixed_weights: Weights,
    level: float,
    margin: float,
) -> dict[str, dict[str, float]]:
    usable_slots = {region: count * level for region, count in slots.items()}
    if fixed_weights:
        return _distribute_by_fixed_weights(usable_slots, demand, fixed_weights)
    local_demand = {
        home: min(amount, usable_slots.get(home, 0.0))
        for home, amount in demand.items()
    }
    spare = {
        region: amount - local_demand.get(region, 0.0)
        for region, amount in usable_slots.items()
    }
    overflow = {
        home: max(amount - slots.get(home, 0.0) * (level + margin), 0.0)
        for home, amount in demand.items()
    }
    movable = _compute_movable_fraction(sum(overflow.values()), sum(spare.values()))
    fractions = normalise(spare)
    return {
        home: _compute_home_weights(
            home, demand[home], overflow[home] * movable, fractions, usable_slots
        )
        for home in demand
    }


def _distribute_by_fixed_weights(
    usable_slots: Mapping[str, float],
    demand: Mapping[str, float],
    fixed_weights: Weights,
) -> dict[str, dict[str, float]]:
    healthy = normalise(
        {
            region: weight
            for region, weight in fixed_weights.items()
            if usable_slots.get(region, 0.0) > 0
        }
    )
    return {home: dict(healthy or {home: 1.0}) for home in demand}


def _compute_movable_fraction(overflow: float, spare: float) -> float:
    """Return the fraction of the overflow that fits into the spare slots."""
    return min(1.0, spare / overflow) if overflow > 0 else 1.0


def _compute_home_weights(
    home: str,
    demand: float,
    moved: float,
    fractions: Weights,
    usable_slots: Mapping[str, float],
) -> dict[str, float]:
    if demand <= 0:
        is_served = usable_slots.get(home, 0.0) > 0 or not fractions
        return {home: 1.0} if is_served else dict(fractions)
    weights = {
        region: moved * fraction / demand for region, fraction in fractions.items()
    }
    # Demand that fits into no region stays in its home region, where requests are
    # queued or refused.
    weights[home] = weights.get(home, 0.0) + 1.0 - moved / demand
    return normalise(weights)
