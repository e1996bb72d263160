"""Response times of each kind of request, for warm and for cold objects.

An object is cold at a target where it is not warm.
"""

import attrs

# Assumed median for a cold object before the first response, as a multiple of the
# latency objective of the request.
INITIAL_COLD_FACTOR = 1.2
# Assumed ratio of the median for a warm object to the median for a cold one, until both
# have been measured.
INITIAL_WARM_FACTOR = 0.4
# Maximum step of the median towards each response time, as a fraction of the median.
# The first steps are larger, down to this value. The first response alone must not set
# the median: after a start of all instances, it comes from a target with a long queue.
MEDIAN_STEP_FRACTION = 0.04
FIRST_STEP_FRACTION = 0.3
# Minimum probability of a warm object at which a response time updates the median for
# warm objects, and maximum at which it updates the median for cold objects. With a
# probability in between, it updates neither.
WARM_THRESHOLD = 0.9
COLD_THRESHOLD = 0.1


@attrs.define
class ResponseTimes:
    """Median response times of one kind of request, in seconds.

    A mean would be distorted by the few objects that were likely to be warm but were
    cold. Requests that are mostly in time would then be refused as late.
    """

    objective_s: float = 0.4
    _warm: "_MovingMedian" = attrs.field(init=False)
    _cold: "_MovingMedian" = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        cold_s = INITIAL_COLD_FACTOR * self.objective_s
        self._cold = _MovingMedian(cold_s)
        self._warm = _MovingMedian(INITIAL_WARM_FACTOR * cold_s)

    def estimate(self, warm_probability: float) -> float:
        """Return the expected response time for a probability of a warm object."""
        cold = self.get_cold_median()
        return (
            warm_probability * self.get_warm_median() + (1.0 - warm_probability) * cold
        )

    def get_warm_median(self) -> float:
        """Return the median response time for a warm object."""
        if not self._warm.count and self._cold.count:
            return INITIAL_WARM_FACTOR * self._cold.value
        return self._warm.value

    def get_cold_median(self) -> float:
        """Return the median response time for a cold object."""
        if not self._cold.count and self._warm.count:
            return self._warm.value / INITIAL_WARM_FACTOR
        return self._cold.value

    def record(self, seconds: float, warm_probability: float) -> None:
        """Update the medians by one response time."""
        if warm_probability >= WARM_THRESHOLD:
            self._warm.record(seconds)
        elif warm_probability <= COLD_THRESHOLD:
            self._cold.record(seconds)


@attrs.define
class _MovingMedian:
    """Follow the median of values by steps, from an assumed first value."""

    value: float
    count: int = 0

    def record(self, value: float) -> None:
        """Move the median towards a value by at most one step."""
        self.count += 1
        fraction = max(FIRST_STEP_FRACTION / self.count, MEDIAN_STEP_FRACTION)
        step = min(fraction * self.value, abs(value - self.value))
        self.value += step if value > self.value else -step
