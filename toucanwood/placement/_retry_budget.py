"""The budget of repeated sends to a service."""

from collections import deque

import attrs


@attrs.define
class RetryBudget:
    """Bound repeats in a window to a fraction of the requests and a slack.

    Each entry has its part of the slack, so that the sum over all entries stays in the
    budget of the fleet without coordination.
    """

    fraction: float
    slack: float
    window_s: float
    _requests: deque[float] = attrs.field(factory=deque)
    _repeats: deque[float] = attrs.field(factory=deque)

    def record_request(self, now: float) -> None:
        """Count the first send of a request."""
        self._requests.append(now)
        self._expire(now)

    def take(self, now: float) -> bool:
        """Return whether one more repeat is within the budget, and count it."""
        self._expire(now)
        if len(self._repeats) + 1 > self.fraction * len(self._requests) + self.slack:
            return False
        self._repeats.append(now)
        return True

    def _expire(self, now: float) -> None:
        oldest = now - self.window_s
        for times in (self._requests, self._repeats):
            while times and times[0] < oldest:
                times.popleft()
