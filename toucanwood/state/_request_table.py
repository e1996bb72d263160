"""First answers by request id."""

import hashlib
from typing import Any

import attrs
import msgpack

from toucanwood.state._commands import RequestCommand
from toucanwood.state._results import CommandResult, reject

REQUEST_RETENTION_S = 24 * 3600.0
# 550 changes a day give 550 ids in 24 h. The limit leaves room for 15 times as many.
MAX_REQUESTS = 8192
# The only answer that is not kept under its request id.
REQUEST_TABLE_FULL = "request_table_full"


@attrs.frozen
class RequestRecord:
    """Hold the first answer to a request id and the digest of its command."""

    time: float
    digest: bytes
    answer: CommandResult


class RequestTable:
    """Answer resends with the first answer for at least 24 h.

    A full table refuses new request ids instead of forgetting one too early.
    """

    def __init__(self, *, limit: int = MAX_REQUESTS) -> None:
        self._limit = limit
        self._records: dict[str, RequestRecord] = {}

    def __len__(self) -> int:
        return len(self._records)

    def find(self, command: RequestCommand) -> CommandResult | None:
        """Return the answer to a known request id, or a refusal if it cannot be new."""
        record = self._records.get(command.request_id)
        if record is None:
            if len(self._records) < self._limit:
                return None
            message = f"{self._limit} requests were made in 24 h"
            return reject(REQUEST_TABLE_FULL, message, status=503)
        if record.digest != _digest_command(command):
            message = f"request id {command.request_id!r} was used for another command"
            return reject("request_id_reused", message, status=422)
        return record.answer

    def record(
        self, command: RequestCommand, answer: CommandResult, now: float
    ) -> None:
        """Keep the first answer to a request id."""
        digest = _digest_command(command)
        self._records[command.request_id] = RequestRecord(now, digest, answer)

    def expire(self, now: float) -> None:
        """Forget the request ids that are older than the retention."""
        while self._records:
            oldest = next(iter(self._records))
            if now - self._records[oldest].time <= REQUEST_RETENTION_S:
                return
            del self._records[oldest]

    def to_wire(self) -> list[Any]:
        """Return the records, oldest first, as a msgpack list."""
        return [
            [request_id, record.time, record.digest, record.answer.to_wire()]
            for request_id, record in self._records.items()
        ]

    def load(self, content: list[Any]) -> None:
        """Replace the records by those of `to_wire`."""
        self._records = {
            request_id: RequestRecord(time, digest, CommandResult.from_wire(answer))
            for request_id, time, digest, answer in content
        }


def _digest_command(command: RequestCommand) -> bytes:
    """Return a digest of the fields that a resend repeats."""
    ignored = command.generated | {"time"}
    content = command.to_map().items()
    # Sorts the fields, as a map may be encoded in any order.
    repeated = sorted(item for item in content if item[0] not in ignored)
    return hashlib.sha256(msgpack.packb(repeated)).digest()
