"""What callers get, and what targets see, when targets misbehave."""

import asyncio

import attrs

from toucanwood.gateway.tests.harness import (
    NAMES,
    ScriptedTarget,
    encode_response,
    read_response,
    reset_connection,
    respond,
    respond_misdirected,
    respond_not_run,
    respond_to_another_first,
    respond_without_length,
    run_scenario,
    stay_silent,
)
from toucanwood.relay import RelayServer


def test_answer_is_passed_on_whole_with_its_status_and_signature():
    async def scenario(harness):
        status, headers, body = await harness.send("/safe/x")
        assert (status, body) == (200, b"whole")
        assert headers[NAMES.signature] == "s"

    run_scenario(scenario, ScriptedTarget("t-1"))


# Guards against a key or a false organisation that reaches a target.
def test_target_gets_the_organisation_and_never_the_key():
    async def scenario(harness):
        await harness.send("/safe/x?q=1", **{NAMES.organisation: "other"})
        (received,) = harness.received
        assert received.line == "GET /safe/x?q=1 HTTP/1.1"
        assert received.headers[NAMES.organisation] == "org"
        assert "Authorization" not in received.headers
        assert received.headers[NAMES.target_id] == "t-1"
        assert 0 < int(received.headers[NAMES.remaining_ms]) <= 1500

    run_scenario(scenario, ScriptedTarget("t-1"))


def test_deadline_is_that_of_the_route_where_it_is_shorter():
    async def scenario(harness):
        await harness.send("/short/x")
        assert int(harness.received[0].headers[NAMES.remaining_ms]) <= 300

    run_scenario(scenario, ScriptedTarget("t-1"))


def test_request_that_a_target_did_not_run_goes_to_another_one():
    async def scenario(harness):
        status, _, _ = await harness.send("/unsafe/x", method="POST", body=b"order")
        assert status == 200
        assert [item.body for item in harness.received] == [b"order", b"order"]

    run_scenario(
        scenario, ScriptedTarget("t-1", respond_not_run()), ScriptedTarget("t-2")
    )


# Guards against a refusal that says "not run" of a request that has run.
def test_unsafe_request_whose_answer_is_lost_runs_once_and_is_not_called_not_run():
    async def scenario(harness):
        status, headers, _ = await harness.send("/unsafe/x", method="POST", body=b"o")
        assert status == 502
        assert headers["Toucanwood-Verdict"] == "may-have-run"
        assert len(harness.received) == 1

    run_scenario(
        scenario, ScriptedTarget("t-1", reset_connection()), ScriptedTarget("t-2")
    )


def test_safe_request_whose_answer_is_lost_is_sent_again():
    async def scenario(harness):
        lost = [target for target in harness.targets if target.script]
        statuses = [(await harness.send("/safe/x"))[0] for _ in range(6)]
        assert statuses == [200] * 6
        assert not any(target.script for target in lost)

    run_scenario(
        scenario, ScriptedTarget("t-1", reset_connection()), ScriptedTarget("t-2")
    )


def test_request_goes_to_as_many_targets_as_the_route_allows():
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


# Guards against a late or second answer that is taken for the next request's.
def test_answer_to_another_request_is_skipped():
    async def scenario(harness):
        assert (await harness.send("/safe/x"))[2] == b"own"
        assert (await harness.send("/safe/y"))[2] == b"whole"
        assert len(harness.targets[0].received) == 2

    run_scenario(scenario, ScriptedTarget("t-1", respond_to_another_first(b"own")))


def test_success_without_a_signature_is_not_passed_on():
    async def scenario(harness):
        status, _, _ = await harness.send("/unsafe/x", method="POST")
        assert status == 502

    run_scenario(
        scenario, ScriptedTarget("t-1", respond(signed=False)), ScriptedTarget("t-2")
    )


def test_unasked_encoding_is_not_passed_on():
    async def scenario(harness):
        status, _, _ = await harness.send("/unsafe/x", method="POST")
        assert status == 502

    encoded = respond(headers=["Content-Encoding: gzip"])
    run_scenario(scenario, ScriptedTarget("t-1", encoded))


def test_truncated_answer_is_asked_for_again_where_that_is_allowed():
    async def scenario(harness):
        assert (await harness.send("/safe/x"))[2] == b"whole"
        assert len(harness.received) == 2
        for target in harness.targets:
            target.script.append(part)
        status, _, _ = await harness.send("/unsafe/x", method="POST")
        assert status == 502
        assert len(harness.received) == 3

    part = respond(body=b"part", length=100, keep=False)
    run_scenario(scenario, ScriptedTarget("t-1", part), ScriptedTarget("t-2"))


