"""The replicated catalog: declaration, keys, requests, operations and weights."""

from toucanwood.state._answers import Answer
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
from toucanwood.state._published import KeyRecord, Published
from toucanwood.state._requests import REQUEST_TABLE_FULL

__all__ = [
    "COMMAND_VERSION",
    "REQUEST_TABLE_FULL",
    "Answer",
    "ApplyDeclaration",
    "BeginOperation",
    "Catalog",
    "Command",
    "CommandError",
    "FinishOperation",
    "IssueKey",
    "KeyRecord",
    "Published",
    "ReleaseOperation",
    "SetWeights",
    "WithdrawKey",
    "decode_command",
    "encode_command",
    "parse_command",
]
