"""What targets say of themselves, and checks that entries act on it."""

import time

import attrs
from adapter.headers import HEADERS

LIMITS = (2.0, 3.0, 5.0)
# Bounds of the duration of a rate limit, of a wait and of leaving, in seconds.
LIMIT_S = (4.0, 9.0)
WAIT_S = (1.0, 3.0)
LEAVING_S = (3.0, 5.0)
# Time after which a target that leaves must not get requests of a told entry.
DRAIN_LIMIT_S = 2.0
# Number of requests that a told entry may send to a target that waits, from
# WAIT_MARGIN_S after the refusal on.
MAX_REQUESTS_IN_WAIT = 2
WAIT_MARGIN_S = 0.5
# A limit binds from LIMIT_DELAY_S after a target first named it. In each window a
# target may get LIMIT_FACTOR times what the limit allows and LIMIT_EXTRA more, from
# entries that were told TOLD_MARGIN_S before.
LIMIT_DELAY_S = 3.0
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_EXTRA = 5
TOLD_MARGIN_S = 0.5
# Time before a response in which a fault excuses that its entry does not know of it.
FAULT_MARGIN_S = 1.0


@attrs.define
class TargetSignals:
    """The signals that one incarnation of a target sends, and the responses with them.

    `told_leaving` and `told_limit` hold the time of the first response by entry,
    `refusals` the entry, time and wait of each refusal, and `arrivals` the entry, the
    time at which the caller sent the request and that of its arrival.
    """

    target_id: str
    limit: float | None = None
    limit_until: float = 0.0
    leaving_until: float = 0.0
    next_wait_s: float = 0.0
    limited_from: float | None = None
    told_leaving: dict = attrs.field(factory=dict)
    told_limit: dict = attrs.field(factory=dict)
    refusals: list = attrs.field(factory=list)
    arrivals: list = attrs.field(factory=list)
    # The limit, its begin and end and the told entries of each limit that has ended.
    ended_limits: list = attrs.field(factory=list)
    violations: list = attrs.field(factory=list)

    def start_limit(self, limit, duration_s):
        """Name a limit for some time, unless another one is in force."""
        if self.limit is None:
            self.limit = limit
            self.limit_until = time.monotonic() + duration_s

    def end_limit(self):
        """Name no limit any more."""
        if self.limited_from is not None:
            ended = self.limit, self.limited_from, time.monotonic(), self.told_limit
            self.ended_limits.append(ended)
        self.limit = self.limited_from = None
        self.told_limit = {}

    def build_headers(self, entry, *, is_refusal):
        """Return the header lines for a response to an entry, and record them."""
        now = time.monotonic()
        lines = []
        if self.leaving_until:
            self.told_leaving.setdefault(entry, now)
            lines.append(f"{HEADERS.leaving}: 1")
        if self.limit is not None:
            self.limited_from = self.limited_from or now
            self.told_limit.setdefault(entry, now)
            lines.append(f"{HEADERS.rate_limit}: {self.limit}")
        if is_refusal and self.next_wait_s:
            self.refusals.append((entry, now, self.next_wait_s))
            lines.append(f"Retry-After: {self.next_wait_s:.2f}")
            self.next_wait_s = 0.0
        return lines

    def check(self, faults):
        """Return a message for each signal that an undisturbed entry did not follow."""
        self.end_limit()
        for ended in self.ended_limits:
            self._check_limit(faults, *ended)
        for entry, sent_at, arrived_at in self.arrivals:
            told_at = self.told_leaving.get(entry)
            if told_at is not None and sent_at > told_at + DRAIN_LIMIT_S:
                if not faults.disturbed({entry, self.target_id}, told_at, arrived_at):
                    self._add(f"leaving, got a request of {entry}", sent_at - told_at)
        for entry, refused_at, wait_s in self.refusals:
            begin, end = refused_at + WAIT_MARGIN_S, refused_at + wait_s
            count = sum(
                begin < at < end for name, _, at in self.arrivals if name == entry
            )
            if count > MAX_REQUESTS_IN_WAIT:
                if not faults.disturbed({entry, self.target_id}, refused_at, end):
                    self._add(f"waiting, got {count} requests of {entry}", wait_s)
        return self.violations

    def _check_limit(self, faults, limit, begin, end, told):
        times = [
            at
            for entry, _, at in self.arrivals
            if begin + LIMIT_DELAY_S <= at <= end
            and at >= told.get(entry, end) + TOLD_MARGIN_S
            and not faults.disturbed({entry, self.target_id}, begin, at)
        ]
        windows = (sum(a <= b < a + LIMIT_WINDOW_S for b in times) for a in times)
        most = max(windows, default=0)
        if most > LIMIT_FACTOR * limit * LIMIT_WINDOW_S + LIMIT_EXTRA:
            self._add(f"limit {limit}, got {most} requests", LIMIT_WINDOW_S)

    def _add(self, message, seconds):
        self.violations.append(f"{self.target_id}: {message} in {seconds:.1f} s")


@attrs.define
class FaultTimes:
    """When processes and links of entries and targets were disturbed, by name."""

    intervals: list = attrs.field(factory=list)

    def record(self, name, begin, end):
        """Record a fault."""
        self.intervals.append((name, begin, end))

    def disturbed(self, names, begin, end):
        """Return whether a fault of one of the names began or held in a time."""
        return any(
            name in names and start < end and stop > begin - FAULT_MARGIN_S
            for name, start, stop in self.intervals
        )
