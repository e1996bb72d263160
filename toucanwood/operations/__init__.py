"""At-most-once operations: the client side of the catalog's records."""

from toucanwood.operations._client import OperationClient
from toucanwood.operations._records import (
    CommandSubmitter,
    OperationHandle,
    RecordedResponse,
)

__all__ = ["CommandSubmitter", "OperationClient", "OperationHandle", "RecordedResponse"]
