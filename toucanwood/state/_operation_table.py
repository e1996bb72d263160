"""At-most-once records of operations."""

import enum
import hashlib
from typing import Any

import attrs

from toucanwood.state._commands import (
    BeginOperation,
    FinishOperation,
    OperationCommand,
    ReleaseOperation,
)
from toucanwood.state._results import CommandResult, accept, reject, reject_in_doubt

RESPONSE_RETENTION_S = 24 * 3600.0
MAX_OPERATIONS = 1_000_000
MAX_BODY_BYTES = 64 * 1024
# Bounds the snapshot: a million bodies of 64 KiB would not fit into memory.
MAX_STORED_BYTES = 256 * 1024 * 1024
# Bounds the time of one apply after an idle period.
MAX_EXPIRED_PER_COMMAND = 1000


class Stage(enum.IntEnum):
    """Tell how far an operation has come."""

    BEGUN = 0
    FINISHED = 1
    RELEASED = 2


@attrs.define
class OperationRecord:
    """Hold one operation; `time` is that of its last change of stage."""

    stage: Stage
    time: float
    attempt_id: str
    digest: bytes = b""
    status: int = 0
    headers: list[Any] = attrs.Factory(list)
    body: bytes | None = None

    @property
    def stored_bytes(self) -> int:
        """Return the size of the recorded body."""
        return len(self.body or b"")


class OperationTable:
    """Admit one attempt per operation and keep its response for 24 h.

    After that a tombstone remains, so that an expired key never runs twice.
    """

    def __init__(
        self, *, limit: int = MAX_OPERATIONS, stored_limit: int = MAX_STORED_BYTES
    ) -> None:
        self._limit = limit
        self._stored_limit = stored_limit
        # Ordered by the time of the last change of stage.
        self._records: dict[bytes, OperationRecord] = {}
        self._tombstones: set[bytes] = set()
        self._stored_bytes = 0

    def __len__(self) -> int:
        return len(self._records) + len(self._tombstones)

    def begin(self, command: BeginOperation, now: float) -> CommandResult:
        """Begin an operation, or tell what is known about an earlier attempt."""
        name = _hash_name(command)
        if name in self._tombstones:
            message = "the operation was begun more than 24 h ago"
            return reject_in_doubt("operation_expired", message)
        record = self._records.get(name)
        if record is not None and record.stage is not Stage.RELEASED:
            return _answer_repeat(record, command)
        if record is not None and record.attempt_id == command.attempt_id:
            return reject("operation_released", "the attempt was released")
        if record is None and len(self) >= self._limit:
            message = f"{self._limit} operations are recorded"
            return reject("operations_full", message, status=503)
        attempt = OperationRecord(
            Stage.BEGUN, now, command.attempt_id, digest=command.digest
        )
        self._put(name, attempt)
        return accept("begun")

    def finish(self, command: FinishOperation, now: float) -> CommandResult:
        """Record the response of the attempt that began the operation."""
        name = _hash_name(command)
        record = self._records.get(name)
        refusal = _check_attempt(record, command)
        if refusal is not None or record is None:
            return refusal or _answer_unknown()
        if record.stage is Stage.RELEASED:
            return reject("operation_released", "the attempt was released")
        if record.stage is Stage.BEGUN:
            self._put(name, self._build_finished(record, command, now))
        return accept("finished")

    def release(self, command: ReleaseOperation, now: float) -> CommandResult:
        """Let another attempt begin; also a begin that arrives later is refused."""
        name = _hash_name(command)
        record = self._records.get(name)
        if record is None:
            if name in self._tombstones or len(self) >= self._limit:
                return _answer_unknown()
            self._put(name, OperationRecord(Stage.RELEASED, now, command.attempt_id))
            return accept("released")
        refusal = _check_attempt(record, command)
        if refusal is not None:
            return refusal
        if record.stage is Stage.FINISHED:
            return reject("operation_finished", "the operation has a response")
        if record.stage is Stage.BEGUN:
            self._put(name, OperationRecord(Stage.RELEASED, now, command.attempt_id))
        return accept("released")

    def expire(self, now: float) -> None:
        """Replace old records by tombstones; forget old released attempts."""
        for _ in range(MAX_EXPIRED_PER_COMMAND):
            name = next(iter(self._records), None)
            if name is None:
                return
            record = self._records[name]
            if now - record.time <= RESPONSE_RETENTION_S:
                return
            self._remove(name)
            if record.stage is not Stage.RELEASED:
                self._tombstones.add(name)

    def to_wire(self) -> list[Any]:
        """Return the table as a msgpack list."""
        records = [
            [name, *attrs.astuple(record, recurse=False)]
            for name, record in self._records.items()
        ]
        return [records, sorted(self._tombstones)]

    def load(self, content: list[Any]) -> None:
        """Replace the table by that of `to_wire`."""
        records, tombstones = content[:2]
        self._records = {
            name: OperationRecord(Stage(stage), *values)
            for name, stage, *values in records
        }
        self._tombstones = set(tombstones)
        self._stored_bytes = sum(
            record.stored_bytes for record in self._records.values()
        )

    def _build_finished(
        self, record: OperationRecord, command: FinishOperation, now: float
    ) -> OperationRecord:
        body = command.body
        if body is not None:
            total = self._stored_bytes + len(body)
            if len(body) > MAX_BODY_BYTES or total > self._stored_limit:
                body = None
        return OperationRecord(
            Stage.FINISHED,
            now,
            record.attempt_id,
            digest=record.digest,
            status=command.status,
            headers=command.headers,
            body=body,
        )

    def _put(self, name: bytes, record: OperationRecord) -> None:
        """Store a record behind all others, which keeps the order by time."""
        self._remove(name)
        self._records[name] = record
        self._stored_bytes += record.stored_bytes

    def _remove(self, name: bytes) -> None:
        record = self._records.pop(name, None)
        if record is not None:
            self._stored_bytes -= record.stored_bytes


def _answer_repeat(record: OperationRecord, command: BeginOperation) -> CommandResult:
    if record.digest != command.digest:
        message = "the idempotency key was used with another request body"
        return reject("idempotency_conflict", message, status=422)
    if record.stage is Stage.FINISHED and record.body is not None:
        return accept(
            "recorded", status=record.status, headers=record.headers, body=record.body
        )
    if record.stage is Stage.FINISHED:
        message = f"the operation ended with status {record.status}; body not kept"
        return reject_in_doubt("response_not_kept", message)
    if record.attempt_id == command.attempt_id:
        return accept("begun")
    return reject_in_doubt("operation_in_progress", "another attempt has begun")


def _check_attempt(
    record: OperationRecord | None, command: OperationCommand
) -> CommandResult | None:
    if record is None or record.attempt_id != command.attempt_id:
        return _answer_unknown()
    return None


def _answer_unknown() -> CommandResult:
    return reject("operation_unknown", "no operation of this attempt is recorded")


def _hash_name(command: OperationCommand) -> bytes:
    """Return a fixed-size name; the length keeps pairs apart that join equally."""
    prefix = f"{len(command.organisation)}:{command.organisation}:"
    return hashlib.sha256((prefix + command.key).encode()).digest()[:16]
