"""Tests of proxied requests: headers, retries, verdicts and connection reuse."""

import asyncio

import aiohttp

from toucanwood.entry._decisions import Decision, DecisionLog
from toucanwood.entry.testing import KEY, OPERATOR_TOKEN
from toucanwood.entry.tests.fake_target import FakeTarget
from toucanwood.entry.tests.raw_client import (
    AUTH_HEADER,
    build_get,
    connect,
    read_response,
    run_with_target,
    send_raw,
)
from toucanwood.upstream import MIN_IDLE_S

MAY_HAVE_RUN = "may-have-run"
CLOSE_HEADERS = AUTH_HEADER + "Connection: close\r\n"


def parse_head(head):
    lines = head.strip().split("\r\n")
    return {
        name.lower(): value for name, value in (x.split(": ", 1) for x in lines[1:])
    }


def test_target_sees_neither_the_key_nor_hop_by_hop_headers():
    # Guards against forwarding a caller's key to a target, and against hop-by-hop
    # headers that take effect on the next connection.
    async def check(harness, target):
        key_headers = [
            f"X-Api-Key: {KEY}\r\n",
            f"Authorization: Bearer {KEY}\r\n",
            f"authorization: bearer {KEY}\r\nX-API-KEY: {KEY}\r\n",
        ]
        hop_by_hop_headers = (
            "Connection: close, X-Hop, Cookie\r\nX-Hop: 1\r\nCookie: a\r\nTE: x\r\n"
        )
        other_headers = (
            "Toucanwood-Verdict: not-run\r\nProxy-Authorization: x\r\nX-End: 1\r\n"
        )
        for path in ("/buscador/", "/kasse/", "/abierto/"):
            for key_header in key_headers:
                data = build_get(path, key_header + hop_by_hop_headers + other_headers)
                await send_raw(harness.entry.address, data)
                assert KEY not in target.request_heads[-1]
                headers = parse_head(target.request_heads[-1])
                allowed = {"host", "x-end", "connection"}
                allowed |= {"toucanwood-request-id", "toucanwood-deadline-ms"}
                assert set(headers) <= allowed
                assert headers["x-end"] == "1"
        assert len(target.request_heads) == 9

    run_with_target(check)


def test_target_gets_the_request_id_and_the_remaining_time():
    # Guards against targets that process requests whose callers no longer wait.
    async def check(harness, target):
        caller_headers = "Toucanwood-Request-Id: r-1\r\nToucanwood-Deadline-Ms: 500\r\n"
        for extra, limit in ((caller_headers, 500), (AUTH_HEADER, 2000)):
            data = build_get(
                "/buscador/", AUTH_HEADER + extra + "Connection: close\r\n"
            )
            await send_raw(harness.entry.address, data)
            headers = parse_head(target.request_heads[-1])
            assert 0 < int(headers["toucanwood-deadline-ms"]) <= limit
        assert "r-1" in target.request_heads[0]
        assert len(headers["toucanwood-request-id"]) > 8

    run_with_target(check)


def test_disconnect_of_the_caller_cancels_its_request():
    # Guards against slots that stay occupied after their callers disconnect, and
    # against the response to a cancelled request being sent to the next request.
    async def check(harness, target):
        target.mode = "never_answer"
        for path in ("/buscador/", "/kasse/"):
            async with connect(harness.entry.address) as (_, writer):
                writer.write(build_get(path))
                while not harness.dispatcher.held_leases:
                    await asyncio.sleep(0.005)
                await asyncio.sleep(0.03)
            while harness.dispatcher.held_leases:
                await asyncio.sleep(0.005)
        await asyncio.sleep(0.03)
        assert target.disconnects == 2
        assert harness.dispatcher.outcomes[-1][1].kind.value == "cancelled"
        target.mode = "none"
        data = build_get("/buscador/", AUTH_HEADER + "Connection: close\r\n")
        assert b"200 OK" in await send_raw(harness.entry.address, data)
        assert [len(item) for item in target.requests_by_connection] == [1, 1, 1]

    run_with_target(check)


