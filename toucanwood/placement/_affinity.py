"""Which targets handle an object, so that few of them have to learn it."""

import hashlib
import math
from collections import OrderedDict
from collections.abc import Collection, Mapping

import attrs

# Ranks beyond these are all alike: a request gets there only when the targets before
# are full.
RANKED_TARGETS = 4
MAX_CACHED_OBJECTS = 4096
# The chance that a target of each rank has the object warm because another entry has
# sent it there. The order of ranks is the same at all entries.
WARM_CHANCES = (0.85, 0.3, 0.1, 0.05)
# The chance where this entry has sent the object there itself, by the time since then:
# other objects replace it meanwhile.
KNOWN_CHANCES = ((1.5, 0.95), (4.0, 0.8), (math.inf, 0.5))
KNOWN_CHANCE = KNOWN_CHANCES[0][1]
OTHER_CHANCE = 0.03
# A target that has just appeared has nothing warm.
NEW_CHANCE = 0.3
NEW_TARGET_S = 4.0
# An object is asked for in one region mostly. Targets of that region are preferred by
# this weight; a region with few targets still places most of its objects elsewhere.
OWN_REGION_WEIGHT = 3.0


@attrs.define
class ObjectRanking:
    """Rank the targets for each object by weighted rendezvous hashing."""

    _weights: dict[str, float] = attrs.field(factory=dict)
    _ranks: "OrderedDict[tuple[str, frozenset[str]], dict[str, int]]" = attrs.field(
        factory=OrderedDict
    )

    def set_targets(self, weights: Mapping[str, float]) -> None:
        """Rank these targets from now on, each by its weight."""
        if dict(weights) != self._weights:
            self._weights = dict(weights)
            self._ranks.clear()

    def find_rank(
        self,
        object_key: str,
        target_id: str,
        allowed: Collection[str] | None = None,
    ) -> int | None:
        """Return the rank of a target among the allowed ones, 0 for the first."""
        return self._find_ranks(object_key, allowed).get(target_id)

    def list_ranked(
        self, object_key: str, allowed: Collection[str] | None = None
    ) -> list[str]:
        """Return the targets that an object goes to first, the first one first."""
        return list(self._find_ranks(object_key, allowed))

    def _find_ranks(
        self, object_key: str, allowed: Collection[str] | None
    ) -> dict[str, int]:
        key = (object_key, frozenset(allowed) if allowed is not None else frozenset())
        ranks = self._ranks.get(key)
        if ranks is None:
            weights = self._weights
            if allowed is not None:
                weights = {item: weights.get(item, 1.0) for item in allowed}
            ranks = _rank(object_key, weights)
            self._ranks[key] = ranks
            if len(self._ranks) > MAX_CACHED_OBJECTS:
                self._ranks.popitem(last=False)
        return ranks


def _rank(object_key: str, weights: Mapping[str, float]) -> dict[str, int]:
    ordered = sorted(
        weights, key=lambda target: _score(target, object_key, weights[target])
    )
    return {target: rank for rank, target in enumerate(ordered[:RANKED_TARGETS])}


def _score(target_id: str, object_key: str, weight: float) -> float:
    """Return an exponential variate; the lowest of several wins by its weight."""
    text = f"{target_id}|{object_key}".encode()
    digest = hashlib.blake2b(text, digest_size=8).digest()
    uniform = (int.from_bytes(digest, "big") + 1) / 2**64
    return -math.log(uniform) / weight


def find_known_chance(age_s: float) -> float:
    """Return the chance that a target still has what it got some time ago."""
    return next(chance for limit, chance in KNOWN_CHANCES if age_s <= limit)
