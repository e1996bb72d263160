"""Fault matrix: every failure mode of a target with every kind of request."""

import asyncio
import contextlib
import itertools

import aiohttp

from toucanwood.entry.testing import KEY, Harness, build_declaration, build_service
from toucanwood.entry.tests.fake_target import (
    LARGE_BODY_BYTES,
    MODES,
    NOT_EXECUTED,
    FakeTarget,
)

REQUEST_KINDS = {
    # name: (method, path, whether the request has an Idempotency-Key)
    "idempotent": ("GET", "/buscador/", False),
    "idempotent with body": ("POST", "/buscador/", False),
    "non-idempotent": ("POST", "/kasse/", False),
    "non-idempotent with key": ("POST", "/kasse/", True),
}
# Failures that prove to the entry that the request has not run.
PROVEN_NOT_RUN = {"refuse", "shed"}
# Modes in which the response is complete before the failure, if there is one.
COMPLETE_RESPONSE = {
    "none",
    "large",
    "close_after_body",
    "answer_twice",
    "answer_twice_late",
}
# Modes in which the caller gets the response head before the failure.
TRUNCATED_RESPONSE = {
    "close_in_large_body",
    "close_in_chunked_body",
    "reset_in_unsized_body",
}
DEADLINE_S = 0.25
TRUNCATION = "truncated"


def build_services():
    return build_declaration(
        build_service("buscador", "/buscador/", deadline=DEADLINE_S),
        build_service("kasse", "/kasse/", idempotent=False, deadline=DEADLINE_S),
    )


async def send(session, kind, operation):
    """Return the status (or TRUNCATION), the verdict and the body."""
    method, path, has_key = REQUEST_KINDS[kind]
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


def count_executions(targets, operation):
    return sum(target.executions[operation] for target in targets)


def check_response(kind, mode, response, execution_count, *, has_second_target):
    """Compare the response to the caller with the executions at the targets."""
    status, verdict, body = response
    size = 5 if REQUEST_KINDS[kind][0] == "POST" else 0
    if not kind.startswith("idempotent"):
        assert execution_count <= 1, "a non-idempotent request ran twice"
    if status == TRUNCATION:
        assert mode in TRUNCATED_RESPONSE
    elif verdict == "not-run":
        assert execution_count == 0, "a request that ran was reported as not run"
    elif verdict is None:
        expected = b"x" * LARGE_BODY_BYTES if mode == "large" else f"op:{size}".encode()
        expected = (
            f"op:{size}".encode()
            if has_second_target and mode not in COMPLETE_RESPONSE
            else expected
        )
        assert (status, body) == (200, expected), "not the response to this request"
        assert execution_count >= 1
    check_recovery(kind, mode, status, verdict, has_second_target=has_second_target)


def is_buffered(kind, mode):
    """Return whether the entry buffers the whole response before it sends any."""
    return kind == "non-idempotent with key" and mode != "close_in_large_body"


def check_recovery(kind, mode, status, verdict, *, has_second_target):
    """Check that the entry retries where it may and proves "not-run" where it can."""
    may_retry = kind.startswith("idempotent") or mode in PROVEN_NOT_RUN
    if mode in COMPLETE_RESPONSE:
        assert status == 200
    elif mode in TRUNCATED_RESPONSE and not is_buffered(kind, mode):
        assert status == TRUNCATION
    elif has_second_target and may_retry and mode != "never_answer":
        assert status == 200
    elif mode in PROVEN_NOT_RUN:
        assert (status, verdict) == (503, "not-run")
    elif mode not in NOT_EXECUTED:
        assert verdict == "may-have-run"


def check_connections(target):
    """Check that no connection was reused after a failure on it."""
    for requests in target.requests_by_connection:
        for _, mode in requests[:-1]:
            assert mode in ("none", "large", "shed"), "a failed connection was reused"


async def run_case(mode, kind, *, has_second_target):
    async with contextlib.AsyncExitStack() as stack:
        first = await stack.enter_async_context(FakeTarget(mode))
        targets = [first]
        if has_second_target:
            targets.append(await stack.enter_async_context(FakeTarget()))
        addresses = {f"t{i}": target.address for i, target in enumerate(targets)}
        harness = Harness(build_services(), addresses)
        await stack.enter_async_context(harness)
        base = f"http://{harness.entry.address}"
        session = aiohttp.ClientSession(base, connector=aiohttp.TCPConnector(limit=0))
        await stack.enter_async_context(session)
        response = await send(session, kind, "op")
        execution_count = count_executions(targets, "op")
        check_response(
            kind, mode, response, execution_count, has_second_target=has_second_target
        )
        await check_retry(session, kind, targets, response)
        await check_next_request(harness, session, first, kind)
        for target in targets:
            check_connections(target)
        assert harness.dispatcher.held_leases == set(), "a slot was not released"
        assert harness.operations.open_operations == set(), "an operation was left open"


async def check_retry(session, kind, targets, response):
    """Check that a retry of an operation gets its response, or "may-have-run"."""
    if not REQUEST_KINDS[kind][2]:
        return
    before = count_executions(targets, "op")
    targets[0].mode = "none" if targets[0].mode == "shed" else targets[0].mode
    status, verdict, body = await send(session, kind, "op")
    assert count_executions(targets, "op") <= 1
    if response[1] == "not-run" and targets[0].mode != "refuse":
        assert (status, verdict) == (200, None), "the operation was not released"
    elif response[2] == b"x" * LARGE_BODY_BYTES:
        assert (status, verdict) == (409, "may-have-run")
        assert count_executions(targets, "op") == before
    elif response[0] == 200:
        assert (status, verdict, body) == response
        assert count_executions(targets, "op") == before
    elif response[1] == "may-have-run":
        assert verdict == "may-have-run"
        assert count_executions(targets, "op") == before


async def check_next_request(harness, session, first, kind):
    """Check that the next request gets its own response after the target recovers."""
    await asyncio.sleep(0.02)
    if first.mode == "refuse":
        return
    first.mode = "none"
    harness.dispatcher.targets = {"t0": first.address}
    status, verdict, body = await send(session, kind, "next")
    assert (status, verdict) == (200, None)
    assert body.startswith(b"next:")


def run_matrix(kind, *, has_second_target):
    async def main():
        failures = []
        for mode in MODES:
            try:
                await run_case(mode, kind, has_second_target=has_second_target)
            except AssertionError as error:
                failures.append(f"{mode}: {error!r}")
        assert not failures, f"{kind}: " + "; ".join(failures)

    asyncio.run(main())


def test_every_failure_of_the_only_target():
    # Guards against wrong verdicts, slots that are not released and reuse of failed
    # connections.
    for kind in REQUEST_KINDS:
        run_matrix(kind, has_second_target=False)


def test_every_failure_with_a_second_target():
    # Guards against retries that run an operation twice, and against requests that
    # fail although another target could have served them.
    for kind in REQUEST_KINDS:
        run_matrix(kind, has_second_target=True)


def test_matrix_covers_each_mode():
    # Guards against a failure mode of the fake target that the matrix omits.
    cases = set(itertools.product(MODES, REQUEST_KINDS))
    assert len(cases) == len(MODES) * len(REQUEST_KINDS)
    assert NOT_EXECUTED < set(MODES)
    assert COMPLETE_RESPONSE | TRUNCATED_RESPONSE | PROVEN_NOT_RUN < set(MODES)
