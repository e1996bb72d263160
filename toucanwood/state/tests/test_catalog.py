"""Unit tests of the catalog."""

import hashlib

import msgpack

from toucanwood.state import (
    ApplyDeclaration,
    BeginOperation,
    Catalog,
    FinishOperation,
    IssueKey,
    PublishedState,
    ReleaseOperation,
    SetWeights,
    WithdrawKey,
    encode_command,
)
from toucanwood.state._operation_table import MAX_BODY_BYTES, OperationTable
from toucanwood.state._published_state import diff_mapping, patch_mapping
from toucanwood.verdicts import Execution

DAY_S = 24 * 3600.0
OPERATION = {"organisation": "monterrey", "key": "k1", "attempt_id": "a1"}


def run(catalog, command):
    return catalog.apply(0, encode_command(command.to_map()))


def restore(catalog):
    restored = Catalog()
    restored.restore(catalog.snapshot())
    return restored


def declare(catalog, *, base, request_id, time=0.0, name="x"):
    declaration = {"organisations": [{"name": name}]}
    command = ApplyDeclaration(
        declaration=declaration, base_revision=base, request_id=request_id, time=time
    )
    return run(catalog, command)


def issue(catalog, key_id="key-1", secret="s", request_id=""):
    sha256 = hashlib.sha256(secret.encode()).digest()
    command = IssueKey(
        key_id=key_id, sha256=sha256, organisation="monterrey", request_id=request_id
    )
    return run(catalog, command)


def begin(catalog, *, attempt="a1", digest=b"d", time=0.0, key="k1"):
    operation_fields = {**OPERATION, "attempt_id": attempt, "key": key}
    return run(catalog, BeginOperation(**operation_fields, digest=digest, time=time))


def finish(catalog, *, body=b"done", attempt="a1", time=0.0):
    operation_fields = {**OPERATION, "attempt_id": attempt}
    headers = [["X-A", "1"]]
    command = FinishOperation(
        **operation_fields, status=201, headers=headers, body=body, time=time
    )
    return run(catalog, command)


def release(catalog, *, attempt="a1", time=0.0):
    operation_fields = {**OPERATION, "attempt_id": attempt}
    return run(catalog, ReleaseOperation(**operation_fields, time=time))


def test_only_one_of_two_equal_base_revisions_is_accepted():
    # Guards against two operators that overwrite the declarations of each other.
    catalog = Catalog()
    assert declare(catalog, base=0, request_id="r1", name="a").values["revision"] == 1
    refused = declare(catalog, base=0, request_id="r2", name="b")
    assert (refused.code, refused.status) == ("revision_conflict", 409)
    assert refused.values["revision"] == 1
    assert "revision 1 won" in refused.message
    assert catalog.published.declaration["organisations"] == [{"name": "a"}]


def test_retry_gets_the_first_result_also_after_a_restore():
    # Guards against a retry after a lost response that is refused as a conflict.
    catalog = Catalog()
    first = declare(catalog, base=0, request_id="r1")
    refused_result = declare(catalog, base=0, request_id="r2", name="y")
    for copy in (catalog, restore(catalog)):
        assert declare(copy, base=0, request_id="r1", time=9.0) == first
        assert (
            declare(copy, base=0, request_id="r2", time=9.0, name="y") == refused_result
        )
        reused = declare(copy, base=1, request_id="r1", name="other")
        assert reused.code == "request_id_reused"
        assert copy.revision == 1


def test_retries_of_a_day_of_changes_get_the_first_result():
    # Guards against a request table that removes an id within 24 h or never shrinks.
    catalog = Catalog()
    interval = DAY_S / 550
    for number in range(3 * 550):
        time = number * interval
        declare(catalog, base=number, request_id=f"r{number}", time=time)
        oldest = max(0, number - 549)
        retried = declare(catalog, base=oldest, request_id=f"r{oldest}", time=time)
        assert retried.values["revision"] == oldest + 1
    assert catalog.dump()["requests"] <= 552


