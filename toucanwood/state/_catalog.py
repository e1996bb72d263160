"""Deterministic state machine of the replicated catalog."""

from collections import deque
from collections.abc import Callable
from typing import Any

import msgpack

from toucanwood.state import _published_state as change_kinds
from toucanwood.state._commands import (
    ApplyDeclaration,
    BeginOperation,
    Command,
    CommandError,
    FinishOperation,
    IssueKey,
    ReleaseOperation,
    RequestCommand,
    SetWeights,
    WithdrawKey,
    decode_command,
)
from toucanwood.state._operation_table import MAX_OPERATIONS, OperationTable
from toucanwood.state._published_state import (
    Change,
    KeyRecord,
    PublishedState,
    diff_mapping,
)
from toucanwood.state._request_table import MAX_REQUESTS, RequestTable
from toucanwood.state._results import CommandResult, accept, reject

SNAPSHOT_VERSION = 1
# Maximum number and size of the encoded changes that are kept. A subscriber that lacks
# more of them must fetch the whole state.
MAX_KEPT_CHANGES = 1024
MAX_KEPT_BYTES = 1024 * 1024


class Catalog:
    """Apply commands in log order; equal logs lead to equal states and results.

    The catalog does not validate declarations, because replicas that run different
    software versions could disagree. `ControlClient` validates a declaration before it
    is submitted.
    """

    def __init__(
        self, *, max_operations: int = MAX_OPERATIONS, max_requests: int = MAX_REQUESTS
    ) -> None:
        self.published = PublishedState()
        self.time = 0.0
        self._requests = RequestTable(max_records=max_requests)
        self._operations = OperationTable(max_records=max_operations)
        self._changes: deque[bytes] = deque()
        self._changes_bytes = 0
        self._key_id_by_sha256: dict[bytes, str] = {}
        self._listeners: list[Callable[[], None]] = []
        self._handlers: dict[type[Command], Callable[[Any], CommandResult]] = {
            ApplyDeclaration: self.apply_declaration,
            IssueKey: self.issue_key,
            WithdrawKey: self.withdraw_key,
            BeginOperation: self.begin_operation,
            FinishOperation: self.finish_operation,
            ReleaseOperation: self.release_operation,
            SetWeights: self.set_weights,
        }

    @property
    def revision(self) -> int:
        """Return the revision of the declaration; 0 if there is none yet."""
        return self.published.revision

    @property
    def version(self) -> int:
        """Return the number of published changes so far."""
        return self.published.version

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each published change and after a restore."""
        self._listeners.append(listener)

    def apply(self, index: int, command: bytes) -> CommandResult:
        """Apply an encoded command; one that cannot be decoded changes nothing."""
        try:
            parsed = decode_command(command)
        except CommandError as error:
            return reject(error.code, str(error), status=400)
        self._advance_time(parsed.time)
        version = self.version
        result = self._run_command(parsed)
        if self.version != version:
            self._notify_listeners()
        return result

    def apply_declaration(self, command: ApplyDeclaration) -> CommandResult:
        """Replace the declaration if its revision equals the base revision."""
        if command.base_revision != self.revision:
            message = (
                f"base revision {command.base_revision} is not current; "
                f"revision {self.revision} won"
            )
            return reject("revision_conflict", message, revision=self.revision)
        patch = diff_mapping(self.published.declaration, command.declaration)
        revision = self.revision + 1
        self._publish([change_kinds.DECLARATION, revision, patch])
        return accept(revision=revision)

    def issue_key(self, command: IssueKey) -> CommandResult:
        """Add a key; neither its id nor its SHA-256 may be in use or withdrawn."""
        key_id = command.key_id
        if key_id in self.published.withdrawn:
            return reject("key_withdrawn", f"key {key_id!r} is withdrawn")
        record = KeyRecord(command.sha256, command.organisation)
        existing = self.published.keys.get(key_id)
        if existing == record:
            return accept(key_id=key_id)
        if existing is not None:
            return reject("key_exists", f"key id {key_id!r} is in use")
        if command.sha256 in self._key_id_by_sha256:
            # With two key ids, the secret would stay valid after one is withdrawn.
            return reject("key_exists", "the secret is in use under another key id")
        self._key_id_by_sha256[command.sha256] = key_id
        change = [change_kinds.KEY, key_id, command.sha256, command.organisation]
        self._publish(change)
        return accept(key_id=key_id)

    def withdraw_key(self, command: WithdrawKey) -> CommandResult:
        """Withdraw a key permanently."""
        if command.key_id not in self.published.withdrawn:
            self._publish([change_kinds.WITHDRAWAL, command.key_id])
        return accept(key_id=command.key_id)

    def set_weights(self, command: SetWeights) -> CommandResult:
        """Set the weights of the serving regions for one service and home region."""
        service_and_home = (command.service, command.home_region)
        if self.published.weights.get(service_and_home) != command.weights:
            self._publish([change_kinds.WEIGHTS, *service_and_home, command.weights])
        return accept()

    def begin_operation(self, command: BeginOperation) -> CommandResult:
        """Record an operation before its dispatch."""
        return self._operations.begin(command, self.time)

    def finish_operation(self, command: FinishOperation) -> CommandResult:
        """Record the response of an operation."""
        return self._operations.finish(command, self.time)

    def release_operation(self, command: ReleaseOperation) -> CommandResult:
        """Release an attempt that is proven not to have run."""
        return self._operations.release(command, self.time)

    def changes_since(self, version: int) -> list[bytes] | None:
        """Return the encoded changes after `version`, or None if not all are kept."""
        missing = self.version - version
        if missing < 0:
            return []
        if missing > len(self._changes):
            return None
        return list(self._changes)[len(self._changes) - missing :]

    def snapshot(self) -> bytes:
        """Return the whole state, encoded."""
        content = [
            SNAPSHOT_VERSION,
            self.time,
            self.published.to_wire(),
            self._requests.to_wire(),
            self._operations.to_wire(),
        ]
        return msgpack.packb(content)

    def restore(self, snapshot: bytes) -> None:
        """Replace the whole state; raise ValueError for an unknown snapshot version."""
        content = msgpack.unpackb(snapshot, strict_map_key=False)
        version, time, published, requests, operations = content[:5]
        if version != SNAPSHOT_VERSION:
            allowed = f"snapshot version must be {SNAPSHOT_VERSION}"
            raise ValueError(f"{allowed}, got {version!r}")
        self.time = time
        self.published = PublishedState.from_wire(published)
        self._requests.load(requests)
        self._operations.load(operations)
        self._key_id_by_sha256 = {
            key.sha256: key_id for key_id, key in self.published.keys.items()
        }
        self._changes.clear()
        self._changes_bytes = 0
        self._notify_listeners()

    def dump(self) -> dict[str, Any]:
        """Return the sizes and revisions."""
        return {
            "revision": self.revision,
            "version": self.version,
            "time": self.time,
            "keys": len(self.published.keys),
            "withdrawn": len(self.published.withdrawn),
            "requests": len(self._requests),
            "operations": len(self._operations),
        }

    def _advance_time(self, time: float) -> None:
        """Advance the catalog time, which never decreases, and expire records."""
        self.time = max(self.time, time)
        self._requests.expire(self.time)
        self._operations.expire(self.time)

    def _run_command(self, command: Command) -> CommandResult:
        handler = self._handlers[type(command)]
        if not isinstance(command, RequestCommand) or not command.request_id:
            return handler(command)
        result = self._requests.find_result(command)
        if result is None:
            result = handler(command)
            self._requests.record(command, result, self.time)
        return result

    def _publish(self, change: Change) -> None:
        self.published.apply_change(change)
        encoded = msgpack.packb(change)
        self._changes.append(encoded)
        self._changes_bytes += len(encoded)
        while self._changes and (
            len(self._changes) > MAX_KEPT_CHANGES
            or self._changes_bytes > MAX_KEPT_BYTES
        ):
            self._changes_bytes -= len(self._changes.popleft())

    def _notify_listeners(self) -> None:
        for listener in self._listeners:
            listener()
