"""End-to-end tests of a whole fleet of processes under faults and steady load."""

import itertools
import json
import re
import shutil
import signal
import time

from examples.tests.fixtures import (
    WAIT_TIMEOUT_S,
    call_operator_api,
    connect,
    find_leader,
    issue_key,
    kill,
    put_declaration,
    read_declaration,
    read_declaration_revision,
    run_fleet,
    send,
    wait_for,
)
from examples.tests.load_generator import list_records, run_load

LOOKUP_TTL_S = 0.5
PAUSE_DURATION_S = 8.0
DEREGISTRATION_LIMIT_S = 2.0
ROUNDING_TOLERANCE = 1e-6
CAP_FRACTION = 0.25
CAP_INTERVAL_S = 3.0


def test_rolling_restart_fails_no_request():
    # Guards against a graceful shutdown that interrupts a request, reports a wrong
    # verdict, runs an operation twice or loses the configuration.
    with run_fleet(lookup_ttl=LOOKUP_TTL_S) as fleet:
        keys = [issue_key(fleet, name)["secret"] for name in ("large-1", "large-2")]
        revision = read_declaration_revision(fleet, "norte-1-a")
        exit_statuses = []
        with run_load(fleet, keys) as callers:
            for entry in fleet.settings:
                exit_statuses.append(restart(fleet, entry))
                assert read_declaration_revision(fleet, entry) == revision
        records = list_records(callers)
        check_responses(records, max_attempts=2)
        check_executions(fleet, records)
        assert exit_statuses == [0] * 8
        assert len(records) > 500, len(records)


def restart(fleet, entry):
    """Stop an instance gracefully, start it again and return its exit status."""
    process = fleet.processes[entry]
    process.send_signal(signal.SIGTERM)
    status = process.wait(WAIT_TIMEOUT_S)
    fleet.start_instance(entry)
    wait_until_serving(fleet, entry)
    return status


def wait_until_serving(fleet, entry):
    wait_for(lambda: send(fleet, entry, "GET", "/buscador/x")[0] == 200)


def check_responses(records, *, max_attempts):
    failed = [record for record in records if not record.is_successful]
    assert not failed, (len(failed), len(records), failed[:5])
    over_limit = [record for record in records if len(record.statuses) > max_attempts]
    assert not over_limit, (len(over_limit), len(records), over_limit[:5])


def check_executions(fleet, records):
    """Check that successful operations ran exactly once and that no others ran."""
    executions = fleet.count_executions()
    operations = [
        record for record in records if record.path.startswith("/reembolsos/")
    ]
    expected = {record.path: 1 for record in operations if record.is_successful}
    assert operations and executions == expected, (
        executions - executions.__class__(expected),
        expected,
    )


def test_killed_processes_duplicate_no_operation_and_lose_no_revision():
    # Guards against an operation that runs twice because it is retried at other entries
    # while control instances or a data centre fail, and against the loss of an accepted
    # revision.
    with run_fleet(lookup_ttl=LOOKUP_TTL_S) as fleet:
        keys = [issue_key(fleet, name)["secret"] for name in ("large-1", "large-2")]
        with run_load(fleet, keys, uses_idempotency_key=True) as callers:
            for kill_number in range(2):
                leader = find_leader(fleet, instance="norte-2-a")
                apply_change(fleet, "norte-2-a", f"kill-{kill_number}")
                kill(fleet, leader)
                apply_change(fleet, "norte-2-a", f"killed-{kill_number}")
                fleet.start_instance(leader)
                wait_until_serving(fleet, leader)
            for name in ("norte-1-a", "norte-1-b", "targets-norte-1"):
                kill(fleet, name)
            revision = apply_change(fleet, "norte-2-a", "last")
            running = [entry for entry in fleet.settings if entry in fleet.processes]
            for entry in running:
                wait_for(
                    lambda at=entry: read_declaration_revision(fleet, at) == revision
                )
                wait_until_serving(fleet, entry)
            counts_before = [len(caller.records) for caller in callers]
            time.sleep(1.0)
        assert revision == 1 + 5
        operations = [
            record
            for caller in callers
            for record in caller.records
            if record.path.startswith("/reembolsos/")
        ]
        executions = fleet.count_executions()
        duplicates = {path: count for path, count in executions.items() if count > 1}
        assert not duplicates, duplicates
        lost = [
            item
            for item in operations
            if item.is_successful and not executions[item.path]
        ]
        assert not lost, lost[:5]
        final_records = [
            item
            for sender, count_before in zip(callers, counts_before, strict=True)
            for item in sender.records[count_before + 1 :]
        ]
        assert final_records and all(
            record.is_successful for record in final_records
        ), final_records


