"""Tests of requests that go through an entry."""

import asyncio
import errno
from unittest import mock

from multidict import CIMultiDict, CIMultiDictProxy

from toucanwood.gateway.tests.harness import (
    NAMES,
    ScriptedTarget,
    read_response,
    respond,
    respond_later,
    respond_misdirected,
    respond_not_run,
    respond_slowly,
    respond_to_another_first,
    run_scenario,
    stay_silent,
)
from toucanwood.placement import MAX_WAIT_S, MIN_RATE_LIMIT, Health, TargetSelector


def test_response_is_forwarded_with_status_body_and_signature():
    async def scenario(harness):
        status, headers, body = await harness.send("/safe/x")
        assert (status, body) == (200, b"whole")
        assert headers[NAMES.signature] == "s"

    run_scenario(scenario, ScriptedTarget("t-1"))


# The API key and an organisation header from the caller must not reach a target.
def test_target_receives_organisation_but_not_api_key():
    async def scenario(harness):
        await harness.send("/safe/x?q=1", **{NAMES.organisation: "other"})
        (received,) = harness.received
        assert received.line == "GET /safe/x?q=1 HTTP/1.1"
        assert received.headers[NAMES.organisation] == "org"
        assert "Authorization" not in received.headers
        assert received.headers[NAMES.target_id] == "t-1"
        assert 0 < int(received.headers[NAMES.remaining_ms]) <= 1500

    run_scenario(scenario, ScriptedTarget("t-1"))


# Guards against responses that are skipped as those to other requests, because the
# caller sent no id and the target could not repeat the id that the entry expects.
def test_request_without_id_gets_one_of_the_entry():
    async def scenario(harness):
        for _ in range(2):
            reader, writer = await harness.connect()
            request = harness.build_request("/safe/x").decode()
            lines = request.split("\r\n")
            kept = [line for line in lines if not line.startswith(NAMES.request_id)]
            writer.write("\r\n".join(kept).encode())
            assert (await read_response(reader))[::2] == (200, b"whole")
            writer.close()
        ids = {item.headers[NAMES.request_id] for item in harness.received}
        assert len(ids) == 2

    run_scenario(scenario, ScriptedTarget("t-1"))


def test_shorter_route_timeout_limits_deadline():
    async def scenario(harness):
        await harness.send("/short/x")
        assert int(harness.received[0].headers[NAMES.remaining_ms]) <= 300

    run_scenario(scenario, ScriptedTarget("t-1"))


def test_request_not_run_by_one_target_is_sent_to_another():
    async def scenario(harness):
        status, _, _ = await harness.send("/unsafe/x", method="POST", body=b"order")
        assert status == 200
        assert [item.body for item in harness.received] == [b"order", b"order"]

    run_scenario(
        scenario, ScriptedTarget("t-1", respond_not_run()), ScriptedTarget("t-2")
    )


def test_route_limits_number_of_attempts():
    async def scenario(harness):
        status, headers, _ = await harness.send("/safe/x")
        assert status == 503 and "Retry-After" in headers
        assert len(harness.received) == 2

    run_scenario(
        scenario,
        *[
            ScriptedTarget(f"t-{n}", respond_not_run(), respond_not_run())
            for n in range(4)
        ],
    )


def test_target_that_answers_misdirected_is_avoided():
    async def scenario(harness):
        statuses = [(await harness.send("/safe/x"))[0] for _ in range(5)]
        assert statuses == [200] * 5
        assert len(harness.targets[0].received) + len(harness.targets[1].received) <= 7

    run_scenario(
        scenario, ScriptedTarget("t-1", respond_misdirected()), ScriptedTarget("t-2")
    )


def test_request_to_closed_port_is_sent_to_another_target():
    async def scenario(harness):
        harness.targets[0].server.close()
        await harness.targets[0].server.wait_closed()
        for _ in range(4):
            status, _, _ = await harness.send("/unsafe/x", method="POST")
            assert status == 200

    run_scenario(scenario, ScriptedTarget("t-1"), ScriptedTarget("t-2"))


