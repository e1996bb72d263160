"""The fair queue of one service and region at one owner."""

import itertools
from collections import deque
from collections.abc import Callable, Iterator

import attrs

from toucanwood.dispatch._target import LeaseKey

MAX_WAITERS = 512
# Time in s for the next poll of a waiter to arrive before it counts as gone.
POLL_GRACE_S = 0.5


@attrs.define(eq=False)
class Waiter:
    """Wait for a slot; times are on the owner's clock."""

    key: LeaseKey
    service: str
    organisation: str
    region: str
    deadline: float
    poll_until: float
    exclude: frozenset[str] = frozenset()

    def is_over(self, now: float) -> bool:
        """Return whether the request can no longer start."""
        return now >= self.deadline or now >= self.poll_until + POLL_GRACE_S


class FairQueue:
    """Queue by organisation and serve the one with the fewest slots in use."""

    def __init__(self, *, limit: int = MAX_WAITERS) -> None:
        self._limit = limit
        self._queues: dict[str, deque[Waiter]] = {}
        self._turns: dict[str, int] = {}
        self._counter = itertools.count(1)

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    def __iter__(self) -> Iterator[Waiter]:
        return itertools.chain.from_iterable(self._queues.values())

    def count(self, organisation: str) -> int:
        """Return the number of waiters of an organisation."""
        return len(self._queues.get(organisation, ()))

    def count_organisations(self) -> int:
        """Return the number of organisations that wait."""
        return len(self._queues)

    def add(self, waiter: Waiter) -> Waiter | None:
        """Append a waiter; return the one that is dropped where the queue is full.

        The newest waiter of the organisation with the longest queue is dropped, so that
        an organisation that floods the queue cannot push out the others.
        """
        self._queues.setdefault(waiter.organisation, deque()).append(waiter)
        if len(self) <= self._limit:
            return None
        longest = max(self._queues, key=lambda name: len(self._queues[name]))
        dropped = self._queues[longest][-1]
        self.remove(dropped)
        return dropped

    def remove(self, waiter: Waiter) -> None:
        """Remove a waiter, if it still waits."""
        queue = self._queues.get(waiter.organisation)
        if queue is None or waiter not in queue:
            return
        queue.remove(waiter)
        if not queue:
            del self._queues[waiter.organisation]

    def iterate_fairly(self, usage: Callable[[str], int]) -> Iterator[Waiter]:
        """Yield the waiters in the order in which they should be served.

        The order is by slots in use; organisations with equal use take turns.
        """
        names = sorted(
            self._queues, key=lambda name: (usage(name), self._turns.get(name, 0))
        )
        for name in names:
            yield from self._queues[name]

    def take(self, waiter: Waiter) -> None:
        """Remove a waiter that is served and end its organisation's turn."""
        self.remove(waiter)
        self._turns[waiter.organisation] = next(self._counter)

    def expire(self, now: float) -> list[Waiter]:
        """Remove and return the waiters whose requests can no longer start."""
        over = [waiter for waiter in self if waiter.is_over(now)]
        for waiter in over:
            self.remove(waiter)
        return over