def test_withdrawn_key_stops_queued_and_further_requests():
    # Guards against a withdrawn key that is still accepted for queued requests or on
    # an open connection.
    async def check(harness, target):
        async with connect(harness.entry.address) as (reader, writer):
            writer.write(build_get("/buscador/"))
            assert (await read_response(reader))[0] == 200
            harness.dispatcher.grant_event = asyncio.Event()
            writer.write(build_get("/buscador/"))
            await asyncio.sleep(0.03)
            harness.view.withdrawn.add(KEY)
            harness.dispatcher.grant_event.set()
            for _ in range(2):
                status, headers, _ = await read_response(reader)
                assert status == 401
                assert headers["toucanwood-verdict"] == "not-run"
                writer.write(build_get("/buscador/"))
        assert sum(target.executions.values()) == 1
        assert harness.limiter.consumed_tokens == {"a": 1}

    run_with_target(check)


def test_refused_requests_return_their_rate_limit_token():
    # Guards against requests that did not run but use up the rate limit.
    async def check(harness, target):
        harness.dispatcher.targets = {}
        data = build_get("/buscador/", AUTH_HEADER + "Connection: close\r\n")
        response = await send_raw(harness.entry.address, data)
        assert b"503" in response and b"Retry-After: 1" in response
        assert harness.limiter.consumed_tokens == {"a": 0}
        harness.limiter.refused_organisations.add("a")
        assert b"429" in await send_raw(harness.entry.address, data)

    run_with_target(check)


def test_missing_and_ambiguous_keys_are_refused():
    # Guards against requests that run on behalf of the wrong organisation.
    async def check(harness, target):
        two_keys = f"X-Api-Key: {KEY}\r\nAuthorization: Bearer key-of-b\r\n"
        for headers, status in (("", 401), ("X-Api-Key: no\r\n", 401), (two_keys, 400)):
            data = build_get("/buscador/", headers + "Connection: close\r\n")
            response = await send_raw(harness.entry.address, data)
            assert int(response[9:12]) == status
        assert target.request_heads == []

    run_with_target(check)


def test_non_idempotent_requests_use_new_connections():
    # Guards against non-idempotent requests on a pooled connection that no longer
    # responds.
    async def check(harness, target):
        for path in ("/buscador/", "/buscador/", "/kasse/", "/buscador/"):
            post = (
                f"POST {path} HTTP/1.1\r\nHost: h\r\n{AUTH_HEADER}Content-Length: 1\r\n"
            )
            data = f"{post}Connection: close\r\n\r\nx".encode()
            assert b"200 OK" in await send_raw(harness.entry.address, data)
            await asyncio.sleep(2 * MIN_IDLE_S)
        assert [len(item) for item in target.requests_by_connection] == [3, 1]

    run_with_target(check)


def test_surplus_response_is_not_sent_to_the_next_request():
    # Guards against a target that responds twice, if the second response is taken for
    # the response to the next request.
    async def check(harness, target):
        for mode in ("answer_twice", "answer_twice_late"):
            target.mode = mode
            for operation in ("x1", "x2", "x3"):
                headers = (
                    f"{AUTH_HEADER}X-Operation: {operation}\r\nConnection: close\r\n"
                )
                data = build_get("/buscador/", headers)
                response = await send_raw(harness.entry.address, data)
                assert response.endswith(f"{operation}:0".encode())

    run_with_target(check)


def test_earlier_response_is_not_taken_for_that_of_the_next_request():
    # Guards against a target that sends an earlier response once more when its
    # connection is in use again: the caller would get the response to another request,
    # or "not-run" for a request that runs.
    async def check(harness, target):
        for first_mode in ("none", "shed"):
            for operation in ("first", "second"):
                target.mode = first_mode if operation == "first" else "repeat_earlier"
                headers = f"{AUTH_HEADER}X-Operation: {operation}\r\n"
                data = build_get("/buscador/", headers + "Connection: close\r\n")
                response = await send_raw(harness.entry.address, data)
                await asyncio.sleep(2 * MIN_IDLE_S)
            head, _, body = response.partition(b"\r\n\r\n")
            assert body == b"second:0" or MAY_HAVE_RUN.encode() in head
            assert target.executions["second"] >= 1

    run_with_target(check)


