"""The fault matrix: every failure of a target, for every kind of request."""

import asyncio
import contextlib
import itertools

import aiohttp

from toucanwood.entry.testing import KEY, Fixture, build_declaration, build_service
from toucanwood.entry.tests.fake_target import LARGE, NOT_EXECUTED, STEPS, FakeTarget

KINDS = {
    # name: (method, path, has an idempotency key)
    "idempotent": ("GET", "/buscador/", False),
    "idempotent with body": ("POST", "/buscador/", False),
    "non-idempotent": ("POST", "/kasse/", False),
    "non-idempotent with key": ("POST", "/kasse/", True),
}
# Failures whose proof of "not run" the entry has and must use.
PROVEN_NOT_RUN = {"refuse", "shed"}
# The response is complete when the failure happens.
HARMLESS = {"none", "large", "close_after_body", "answer_twice", "answer_twice_late"}
# The head of the response has gone to the caller when the failure happens.
TRUNCATED = {"close_in_large_body", "close_in_chunked_body"}
DEADLINE_S = 0.25
TRUNCATION = "truncated"


def build_services():
    return build_declaration(
        build_service("buscador", "/buscador/", deadline=DEADLINE_S),
        build_service("kasse", "/kasse/", idempotent=False, deadline=DEADLINE_S),
    )


async def send(session, kind, operation):
    """Return the status (or TRUNCATION), the verdict and the body."""
    method, path, has_key = KINDS[kind]
    headers = {"X-Api-Key": KEY, "X-Operation": operation}
    if has_key:
        headers["Idempotency-Key"] = operation
    data = b"12345" if method == "POST" else None
    async with session.request(method, path, data=data, headers=headers) as response:
        verdict = response.headers.get("Toucanwood-Verdict")
        try:
            return response.status, verdict, await response.read()
        except aiohttp.ClientError:
            return TRUNCATION, None, b""


def count(targets, operation):
    return sum(target.executions[operation] for target in targets)


def check_answer(kind, step, answer, executions, *, has_second):
    """Compare what the caller was told with what the targets did."""
    status, verdict, body = answer
    size = 5 if KINDS[kind][0] == "POST" else 0
    if not kind.startswith("idempotent"):
        assert executions <= 1, "a non-idempotent request ran twice"
    if status == TRUNCATION:
        assert step in TRUNCATED
    elif verdict == "not-run":
        assert executions == 0, "a request that ran was reported as not run"
    elif verdict is None:
        own = b"x" * LARGE if step == "large" else f"op:{size}".encode()
        own = f"op:{size}".encode() if has_second and step not in HARMLESS else own
        assert (status, body) == (200, own), "not its own response"
        assert executions >= 1
    check_expectation(kind, step, status, verdict, has_second=has_second)


def is_held(kind, step):
    """Return whether the entry has the whole response before the caller gets any."""
    return kind == "non-idempotent with key" and step != "close_in_large_body"


def check_expectation(kind, step, status, verdict, *, has_second):
    """Check that the entry recovers where it can, and is no more cautious than due."""
    may_retry = kind.startswith("idempotent") or step in PROVEN_NOT_RUN
    if step in HARMLESS:
        assert status == 200
    elif step in TRUNCATED and not is_held(kind, step):
        assert status == TRUNCATION
    elif has_second and may_retry and step != "never_answer":
        assert status == 200
    elif step in PROVEN_NOT_RUN:
        assert (status, verdict) == (503, "not-run")
    elif step not in NOT_EXECUTED:
        assert verdict == "may-have-run"


def check_connections(target):
    """Check that no connection was used again after a failure on it."""
    for requests in target.requests_by_connection:
        for _, step in requests[:-1]:
            assert step in ("none", "large", "shed"), (
                "a failed connection was used again"
            )


async def run_cell(step, kind, *, has_second):
    async with contextlib.AsyncExitStack() as stack:
        first = await stack.enter_async_context(FakeTarget(step))
        targets = [first]
        if has_second:
            targets.append(await stack.enter_async_context(FakeTarget()))
        addresses = {f"t{i}": target.address for i, target in enumerate(targets)}
        fixture = Fixture(build_services(), addresses)
        await stack.enter_async_context(fixture)
        base = f"http://{fixture.entry.address}"
        session = aiohttp.ClientSession(base, connector=aiohttp.TCPConnector(limit=0))
        await stack.enter_async_context(session)
        answer = await send(session, kind, "op")
        executions = count(targets, "op")
        check_answer(kind, step, answer, executions, has_second=has_second)
        await check_resend(session, kind, targets, answer)
        await check_next(fixture, session, first, kind)
        for target in targets:
            check_connections(target)
        assert fixture.dispatcher.held == set(), "a slot was not released"
        assert fixture.operations.open == set(), "an operation was left open"


async def check_resend(session, kind, targets, answer):
    """Check that a resend of an operation returns its response, or its doubt."""
    if not KINDS[kind][2]:
        return
    before = count(targets, "op")
    targets[0].step = "none" if targets[0].step == "shed" else targets[0].step
    status, verdict, body = await send(session, kind, "op")
    assert count(targets, "op") <= 1
    if answer[1] == "not-run" and targets[0].step != "refuse":
        assert (status, verdict) == (200, None), "the operation was not released"
    elif answer[2] == b"x" * LARGE:
        assert (status, verdict) == (409, "may-have-run")
        assert count(targets, "op") == before
    elif answer[0] == 200:
        assert (status, verdict, body) == answer
        assert count(targets, "op") == before
    elif answer[1] == "may-have-run":
        assert verdict == "may-have-run"
        assert count(targets, "op") == before


async def check_next(fixture, session, first, kind):
    """Check that the next request gets its own response from the repaired target."""
    await asyncio.sleep(0.02)
    if first.step == "refuse":
        return
    first.step = "none"
    fixture.dispatcher.targets = {"t0": first.address}
    status, verdict, body = await send(session, kind, "next")
    assert (status, verdict) == (200, None)
    assert body.startswith(b"next:")


def run_matrix(kind, *, has_second):
    async def main():
        failures = []
        for step in STEPS:
            try:
                await run_cell(step, kind, has_second=has_second)
            except AssertionError as error:
                failures.append(f"{step}: {error!r}")
        assert not failures, f"{kind}: " + "; ".join(failures)

    asyncio.run(main())


def test_every_failure_of_the_only_target():
    # Guards against false verdicts, lost slots and reuse of broken connections.
    for kind in KINDS:
        run_matrix(kind, has_second=False)


def test_every_failure_with_a_second_target():
    # Guards against retries that run an operation twice, and against requests that
    # fail although another target could have served them.
    for kind in KINDS:
        run_matrix(kind, has_second=True)


def test_matrix_covers_each_step():
    # Guards against a step that is added to the target but left out here.
    cells = set(itertools.product(STEPS, KINDS))
    assert len(cells) == len(STEPS) * len(KINDS)
    assert NOT_EXECUTED < set(STEPS)
    assert HARMLESS | TRUNCATED | PROVEN_NOT_RUN < set(STEPS)