def test_full_request_table_refuses_new_ids_and_keeps_old_ones():
    # Guards against a burst of changes that evicts ids which may still be retried.
    catalog = Catalog(max_requests=2)
    for number in range(2):
        declare(catalog, base=number, request_id=f"r{number}")
    refused = declare(catalog, base=2, request_id="r2", time=DAY_S)
    assert (refused.code, refused.status) == ("request_table_full", 503)
    assert declare(catalog, base=0, request_id="r0").values["revision"] == 1
    later = declare(catalog, base=2, request_id="r2", time=DAY_S + 1)
    assert later.values["revision"] == 3


def test_keys_are_issued_once_and_withdrawn_permanently():
    # Guards against a withdrawn key that becomes valid again and against two key ids
    # with the same secret.
    catalog = Catalog()
    assert issue(catalog, request_id="q").is_accepted
    assert issue(catalog).is_accepted
    # A retry of the request carries a new key, but returns the first one.
    retried = issue(catalog, key_id="key-9", secret="new", request_id="q")
    assert retried.values["key_id"] == "key-1"
    assert issue(catalog, secret="other").code == "key_exists"
    assert issue(catalog, key_id="key-2").code == "key_exists"
    for key_id in ("key-1", "in-advance"):
        assert run(catalog, WithdrawKey(key_id=key_id)).is_accepted
    catalog = restore(catalog)
    assert issue(catalog, key_id="in-advance", secret="z").code == "key_withdrawn"
    assert issue(catalog).code == "key_withdrawn"
    assert issue(catalog, key_id="key-2").code == "key_exists"
    assert catalog.published.withdrawn == {"key-1", "in-advance"}


def test_operation_has_one_attempt_and_one_response():
    # Guards against a second run of an operation and against the response of another
    # request.
    catalog = Catalog()
    assert begin(catalog).code == "begun"
    assert begin(catalog).code == "begun"
    other = begin(catalog, attempt="a2")
    assert other.code == "operation_in_progress"
    assert other.execution is Execution.MAY_HAVE_RUN
    assert begin(catalog, attempt="a2", digest=b"e").code == "idempotency_conflict"
    assert finish(catalog, attempt="a2").code == "operation_unknown"
    assert release(catalog, attempt="a2").code == "operation_unknown"
    assert finish(catalog).code == "finished"
    assert release(catalog).code == "operation_finished"
    for attempt in ("a1", "a2"):
        recorded = begin(restore(catalog), attempt=attempt)
        assert recorded.code == "recorded"
        expected = {"status": 201, "headers": [["X-A", "1"]], "body": b"done"}
        assert recorded.values == expected


def test_released_attempt_cannot_begin_again():
    # Guards against a delayed begin that blocks the operation or runs the operation
    # twice.
    for release_first in (False, True):
        catalog = Catalog()
        if not release_first:
            begin(catalog)
        assert release(catalog).is_accepted
        assert begin(catalog).code == "operation_released"
        assert finish(catalog).code == "operation_released"
        assert begin(catalog, attempt="a2").code == "begun"
        assert begin(catalog).execution is Execution.MAY_HAVE_RUN


def test_expired_operation_never_runs_again():
    # Guards against a second run for a key that is older than 24 h, also if the clock
    # of the leader moves back.
    catalog = Catalog()
    begin(catalog)
    finish(catalog, time=10.0)
    begin(catalog, key="never-finished")
    assert begin(catalog, attempt="a2", time=DAY_S + 10.0).code == "recorded"
    expired = begin(catalog, attempt="a2", time=DAY_S + 10.1)
    assert expired.code == "operation_expired"
    assert expired.execution is Execution.MAY_HAVE_RUN
    for key in ("k1", "never-finished"):
        result = begin(restore(catalog), attempt="a3", time=0.0, key=key)
        assert result.code == "operation_expired"


