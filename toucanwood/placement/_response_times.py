"""How long each kind of request takes, for warm and for other objects."""

import attrs

# Assumed before the first response, as a part of the request's objective.
FIRST_OTHER_PART = 1.2
# A warm object takes about this part of the time until it is measured.
FIRST_WARM_PART = 0.4
# Step of the median towards each response, as a part of the median.
MEDIAN_STEP = 0.04
# A response counts for the warm or the other median only where the chance was this
# clear.
CLEAR_WARM = 0.9
CLEAR_OTHER = 0.1


@attrs.define
class ResponseTimes:
    """Hold the median times of one kind of request, in seconds.

    A mean would be moved by the few objects that are not warm although that was likely,
    and requests that are mostly in time would be turned away as late.
    """

    objective_s: float = 0.4
    warm_s: float | None = None
    other_s: float | None = None

    def estimate(self, warm_probability: float) -> float:
        """Return the expected time."""
        other = self.get_cold_median()
        return (
            warm_probability * self.get_warm_median() + (1.0 - warm_probability) * other
        )

    def get_warm_median(self) -> float:
        """Return the median time with a warm object."""
        if self.warm_s is not None:
            return self.warm_s
        return FIRST_WARM_PART * self.get_cold_median()

    def get_cold_median(self) -> float:
        """Return the median time with an object that is not warm."""
        if self.other_s is not None:
            return self.other_s
        if self.warm_s is not None:
            return self.warm_s / FIRST_WARM_PART
        return FIRST_OTHER_PART * self.objective_s

    def record(self, seconds: float, warm_probability: float) -> None:
        """Count one response."""
        if warm_probability >= CLEAR_WARM:
            self.warm_s = _move_median(self.warm_s, seconds)
        elif warm_probability <= CLEAR_OTHER:
            self.other_s = _move_median(self.other_s, seconds)


def _move_median(median: float | None, value: float) -> float:
    if median is None:
        return value
    step = min(MEDIAN_STEP * median, abs(value - median))
    return median + step if value > median else median - step