def test_connection_is_kept_only_if_the_response_has_the_id_of_its_request():
    # Guards against kept connections on which a late response can't be told apart: from
    # a target that repeats no ids, and with a caller that sends one id several times.
    async def check(harness, target):
        for echoes_ids, request_id in ((False, None), (True, "same")):
            target.echoes_request_ids = echoes_ids
            target.requests_by_connection.clear()
            headers = AUTH_HEADER + "Connection: close\r\n"
            if request_id is not None:
                headers += f"Toucanwood-Request-Id: {request_id}\r\n"
            for _ in range(3):
                data = build_get("/buscador/", headers)
                response = await send_raw(harness.entry.address, data)
                assert b"200 OK" in response
                assert response.lower().count(b"toucanwood-request-id: ") == 1
                await asyncio.sleep(2 * MIN_IDLE_S)
            assert [len(item) for item in target.requests_by_connection] == [1, 1, 1]

    run_with_target(check)


def test_unresponsive_pooled_connection_is_aborted_before_the_deadline():
    # Guards against idempotent requests that wait until their deadline on an
    # established connection that stopped responding, while new connections work.
    async def check(harness, target):
        data = build_get("/buscador/", AUTH_HEADER + "Connection: close\r\n")
        assert b"200 OK" in await send_raw(harness.entry.address, data)
        harness.dispatcher.targets["t2"] = target.address
        await asyncio.sleep(2 * MIN_IDLE_S)
        target.mode = "never_answer"
        sender = asyncio.create_task(send_raw(harness.entry.address, data))
        while len(target.request_heads) < 2:
            await asyncio.sleep(0.005)
        target.mode = "none"
        assert b"200 OK" in await sender
        assert [len(item) for item in target.requests_by_connection] == [2, 1]

    run_with_target(check, deadline=0.4)


def test_http10_caller_detects_a_truncated_response():
    # Guards against an HTTP/1.0 caller that treats a truncated response as complete.
    # A response without framing ends with the connection, so it must end with a reset.
    async def check(harness, target):
        target.mode = "close_in_chunked_body"
        async with connect(harness.entry.address) as (reader, writer):
            writer.write(build_get("/buscador/", version="1.0"))
            try:
                await reader.read()
            except ConnectionError:
                return
            raise AssertionError("the truncated response ended like a complete one")

    run_with_target(check)


def test_response_heads_pass_unchanged():
    # Guards against framing headers that the entry adds to responses without a body.
    async def check(harness, target):
        responses = {
            b"204 No Content\r\nX: 1": (204, None),
            b"304 Not Modified\r\nContent-Length: 7\r\nX: 1": (304, "7"),
            b"200 OK\r\nContent-Length: 0\r\nX: 1\r\nX: 2": (200, "0"),
        }
        for head, expected in responses.items():
            target.response_bytes = b"HTTP/1.1 " + head + b"\r\n\r\n"
            data = build_get("/buscador/", AUTH_HEADER + "Connection: close\r\n")
            response = await send_raw(harness.entry.address, data)
            text, _, body = response.decode().partition("\r\n\r\n")
            status, headers = int(text[9:12]), parse_head(text)
            assert (status, headers.get("content-length")) == expected
            assert response.count(b"X: ") == head.count(b"X: ")
            assert body == ""
            assert headers["connection"] == "close"
        target.response_bytes = b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n"
        data = b"HEAD /buscador/ HTTP/1.1\r\nHost: h\r\n" + AUTH_HEADER.encode()
        response = await send_raw(
            harness.entry.address, data + b"Connection: close\r\n\r\n"
        )
        assert b"Content-Length: 7\r\n" in response
        assert response.endswith(b"\r\n\r\n")
        target.response_bytes = (
            b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX: a\rY: b\r\n\r\n"
        )
        response = await send_raw(
            harness.entry.address, build_get("/kasse/", CLOSE_HEADERS)
        )
        assert b"502" in response and b"Y: b" not in response

    run_with_target(check)


