"""The rate limit of requests to a cold target, which has just started."""

import hashlib
from collections.abc import Collection

import attrs

# Maximum number of entries that send requests to one cold target. Each of these entries
# may send one request at once, so with all entries of a large fleet the sum would
# exceed the rate limit of the target.
MAX_SENDERS = 4


def choose_senders(target_id: str, entries: Collection[str]) -> list[str]:
    """Choose the entries that may send to a cold target, by rendezvous hashing."""
    ranked = sorted(entries, key=lambda entry: _hash(target_id, entry))
    return ranked[:MAX_SENDERS]


def _hash(target_id: str, entry: str) -> bytes:
    return hashlib.blake2b(f"{target_id}|{entry}".encode(), digest_size=8).digest()


@attrs.define
class ColdStartLimiter:
    """Space the requests of one entry to one cold target evenly.

    `rate` is the maximum number of requests per second.
    """

    rate: float
    _next_send_at: float = 0.0

    def may_send(self, now: float) -> bool:
        """Return whether a request may be sent now."""
        return now >= self._next_send_at

    def consume(self, now: float) -> None:
        """Count a request; the next one may be sent after 1 / `rate` seconds."""
        self._next_send_at = now + 1.0 / self.rate
