"""What callers, targets and operators saw, and the invariants that it must keep."""

import time

import attrs

# Statuses that state that a request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# A change is in force, and a leaving target gets nothing, after these times.
APPLY_S = 2.0
DRAIN_S = 2.0
# Of the requests after the last fault, at least this part is served.
RECOVERED_PART = 0.8


@attrs.define
class History:
    """Collect events and name the invariants that were broken."""

    key: str
    organisation: str
    runs: dict = attrs.field(factory=dict)
    unsafe: set = attrs.field(factory=set)
    answers: dict = attrs.field(factory=dict)
    acknowledged: list = attrs.field(factory=list)
    drained_at: dict = attrs.field(factory=dict)
    broken: list = attrs.field(factory=list)
    settled: list = attrs.field(factory=list)

    def note_run(self, request_id, target, line, headers):
        """Check a request as a target gets it."""
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        if "Authorization" in headers:
            self.broken.append(f"{request_id}: the key reached {target.id}")
        if headers.get("X-Tenant") != self.organisation:
            self.broken.append(f"{request_id}: wrong organisation at {target.id}")
        drained_at = self.drained_at.get(target.id)
        if drained_at is not None and time.monotonic() - drained_at > DRAIN_S:
            self.broken.append(f"{request_id}: reached {target.id} after it had left")

    def note_answer(self, request_id, reply, *, is_settled):
        """Check an answer as its caller gets it."""
        self.answers[request_id] = reply
        if is_settled:
            self.settled.append(reply is not None and reply.status == 200)
        if reply is None or reply.status != 200:
            return
        if not reply.is_whole or not reply.body.startswith(request_id.encode()):
            self.broken.append(f"{request_id}: got {reply.body[:40]!r}")
        if "X-Response-Signature" not in reply.headers:
            self.broken.append(f"{request_id}: a success without a signature")

    def note_acknowledged(self, revision):
        """Record that a configuration was acknowledged."""
        self.acknowledged.append((time.monotonic(), revision))

    def note_read(self, sent_at, revision):
        """Check a configuration that was read."""
        for at, acknowledged in self.acknowledged:
            if sent_at > at + APPLY_S and revision < acknowledged:
                message = f"read r{revision}, r{acknowledged} was acknowledged"
                self.broken.append(f"{message} {sent_at - at:.1f} s before")

    def conclude(self):
        """Return all broken invariants."""
        broken = list(self.broken)
        for request_id in self.unsafe:
            count = self.runs.get(request_id, 0)
            if count > 1:
                broken.append(f"{request_id}: ran {count} times")
            reply = self.answers.get(request_id)
            if reply is not None and reply.status in NOT_RUN_STATUSES and count:
                broken.append(f"{request_id}: answered {reply.status} and has run")
        served = sum(self.settled)
        if self.settled and served < RECOVERED_PART * len(self.settled):
            broken.append(f"after the faults {served} of {len(self.settled)} served")
        return broken
