"""End-to-end tests: the whole fleet as processes under faults and steady load."""

import itertools
import json
import re
import shutil
import signal
import time

from examples.tests.fixtures import (
    PATIENCE_S,
    call_operator_api,
    connect,
    find_leader,
    issue_key,
    kill,
    put_declaration,
    read_declaration,
    read_revision,
    run_fleet,
    send,
    wait_for,
)
from examples.tests.load_generator import list_sent, run_load

LOOKUP_TTL_S = 0.5
STOPPED_S = 8.0
LEAVE_LIMIT_S = 2.0
ROUNDING = 1e-6
CAP_FRACTION = 0.25
CAP_INTERVAL_S = 3.0


def test_rolling_restart_interrupts_nothing():
    # Guards against a planned stop that cuts a request, gives a false verdict, lets an
    # order run twice or loses the configuration.
    with run_fleet(lookup_ttl=LOOKUP_TTL_S) as fleet:
        keys = [issue_key(fleet, name)["secret"] for name in ("large-1", "large-2")]
        revision = read_revision(fleet, "norte-1-a")
        statuses = []
        with run_load(fleet, keys) as callers:
            for entry in fleet.settings:
                statuses.append(restart(fleet, entry))
                assert read_revision(fleet, entry) == revision
        sent = list_sent(callers)
        check_answers(sent, max_attempts=2)
        check_orders(fleet, sent)
        assert statuses == [0] * 8
        assert len(sent) > 500, len(sent)


def restart(fleet, entry):
    """Stop an instance as planned, start it again, and return its exit status."""
    process = fleet.processes[entry]
    process.send_signal(signal.SIGTERM)
    status = process.wait(PATIENCE_S)
    fleet.start_instance(entry)
    wait_until_serving(fleet, entry)
    return status


def wait_until_serving(fleet, entry):
    wait_for(lambda: send(fleet, entry, "GET", "/buscador/x")[0] == 200)


def check_answers(sent, *, max_attempts):
    unanswered = [record for record in sent if not record.is_answered]
    assert not unanswered, (len(unanswered), len(sent), unanswered[:5])
    slow = [record for record in sent if len(record.statuses) > max_attempts]
    assert not slow, (len(slow), len(sent), slow[:5])


def check_orders(fleet, sent):
    """Check that each answered order ran once and each refused one never."""
    runs = fleet.count_orders()
    orders = [record for record in sent if record.path.startswith("/reembolsos/")]
    expected = {record.path: 1 for record in orders if record.is_answered}
    assert orders and runs == expected, (runs - runs.__class__(expected), expected)


def test_killed_processes_run_no_order_twice_and_lose_no_revision():
    # Guards against a second run of an order that is resent through other entries while
    # control instances or a data centre die, and against a lost accepted revision.
    with run_fleet(lookup_ttl=LOOKUP_TTL_S) as fleet:
        keys = [issue_key(fleet, name)["secret"] for name in ("large-1", "large-2")]
        with run_load(fleet, keys, resends=True) as callers:
            for number in range(2):
                leader = find_leader(fleet, instance="norte-2-a")
                apply_change(fleet, "norte-2-a", f"kill-{number}")
                kill(fleet, leader)
                apply_change(fleet, "norte-2-a", f"killed-{number}")
                fleet.start_instance(leader)
                wait_until_serving(fleet, leader)
            for name in ("norte-1-a", "norte-1-b", "targets-norte-1"):
                kill(fleet, name)
            revision = apply_change(fleet, "norte-2-a", "last")
            live = [entry for entry in fleet.settings if entry in fleet.processes]
            for entry in live:
                wait_for(lambda at=entry: read_revision(fleet, at) == revision)
                wait_until_serving(fleet, entry)
            marks = [len(caller.sent) for caller in callers]
            time.sleep(1.0)
        assert revision == 1 + 5
        orders = [
            record
            for caller in callers
            for record in caller.sent
            if record.path.startswith("/reembolsos/")
        ]
        runs = fleet.count_orders()
        repeated = {path: count for path, count in runs.items() if count > 1}
        assert not repeated, repeated
        lost = [item for item in orders if item.is_answered and not runs[item.path]]
        assert not lost, lost[:5]
        last = [
            item
            for c, mark in zip(callers, marks, strict=True)
            for item in c.sent[mark + 1 :]
        ]
        assert last and all(record.is_answered for record in last), last


def apply_change(fleet, entry, request_id):
    """Change the declaration, resending until it is accepted; return the revision."""
    revision = read_revision(fleet, entry)
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
    wait_for(lambda: read_revision(fleet, entry) == revision + 1)
    return revision + 1


