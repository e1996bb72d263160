"""Stateful fuzz test: concurrent callers cancel and retry while targets fail."""

import asyncio
import contextlib

import aiohttp
import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from toucanwood.entry.testing import KEY, Harness, build_declaration, build_service
from toucanwood.entry.tests.fake_target import LARGE_BODY_BYTES, MODES, FakeTarget

DEADLINE_S = 0.3
LISTENING_MODES = [mode for mode in MODES if mode != "refuse"]
REQUEST_KINDS = ("idempotent", "non-idempotent", "operation")
UNREACHABLE_ADDRESS = "127.0.0.1:1"


@attrs.define(eq=False)
class SentRequest:
    """One request and the response that its caller got."""

    kind: str
    operation: str
    task: asyncio.Task = None
    verdict: str | None = None
    status: int = 0
    body: bytes = b""


class Callers(RuleBasedStateMachine):
    """Callers of an entry; compares their responses with the target executions."""

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.sent = []
        self.operations = 0
        self.loop.run_until_complete(self._set_up())

    async def _set_up(self):
        self.stack = contextlib.AsyncExitStack()
        self.targets = [
            await self.stack.enter_async_context(FakeTarget()) for _ in range(2)
        ]
        declaration = build_declaration(
            build_service("buscador", "/buscador/", deadline=DEADLINE_S),
            build_service("kasse", "/kasse/", idempotent=False, deadline=DEADLINE_S),
        )
        self.addresses = {f"t{i}": x.address for i, x in enumerate(self.targets)}
        self.harness = Harness(declaration, self.addresses)
        self.harness.dispatcher.is_round_robin = True
        await self.stack.enter_async_context(self.harness)
        base = f"http://{self.harness.entry.address}"
        session = aiohttp.ClientSession(base, connector=aiohttp.TCPConnector(limit=0))
        self.session = await self.stack.enter_async_context(session)

    def _start(self, kind, name):
        operation = f"{name}.{len(self.sent)}"
        sent = SentRequest(kind, operation)
        sent.task = self.loop.create_task(self._send(sent, name))
        self.sent.append(sent)

    async def _send(self, sent, name):
        headers = {"X-Api-Key": KEY, "X-Operation": sent.operation}
        path = "/buscador/" if sent.kind == "idempotent" else "/kasse/"
        if sent.kind == "operation":
            headers["Idempotency-Key"] = name
        with contextlib.suppress(aiohttp.ClientError):
            async with self.session.post(path, data=b"1", headers=headers) as response:
                sent.verdict = response.headers.get("Toucanwood-Verdict")
                sent.body = await response.read()
                sent.status = response.status

    def _run_for(self, seconds):
        self.loop.run_until_complete(asyncio.sleep(seconds))

    @rule(kind=st.sampled_from(REQUEST_KINDS))
    def send(self, kind):
        self._start(kind, f"op{self.operations}")
        self.operations += 1

    @rule(index=st.integers(0, 20), wait=st.booleans())
    def resend(self, index, wait):
        operations = [sent for sent in self.sent if sent.kind == "operation"]
        if operations:
            name = operations[index % len(operations)].operation.split(".")[0]
            self._start("operation", name)
            if wait:
                self._run_for(0.01)

    @rule(index=st.integers(0, 20))
    def cancel(self, index):
        running = [sent for sent in self.sent if not sent.task.done()]
        if running:
            running[index % len(running)].task.cancel()

    @rule(index=st.integers(0, 1), mode=st.sampled_from(LISTENING_MODES))
    def change_target(self, index, mode):
        self.targets[index].mode = mode

    @rule(index=st.integers(0, 1), is_unreachable=st.booleans())
    def move_target(self, index, is_unreachable):
        name = f"t{index}"
        address = UNREACHABLE_ADDRESS if is_unreachable else self.addresses[name]
        self.harness.dispatcher.targets[name] = address

    @rule(is_withdrawn=st.booleans())
    def change_key(self, is_withdrawn):
        withdrawn = self.harness.view.withdrawn
        (withdrawn.add if is_withdrawn else withdrawn.discard)(KEY)

    @rule(ticks=st.integers(0, 4))
    def run(self, ticks):
        self._run_for(ticks * 0.002)

    @invariant()
    def verdicts_match_executions(self):
        self._run_for(0)
        self._check_verdicts()

    def _check_verdicts(self):
        run_counts = {}
        for sent in self.sent:
            count = sum(target.executions[sent.operation] for target in self.targets)
            name = sent.operation.split(".")[0]
            run_counts[name] = run_counts.get(name, 0) + count
            if sent.verdict == "not-run":
                assert count == 0, "ran although it was reported as not run"
            elif sent.status == 200 and sent.kind == "operation":
                assert sent.body == b"x" * LARGE_BODY_BYTES or sent.body.startswith(
                    f"{name}.".encode()
                )
            elif sent.status == 200 and sent.body != b"x" * LARGE_BODY_BYTES:
                assert sent.body == f"{sent.operation}:1".encode()
            if sent.kind != "idempotent":
                assert run_counts[name] <= 1, "ran twice"

    def teardown(self):
        try:
            self.loop.run_until_complete(self._finish())
        finally:
            self.loop.run_until_complete(self.stack.aclose())
            self.loop.close()

    async def _finish(self):
        tasks = [sent.task for sent in self.sent]
        await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.sleep(0.05)
        # Operations continue after their callers disconnect, until their deadline.
        if self.harness.dispatcher.held_leases:
            await asyncio.sleep(DEADLINE_S * 1.5)
        assert self.harness.dispatcher.held_leases == set(), "a slot was not released"
        self._check_verdicts()
        for target in self.targets:
            for requests in target.requests_by_connection:
                for _, mode in requests[:-1]:
                    assert mode in ("none", "large", "shed"), (
                        "a failed connection was reused"
                    )


def test_concurrent_callers_that_cancel_and_retry():
    # Guards against faults that need several callers or a certain order of failures:
    # operations that run twice, wrong verdicts, responses to the wrong caller and slots
    # that are not released.
    run_state_machine_as_test(
        Callers,
        settings=settings(
            max_examples=40,
            stateful_step_count=25,
            derandomize=True,
            deadline=None,
            database=None,
        ),
    )