def test_body_without_a_length_that_ends_with_a_close_is_complete():
    async def scenario(harness):
        assert (await harness.send("/unsafe/x", method="POST"))[2] == b"all of it"

    run_scenario(scenario, ScriptedTarget("t-1", respond_without_length(b"all of it")))


# Guards against a reset that looks like the end of a body without a length.
def test_body_without_a_length_that_ends_with_a_reset_is_not_complete():
    async def scenario(harness):
        status, _, body = await harness.send("/unsafe/x", method="POST")
        assert status == 502 and b"part" not in body

    run_scenario(
        scenario, ScriptedTarget("t-1", respond_without_length(b"part", reset=True))
    )


def test_target_that_has_lost_its_address_is_left_alone():
    async def scenario(harness):
        statuses = [(await harness.send("/safe/x"))[0] for _ in range(5)]
        assert statuses == [200] * 5
        assert len(harness.targets[0].received) + len(harness.targets[1].received) <= 7

    run_scenario(
        scenario, ScriptedTarget("t-1", respond_misdirected()), ScriptedTarget("t-2")
    )


def test_target_that_nobody_listens_at_is_replaced_by_another():
    async def scenario(harness):
        harness.targets[0].server.close()
        await harness.targets[0].server.wait_closed()
        for _ in range(4):
            status, _, _ = await harness.send("/unsafe/x", method="POST")
            assert status == 200

    run_scenario(scenario, ScriptedTarget("t-1"), ScriptedTarget("t-2"))


def test_request_ends_at_the_time_of_its_route():
    async def scenario(harness):
        loop = asyncio.get_running_loop()
        started = loop.time()
        status, headers, _ = await harness.send("/short/x")
        assert status == 504 and "Retry-After" not in headers
        assert 0.25 < loop.time() - started < 0.8

    run_scenario(scenario, ScriptedTarget("t-1", stay_silent()))


# Guards against work that goes on for a caller who has left.
def test_request_at_a_target_is_cut_when_its_caller_leaves():
    async def scenario(harness):
        _, writer = await harness.connect()
        writer.write(harness.build_request("/safe/x"))
        await asyncio.sleep(0.1)
        assert len(harness.received) == 1
        writer.close()
        await asyncio.sleep(0.2)
        records = harness.gateway.dispatcher.list_records()
        assert [record.in_flight for record in records] == [0]

    run_scenario(scenario, ScriptedTarget("t-1", stay_silent(0.5)))


def test_failure_of_a_target_is_passed_on_for_an_unsafe_request():
    async def scenario(harness):
        status, headers, _ = await harness.send("/unsafe/x", method="POST")
        assert status == 500 and headers[NAMES.signature] == "s"

    run_scenario(
        scenario,
        ScriptedTarget("t-1", respond(500)),
        ScriptedTarget("t-2", respond(500)),
    )


def test_unknown_key_unknown_route_and_open_route():
    async def scenario(harness):
        assert (await harness.send("/safe/x", key="wrong"))[0] == 401
        assert (await harness.send("/safe/x", key=None))[0] == 401
        assert (await harness.send("/none/x"))[0] == 404
        assert (await harness.send("/open/x", key=None))[0] == 200
        assert len(harness.received) == 1

    run_scenario(scenario, ScriptedTarget("t-1"))


def test_request_of_a_region_stays_there():
    async def scenario(harness):
        for _ in range(3):
            assert (await harness.send("/home/x"))[0] == 200
        assert not harness.targets[0].received

    targets = [ScriptedTarget("t-1"), ScriptedTarget("t-2")]
    run_scenario(scenario, *targets, data_centres=["a", "b"])


def test_entry_without_a_routing_table_refuses_as_not_run():
    async def scenario(harness):
        harness.gateway.view.table = None
        status, headers, _ = await harness.send("/none/x")
        assert status == 503 and headers["Toucanwood-Verdict"] == "not-run"
        assert not harness.gateway.is_ready()

    run_scenario(scenario, ScriptedTarget("t-1"))


def test_pipelined_requests_are_answered_in_order():
    async def scenario(harness):
        reader, writer = await harness.connect()
        for number in range(3):
            writer.write(harness.build_request(f"/safe/{number}"))
        statuses = [(await read_response(reader))[0] for _ in range(3)]
        assert statuses == [200] * 3
        writer.close()

    run_scenario(scenario, ScriptedTarget("t-1"))