def test_request_fails_at_route_timeout():
    async def scenario(harness):
        loop = asyncio.get_running_loop()
        started = loop.time()
        status, headers, _ = await harness.send("/short/x")
        assert status == 504 and "Retry-After" not in headers
        assert 0.25 < loop.time() - started < 0.8

    run_scenario(scenario, ScriptedTarget("t-1", stay_silent()))


# A request must not keep running for a caller that has disconnected.
def test_request_is_cancelled_when_caller_disconnects():
    async def scenario(harness):
        _, writer = await harness.connect()
        writer.write(harness.build_request("/safe/x"))
        await asyncio.sleep(0.1)
        assert len(harness.received) == 1
        writer.close()
        await asyncio.sleep(0.2)
        records = harness.entry.dispatcher.list_records()
        assert [record.in_flight for record in records] == [0]

    run_scenario(scenario, ScriptedTarget("t-1", stay_silent(0.5)))


def test_target_error_is_forwarded_for_unsafe_request():
    async def scenario(harness):
        status, headers, _ = await harness.send("/unsafe/x", method="POST")
        assert status == 500 and headers[NAMES.signature] == "s"

    run_scenario(
        scenario,
        ScriptedTarget("t-1", respond(500)),
        ScriptedTarget("t-2", respond(500)),
    )


def test_unknown_key_gets_401_unknown_route_404_and_open_route_needs_no_key():
    async def scenario(harness):
        assert (await harness.send("/safe/x", key="wrong"))[0] == 401
        assert (await harness.send("/safe/x", key=None))[0] == 401
        assert (await harness.send("/none/x"))[0] == 404
        assert (await harness.send("/open/x", key=None))[0] == 200
        assert len(harness.received) == 1

    run_scenario(scenario, ScriptedTarget("t-1"))


def test_request_runs_only_in_regions_of_its_route():
    async def scenario(harness):
        for _ in range(3):
            assert (await harness.send("/home/x"))[0] == 200
        assert not harness.targets[0].received

    targets = [ScriptedTarget("t-1"), ScriptedTarget("t-2")]
    run_scenario(scenario, *targets, data_centres=["a", "b"])


def test_pipelined_requests_get_their_responses_in_order():
    async def scenario(harness):
        reader, writer = await harness.connect()
        for number in range(3):
            writer.write(harness.build_request(f"/safe/{number}"))
        statuses = [(await read_response(reader))[0] for _ in range(3)]
        assert statuses == [200] * 3
        writer.close()

    run_scenario(scenario, ScriptedTarget("t-1"))


# If route and organisation have no region in common, no region is allowed. The empty
# set of regions must not be taken for "every region".
def test_request_is_refused_if_route_and_organisation_share_no_region():
    async def scenario(harness):
        document = {**harness.entry.view.document}
        organisation = {**document["organisations"][0], "regions": ["north"]}
        document["organisations"] = [organisation]
        state = [2, {**document, "revision": 2}, [], []]
        state[3] = [target.to_wire() for target in harness.entry.view.targets.values()]
        assert harness.entry.view.replace(2, state)
        status, headers, _ = await harness.send("/home/x")
        assert status == 503 and headers["Toucanwood-Verdict"] == "not-run"
        assert not harness.received
        assert (await harness.send("/safe/x"))[0] == 200

    targets = [ScriptedTarget("t-1"), ScriptedTarget("t-2")]
    run_scenario(scenario, *targets, data_centres=["a", "b"])


# An entry with a stale state must not send a final error. A caller got such an error
# for a route that had been added 3.3 s earlier, because the entry's polls waited on a
# busy link.
def test_unknown_route_or_key_gets_retryable_error_while_state_is_stale():
    async def scenario(harness):
        harness.entry.feed.measure_state_age = lambda now: 2.0
        for options in ({}, {"key": "unknown"}):
            status, headers, _ = await harness.send("/nowhere/x", **options)
            assert status == 503 and float(headers["Retry-After"]) > 0
        status, _, _ = await harness.send("/safe/x", key="unknown")
        assert status == 503
        status, _, _ = await harness.send("/safe/x")
        assert status == 200

    run_scenario(scenario, ScriptedTarget("t-1"))