def apply_change(fleet, entry, request_id):
    """Change the declaration, retrying until it is accepted; return its revision."""
    revision = read_declaration_revision(fleet, entry)
    text = read_declaration(fleet, entry)
    rate = f"rate: {130 + revision}"
    text = text.replace("rate: 120", rate, 1).replace(f"rate: {129 + revision}", rate)
    accepted = {}

    def is_accepted():
        status, accepted["body"] = put_declaration(
            fleet, entry, text, revision, request_id
        )
        return status == 200

    wait_for(is_accepted)
    assert accepted["body"]["revision"] == revision + 1
    wait_for(lambda: read_declaration_revision(fleet, entry) == revision + 1)
    return revision + 1


def test_resumed_leader_rejects_withdrawn_key_and_outdated_change():
    # Guards against a leader that resumes after a pause and accepts a change of an
    # outdated revision, serves a withdrawn key, or reverts changes that were accepted
    # during the pause.
    with run_fleet() as fleet:
        key = issue_key(fleet, "small-1")
        leader = find_leader(fleet)
        other = next(entry for entry in fleet.settings if entry != leader)
        arguments = fleet, leader, "GET", "/buscador/1"
        wait_for(lambda: send(*arguments, key=key["secret"])[0] == 200)
        revision = read_declaration_revision(fleet, leader)
        text = read_declaration(fleet, leader)
        fleet.processes[leader].send_signal(signal.SIGSTOP)
        paused_at = time.monotonic()
        try:
            pending = connect(fleet, leader)
            headers = {"Authorization": f"Bearer {key['secret']}"}
            pending.request("GET", "/buscador/2", headers=headers)
            accepted = apply_change(fleet, other, "while-stopped")
            path = f"keys/{key['key_id']}"
            wait_for(lambda: call_operator_api(fleet, other, "DELETE", path)[0] == 200)
            time.sleep(max(PAUSE_DURATION_S - (time.monotonic() - paused_at), 0.0))
        finally:
            fleet.processes[leader].send_signal(signal.SIGCONT)
        stale = text.replace("rate: 120", "rate: 999")
        status, body = put_declaration(fleet, leader, stale, revision, "stale")
        assert status != 200, body
        assert pending.getresponse().status in (401, 503)
        resumed_at = time.monotonic()
        while time.monotonic() - resumed_at < 2.0:
            assert send(*arguments, key=key["secret"])[0] in (401, 503)
        wait_until_serving(fleet, leader)
        for entry in fleet.settings:
            wait_for(lambda at=entry: read_declaration_revision(fleet, at) == accepted)
            assert "rate: 999" not in read_declaration(fleet, entry)
            assert send(fleet, entry, "GET", "/buscador/3", key=key["secret"])[0] == 401


def test_lost_and_damaged_data_directories():
    # Guards against a replica that lost its disk and then never rejoins or votes under
    # its old identity, and against an instance that starts with a damaged log.
    with run_fleet() as fleet:
        leader = find_leader(fleet)
        control = [entry for entry in fleet.settings if entry.endswith("-1-a")]
        lost, damaged = [entry for entry in control if entry != leader]
        for number in range(5):
            apply_change(fleet, leader, f"fill-{number}")
        kill(fleet, lost)
        shutil.rmtree(fleet.folder / "data" / lost)
        revision = apply_change(fleet, leader, "without-one")
        fleet.start_instance(lost)
        wait_until_serving(fleet, lost)
        wait_for(lambda: read_role(fleet, leader, lost) == "voter")
        kill(fleet, damaged)
        damage_log(fleet.folder / "data" / damaged / "log")
        log = fleet.folder / f"{damaged}.log"
        size = log.stat().st_size
        fleet.start_instance(damaged)
        process = fleet.processes.pop(damaged)
        assert process.wait(WAIT_TIMEOUT_S) == 1
        lines = log.read_text()[size:].splitlines()
        assert len(lines) == 1 and "start_failed" in lines[0], lines
        assert "damaged" in lines[0] and "log" in lines[0], lines
        # The repaired replica and the leader form a majority.
        assert apply_change(fleet, lost, "with-repaired") == revision + 1


