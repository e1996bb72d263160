"""Commands of the replicated log, as msgpack maps with a kind and a version."""

import math
from typing import Any, ClassVar

import attrs
import msgpack

COMMAND_VERSION = 1

_text = attrs.validators.and_(
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
    number = isinstance(value, (int, float)) and not isinstance(value, bool)
    if not number or not math.isfinite(value) or value < 0:
        raise ValueError(f"time must be seconds since 1970, got {value!r}")


def _check_weights(command: Any, attribute: Any, value: Any) -> None:
    if not isinstance(value, dict):
        raise ValueError(f"weights must be a mapping, got {value!r}")
    for region, weight in value.items():
        number = isinstance(weight, (int, float)) and not isinstance(weight, bool)
        if not isinstance(region, str) or not number or not 0 <= weight < math.inf:
            allowed = "region names with finite numbers of at least 0"
            raise ValueError(f"weights must be {allowed}, got {region!r}: {weight!r}")


class CommandError(ValueError):
    """Report a command that this version cannot apply; `code` is stable."""

    def __init__(self, code: str, message: str) -> None:
        super().__init__(message)
        self.code = code


@attrs.frozen(kw_only=True)
class Command:
    """Hold what every command carries; `time` is the leader's clock since 1970."""

    kind: ClassVar[str] = ""
    # Applying the same command twice gives the same state and answer.
    is_idempotent: ClassVar[bool] = False
    # Fields that differ when an operator sends the same request again.
    generated: ClassVar[frozenset[str]] = frozenset()

    time: float = attrs.field(default=0.0, validator=_check_time)

    def to_map(self) -> dict[str, Any]:
        """Return the command as a msgpack map."""
        fields = attrs.asdict(self, recurse=False)
        return {"kind": self.kind, "version": COMMAND_VERSION, **fields}


@attrs.frozen(kw_only=True)
class RequestCommand(Command):
    """Hold a command whose first answer is kept under its request id, if not empty."""

    request_id: str = attrs.field(default="", validator=_request_id)


@attrs.frozen(kw_only=True)
class ApplyDeclaration(RequestCommand):
    """Replace the declaration that has the revision `base_revision`."""

    kind = "apply_declaration"

    declaration: dict[str, Any] = attrs.field(
        validator=attrs.validators.instance_of(dict)
    )
    base_revision: int = attrs.field(validator=attrs.validators.instance_of(int))
    request_id: str = attrs.field(validator=attrs.validators.and_(_text, _request_id))


@attrs.frozen(kw_only=True)
class IssueKey(RequestCommand):
    """Add a key, of which only the SHA-256 is stored."""

    kind = "issue_key"
    is_idempotent = True
    # A resend carries a new secret; the first answer names the key that exists.
    generated = frozenset({"key_id", "sha256"})

    key_id: str = attrs.field(validator=_text)
    sha256: bytes = attrs.field(validator=_sha256)
    organisation: str = attrs.field(validator=_text)


@attrs.frozen(kw_only=True)
class WithdrawKey(Command):
    """Withdraw a key for good; the id may be unknown yet."""

    kind = "withdraw_key"
    is_idempotent = True

    key_id: str = attrs.field(validator=_text)


@attrs.frozen(kw_only=True)
class OperationCommand(Command):
    """Name an operation by the organisation and its idempotency key."""

    is_idempotent = True

    organisation: str = attrs.field(validator=_text)
    key: str = attrs.field(validator=_text)
    attempt_id: str = attrs.field(validator=_text)


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
    """Take back an attempt that is proven not to have run."""

    kind = "release_operation"


@attrs.frozen(kw_only=True)
class SetWeights(RequestCommand):
    """Set the weights of the serving regions for one service and home region."""

    kind = "set_weights"

    service: str = attrs.field(validator=_text)
    home_region: str = attrs.field(validator=_text)
    weights: dict[str, float] = attrs.field(validator=_check_weights)


_TYPES: dict[str, type[Command]] = {
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
    """Decode a command of the log; raise CommandError if that is impossible."""
    try:
        content = msgpack.unpackb(encoded, strict_map_key=False)
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise CommandError("command_invalid", f"not msgpack: {error!r}") from None
    return parse_command(content)


def parse_command(content: Any) -> Command:
    """Build a command from its map; unknown fields of newer versions are dropped."""
    if not isinstance(content, dict):
        raise CommandError("command_invalid", "command must be a map")
    version = content.get("version", COMMAND_VERSION)
    if version != COMMAND_VERSION:
        message = f"command version must be {COMMAND_VERSION}, got {version!r}"
        raise CommandError("command_version_unknown", message)
    kind = content.get("kind")
    cls = _TYPES.get(kind) if isinstance(kind, str) else None
    if cls is None:
        known = ", ".join(sorted(_TYPES))
        message = f"kind must be one of {known}, got {kind!r}"
        raise CommandError("command_unknown", message)
    names = [field.name for field in attrs.fields(cls)]
    try:
        return cls(**{name: content[name] for name in names if name in content})
    except (TypeError, ValueError) as error:
        raise CommandError("command_invalid", f"{kind}: {error}") from None
