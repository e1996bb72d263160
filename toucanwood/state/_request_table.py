"""Table of command results by request id."""

import hashlib
from typing import Any

import attrs
import msgpack

from toucanwood.state._commands import RequestCommand
from toucanwood.state._results import CommandResult, reject

REQUEST_RETENTION_S = 24 * 3600.0
# Maximum number of request ids. 550 changes a day give 550 ids in 24 h; the table has
# room for 15 times as many.
MAX_REQUESTS = 8192
# Code of the only result that is not kept under its request id.
REQUEST_TABLE_FULL = "request_table_full"


@attrs.frozen
class RequestRecord:
    """Hold the first result for a request id and the digest of its command."""

    time: float
    digest: bytes
    result: CommandResult


class RequestTable:
    """Return the first result to retries of a request for at least 24 h.

    A full table refuses new request ids instead of removing one too early.
    """

    def __init__(self, *, max_records: int = MAX_REQUESTS) -> None:
        self._max_records = max_records
        self._records: dict[str, RequestRecord] = {}

    def __len__(self) -> int:
        return len(self._records)

    def find_result(self, command: RequestCommand) -> CommandResult | None:
        """Return the result for a known request id; None if the id is new.

        A request id that cannot be added or was used for another command is refused.
        """
        record = self._records.get(command.request_id)
        if record is None:
            if len(self._records) < self._max_records:
                return None
            message = f"{self._max_records} requests were made in 24 h"
            return reject(REQUEST_TABLE_FULL, message, status=503)
        if record.digest != _digest_command(command):
            message = f"request id {command.request_id!r} was used for another command"
            return reject("request_id_reused", message, status=422)
        return record.result

    def record(
        self, command: RequestCommand, result: CommandResult, now: float
    ) -> None:
        """Store the first result for a request id."""
        digest = _digest_command(command)
        self._records[command.request_id] = RequestRecord(now, digest, result)

    def expire(self, now: float) -> None:
        """Remove the request ids that are older than the retention time."""
        while self._records:
            oldest = next(iter(self._records))
            if now - self._records[oldest].time <= REQUEST_RETENTION_S:
                return
            del self._records[oldest]

    def to_wire(self) -> list[Any]:
        """Return the records, oldest first, as a msgpack list."""
        return [
            [request_id, record.time, record.digest, record.result.to_wire()]
            for request_id, record in self._records.items()
        ]

    def load(self, content: list[Any]) -> None:
        """Replace the records by `content`, as returned by `to_wire`."""
        self._records = {
            request_id: RequestRecord(time, digest, CommandResult.from_wire(result))
            for request_id, time, digest, result in content
        }


def _digest_command(command: RequestCommand) -> bytes:
    """Return a digest of the fields that are equal in retries of a request."""
    ignored = command.generated | {"time"}
    content = command.to_map().items()
    # Sorted, because the fields of a map may be encoded in any order.
    compared_fields = sorted(item for item in content if item[0] not in ignored)
    return hashlib.sha256(msgpack.packb(compared_fields)).digest()
