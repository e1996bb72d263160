"""Table of operations that run at most once."""

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
from toucanwood.state._results import CommandResult, accept, reject, reject_uncertain

RESPONSE_RETENTION_S = 24 * 3600.0
MAX_OPERATIONS = 1_000_000
MAX_BODY_BYTES = 64 * 1024
# Maximum total size of the recorded bodies, which are part of the snapshot. A million
# bodies of 64 KiB would not fit into memory.
MAX_STORED_BYTES = 256 * 1024 * 1024
# Maximum number of records that expire with one command. It limits the time to apply
# the first command after an idle period.
MAX_EXPIRED_PER_COMMAND = 1000


class OperationStage(enum.IntEnum):
    """Stage of the last attempt of an operation."""

    BEGUN = 0
    FINISHED = 1
    RELEASED = 2


@attrs.define
class OperationRecord:
    """Hold the last attempt of an operation, and the response once it has finished.

    `time` is the catalog time at which the attempt entered its current `stage`.
    """

    stage: OperationStage
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

    After 24 h a record is replaced by a tombstone, so that the operation of an expired
    key never runs again.
    """

    def __init__(
        self,
        *,
        max_records: int = MAX_OPERATIONS,
        max_stored_bytes: int = MAX_STORED_BYTES,
    ) -> None:
        self._max_records = max_records
        self._max_stored_bytes = max_stored_bytes
        # Records ordered by the time of their last change of stage.
        self._records: dict[bytes, OperationRecord] = {}
        self._tombstones: set[bytes] = set()
        self._stored_bytes = 0

    def __len__(self) -> int:
        return len(self._records) + len(self._tombstones)

    def begin(self, command: BeginOperation, now: float) -> CommandResult:
        """Begin an operation, or return the state of an earlier attempt."""
        operation_id = _hash_operation_id(command)
        if operation_id in self._tombstones:
            message = "the operation was begun more than 24 h ago"
            return reject_uncertain("operation_expired", message)
        record = self._records.get(operation_id)
        if record is not None and record.stage is not OperationStage.RELEASED:
            return _build_retry_result(record, command)
        if record is not None and record.attempt_id == command.attempt_id:
            return reject("operation_released", "the attempt was released")
        if record is None and len(self) >= self._max_records:
            message = f"{self._max_records} operations are recorded"
            return reject("operations_full", message, status=503)
        attempt = OperationRecord(
            OperationStage.BEGUN, now, command.attempt_id, digest=command.digest
        )
        self._store(operation_id, attempt)
        return accept("begun")

    def finish(self, command: FinishOperation, now: float) -> CommandResult:
        """Record the response of the attempt that began the operation."""
        operation_id = _hash_operation_id(command)
        record = self._records.get(operation_id)
        refusal = _check_attempt(record, command)
        if refusal is not None or record is None:
            return refusal or _reject_unknown()
        if record.stage is OperationStage.RELEASED:
            return reject("operation_released", "the attempt was released")
        if record.stage is OperationStage.BEGUN:
            self._store(operation_id, self._build_finished(record, command, now))
        return accept("finished")

    def release(self, command: ReleaseOperation, now: float) -> CommandResult:
        """Release an attempt, so that another one may begin.

        If the begin of the released attempt is committed later, the begin is refused.
        """
        operation_id = _hash_operation_id(command)
        record = self._records.get(operation_id)
        if record is None:
            if operation_id in self._tombstones or len(self) >= self._max_records:
                return _reject_unknown()
            self._store(
                operation_id,
                OperationRecord(OperationStage.RELEASED, now, command.attempt_id),
            )
            return accept("released")
        refusal = _check_attempt(record, command)
        if refusal is not None:
            return refusal
        if record.stage is OperationStage.FINISHED:
            return reject("operation_finished", "the operation has a response")
        if record.stage is OperationStage.BEGUN:
            self._store(
                operation_id,
                OperationRecord(OperationStage.RELEASED, now, command.attempt_id),
            )
        return accept("released")

    def expire(self, now: float) -> None:
        """Replace old records by tombstones; remove old released attempts."""
        for _ in range(MAX_EXPIRED_PER_COMMAND):
            operation_id = next(iter(self._records), None)
            if operation_id is None:
                return
            record = self._records[operation_id]
            if now - record.time <= RESPONSE_RETENTION_S:
                return
            self._remove(operation_id)
            if record.stage is not OperationStage.RELEASED:
                self._tombstones.add(operation_id)

    def to_wire(self) -> list[Any]:
        """Return the table as a msgpack list."""
        records = [
            [operation_id, *attrs.astuple(record, recurse=False)]
            for operation_id, record in self._records.items()
        ]
        return [records, sorted(self._tombstones)]

    def load(self, content: list[Any]) -> None:
        """Replace the table by `content`, as returned by `to_wire`."""
        records, tombstones = content[:2]
        self._records = {
            operation_id: OperationRecord(OperationStage(stage), *values)
            for operation_id, stage, *values in records
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
            if len(body) > MAX_BODY_BYTES or total > self._max_stored_bytes:
                body = None
        return OperationRecord(
            OperationStage.FINISHED,
            now,
            record.attempt_id,
            digest=record.digest,
            status=command.status,
            headers=command.headers,
            body=body,
        )

    def _store(self, operation_id: bytes, record: OperationRecord) -> None:
        """Store a record as the last one, which keeps the order by time."""
        self._remove(operation_id)
        self._records[operation_id] = record
        self._stored_bytes += record.stored_bytes

    def _remove(self, operation_id: bytes) -> None:
        record = self._records.pop(operation_id, None)
        if record is not None:
            self._stored_bytes -= record.stored_bytes


def _build_retry_result(
    record: OperationRecord, command: BeginOperation
) -> CommandResult:
    if record.digest != command.digest:
        message = "the idempotency key was used with another request body"
        return reject("idempotency_conflict", message, status=422)
    if record.stage is OperationStage.FINISHED and record.body is not None:
        return accept(
            "recorded", status=record.status, headers=record.headers, body=record.body
        )
    if record.stage is OperationStage.FINISHED:
        message = f"the operation ended with status {record.status}; body not kept"
        return reject_uncertain("response_not_kept", message)
    if record.attempt_id == command.attempt_id:
        return accept("begun")
    return reject_uncertain("operation_in_progress", "another attempt has begun")


def _check_attempt(
    record: OperationRecord | None, command: OperationCommand
) -> CommandResult | None:
    if record is None or record.attempt_id != command.attempt_id:
        return _reject_unknown()
    return None


def _reject_unknown() -> CommandResult:
    return reject("operation_unknown", "no operation of this attempt is recorded")


def _hash_operation_id(command: OperationCommand) -> bytes:
    """Return the first 16 bytes of a hash of organisation and idempotency key.

    The length prefix keeps different pairs from giving the same hashed string.
    """
    prefix = f"{len(command.organisation)}:{command.organisation}:"
    return hashlib.sha256((prefix + command.key).encode()).digest()[:16]