def test_large_body_is_not_kept_and_full_table_refuses():
    # Guards against unbounded memory, and against a false "not run" for an operation
    # whose body was not kept.
    catalog = Catalog(max_operations=1)
    begin(catalog)
    finish(catalog, body=bytes(MAX_BODY_BYTES + 1))
    again = begin(catalog, attempt="a2")
    assert again.code == "response_not_kept"
    assert again.execution is Execution.MAY_HAVE_RUN
    full = begin(catalog, key="k2")
    assert (full.code, full.execution) == ("operations_full", Execution.NOT_RUN)


def test_unknown_commands_change_nothing():
    # Guards against a replica that fails at a command of another software version.
    catalog = Catalog()
    before = catalog.snapshot()
    withdrawal = WithdrawKey(key_id="k").to_map()
    commands = {
        b"": "command_invalid",
        b"\xc1": "command_invalid",
        msgpack.packb([1]): "command_invalid",
        msgpack.packb({"kind": "later"}): "command_unknown",
        msgpack.packb({"kind": ["a"]}): "command_unknown",
        encode_command({**withdrawal, "version": 2}): "command_version_unknown",
        encode_command({**withdrawal, "key_id": 7}): "command_invalid",
        encode_command({**withdrawal, "time": float("nan")}): "command_invalid",
    }
    for command, code in commands.items():
        result = catalog.apply(0, command)
        assert (result.code, result.status) == (code, 400)
    assert catalog.snapshot() == before
    assert catalog.apply(0, encode_command({**withdrawal, "later": 1})).is_accepted


def test_changes_lead_to_the_published_state():
    # Guards against views that differ from the replicas at the same version.
    catalog = Catalog()
    copies = [PublishedState.from_wire(catalog.published.to_wire())]
    declare(catalog, base=0, request_id="r1", name="a")
    copies.append(PublishedState.from_wire(catalog.published.to_wire()))
    issue(catalog)
    declare(catalog, base=1, request_id="r2", name="b")
    run(catalog, WithdrawKey(key_id="key-1"))
    weights = {"norte": 0.5}
    run(catalog, SetWeights(service="s", home_region="norte", weights=weights))
    for copy in copies:
        for change in catalog.changes_since(copy.version):
            copy.apply_change(msgpack.unpackb(change))
        assert copy == catalog.published
    assert catalog.changes_since(99) == []
    snapshot = catalog.snapshot()
    issue(catalog, key_id="key-2", secret="t")
    catalog.restore(snapshot)
    assert catalog.changes_since(catalog.version - 1) is None


def test_patch_of_a_long_list_is_small():
    # Guards against a transfer of the whole client block table after a change of one
    # block.
    old = {"client_blocks": [{"block": n} for n in range(1000)], "a": 1, "gone": 2}
    for position in (0, 500, 999):
        blocks = list(old["client_blocks"])
        blocks[position : position + 1] = [{"block": "new"}, {"block": "newer"}]
        new = {"client_blocks": blocks, "a": 3}
        patch = diff_mapping(old, new)
        assert patch_mapping(old, patch) == new
        assert len(msgpack.packb(patch)) < 120
    for before, after in (([1, 1, 1], [1, 1]), ([1], [1, 1]), ([1, 2], [])):
        patch = diff_mapping({"a": before}, {"a": after})
        assert patch_mapping({"a": before}, patch) == {"a": after}


def test_total_size_of_stored_bodies_is_limited():
    # Guards against a snapshot that does not fit into memory, and against a total that
    # does not decrease when bodies expire.
    table = OperationTable(max_stored_bytes=10)
    for number in range(3):
        now = number * (DAY_S + 1)
        table.expire(now)
        for key, code in (("x", "recorded"), ("y", "response_not_kept")):
            operation_fields = {**OPERATION, "key": f"{key}{number}"}
            begin_command = BeginOperation(**operation_fields, digest=b"d")
            table.begin(begin_command, now)
            table.finish(
                FinishOperation(**operation_fields, status=200, body=bytes(8)), now
            )
            assert table.begin(begin_command, now).code == code
