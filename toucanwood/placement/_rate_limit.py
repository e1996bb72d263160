"""The request rates that targets name, and the share of one entry in them.

A target names the rate that it takes from all entries together. A few entries send to
it then, each at an equal share of the rate. Without messages among them, the sum stays
below the rate as long as they know the same entries.
"""

import hashlib
import math
from collections.abc import Collection

import attrs

# Number of entries that may send to a target whose rate is near 0. Each may have one
# request at once, so with all entries of a large fleet the sum would exceed the rate.
MIN_SENDERS = 4
# Time in which the rate of a target earns the requests that all senders together may
# send at once, beside one of each of MIN_SENDERS.
BURST_S = 1.5


def choose_senders(
    target_id: str, entries: Collection[str], count: int = MIN_SENDERS
) -> list[str]:
    """Choose the entries that may send to a target, by rendezvous hashing."""
    ranked = sorted(entries, key=lambda entry: _hash(target_id, entry))
    return ranked[:count]


def _hash(target_id: str, entry: str) -> bytes:
    return hashlib.blake2b(f"{target_id}|{entry}".encode(), digest_size=8).digest()


@attrs.define
class RateShare:
    """The share of this entry in the rate of one target, as a token bucket.

    `rate` is the rate of the whole target in requests per second. An entry that is not
    among the senders has no share. A new share has no tokens: the entries that sent to
    the target before may have used them.
    """

    target_id: str
    entry_id: str
    rate: float = 0.0
    entries: Collection[str] = frozenset()
    own_rate: float = 0.0
    _burst: float = 0.0
    _tokens: float = 0.0
    _updated_at: float = math.inf

    def update(self, rate: float, entries: Collection[str], now: float) -> None:
        """Set the rate of the target and the entries of the fleet."""
        if rate == self.rate and entries is self.entries:
            return
        self._earn(now)
        self.rate = rate
        self.entries = entries
        senders = choose_senders(self.target_id, entries, MIN_SENDERS + int(rate))
        if self.entry_id in senders:
            self.own_rate = rate / len(senders)
            burst = (rate * BURST_S + MIN_SENDERS) / len(senders)
            self._burst = max(burst, 1.0)
        else:
            self.own_rate = self._burst = 0.0
        self._tokens = min(self._tokens, self._burst)

    def has_token(self, now: float) -> bool:
        """Return whether a request may be sent now."""
        self._earn(now)
        return self._tokens >= 1.0

    def take(self, now: float) -> None:
        """Count a request that is sent."""
        self._earn(now)
        self._tokens = max(self._tokens - 1.0, 0.0)

    def get_delay(self, now: float) -> float:
        """Return after how many seconds a request may be sent; inf without a share."""
        self._earn(now)
        if self.own_rate <= 0.0:
            return math.inf
        return max(1.0 - self._tokens, 0.0) / self.own_rate

    def _earn(self, now: float) -> None:
        elapsed = max(now - self._updated_at, 0.0)
        earned = self._tokens + elapsed * self.own_rate
        self._tokens = min(earned, self._burst)
        self._updated_at = now