def test_explain_returns_the_inputs_of_a_decision():
    # Guards against routing decisions that operators cannot reconstruct.
    async def check(harness, target):
        second = {"t2": "127.0.0.1:1"}
        harness.dispatcher.targets = {**second, "t1": target.address}
        data = build_get(
            "/buscador/x?q=1",
            AUTH_HEADER + "Toucanwood-Request-Id: r-9\r\nConnection: close\r\n",
        )
        assert b"200 OK" in await send_raw(harness.entry.address, data)
        url = f"http://{harness.entry.address}/.toucanwood/explain/r-9"
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        async with aiohttp.ClientSession() as session:
            async with session.get(url, headers=headers) as response:
                decision = await response.json()
        assert decision["service"] == "buscador"
        assert decision["organisation"] == "a"
        outcomes = [attempt["outcome"] for attempt in decision["attempts"]]
        assert outcomes == ["unreachable", "completed"]
        assert decision["status"] == 200
        assert KEY not in str(decision)

    run_with_target(check)


def test_uploads_stream_to_the_target():
    # Guards against large bodies that are kept in memory or have wrong framing.
    async def check(harness, target):
        for chunked in (False, True):

            async def yield_chunks():
                for _ in range(40):
                    yield b"x" * 50_000

            data = yield_chunks() if chunked else b"x" * 2_000_000
            url = f"http://{harness.entry.address}/kasse/"
            headers = {"X-Api-Key": KEY, "X-Operation": "up"}
            async with aiohttp.ClientSession() as session:
                async with session.post(url, data=data, headers=headers) as response:
                    assert await response.text() == "up:2000000"

    run_with_target(check)


def test_response_before_the_end_of_an_upload_reaches_the_caller():
    # Guards against uploads that continue or hang after the target has refused them.
    async def check(harness, target):
        target.mode = "answer_early"
        head = f"POST /kasse/ HTTP/1.1\r\nHost: h\r\n{AUTH_HEADER}"
        for framing in ("Content-Length: 900000", "Transfer-Encoding: chunked"):
            async with connect(harness.entry.address) as (reader, writer):
                chunk = b"30d40\r\n" + b"x" * 200_000 + b"\r\n"
                writer.write(f"{head}{framing}\r\n\r\n".encode() + chunk)
                assert (await read_response(reader))[0] == 413
        assert harness.dispatcher.held_leases == set()

    run_with_target(check)


def test_streamed_uploads_are_not_retried():
    # Guards against a retry that sends the unread rest of a body as the whole body.
    async def check(harness, target):
        data = b"x" * 200_000
        url = f"http://{harness.entry.address}/buscador/"
        headers = {"X-Api-Key": KEY, "X-Operation": "up"}
        async with FakeTarget("close_before_response") as broken:
            for first, verdict in (
                (broken.address, MAY_HAVE_RUN),
                ("127.0.0.1:1", None),
            ):
                harness.dispatcher.targets = {"t0": first, "t1": target.address}
                async with aiohttp.ClientSession() as session:
                    response = await session.post(url, data=data, headers=headers)
                    assert response.headers.get("Toucanwood-Verdict") == verdict
                    if verdict is None:
                        assert await response.text() == "up:200000"
        assert target.executions["up"] == 1

    run_with_target(check)


