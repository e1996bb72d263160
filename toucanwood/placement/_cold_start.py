"""The rate of requests to a target that has just started."""

import hashlib
from collections.abc import Collection

import attrs

# A cold target gets requests from this many entries only: each may send one request
# at once, so with all entries of a large fleet the sum would exceed the limit.
MAX_SENDERS = 4


def rank_senders(target_id: str, entries: Collection[str]) -> list[str]:
    """Return the entries that may send to a cold target (rendezvous hashing)."""
    ranked = sorted(entries, key=lambda entry: _hash(target_id, entry))
    return ranked[:MAX_SENDERS]


def _hash(target_id: str, entry: str) -> bytes:
    return hashlib.blake2b(f"{target_id}|{entry}".encode(), digest_size=8).digest()


@attrs.define
class ColdStartLimiter:
    """Space the requests of one entry to one cold target evenly."""

    rate: float
    _next_at: float = 0.0

    def may_send(self, now: float) -> bool:
        """Return whether a request may be sent now."""
        return now >= self._next_at

    def consume(self, now: float) -> None:
        """Count a request."""
        self._next_at = now + 1.0 / self.rate