# A complete response must not be replaced by a timeout error because it waits for a
# slower response on the same connection.
def test_complete_response_is_delivered_after_slow_earlier_response():
    async def scenario(harness):
        target = harness.targets[0]
        target.script = [respond_later(0.7, b"slow", []), respond(body=b"ready")]
        reader, writer = await harness.connect()
        first = harness.build_request("/safe/x")
        writer.write(first)
        await asyncio.sleep(0.1)
        writer.write(harness.build_request("/short/x"))
        assert (await read_response(reader))[::2] == (200, b"slow")
        assert (await read_response(reader))[::2] == (200, b"ready")
        writer.close()

    run_scenario(scenario, ScriptedTarget("t-1"))


# Guards against running work that is given up, or started again elsewhere, because its
# target was silent towards the controllers for a while.
def test_request_at_a_removed_target_ends_there():
    async def scenario(harness):
        for target in harness.targets:
            target.script = [respond_slowly(0.3)]
        running = asyncio.ensure_future(harness.send("/safe/x"))
        await asyncio.sleep(0.1)
        view = harness.entry.view
        (busy,) = [item for item in harness.targets if item.received]
        removed = view.targets.pop(busy.name)
        harness.entry.dispatcher.update(view, frozenset())
        assert (await harness.send("/safe/y"))[0] == 200
        assert (await running)[::2] == (200, b"whole")
        assert len(busy.received) == 1 and len(harness.received) == 2
        view.targets[removed.id] = removed
        harness.entry.dispatcher.update(view, frozenset())
        assert len(harness.entry.dispatcher.list_records()) == 2

    run_scenario(scenario, ScriptedTarget("t-1"), ScriptedTarget("t-2"))


# Guards against signals of another target or request, and against odd values.
def test_rate_limit_is_read_from_valid_responses_of_the_target_only():
    async def scenario(harness):
        (record,) = harness.entry.dispatcher.list_records()

        async def get_limit_after(step):
            harness.targets[0].script = [step]
            await harness.send("/unsafe/x")
            record.health = Health()
            return record.signals.rate_limit

        def name_limit(*values):
            return [f"{NAMES.rate_limit}: {value}" for value in values]

        assert await get_limit_after(respond(headers=name_limit("3.5"))) == 3.5
        for value in ("-1", "nan", "inf", "", "1e3", "4,4"):
            step = respond(headers=name_limit(value))
            assert await get_limit_after(step) == 3.5, value
        assert await get_limit_after(respond(headers=name_limit("2", "9"))) == 3.5
        unsigned = respond(headers=name_limit("9"), signed=False)
        assert await get_limit_after(unsigned) == 3.5
        misdirected = respond(421, b"", name_limit("9"), signed=False)
        assert await get_limit_after(misdirected) == 3.5
        foreign = respond_to_another_first(headers=name_limit("9"))
        assert await get_limit_after(foreign) is None
        assert await get_limit_after(respond(headers=name_limit("0"))) == MIN_RATE_LIMIT
        assert await get_limit_after(respond()) is None

    with mock.patch.object(TargetSelector, "may_send", return_value=True):
        run_scenario(scenario, ScriptedTarget("t-1"))


# Guards against requests and probes to a target that leaves or has asked to wait.
def test_signals_in_responses_keep_requests_and_probes_away():
    async def scenario(harness):
        leaving, full, _ = harness.targets
        leaving.script = [respond(headers=[f"{NAMES.leaving}: 1"])]
        full.script = [respond_not_run(headers=["Retry-After: 30.5"])]
        for _ in range(20):
            status, _, _ = await harness.send("/safe/x")
            assert status in (200, 503)
        records = {item.id: item for item in harness.entry.dispatcher.list_records()}
        for name in ("t-0", "t-1"):
            records[name].health.eject(0.0)
            records[name].is_assumed_cold = True
        await asyncio.sleep(0.3)
        counts = [len(item.received) for item in harness.targets]
        assert counts[:2] == [1, 1], counts
        assert records["t-0"].signals.is_leaving

    run_scenario(scenario, *(ScriptedTarget(f"t-{number}") for number in range(3)))