# Guards against a stop that cuts requests.
def test_stop_finishes_running_requests_and_refuses_new_ones_as_not_run():
    async def scenario(harness):
        running = asyncio.create_task(harness.send("/unsafe/x", method="POST"))
        await asyncio.sleep(0.1)
        stopping = asyncio.create_task(harness.gateway.stop())
        await asyncio.sleep(0.05)
        assert not harness.gateway.is_ready()
        assert (await harness.send("/safe/x"))[0] == 200
        assert (await running)[0] == 200
        await stopping

    async def slow(writer, request):
        await asyncio.sleep(0.5)
        return await respond()(writer, request)

    run_scenario(scenario, ScriptedTarget("t-1", slow), stop_grace_s=2.0)


# Guards against a restarted entry that takes all targets for new, sends objects
# anywhere, and so drives the warm ones out of every target.
def test_targets_that_an_entry_finds_at_its_start_are_not_new():
    async def scenario(harness):
        records = harness.gateway.dispatcher.list_records()
        assert [record.appeared_at for record in records] == [float("-inf")]
        late = attrs.evolve(
            harness.targets[0].describe(), id="t-late", address="1.1.1.1:1"
        )
        harness.gateway.view.targets["t-late"] = late
        harness.gateway.dispatcher.update(harness.gateway.view, frozenset())
        appeared_at_by_id = {
            r.id: r.appeared_at for r in harness.gateway.dispatcher.list_records()
        }
        assert appeared_at_by_id["t-late"] > 0

    run_scenario(scenario, ScriptedTarget("t-1"))


# Guards against a request that may run nowhere, because its route and its organisation
# have no region in common, and runs anywhere.
def test_request_whose_route_and_organisation_share_no_region_runs_nowhere():
    async def scenario(harness):
        document = {**harness.gateway.view.document}
        organisation = {**document["organisations"][0], "regions": ["north"]}
        document["organisations"] = [organisation]
        state = [2, {**document, "revision": 2}, [], []]
        state[3] = [
            target.to_wire() for target in harness.gateway.view.targets.values()
        ]
        assert harness.gateway.view.replace(2, state)
        status, headers, _ = await harness.send("/home/x")
        assert status == 503 and headers["Toucanwood-Verdict"] == "not-run"
        assert not harness.received
        assert (await harness.send("/safe/x"))[0] == 200

    targets = [ScriptedTarget("t-1"), ScriptedTarget("t-2")]
    run_scenario(scenario, *targets, data_centres=["a", "b"])


# Guards against a caller that is sent away for good by an entry whose state is old: a
# route was added 3.3 s before, and the entry's polls had waited on its busy link.
def test_unknown_route_or_key_is_refused_for_now_while_the_state_is_old():
    async def scenario(harness):
        harness.gateway.feed.measure_state_age = lambda now: 2.0
        for options in ({}, {"key": "unknown"}):
            status, headers, _ = await harness.send("/nowhere/x", **options)
            assert status == 503 and float(headers["Retry-After"]) > 0
        status, _, _ = await harness.send("/safe/x", key="unknown")
        assert status == 503
        status, _, _ = await harness.send("/safe/x")
        assert status == 200

    run_scenario(scenario, ScriptedTarget("t-1"))


def respond_later(seconds, body, started):
    """Answer with a large body after some time, and count what runs meanwhile."""

    async def step(writer, request):
        started.append(started[-1] + 1 if started else 1)
        await asyncio.sleep(seconds)
        started.append(started[-1] - 1)
        return await respond(body=body)(writer, request)

    return step


# Guards against large responses that reach the slow link of an entry together.
def test_few_large_responses_are_asked_for_at_once_on_a_slow_link():
    async def scenario(harness):
        running = []
        large = bytes(30_000)
        target = harness.targets[0]
        # The first one is quick, so the others take longer than the plan expects.
        times = [0.0, *([0.4] * 6)]
        target.script = [respond_later(seconds, large, running) for seconds in times]
        assert (await harness.send("/large/x"))[0] == 200
        results = await asyncio.gather(*(harness.send("/large/x") for _ in range(6)))
        assert [status for status, _, _ in results] == [200] * 6
        assert all(len(body) == 30_000 for _, _, body in results)
        assert max(running) <= 2

    run_scenario(scenario, ScriptedTarget("t-1"), link_bytes_per_s=600_000)


# Guards against large responses that fail, or fill the link, with the relay's machine.
def test_large_response_comes_through_a_relay_and_without_it_directly():
    async def scenario(harness):
        target = harness.targets[0]
        large = bytes(30_000)
        target.script = [respond(body=large), respond(body=large)]
        relay = RelayServer(lambda address: address == target.address)
        await relay.start("127.0.0.1:0")
        harness.gateway.relays.relays = (relay.address,)
        status, _, body = await harness.send("/large/x")
        assert (status, body) == (200, large)
        assert harness.gateway.client.relayed == 1
        await relay.stop()
        status, _, body = await harness.send("/large/x")
        assert (status, body) == (200, large)
        assert harness.gateway.client.relayed == 1
        assert len(target.received) == 2

    run_scenario(scenario, ScriptedTarget("t-1"), link_bytes_per_s=600_000)


