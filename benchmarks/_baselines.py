"""Target selection algorithms that the steering benchmark compares."""

import math
import random

from toucanwood.dispatch import LeastUtilisedSelector


class RandomSelector:
    """Choose a target at random."""

    def __init__(self, seed):
        self.random = random.Random(seed)

    def select(self, targets, now):
        return self.random.choice(targets)


class RoundRobinSelector:
    """Choose the targets in turn, in the order of their ids."""

    def __init__(self, seed):
        self.last_id = ""

    def select(self, targets, now):
        ordered = sorted(targets, key=lambda target: target.id)
        later = [target for target in ordered if target.id > self.last_id]
        chosen = (later or ordered)[0]
        self.last_id = chosen.id
        return chosen


class LeastReportedLoadSelector(RandomSelector):
    """Choose the target that reported the smallest load."""

    def select(self, targets, now):
        lowest = min(target.announcement.load or 0.0 for target in targets)
        ties = [t for t in targets if (t.announcement.load or 0.0) == lowest]
        return self.random.choice(ties)


class TwoChoicesSelector(RandomSelector):
    """Choose the less utilised of two random targets (power of two choices)."""

    def select(self, targets, now):
        pair = self.random.sample(targets, min(2, len(targets)))
        return min(pair, key=lambda target: target.in_flight / target.slots)


class LeastOutstandingSelector(RandomSelector):
    """Choose the target with the fewest requests in flight."""

    def select(self, targets, now):
        lowest = min(target.in_flight for target in targets)
        return self.random.choice([t for t in targets if t.in_flight == lowest])


class EndedRatioSelector(RandomSelector):
    """Choose the target with the largest ratio of ended to submitted requests.

    The ratio is taken from Meyer et al., "An Opportunistic Algorithm for Scheduling
    Workflows on Grids".
    """

    def select(self, targets, now):
        def ratio(target):
            return target.ended / target.started if target.started else math.inf

        best = max(ratio(target) for target in targets)
        return self.random.choice([t for t in targets if ratio(t) == best])


class DefaultSelector(LeastUtilisedSelector):
    """The selector of the product, with the constructor of the other selectors."""

    def __init__(self, seed):
        super().__init__()


SELECTORS = {
    "default": DefaultSelector,
    "random": RandomSelector,
    "round-robin": RoundRobinSelector,
    "least-load": LeastReportedLoadSelector,
    "two-choices": TwoChoicesSelector,
    "least-outstanding": LeastOutstandingSelector,
    "ended-ratio": EndedRatioSelector,
}
