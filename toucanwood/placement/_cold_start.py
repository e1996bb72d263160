"""The rate limit of requests to a cold target, which has just started."""

import attrs


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