def test_stopped_leader_serves_and_accepts_nothing_stale():
    # Guards against a leader that continues after a pause and accepts a change on an
    # old revision, serves a withdrawn key, or reverts what was accepted meanwhile.
    with run_fleet() as fleet:
        key = issue_key(fleet, "small-1")
        leader = find_leader(fleet)
        other = next(entry for entry in fleet.settings if entry != leader)
        arguments = fleet, leader, "GET", "/buscador/1"
        wait_for(lambda: send(*arguments, key=key["secret"])[0] == 200)
        revision = read_revision(fleet, leader)
        text = read_declaration(fleet, leader)
        fleet.processes[leader].send_signal(signal.SIGSTOP)
        stopped_at = time.monotonic()
        try:
            pending = connect(fleet, leader)
            headers = {"Authorization": f"Bearer {key['secret']}"}
            pending.request("GET", "/buscador/2", headers=headers)
            accepted = apply_change(fleet, other, "while-stopped")
            path = f"keys/{key['key_id']}"
            wait_for(lambda: call_operator_api(fleet, other, "DELETE", path)[0] == 200)
            time.sleep(max(STOPPED_S - (time.monotonic() - stopped_at), 0.0))
        finally:
            fleet.processes[leader].send_signal(signal.SIGCONT)
        stale = text.replace("rate: 120", "rate: 999")
        status, body = put_declaration(fleet, leader, stale, revision, "stale")
        assert status != 200, body
        assert pending.getresponse().status in (401, 503)
        continued_at = time.monotonic()
        while time.monotonic() - continued_at < 2.0:
            assert send(*arguments, key=key["secret"])[0] in (401, 503)
        wait_until_serving(fleet, leader)
        for entry in fleet.settings:
            wait_for(lambda at=entry: read_revision(fleet, at) == accepted)
            assert "rate: 999" not in read_declaration(fleet, entry)
            assert send(fleet, entry, "GET", "/buscador/3", key=key["secret"])[0] == 401


def test_lost_and_damaged_data_directories():
    # Guards against a replica that lost its disk and stays out or votes with its old
    # identity, and against a start on a damaged log.
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
        assert process.wait(PATIENCE_S) == 1
        lines = log.read_text()[size:].splitlines()
        assert len(lines) == 1 and "start_failed" in lines[0], lines
        assert "damaged" in lines[0] and "log" in lines[0], lines
        # The repaired replica and the leader are a majority.
        assert apply_change(fleet, lost, "with-repaired") == revision + 1


def read_role(fleet, entry, member):
    members = call_operator_api(fleet, entry, "GET", "dump")[1]["replica"]["members"]
    return members[member]["role"]


def damage_log(path):
    content = bytearray(path.read_bytes())
    content[len(content) // 2] ^= 0xFF
    path.write_bytes(content)


def test_leaving_targets_and_a_drained_region():
    # Guards against new requests at a target that left 2 s ago, and against a drain
    # that moves more traffic per interval than the cap or does not move it all.
    with run_fleet() as fleet:
        key = issue_key(fleet, "large-1")["secret"]
        centre_by_target = {
            item["id"]: item["data_centre"] for item in fleet.build_workers()
        }
        text = read_declaration(fleet, "norte-1-a")
        cap = f"fraction: {CAP_FRACTION}\n    interval: {CAP_INTERVAL_S}"
        text = re.sub(r"fraction: 0.2\n +interval: 10(\.0)?", cap, text)
        assert cap in text
        assert put_declaration(fleet, "norte-1-a", text, 1, "cap")[0] == 200
        fleet.processes["targets-sureste-2"].send_signal(signal.SIGUSR1)
        time.sleep(LEAVE_LIMIT_S)
        for number in range(60):
            entry = ("sureste-1-a", "sureste-2-a")[number % 2]
            centre = centre_by_target[find_target(fleet, entry, key)]
            assert centre != "sureste-2"
        wait_for(lambda: read_revision(fleet, "sureste-1-a") == 2)
        drained = re.sub(r"( *)regions: \[\]", r"\1regions: [sureste]", text)
        assert drained != text
        assert put_declaration(fleet, "norte-1-a", drained, 2, "drain")[0] == 200
        check_cap(*follow_drain(fleet, key, centre_by_target))


def find_target(fleet, entry, key):
    status, _, body = send(fleet, entry, "GET", "/buscador/1", key=key)
    assert status == 200, body
    return json.loads(body)["target"]


def follow_drain(fleet, key, centre_by_target):
    """Return the readings of the weight away from home, and whether requests left."""
    readings = [read_away_weight(fleet)]
    moved = []
    deadline = time.monotonic() + 3 * PATIENCE_S
    while not all(moved[-40:]) or len(moved) < 100:
        assert time.monotonic() < deadline, moved[-40:]
        target = find_target(fleet, "sureste-1-a", key)
        moved.append(not centre_by_target[target].startswith("sureste"))
        readings.append(read_away_weight(fleet))
        time.sleep(0.05)
    return readings, moved


def read_away_weight(fleet):
    """Return the weight away from home, with the times around its reading."""
    token = fleet.environment["TOUCANWOOD_OPERATOR_TOKEN"]
    started = time.monotonic()
    dump = send(fleet, "sureste-1-a", "GET", "/.toucanwood/dump", key=token)[2]
    weights = json.loads(dump)["plan"].get("buscador@sureste", {"sureste": 1.0})
    return started, time.monotonic(), 1.0 - weights.get("sureste", 0.0)


def check_cap(readings, moved):
    """Check the weights over each window, and that the traffic follows the weights."""
    for index, (_, ended, away) in enumerate(readings):
        # Only readings that were surely within one interval of each other count.
        earlier = readings[: index + 1]
        window = [old for at, _, old in earlier if ended - CAP_INTERVAL_S < at]
        assert away - min(window) <= CAP_FRACTION + ROUNDING, (ended, readings)
    # Weighted round robin sends a request away for each whole credit of a region, so
    # the two other regions are never ahead of the larger weight around each request.
    pairs = itertools.pairwise(away for *_, away in readings)
    expected = sum(max(pair) for pair in pairs)
    assert sum(moved) <= expected + ROUNDING
    assert readings[-1][2] > 1.0 - CAP_FRACTION
