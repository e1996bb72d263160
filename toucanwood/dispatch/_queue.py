"""The fair queue of one service and region at one owner."""

import heapq
import itertools
from collections import defaultdict, deque
from collections.abc import Callable, Iterator

import attrs

from toucanwood.dispatch._target import LeaseKey

MAX_WAITERS = 512
# Time in s after the end of a poll in which the next poll of a waiter must arrive;
# otherwise its holder is assumed to have left.
POLL_GRACE_S = 0.5


@attrs.define(eq=False)
class Waiter:
    """Represent a queued slot request; times are on the owner's clock.

    `poll_until` is the time at which the owner answers the holder's current poll.
    """

    key: LeaseKey
    service: str
    organisation: str
    region: str
    deadline: float
    poll_until: float
    exclude: frozenset[str] = frozenset()
    arrival_number: int = 0
    # Time in s that must remain until the deadline when the request starts.
    reserved_time: float = 0.0

    def is_expired(self, now: float) -> bool:
        """Return whether the request can no longer start."""
        latest_start = self.deadline - self.reserved_time
        return now >= min(latest_start, self.poll_until + POLL_GRACE_S)


class FairQueue:
    """Queue waiters per organisation and serve the organisations fairly.

    The queue holds at most `limit` waiters.
    """

    def __init__(self, *, limit: int = MAX_WAITERS) -> None:
        self._limit = limit
        self._queues: dict[str, deque[Waiter]] = {}
        self._last_served: dict[str, int] = defaultdict(int)
        self._counter = itertools.count(1)

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    def __iter__(self) -> Iterator[Waiter]:
        return itertools.chain.from_iterable(self._queues.values())

    def find_oldest(self) -> Waiter | None:
        """Return the waiter that arrived first; None if the queue is empty."""
        heads = [queue[0] for queue in self._queues.values()]
        return min(heads, key=lambda waiter: waiter.arrival_number, default=None)

    def count(self, organisation: str) -> int:
        """Return the number of waiters of an organisation."""
        return len(self._queues.get(organisation, ()))

    def count_organisations(self) -> int:
        """Return the number of organisations with waiters."""
        return len(self._queues)

    def add(self, waiter: Waiter) -> Waiter | None:
        """Append a waiter; return the waiter dropped if the queue was full, else None.

        The newest waiter of the organisation with the most waiters is dropped, so that
        an organisation that floods the queue cannot displace the others.
        """
        waiter.arrival_number = next(self._counter)
        self._queues.setdefault(waiter.organisation, deque()).append(waiter)
        if len(self) <= self._limit:
            return None
        longest = max(self._queues, key=lambda name: len(self._queues[name]))
        dropped = self._queues[longest][-1]
        self.remove(dropped)
        return dropped

    def remove(self, waiter: Waiter) -> None:
        """Remove a waiter if it is still queued."""
        queue = self._queues.get(waiter.organisation)
        if queue is None or waiter not in queue:
            return
        queue.remove(waiter)
        if not queue:
            del self._queues[waiter.organisation]

    def list_organisations(self) -> list[str]:
        """Return the organisations with waiters."""
        return list(self._queues)

    def iterate_fairly(
        self, usage: Callable[[str], int], fair_level: float
    ) -> Iterator[Waiter]:
        """Yield the waiters in the order in which they should be served.

        Waiters of organisations with fewer slots in use than the fair level come first,
        in order of arrival: serving the organisation with the fewest slots first would
        delay a larger organisation that is also below the level. Waiters of the other
        organisations follow, by the number of slots in use.
        """
        below = [name for name in self._queues if usage(name) < fair_level]
        yield from heapq.merge(
            *(self._queues[name] for name in below),
            key=lambda waiter: waiter.arrival_number,
        )
        above = [name for name in self._queues if usage(name) >= fair_level]
        for name in sorted(
            above, key=lambda name: (usage(name), self._last_served[name])
        ):
            yield from self._queues[name]

    def serve(self, waiter: Waiter) -> None:
        """Remove a waiter that gets a slot and move its organisation behind its peers.

        The order matters only among organisations with equally many slots in use.
        """
        self.remove(waiter)
        self._last_served[waiter.organisation] = next(self._counter)

    def expire(self, now: float) -> list[Waiter]:
        """Remove and return the waiters whose requests can no longer start."""
        expired = [waiter for waiter in self if waiter.is_expired(now)]
        for waiter in expired:
            self.remove(waiter)
        return expired
