"""The budget that bounds the extra load from retries."""

# Retries may add at most this fraction to the requests.
RETRY_FRACTION = 0.1
# The budget starts with one retry, so that a quiet entry can retry at all, and
# collects at most ten, so that a burst of failures after a quiet time stays small.
INITIAL_CREDIT = 1.0
MAX_CREDIT = 10.0


class RetryBudget:
    """Earn a fraction of a retry with each request."""

    def __init__(
        self, *, fraction: float = RETRY_FRACTION, credit: float = INITIAL_CREDIT
    ) -> None:
        self._fraction = fraction
        self.credit = credit
        self.requests = 0
        self.retries = 0
        self.refused = 0

    def record_request(self) -> None:
        """Count a first attempt."""
        self.requests += 1
        self.credit = min(MAX_CREDIT, self.credit + self._fraction)

    def take(self) -> bool:
        """Return whether one more attempt is within the budget, and count it."""
        if self.credit < 1.0:
            self.refused += 1
            return False
        self.credit -= 1.0
        self.retries += 1
        return True

    def dump(self) -> dict[str, float]:
        """Return the counters."""
        return {
            "requests": self.requests,
            "retries": self.retries,
            "refused": self.refused,
            "credit": self.credit,
        }