# Guards against odd values that fail a request or keep a target unused for ever.
def test_wait_is_read_from_refusals_only_and_bounded():
    def read_wait(status, *values):
        headers = CIMultiDict([("Retry-After", value) for value in values])
        return NAMES.read_signals(status, CIMultiDictProxy(headers)).wait_s

    assert read_wait(503, "2.5") == 2.5
    assert read_wait(503, "1000000000") == MAX_WAIT_S
    assert read_wait(200, "2") == read_wait(429, "2") == read_wait(503, "1", "2") == 0.0
    for value in ("", "-3", "nan", "inf", "soon", "1e3", "9" * 400, "٣"):
        assert read_wait(503, value) == 0.0, value


# Guards against a caller that gets no answer because it sends no more of its body.
def test_request_with_a_stalled_body_is_answered_at_its_deadline():
    async def scenario(harness):
        for path, length in (("/safe/x", 50_000), ("/unsafe/x", 300_000)):
            for waits_ms in (0, 300):
                reader, writer = await harness.connect()
                headers = {
                    "Content-Length": str(length),
                    NAMES.remaining_ms: str(waits_ms),
                }
                writer.write(harness.build_request(path, method="POST", **headers))
                writer.write(bytes(length // 2))
                async with asyncio.timeout(waits_ms / 1000 + 0.5):
                    status, headers, _ = await read_response(reader)
                assert status == 408
                assert headers["Toucanwood-Verdict"] == "not-run"
                writer.write(bytes(length - length // 2))
                writer.write(harness.build_request("/safe/x"))
                async with asyncio.timeout(1.0):
                    assert (await read_response(reader))[0] == 200
                writer.close()
        assert len(harness.received) == 4

    run_scenario(scenario, ScriptedTarget("t-1"))


# Guards against an entry that serves by an old document for as long as it can't fetch
# the newer one that a controller has proven.
def test_entry_that_knows_of_a_newer_document_refuses_requests_after_a_while():
    async def scenario(harness):
        feed = harness.entry.feed
        feed.has_newest_revision = lambda: False
        assert (await harness.send("/safe/x"))[0] == 200
        feed.measure_state_age = lambda now: 60.0
        status, headers, _ = await harness.send("/safe/x")
        assert status == 503 and headers["Toucanwood-Verdict"] == "not-run"
        feed.has_newest_revision = lambda: True
        assert (await harness.send("/safe/x"))[0] == 200

    run_scenario(scenario, ScriptedTarget("t-1"))


# Guards against targets that are ejected, and retries on other targets, because the
# entry itself has no free file.
def test_missing_files_of_the_entry_are_not_a_fault_of_its_targets():
    async def scenario(harness):
        loop = asyncio.get_running_loop()
        error = OSError(errno.EMFILE, "Too many open files")
        caller = await harness.connect()
        with mock.patch.object(loop, "create_connection", side_effect=error) as calls:
            for _ in range(5):
                caller[1].write(harness.build_request("/unsafe/1"))
                status, headers, body = await read_response(caller[0])
                assert status == 503 and b"no_free_file" in body
                assert float(headers["Retry-After"]) > 0
        assert calls.call_count == 2 * 5
        for record in harness.entry.dispatcher.list_records():
            assert not record.health.is_ejected and record.health.strikes == 0
        caller[1].write(harness.build_request("/unsafe/1"))
        assert (await read_response(caller[0]))[0] == 200
        caller[1].close()
        assert len(harness.received) == 1

    run_scenario(scenario, ScriptedTarget("t-1"), ScriptedTarget("t-2"))


# Guards against idle connections to targets that take the last files of the entry.
def test_idle_connections_to_targets_are_bounded_over_all_targets():
    async def scenario(harness):
        client = harness.entry.client
        for _ in range(6):
            statuses = await asyncio.gather(
                *(harness.send("/safe/1") for _ in range(4))
            )
            assert [status for status, _, _ in statuses] == [200] * 4
            assert client.count_idle() <= 2

    targets = [ScriptedTarget(f"t-{number}") for number in range(4)]
    run_scenario(scenario, *targets, max_open_files=40)
