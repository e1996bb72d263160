"""Target selection algorithms that are compared with the default."""

import math
import random

from toucanwood.dispatch import LeastUtilisedSelector


class RandomChoice:
    """Choose a target at random."""

    def __init__(self, seed):
        self.random = random.Random(seed)

    def select(self, targets, now):
        return self.random.choice(targets)


class RoundRobin:
    """Choose the targets in turn."""

    def __init__(self, seed):
        self.last = ""

    def select(self, targets, now):
        ordered = sorted(targets, key=lambda target: target.id)
        later = [target for target in ordered if target.id > self.last]
        chosen = (later or ordered)[0]
        self.last = chosen.id
        return chosen


class LeastReportedLoad(RandomChoice):
    """Choose the target that reported the smallest load."""

    def select(self, targets, now):
        lowest = min(target.announcement.load or 0.0 for target in targets)
        ties = [t for t in targets if (t.announcement.load or 0.0) == lowest]
        return self.random.choice(ties)


class TwoChoices(RandomChoice):
    """Choose the less busy of two random targets."""

    def select(self, targets, now):
        pair = self.random.sample(targets, min(2, len(targets)))
        return min(pair, key=lambda target: target.in_flight / target.slots)


class LeastOutstanding(RandomChoice):
    """Choose the target with the fewest requests in flight."""

    def select(self, targets, now):
        lowest = min(target.in_flight for target in targets)
        return self.random.choice([t for t in targets if t.in_flight == lowest])


class EndedRatio(RandomChoice):
    """Choose the target with the largest ratio of ended to submitted requests.

    The ratio is the one of Meyer et al., "An Opportunistic Algorithm for Scheduling
    Workflows on Grids".
    """

    def select(self, targets, now):
        def ratio(target):
            return target.ended / target.started if target.started else math.inf

        best = max(ratio(target) for target in targets)
        return self.random.choice([t for t in targets if ratio(t) == best])


class DefaultChoice(LeastUtilisedSelector):
    """Adapt the default to the constructor of the baselines."""

    def __init__(self, seed):
        super().__init__()


SELECTORS = {
    "default": DefaultChoice,
    "random": RandomChoice,
    "round-robin": RoundRobin,
    "least-load": LeastReportedLoad,
    "two-choices": TwoChoices,
    "least-outstanding": LeastOutstanding,
    "ended-ratio": EndedRatio,
}
