"""What targets say of themselves in their responses."""

import math

import attrs

# Bounds of the rate that a target names, in requests per second. A target that names 0
# still gets a request now and then, whose response can end the limit.
MIN_RATE_LIMIT = 0.1
MAX_RATE_LIMIT = 1e6
# Upper bound of the time for which a target that refused a request is left alone.
MAX_WAIT_S = 300.0
# Time for which an entry reports what it has heard from a target to the controllers.
REPORT_S = 2.5


@attrs.frozen
class ResponseSignals:
    """What one response of a target says of the target.

    `rate_limit` is the number of requests per second that it takes from all entries
    together, or None if it names none. `is_limit_valid` is false if it can't be read.
    A target that `is_leaving` takes no new requests. One that refused the request wants
    none from this entry for `wait_s` seconds.
    """

    rate_limit: float | None = None
    is_limit_valid: bool = True
    is_leaving: bool = False
    wait_s: float = 0.0


NO_SIGNALS = ResponseSignals()


@attrs.frozen
class SharedSignal:
    """What an entry has heard from one incarnation of a target.

    `rate_limit` is None if the target names none any more. `heard_at` is the time of
    the response, in seconds of the local clock.
    """

    target_id: str
    start_time_ms: int
    rate_limit: float | None
    is_leaving: bool
    heard_at: float


@attrs.define
class TargetSignals:
    """What is known of one target from its responses, to this entry or to others."""

    rate_limit: float | None = None
    # Once set, it holds until the target restarts.
    is_leaving: bool = False
    # Until when the target wants no request from this entry.
    waiting_until: float = -math.inf
    # Time of the response that the rate limit is known from.
    heard_at: float = -math.inf
    # When this entry itself last got a response with something to report.
    reported_at: float = -math.inf

    def record(self, signals: ResponseSignals, now: float) -> None:
        """Record the signals of a response."""
        if signals.wait_s > 0.0:
            self.waiting_until = max(self.waiting_until, now + signals.wait_s)
        if signals.is_leaving:
            self.is_leaving = True
            self.reported_at = now
        has_limit = signals.rate_limit is not None or self.rate_limit is not None
        if signals.is_limit_valid and has_limit:
            self.rate_limit = signals.rate_limit
            self.heard_at = self.reported_at = now

    def merge(self, shared: SharedSignal) -> None:
        """Take over what another entry has heard; the latest rate limit holds."""
        self.is_leaving |= shared.is_leaving
        if shared.heard_at > self.heard_at:
            self.rate_limit = shared.rate_limit
            self.heard_at = shared.heard_at

    def has_news(self, now: float) -> bool:
        """Return whether this entry should report what it has heard."""
        return now - self.reported_at < REPORT_S
