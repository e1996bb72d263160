"""Tests of requests with an Idempotency-Key."""

import asyncio

from toucanwood.entry.tests.raw_client import (
    AUTH_HEADER,
    connect,
    read_response,
    run_with_target,
    send_raw,
)


def build_post(key, body="order", operation="op", path="/kasse/"):
    head = f"POST {path} HTTP/1.1\r\nHost: h\r\n{AUTH_HEADER}Connection: close\r\n"
    head += f"Idempotency-Key: {key}\r\nX-Operation: {operation}\r\n"
    return f"{head}Content-Length: {len(body)}\r\n\r\n{body}".encode()


def test_retry_after_a_disconnect_gets_the_response_of_the_operation():
    # Guards against an operation whose response is lost when its caller disconnects.
    async def check(harness, target):
        target.mode = "never_answer"
        harness.dispatcher.grant_event = asyncio.Event()
        async with connect(harness.entry.address) as (_, writer):
            writer.write(build_post("k"))
            await asyncio.sleep(0.03)
        await asyncio.sleep(0.03)
        target.mode = "none"
        harness.dispatcher.grant_event.set()
        while not harness.dispatcher.outcomes:
            await asyncio.sleep(0.005)
        response = await send_raw(harness.entry.address, build_post("k", "order", "b"))
        assert response.endswith(b"op:5")
        assert target.executions == {"op": 1}

    run_with_target(check)


def test_idempotency_key_with_another_request_is_a_conflict():
    # Guards against a recorded response that is returned for another request.
    async def check(harness, target):
        assert b"200 OK" in await send_raw(harness.entry.address, build_post("k"))
        others = (build_post("k", "other"), build_post("k", path="/kasse/2"))
        for data in others:
            response = await send_raw(harness.entry.address, data)
            assert b"409" in response
            assert b"Toucanwood-Verdict: not-run" in response
        assert sum(target.executions.values()) == 1

    run_with_target(check)


def test_operation_in_progress_is_not_started_again():
    # Guards against a retry that runs the operation again during the first request.
    async def check(harness, target):
        harness.dispatcher.grant_event = asyncio.Event()
        async with connect(harness.entry.address) as (reader, writer):
            writer.write(build_post("k"))
            await asyncio.sleep(0.03)
            response = await send_raw(harness.entry.address, build_post("k"))
            assert b"Toucanwood-Verdict: may-have-run" in response
            harness.dispatcher.grant_event.set()
            assert (await read_response(reader))[0] == 200
        assert target.executions == {"op": 1}

    run_with_target(check)


def test_too_large_bodies_and_invalid_keys_are_refused():
    # Guards against running operations that cannot be recorded.
    async def check(harness, target):
        for data in (build_post("k", "x" * 1_100_000), build_post("k" * 256)):
            response = await send_raw(harness.entry.address, data)
            assert b"Toucanwood-Verdict: not-run" in response
        assert harness.operations.records == {}
        assert target.request_heads == []

    run_with_target(check)
