"""At-most-once operations: the client side of the catalog's records."""

from toucanwood.operations._operations import Operations
from toucanwood.operations._records import Begun, Recorded, Submitter

__all__ = ["Begun", "Operations", "Recorded", "Submitter"]
