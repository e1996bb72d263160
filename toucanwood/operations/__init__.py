"""At-most-once execution of operations, recorded in the catalog."""

from toucanwood.operations._client import OperationClient
from toucanwood.operations._records import (
    CommandSubmitter,
    OperationHandle,
    RecordedResponse,
)

__all__ = ["CommandSubmitter", "OperationClient", "OperationHandle", "RecordedResponse"]