# Guards against an answer that is ready and is replaced by a time-out, because it waits
# behind a slower one of the same connection.
def test_ready_answer_is_delivered_after_a_slow_one_before_it():
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


# Guards against an entry that takes targets for cold after its own restart, because the
# state tells how cold they were when they started: it refused most requests for 3 s.
def test_entry_that_starts_asks_how_cold_its_targets_are():
    async def scenario(harness):
        (target,) = harness.targets
        (record,) = harness.gateway.dispatcher.list_records()
        now = asyncio.get_running_loop().time()
        assert record.is_cold(now) and record.is_assumed_cold
        await asyncio.sleep(0.3)
        now = asyncio.get_running_loop().time()
        assert [item.line.split()[1] for item in target.received] == ["/health"]
        assert not record.is_cold(now)

    run_scenario(scenario, ScriptedTarget("t-1"), remaining_cold_start_s=3.0)


def test_entry_that_starts_keeps_to_the_rate_of_a_target_that_is_cold():
    async def scenario(harness):
        await asyncio.sleep(0.3)
        (record,) = harness.gateway.dispatcher.list_records()
        now = asyncio.get_running_loop().time()
        assert record.is_cold(now + 1.0) and not record.is_cold(now + 3.0)

    cold = respond(headers=[f"{NAMES.cold_remaining_ms}: 2000"])
    run_scenario(scenario, ScriptedTarget("t-1", cold), remaining_cold_start_s=3.0)


# Guards against look-ups that leave a started entry out for a second after it is ready.
def test_entry_announces_itself_as_soon_as_it_is_ready():
    async def scenario(harness):
        announced = []
        harness.gateway.feed.announce = lambda: announced.append(1)
        harness.gateway._on_update()
        harness.gateway._on_update()
        assert len(announced) == 1

    run_scenario(scenario, ScriptedTarget("t-1"))


# Guards against callers that come back to a started entry before it has any state: in
# an incident 2341 requests were refused twice within a second of the start.
def test_started_entry_tells_callers_to_return_when_it_should_have_its_state():
    async def scenario(harness):
        harness.gateway.view.table = None
        waits = []
        for _ in range(5):
            status, headers, _ = await harness.send("/safe/x")
            assert status == 503
            waits.append(float(headers["Retry-After"]))
        assert 0.7 < min(waits) and max(waits) < 1.6
        assert len(set(waits)) > 1
        await asyncio.sleep(1.1)
        _, headers, _ = await harness.send("/safe/x")
        assert float(headers["Retry-After"]) < 0.3

    run_scenario(scenario, ScriptedTarget("t-1"))


def respond_in_two_parts(body, seconds):
    """Send the first half of a body at once and the rest after some time."""

    async def step(writer, request):
        own = request[NAMES.request_id]
        data = encode_response(200, [], body, request_id=own)
        writer.write(data[: len(data) // 2])
        await asyncio.sleep(seconds)
        writer.write(data[len(data) // 2 :])
        await writer.drain()
        return True

    return step


# Guards against an answer that is cut at the end of its route's time, and with it the
# answers behind it: two requests that had run were reset without an answer.
def test_streamed_answer_is_delivered_after_the_time_of_its_route():
    async def scenario(harness):
        target = harness.targets[0]
        large = bytes(3_000_000)
        target.script = [respond_in_two_parts(large, 0.6), respond(body=b"next")]
        reader, writer = await harness.connect()
        writer.write(
            harness.build_request("/short/x") + harness.build_request("/safe/x")
        )
        assert (await read_response(reader))[::2] == (200, large)
        assert (await read_response(reader))[::2] == (200, b"next")
        writer.close()

    run_scenario(scenario, ScriptedTarget("t-1"))


# Guards against a relay that is left alone for seconds because one target is new to it.
def test_relay_that_does_not_know_a_target_is_used_for_the_others():
    async def scenario(harness):
        target = harness.targets[0]
        target.script = [respond(body=bytes(30_000)), respond(body=bytes(30_000))]
        known = set()
        relay = RelayServer(lambda address: address in known)
        await relay.start("127.0.0.1:0")
        harness.gateway.relays.relays = (relay.address,)
        assert (await harness.send("/large/x"))[0] == 200
        assert harness.gateway.client.relayed == 0
        known.add(target.address)
        assert (await harness.send("/large/x"))[0] == 200
        assert harness.gateway.client.relayed == 1
        await relay.stop()

    run_scenario(scenario, ScriptedTarget("t-1"), link_bytes_per_s=600_000)
