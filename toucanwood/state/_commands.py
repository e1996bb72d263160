"""Commands of the replicated log, encoded as msgpack maps with kind and version."""

import math
from typing import Any, ClassVar

import attrs
import msgpack

COMMAND_VERSION = 1

_non_empty_text = attrs.validators.and_(
    attrs.validators.instance_of(str), attrs.validators.min_len(1)
)
_sha256 = attrs.validators.and_(
    attrs.validators.instance_of(bytes),
    attrs.validators.min_len(32),
    attrs.validators.max_len(32),
)
_request_id = attrs.validators.and_(
    attrs.validators.instance_of(str), attrs.validators.max_len(200)
)


def _check_time(command: Any, attribute: Any, value: Any) -> None:
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    if not is_number or not math.isfinite(value) or value < 0:
        raise ValueError(f"time must be seconds since 1970, got {value!r}")


def _check_weights(command: Any, attribute: Any, value: Any) -> None:
    if not isinstance(value, dict):
        raise ValueError(f"weights must be a mapping, got {value!r}")
    for region, weight in value.items():
        is_number = isinstance(weight, (int, float)) and not isinstance(weight, bool)
        if not isinstance(region, str) or not is_number or not 0 <= weight < math.inf:
            allowed = "region names with finite numbers of at least 0"
            raise ValueError(f"weights must be {allowed}, got {region!r}: {weight!r}")


class CommandError(ValueError):
    """Report a command that this software version cannot apply.

    `code` is the error code for operators and does not change between versions.
    """

    def __init__(self, code: str, message: str) -> None:
        super().__init__(message)
        self.code = code


@attrs.frozen(kw_only=True)
class Command:
    """Base of all commands; `time` is the Unix time of the leader in seconds."""

    kind: ClassVar[str] = ""
    # Whether applying the command twice leads to the same state and result.
    is_idempotent: ClassVar[bool] = False
    # Names of the fields that differ when an operator retries a request.
    generated: ClassVar[frozenset[str]] = frozenset()

    time: float = attrs.field(default=0.0, validator=_check_time)

    def to_map(self) -> dict[str, Any]:
        """Return the command as a msgpack map."""
        fields = attrs.asdict(self, recurse=False)
        return {"kind": self.kind, "version": COMMAND_VERSION, **fields}


@attrs.frozen(kw_only=True)
class RequestCommand(Command):
    """Base of commands whose first result is kept under a non-empty request id."""

    request_id: str = attrs.field(default="", validator=_request_id)


@attrs.frozen(kw_only=True)
class ApplyDeclaration(RequestCommand):
    """Replace the declaration if its revision is `base_revision`."""

    kind = "apply_declaration"

    declaration: dict[str, Any] = attrs.field(
        validator=attrs.validators.instance_of(dict)
    )
    base_revision: int = attrs.field(validator=attrs.validators.instance_of(int))
    request_id: str = attrs.field(
        validator=attrs.validators.and_(_non_empty_text, _request_id)
    )


@attrs.frozen(kw_only=True)
class IssueKey(RequestCommand):
    """Add a key, of which only the SHA-256 is stored."""

    kind = "issue_key"
    is_idempotent = True
    # A retry carries a new key id and secret; the first result has the valid key id.
    generated = frozenset({"key_id", "sha256"})

    key_id: str = attrs.field(validator=_non_empty_text)
    sha256: bytes = attrs.field(validator=_sha256)
    organisation: str = attrs.field(validator=_non_empty_text)


@attrs.frozen(kw_only=True)
class WithdrawKey(Command):
    """Withdraw a key permanently; the key id may not be known yet."""

    kind = "withdraw_key"
    is_idempotent = True

    key_id: str = attrs.field(validator=_non_empty_text)


@attrs.frozen(kw_only=True)
class OperationCommand(Command):
    """Base of operation commands; organisation and `key` identify the operation."""

    is_idempotent = True

    organisation: str = attrs.field(validator=_non_empty_text)
    key: str = attrs.field(validator=_non_empty_text)
    attempt_id: str = attrs.field(validator=_non_empty_text)


@attrs.frozen(kw_only=True)
class BeginOperation(OperationCommand):
    """Record an operation before it is dispatched."""

    kind = "begin_operation"

    digest: bytes = attrs.field(validator=attrs.validators.instance_of(bytes))


@attrs.frozen(kw_only=True)
class FinishOperation(OperationCommand):
    """Record the response of an operation; `body` is None if it is too large."""

    kind = "finish_operation"

    status: int = attrs.field(validator=attrs.validators.instance_of(int))
    headers: list[list[str]] = attrs.field(
        factory=list, validator=attrs.validators.instance_of(list)
    )
    body: bytes | None = attrs.field(
        default=None,
        validator=attrs.validators.optional(attrs.validators.instance_of(bytes)),
    )


@attrs.frozen(kw_only=True)
class ReleaseOperation(OperationCommand):
    """Release an attempt that is proven not to have run."""

    kind = "release_operation"


@attrs.frozen(kw_only=True)
class SetWeights(RequestCommand):
    """Set the weights of the serving regions for one service and home region."""

    kind = "set_weights"

    service: str = attrs.field(validator=_non_empty_text)
    home_region: str = attrs.field(validator=_non_empty_text)
    weights: dict[str, float] = attrs.field(validator=_check_weights)


_COMMAND_TYPES: dict[str, type[Command]] = {
    cls.kind: cls
    for cls in (
        ApplyDeclaration,
        IssueKey,
        WithdrawKey,
        BeginOperation,
        FinishOperation,
        ReleaseOperation,
        SetWeights,
    )
}


def encode_command(command: dict[str, Any]) -> bytes:
    """Encode a command map for the log."""
    return msgpack.packb(command)


def decode_command(encoded: bytes) -> Command:
    """Decode a command; raise CommandError if it is invalid."""
    try:
        content = msgpack.unpackb(encoded, strict_map_key=False)
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise CommandError("command_invalid", f"not msgpack: {error!r}") from None
    return parse_command(content)


def parse_command(content: Any) -> Command:
    """Build a command from its map; unknown fields are ignored."""
    if not isinstance(content, dict):
        raise CommandError("command_invalid", "command must be a map")
    version = content.get("version", COMMAND_VERSION)
    if version != COMMAND_VERSION:
        message = f"command version must be {COMMAND_VERSION}, got {version!r}"
        raise CommandError("command_version_unknown", message)
    kind = content.get("kind")
    cls = _COMMAND_TYPES.get(kind) if isinstance(kind, str) else None
    if cls is None:
        known = ", ".join(sorted(_COMMAND_TYPES))
        message = f"kind must be one of {known}, got {kind!r}"
        raise CommandError("command_unknown", message)
    names = [field.name for field in attrs.fields(cls)]
    try:
        return cls(**{name: content[name] for name in names if name in content})
    except (TypeError, ValueError) as error:
        raise CommandError("command_invalid", f"{kind}: {error}") from None
