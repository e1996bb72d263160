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
MEDIAN_STEP_FRACTION = 0.04
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
    warm_median_s: float | None = None
    cold_median_s: float | None = None

    def estimate(self, warm_probability: float) -> float:
        """Return the expected response time for a probability of a warm object."""
        cold = self.get_cold_median()
        return (
            warm_probability * self.get_warm_median() + (1.0 - warm_probability) * cold
        )

    def get_warm_median(self) -> float:
        """Return the median response time for a warm object."""
        if self.warm_median_s is not None:
            return self.warm_median_s
        return INITIAL_WARM_FACTOR * self.get_cold_median()

    def get_cold_median(self) -> float:
        """Return the median response time for a cold object."""
        if self.cold_median_s is not None:
            return self.cold_median_s
        if self.warm_median_s is not None:
            return self.warm_median_s / INITIAL_WARM_FACTOR
        return INITIAL_COLD_FACTOR * self.objective_s

    def record(self, seconds: float, warm_probability: float) -> None:
        """Update the medians by one response time."""
        if warm_probability >= WARM_THRESHOLD:
            self.warm_median_s = _move_median(self.warm_median_s, seconds)
        elif warm_probability <= COLD_THRESHOLD:
            self.cold_median_s = _move_median(self.cold_median_s, seconds)


def _move_median(median: float | None, value: float) -> float:
    if median is None:
        return value
    step = min(MEDIAN_STEP_FRACTION * median, abs(value - median))
    return median + step if value > median else median - step