def read_role(fleet, entry, member):
    members = call_operator_api(fleet, entry, "GET", "dump")[1]["replica"]["members"]
    return members[member]["role"]


def damage_log(path):
    content = bytearray(path.read_bytes())
    content[len(content) // 2] ^= 0xFF
    path.write_bytes(content)


def test_deregistered_targets_and_drained_region():
    # Guards against new requests to a target that deregistered 2 s ago, and against a
    # drain that moves more traffic per interval than the cap or never moves all of it.
    with run_fleet() as fleet:
        key = issue_key(fleet, "large-1")["secret"]
        data_centre_by_target = {
            item["id"]: item["data_centre"] for item in fleet.build_target_configs()
        }
        text = read_declaration(fleet, "norte-1-a")
        cap = f"fraction: {CAP_FRACTION}\n    interval: {CAP_INTERVAL_S}"
        text = re.sub(r"fraction: 0.2\n +interval: 10(\.0)?", cap, text)
        assert cap in text
        assert put_declaration(fleet, "norte-1-a", text, 1, "cap")[0] == 200
        fleet.processes["targets-sureste-2"].send_signal(signal.SIGUSR1)
        time.sleep(DEREGISTRATION_LIMIT_S)
        for number in range(60):
            entry = ("sureste-1-a", "sureste-2-a")[number % 2]
            data_centre = data_centre_by_target[get_serving_target(fleet, entry, key)]
            assert data_centre != "sureste-2"
        wait_for(lambda: read_declaration_revision(fleet, "sureste-1-a") == 2)
        drained = re.sub(r"( *)regions: \[\]", r"\1regions: [sureste]", text)
        assert drained != text
        assert put_declaration(fleet, "norte-1-a", drained, 2, "drain")[0] == 200
        check_shift_cap(*observe_drain(fleet, key, data_centre_by_target))


def get_serving_target(fleet, entry, key):
    status, _, body = send(fleet, entry, "GET", "/buscador/1", key=key)
    assert status == 200, body
    return json.loads(body)["target"]


def observe_drain(fleet, key, data_centre_by_target):
    """Read the weight of the other regions and send requests until a drain completes.

    Return the readings, and for each request whether another region served it.
    """
    readings = [read_remote_weight(fleet)]
    served_remotely = []
    deadline = time.monotonic() + 3 * WAIT_TIMEOUT_S
    while not all(served_remotely[-40:]) or len(served_remotely) < 100:
        assert time.monotonic() < deadline, served_remotely[-40:]
        target = get_serving_target(fleet, "sureste-1-a", key)
        served_remotely.append(not data_centre_by_target[target].startswith("sureste"))
        readings.append(read_remote_weight(fleet))
        time.sleep(0.05)
    return readings, served_remotely


def read_remote_weight(fleet):
    """Return the times before and after a reading, and the weight of other regions."""
    token = fleet.environment["TOUCANWOOD_OPERATOR_TOKEN"]
    started = time.monotonic()
    dump = send(fleet, "sureste-1-a", "GET", "/.toucanwood/dump", key=token)[2]
    weights = json.loads(dump)["plan"].get("buscador@sureste", {"sureste": 1.0})
    return started, time.monotonic(), 1.0 - weights.get("sureste", 0.0)


def check_shift_cap(readings, served_remotely):
    """Check the weight shift in each interval, and that requests follow the weights."""
    for index, (_, ended, remote_weight) in enumerate(readings):
        # Compares only readings that were certainly taken within one interval.
        earlier = readings[: index + 1]
        window = [weight for at, _, weight in earlier if ended - CAP_INTERVAL_S < at]
        assert remote_weight - min(window) <= CAP_FRACTION + ROUNDING_TOLERANCE, (
            ended,
            readings,
        )
    # Weighted round robin sends a request to another region only when that region has
    # a whole credit. So the number of requests served by the two other regions never
    # exceeds the sum of the larger weight read just before or after each request.
    pairs = itertools.pairwise(remote_weight for *_, remote_weight in readings)
    expected = sum(max(pair) for pair in pairs)
    assert sum(served_remotely) <= expected + ROUNDING_TOLERANCE, (
        sum(served_remotely),
        expected,
        readings,
        served_remotely,
    )
    assert readings[-1][2] > 1.0 - CAP_FRACTION
