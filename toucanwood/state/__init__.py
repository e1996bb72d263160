"""Replicated catalog of declaration, keys, requests, operations and weights."""

from toucanwood.state._catalog import Catalog
from toucanwood.state._commands import (
    COMMAND_VERSION,
    ApplyDeclaration,
    BeginOperation,
    Command,
    CommandError,
    FinishOperation,
    IssueKey,
    ReleaseOperation,
    SetWeights,
    WithdrawKey,
    decode_command,
    encode_command,
    parse_command,
)
from toucanwood.state._published_state import KeyRecord, PublishedState
from toucanwood.state._request_table import REQUEST_TABLE_FULL
from toucanwood.state._results import CommandResult

__all__ = [
    "COMMAND_VERSION",
    "REQUEST_TABLE_FULL",
    "ApplyDeclaration",
    "BeginOperation",
    "Catalog",
    "Command",
    "CommandError",
    "CommandResult",
    "FinishOperation",
    "IssueKey",
    "KeyRecord",
    "PublishedState",
    "ReleaseOperation",
    "SetWeights",
    "WithdrawKey",
    "decode_command",
    "encode_command",
    "parse_command",
]
