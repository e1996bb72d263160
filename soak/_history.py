"""Record of what callers, targets and operators observed, with invariant checks."""

import time

import attrs
from adapter.headers import HEADERS

# Response statuses that guarantee that the request has not run and will not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Time after which every read must return an acknowledged configuration or a newer one.
MAX_STALE_READ_S = 2.0
# Time after which a draining target must not receive requests any more.
DRAIN_LIMIT_S = 2.0
# Minimum fraction of the requests after the recovery period that must be served.
MIN_SERVED_FRACTION = 0.8


@attrs.define
class History:
    """Events of one run; `violations` has a message for each failed check.

    `acknowledged` has the time and revision of each acknowledged configuration.
    """

    api_key: str
    organisation: str
    run_counts: dict = attrs.field(factory=dict)
    unsafe_ids: set = attrs.field(factory=set)
    download_ids: set = attrs.field(factory=set)
    target_ids: set = attrs.field(factory=set)
    controller_names: set = attrs.field(factory=set)
    responses: dict = attrs.field(factory=dict)
    acknowledged: list = attrs.field(factory=list)
    drained_at: dict = attrs.field(factory=dict)
    violations: list = attrs.field(factory=list)
    post_recovery_results: list = attrs.field(factory=list)
    # The entry and the time to which and at which each request was sent.
    sent: dict = attrs.field(factory=dict)
    # The hashes of the bodies that targets have sent for each request.
    bodies: dict = attrs.field(factory=dict)
    # Requests whose targets have sent the whole answer, or have broken it off.
    answered_ids: set = attrs.field(factory=set)
    broken_ids: set = attrs.field(factory=set)
    # Responses that didn't come or are cut: the names of the processes and links on
    # their way, begin, end, description. A fault of one of them excuses it.
    interrupted: list = attrs.field(factory=list)

    def record_run(self, request_id, target, request_line, headers):
        """Record a request that a target received, and check its headers."""
        self.run_counts[request_id] = self.run_counts.get(request_id, 0) + 1
        if "Authorization" in headers:
            self.violations.append(
                f"{request_id}: the API key reached target {target.id}"
            )
        if headers.get(HEADERS.organisation) != self.organisation:
            self.violations.append(
                f"{request_id}: target {target.id} got a wrong organisation"
            )
        drained_at = self.drained_at.get(target.id)
        now = time.monotonic()
        if drained_at is not None and now - drained_at > DRAIN_LIMIT_S:
            message = f"{request_id}: reached {target.id}, which has left"
            names = {self.find_entry(request_id), *self.controller_names}
            self.interrupted.append((names, drained_at, now, message))

    def record_sent(self, request_id, entry):
        """Record that a caller sends a request to an entry."""
        self.sent[request_id] = entry, time.monotonic()

    def find_entry(self, request_id):
        """Return the entry that a request was sent to, or None for a probe."""
        return self.sent[request_id][0] if request_id in self.sent else None

    def record_arrival(self, request_id, signals):
        """Record in the signals of a target that a request has arrived there."""
        if request_id in self.sent:
            signals.arrivals.append((*self.sent[request_id], time.monotonic()))

    def record_body(self, request_id, body):
        """Record the body of the response of a target."""
        self.bodies.setdefault(request_id, []).append(hash(body))

    def record_response(self, request_id, response, *, is_after_recovery_period):
        """Record a response (None if there was none) and check its content."""
        # Without the bodies, which would take most of the memory of a run.
        self.responses[request_id] = response and attrs.evolve(response, body=b"")
        if is_after_recovery_period:
            self.post_recovery_results.append(
                response is not None and response.status == 200
            )
        if response is None or response.status != 200:
            return
        if not response.is_complete and request_id in self.broken_ids:
            return
        if not response.is_complete and request_id in self.sent:
            entry, begin = self.sent[request_id]
            message = f"{request_id}: cut after {len(response.body)} bytes at {entry}"
            names = {entry, *self.target_ids}
            self.interrupted.append((names, begin, time.monotonic(), message))
            return
        sent_bodies = self.bodies.get(request_id, ())
        if not response.is_complete or hash(response.body) not in sent_bodies:
            self.violations.append(
                f"{request_id}: got a wrong body {response.body[:40]!r} of "
                f"{len(response.body)} bytes, complete={response.is_complete}"
            )
        if HEADERS.signature not in response.headers:
            self.violations.append(f"{request_id}: got status 200 without a signature")

    def record_acknowledgement(self, revision):
        """Record the acknowledgement of a configuration revision."""
        self.acknowledged.append((time.monotonic(), revision))

    def record_read(self, sent_at, revision):
        """Check that a read returned no outdated configuration revision."""
        for acknowledged_at, acknowledged in self.acknowledged:
            if sent_at > acknowledged_at + MAX_STALE_READ_S and revision < acknowledged:
                message = f"read r{revision} although r{acknowledged} was acknowledged"
                self.violations.append(
                    f"{message} {sent_at - acknowledged_at:.1f} s before"
                )

    def list_violations(self):
        """Check the whole run and return a message for each broken invariant."""
        violations = list(self.violations)
        for request_id in self.unsafe_ids:
            count = self.run_counts.get(request_id, 0)
            if count > 1:
                violations.append(f"{request_id}: ran {count} times")
            response = self.responses.get(request_id)
            if response is not None and response.status in NOT_RUN_STATUSES and count:
                violations.append(
                    f"{request_id}: answered {response.status} and has run"
                )
        served = sum(self.post_recovery_results)
        if self.post_recovery_results and served < MIN_SERVED_FRACTION * len(
            self.post_recovery_results
        ):
            violations.append(
                f"after the faults {served} of {len(self.post_recovery_results)} served"
            )
        return violations
