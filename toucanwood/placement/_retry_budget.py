"""The retry budget of a service."""

from collections import deque

import attrs


@attrs.define
class RetryBudget:
    """Limit the retries in a sliding window to a fraction of the requests and a slack.

    The slack of the fleet is divided among the entries, so that the sum over all
    entries stays within the budget of the fleet without coordination.
    """

    fraction: float
    slack: float
    window_s: float
    _requests: deque[float] = attrs.field(factory=deque)
    _retries: deque[float] = attrs.field(factory=deque)

    def record_request(self, now: float) -> None:
        """Count a request when it is sent for the first time."""
        self._requests.append(now)
        self._expire(now)

    def take(self, now: float) -> bool:
        """Return whether a retry is within the budget; if so, count it."""
        self._expire(now)
        if len(self._retries) + 1 > self.fraction * len(self._requests) + self.slack:
            return False
        self._retries.append(now)
        return True

    def _expire(self, now: float) -> None:
        oldest = now - self.window_s
        for times in (self._requests, self._retries):
            while times and times[0] < oldest:
                times.popleft()
