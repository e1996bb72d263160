"""Object affinity: which targets get the requests for an object.

An object is warm at a target that has handled it recently and still holds it. Requests
for one object go to few targets, so that few targets have to load it.
"""

import hashlib
import math
from collections import OrderedDict
from collections.abc import Collection, Mapping

import attrs

# Number of targets that are ranked for each object. The others are equivalent: a
# request goes to one of them only when the ranked targets are full.
RANKED_TARGETS = 4
MAX_CACHED_RANKINGS = 4096
# Probability, by the rank of a target, that an object is warm there because another
# entry has sent it. All entries rank the targets in the same order.
WARM_PROBABILITIES = (0.85, 0.3, 0.1, 0.05)
# Probability that an object is still warm at a target to which this entry has sent it,
# as pairs of the maximum age in seconds and the probability. With time, other objects
# replace it.
WARM_PROBABILITIES_BY_AGE = ((1.5, 0.95), (4.0, 0.8), (math.inf, 0.5))
RECENT_OBJECT_PROBABILITY = WARM_PROBABILITIES_BY_AGE[0][1]
# Probability that an object is warm at an unranked target to which this entry has not
# sent it.
DEFAULT_WARM_PROBABILITY = 0.03
# Factor on WARM_PROBABILITIES for a target that appeared less than NEW_TARGET_S ago: no
# object is warm at a target that has just appeared.
NEW_TARGET_FACTOR = 0.3
NEW_TARGET_S = 4.0


@attrs.define
class ObjectRanking:
    """Rank the targets for each object by weighted rendezvous hashing."""

    _weights: dict[str, float] = attrs.field(factory=dict)
    _cached_ranks: "OrderedDict[tuple[str, frozenset[str]], dict[str, int]]" = (
        attrs.field(factory=OrderedDict)
    )

    def set_targets(self, weights: Mapping[str, float]) -> None:
        """Replace the targets and their weights; drop cached rankings on a change."""
        if dict(weights) != self._weights:
            self._weights = dict(weights)
            self._cached_ranks.clear()

    def find_rank(
        self,
        object_key: str,
        target_id: str,
        allowed: Collection[str] | None = None,
    ) -> int | None:
        """Return the rank of a target, 0 for the first, or None if it is unranked.

        Only the targets in `allowed` are ranked; None allows all.
        """
        return self._find_ranks(object_key, allowed).get(target_id)

    def list_ranked_targets(
        self, object_key: str, allowed: Collection[str] | None = None
    ) -> list[str]:
        """Return the ranked targets of an object in order of rank."""
        return list(self._find_ranks(object_key, allowed))

    def _find_ranks(
        self, object_key: str, allowed: Collection[str] | None
    ) -> dict[str, int]:
        key = (object_key, frozenset(allowed) if allowed is not None else frozenset())
        ranks = self._cached_ranks.get(key)
        if ranks is None:
            weights = self._weights
            if allowed is not None:
                weights = {item: weights.get(item, 1.0) for item in allowed}
            ranks = _rank_targets(object_key, weights)
            self._cached_ranks[key] = ranks
            if len(self._cached_ranks) > MAX_CACHED_RANKINGS:
                self._cached_ranks.popitem(last=False)
        return ranks


def _rank_targets(object_key: str, weights: Mapping[str, float]) -> dict[str, int]:
    ordered = sorted(
        weights, key=lambda target: _compute_score(target, object_key, weights[target])
    )
    return {target: rank for rank, target in enumerate(ordered[:RANKED_TARGETS])}


def _compute_score(target_id: str, object_key: str, weight: float) -> float:
    """Return an exponential variate whose rate is the weight.

    The target with the lowest score ranks first, so its probability to rank first is
    proportional to its weight.
    """
    seed = f"{target_id}|{object_key}".encode()
    digest = hashlib.blake2b(seed, digest_size=8).digest()
    uniform = (int.from_bytes(digest, "big") + 1) / 2**64
    return -math.log(uniform) / weight


def get_warm_probability(age_s: float) -> float:
    """Return the probability that an object is still warm at a target.

    `age_s` is the time since this entry sent the object to the target.
    """
    return next(
        probability
        for max_age_s, probability in WARM_PROBABILITIES_BY_AGE
        if age_s <= max_age_s
    )
