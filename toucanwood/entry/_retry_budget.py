"""Budget that limits the additional load from retries."""

# Maximum number of retries as a fraction of the number of requests.
RETRY_FRACTION = 0.1
# Credit of a new budget; it lets an entry with few requests retry once.
INITIAL_CREDIT = 1.0
# Maximum credit; it limits the burst of retries when targets start to fail after a
# period without failures.
MAX_CREDIT = 10.0


class RetryBudget:
    """Retry credit that grows by a fraction of a retry with each request."""

    def __init__(
        self, *, fraction: float = RETRY_FRACTION, credit: float = INITIAL_CREDIT
    ) -> None:
        self._fraction = fraction
        self.credit = credit
        self.requests = 0
        self.retries = 0
        self.refused = 0

    def record_request(self) -> None:
        """Count a request and add its fraction of a retry to the credit."""
        self.requests += 1
        self.credit = min(MAX_CREDIT, self.credit + self._fraction)

    def take(self) -> bool:
        """Return whether the credit allows a retry; if so, consume one retry."""
        if self.credit < 1.0:
            self.refused += 1
            return False
        self.credit -= 1.0
        self.retries += 1
        return True

    def dump(self) -> dict[str, float]:
        """Return the counters and the credit."""
        return {
            "requests": self.requests,
            "retries": self.retries,
            "refused": self.refused,
            "credit": self.credit,
        }
