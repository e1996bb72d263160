"""How long each kind of request takes, for warm and for other objects."""

import attrs

# Assumed before the first response, as a part of the request's objective.
FIRST_OTHER_PART = 1.2
# A warm object takes about this part of the time until it is measured.
FIRST_WARM_PART = 0.4
TIME_WEIGHT = 0.05
# A response counts for the warm or the other mean only where the chance was this clear.
CLEAR_WARM = 0.9
CLEAR_OTHER = 0.1


@attrs.define
class KindTimes:
    """Hold the mean times of one kind of request, in seconds."""

    objective_s: float = 0.4
    warm_s: float | None = None
    other_s: float | None = None

    def estimate(self, warm_chance: float) -> float:
        """Return the expected time."""
        other = self.get_other()
        return warm_chance * self.get_warm() + (1.0 - warm_chance) * other

    def get_warm(self) -> float:
        """Return the mean time with a warm object."""
        if self.warm_s is not None:
            return self.warm_s
        return FIRST_WARM_PART * self.get_other()

    def get_other(self) -> float:
        """Return the mean time with an object that is not warm."""
        if self.other_s is not None:
            return self.other_s
        if self.warm_s is not None:
            return self.warm_s / FIRST_WARM_PART
        return FIRST_OTHER_PART * self.objective_s

    def record(self, seconds: float, warm_chance: float) -> None:
        """Count one response."""
        if warm_chance >= CLEAR_WARM:
            self.warm_s = _blend(self.warm_s, seconds)
        elif warm_chance <= CLEAR_OTHER:
            self.other_s = _blend(self.other_s, seconds)


def _blend(mean: float | None, value: float) -> float:
    return value if mean is None else mean + TIME_WEIGHT * (value - mean)