def test_may_have_run_of_the_first_attempt_outlasts_a_failed_retry():
    # Guards against the verdict "not-run" if only the last attempt did not run.
    async def check(harness, target):
        target.mode = "close_before_response"
        harness.dispatcher.targets["t2"] = "127.0.0.1:1"
        data = build_get("/buscador/", AUTH_HEADER + "Connection: close\r\n")
        response = await send_raw(harness.entry.address, data)
        assert b"Toucanwood-Verdict: may-have-run" in response
        assert b"Retry-After" not in response
        outcomes = [outcome.kind.value for _, outcome in harness.dispatcher.outcomes]
        assert outcomes == ["failed", "unreachable"]
        assert harness.limiter.consumed_tokens == {"a": 1}

    run_with_target(check)


def test_retry_stays_in_the_region_of_the_first_attempt():
    # Guards against more requests in another region than the shift cap allows: each
    # choice of a region takes a part of the share of the other regions.
    async def check(harness, target):
        target.mode = "close_before_response"
        harness.dispatcher.targets["t2"] = "127.0.0.1:1"
        data = build_get("/buscador/", AUTH_HEADER + "Connection: close\r\n")
        await send_raw(harness.entry.address, data)
        assert len(harness.dispatcher.outcomes) == 2
        assert harness.region_selector.choice_count == 1

    run_with_target(check)


def test_internal_errors_have_a_correct_verdict():
    # Guards against tracebacks in responses, and against wrong verdicts and slots that
    # are not released after an internal error of the entry.
    async def check(harness, target):
        async def fail(*args, **kwargs):
            raise RuntimeError("broken")

        harness.limiter.acquire = fail
        response = await send_raw(
            harness.entry.address, build_get("/kasse/", CLOSE_HEADERS)
        )
        assert b"500" in response and b"Toucanwood-Verdict: not-run" in response
        assert target.request_heads == []
        del harness.limiter.acquire
        harness.entry._proxy._response_sender.send = fail
        response = await send_raw(
            harness.entry.address, build_get("/kasse/", CLOSE_HEADERS)
        )
        assert b"500" in response and b"Toucanwood-Verdict: may-have-run" in response
        assert len(target.request_heads) == 1

    run_with_target(check)


def test_decisions_are_kept_up_to_a_limit():
    # Guards against unbounded memory use by decision records.
    log = DecisionLog(capacity=3)
    for number in range(10):
        log.add(Decision(str(number), "GET", "/", 0.0, 1))
    assert len(log) == 3
    assert log.find("6") is None
    assert log.find("9").request_id == "9"


def test_request_ends_when_its_slot_is_lost():
    # Guards against a request that continues after its slot was reclaimed and given to
    # another request.
    async def check(harness, target):
        target.mode = "never_answer"
        async with connect(harness.entry.address) as (reader, writer):
            writer.write(build_get("/kasse/", CLOSE_HEADERS).replace(b"GET", b"POST"))
            while not target.request_heads:
                await asyncio.sleep(0.005)
            harness.dispatcher.last_lease.on_lost()
            status, headers, _ = await read_response(reader)
        assert status == 502 and headers["toucanwood-verdict"] == MAY_HAVE_RUN
        assert harness.dispatcher.held_leases == set()

    run_with_target(check)


def test_request_does_not_start_on_an_expired_lease():
    # Guards against a request that starts after its slot was reclaimed.
    async def check(harness, target):
        harness.dispatcher.start_by = 0.0
        response = await send_raw(
            harness.entry.address, build_get("/kasse/", CLOSE_HEADERS)
        )
        assert b"Toucanwood-Verdict: not-run" in response
        assert target.request_heads == []

    run_with_target(check)


def test_instance_without_a_confirmed_state_refuses_requests():
    # Guards against a restarted instance that uses an older revision, or reports that
    # a declared route or service does not exist.
    async def check(harness, target):
        harness.view.is_ready = False
        for path in ("/abierto/", "/.toucanwood/lookup?service=buscador"):
            response = await send_raw(
                harness.entry.address, build_get(path, CLOSE_HEADERS)
            )
            assert b" 503 " in response and b"state_stale" in response
        assert target.request_heads == []

    run_with_target(check)
