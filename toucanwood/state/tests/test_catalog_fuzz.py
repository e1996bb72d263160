"""Stateful fuzz test that compares the catalog with a simple model."""

import hashlib

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from toucanwood.state import (
    ApplyDeclaration,
    BeginOperation,
    Catalog,
    FinishOperation,
    IssueKey,
    ReleaseOperation,
    WithdrawKey,
    encode_command,
)

DAY_S = 24 * 3600.0

requests = st.sampled_from([f"r{n}" for n in range(8)])
names = st.sampled_from(["a", "b", "c"])
attempts = st.sampled_from(["t1", "t2", "t3"])


class CatalogMachine(RuleBasedStateMachine):
    """Apply each command to a catalog and to a copy, and compare the results.

    At random steps, the copy is replaced by one restored from the catalog's snapshot.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.clock = 0.0
        self.catalog = Catalog()
        self.copy = Catalog()
        self.declarations = [{}]
        self.first_results = {}
        self.withdrawn = set()
        self.running = {}
        self.responses = {}

    def run(self, cls, **fields):
        command = encode_command(cls(**fields, time=self.clock).to_map())
        self.now = max(self.now, self.clock)
        result = self.catalog.apply(1, command)
        assert self.copy.apply(1, command) == result
        return result

    @rule(step=st.sampled_from([1.0, 3600.0, DAY_S / 2, DAY_S + 1, -100.0]))
    def move_clock(self, step):
        self.clock = max(0.0, self.clock + step)

    @rule()
    def restore(self):
        self.copy = Catalog()
        self.copy.restore(self.catalog.snapshot())

    @rule(request=requests, lag=st.integers(0, 2), name=names)
    def declare(self, request, lag, name):
        base = max(0, len(self.declarations) - 1 - lag)
        self.send(request, base, {"organisations": [{"name": name}, {"n": base}]})

    @rule(request=requests)
    def retry(self, request):
        if request in self.first_results:
            _, _, base, declaration = self.first_results[request]
            self.send(request, base, declaration)

    def send(self, request, base, declaration):
        result = self.run(
            ApplyDeclaration,
            declaration=declaration,
            base_revision=base,
            request_id=request,
        )
        time, first, *content = self.first_results.get(request, (0, None))
        if first is not None and self.now - time <= DAY_S:
            is_retry = content == [base, declaration]
            assert result == first if is_retry else result.code == "request_id_reused"
            return
        self.first_results[request] = (self.now, result, base, declaration)
        current = len(self.declarations) - 1
        assert result.is_accepted == (base == current)
        if result.is_accepted:
            self.declarations.append(declaration)
        assert result.values["revision"] == len(self.declarations) - 1

    @rule(name=names, secret=names)
    def issue(self, name, secret):
        sha256 = hashlib.sha256(secret.encode()).digest()
        result = self.run(IssueKey, key_id=name, sha256=sha256, organisation="o")
        assert not (result.is_accepted and name in self.withdrawn)

    @rule(name=names)
    def withdraw(self, name):
        assert self.run(WithdrawKey, key_id=name).is_accepted
        self.withdrawn.add(name)

    @rule(name=names, attempt=attempts, digest=st.sampled_from([b"x", b"y"]))
    def begin(self, name, attempt, digest):
        names = {"organisation": "o", "key": name, "attempt_id": attempt}
        result = self.run(BeginOperation, **names, digest=digest)
        if result.code == "begun":
            # A second begin without a release in between could run the operation twice.
            assert self.running.get(name) in (None, (attempt, digest))
            assert name not in self.responses
            self.running[name] = (attempt, digest)
        elif result.code == "recorded":
            time, first_digest, body = self.responses[name]
            assert (result.values["body"], digest) == (body, first_digest)
        elif not result.to_verdict().is_not_run:
            assert name in self.running or name in self.responses
        elif result.code == "idempotency_conflict":
            known = self.running.get(name) or self.responses[name]
            assert known[1] != digest
        else:
            assert result.code == "operation_released"
            assert name not in self.responses

    @rule(name=names, attempt=attempts)
    def finish(self, name, attempt):
        names = {"organisation": "o", "key": name, "attempt_id": attempt}
        body = f"{name} {attempt}".encode()
        result = self.run(FinishOperation, **names, status=200, body=body)
        if result.is_accepted and name in self.running:
            running, digest = self.running.pop(name)
            assert running == attempt
            self.responses[name] = (self.now, digest, body)
        elif result.is_accepted:
            assert self.responses[name][2] == body

    @rule(name=names, attempt=attempts)
    def release(self, name, attempt):
        names = {"organisation": "o", "key": name, "attempt_id": attempt}
        result = self.run(ReleaseOperation, **names)
        if result.is_accepted:
            assert name not in self.responses
            if self.running.get(name, ("",))[0] == attempt:
                del self.running[name]
        elif result.code == "operation_finished":
            assert name in self.responses

    @invariant()
    def accepted_state_never_reverts(self):
        for catalog in (self.catalog, self.copy):
            assert catalog.revision == len(self.declarations) - 1
            assert catalog.published.declaration == self.declarations[-1]
            assert catalog.published.withdrawn == self.withdrawn
            assert catalog.time == self.now

    @invariant()
    def copy_is_equal(self):
        assert self.catalog.snapshot() == self.copy.snapshot()


CatalogMachine.TestCase.settings = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=150,
    stateful_step_count=50,
    suppress_health_check=list(HealthCheck),
)


def test_catalog_agrees_with_the_model():
    # Guards against two accepted declarations per revision, reverted changes, lost
    # withdrawals, second runs, and results that differ after a restore.
    CatalogMachine.TestCase("runTest").runTest()
