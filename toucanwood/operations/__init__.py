"""At-most-once execution of operations, recorded in the catalog."""

from toucanwood.operations._attempts import (
    CommandSubmitter,
    OperationHandle,
    RecordedResponse,
)
from toucanwood.operations._client import OperationClient

__all__ = ["CommandSubmitter", "OperationClient", "OperationHandle", "RecordedResponse"]
