"""Which targets handle an object, so that few of them have to learn it."""

import hashlib
from collections import OrderedDict
from collections.abc import Collection, Iterable

import attrs

# Ranks beyond these are all alike: a request gets there only when the targets before
# are full.
RANKED_TARGETS = 4
MAX_CACHED_OBJECTS = 4096
# The chance that a target of each rank has the object warm because another entry has
# sent it there. The order of ranks is the same at all entries.
WARM_CHANCES = (0.85, 0.5, 0.25, 0.1)
KNOWN_CHANCE = 0.95
OTHER_CHANCE = 0.03
# A target that has just appeared has nothing warm.
NEW_CHANCE = 0.3
NEW_TARGET_S = 4.0


@attrs.define
class ObjectRanks:
    """Rank the targets for each object by rendezvous hashing."""

    _targets: tuple[str, ...] = ()
    _ranks: "OrderedDict[tuple[str, frozenset[str]], dict[str, int]]" = attrs.field(
        factory=OrderedDict
    )

    def set_targets(self, targets: Iterable[str]) -> None:
        """Rank these targets from now on."""
        ordered = tuple(sorted(targets))
        if ordered != self._targets:
            self._targets = ordered
            self._ranks.clear()

    def find_rank(
        self,
        object_key: str,
        target_id: str,
        allowed: Collection[str] | None = None,
    ) -> int | None:
        """Return the rank of a target among the allowed ones, 0 for the first."""
        key = (object_key, frozenset(allowed) if allowed is not None else frozenset())
        ranks = self._ranks.get(key)
        if ranks is None:
            targets = self._targets if allowed is None else sorted(allowed)
            ranks = _rank(object_key, targets)
            self._ranks[key] = ranks
            if len(self._ranks) > MAX_CACHED_OBJECTS:
                self._ranks.popitem(last=False)
        return ranks.get(target_id)


def _rank(object_key: str, targets: Iterable[str]) -> dict[str, int]:
    ordered = sorted(targets, key=lambda target: _score(target, object_key))
    return {target: rank for rank, target in enumerate(ordered[:RANKED_TARGETS])}


def _score(target_id: str, object_key: str) -> bytes:
    text = f"{target_id}|{object_key}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
