"""The memory that the request bodies of a process may take."""

import attrs

# Copies of a body that a process holds at most: its parts and the whole while it is
# joined, then the whole and the bytes in the send buffer of the connection to a target.
COPIES = 2
DEFAULT_BODY_MEMORY_BYTES = 128 * 1024 * 1024


class BodyMemoryFull(Exception):
    """Report that other requests hold the memory for request bodies."""


@attrs.define
class BodyBudget:
    """Count the memory for request bodies of one process and bound it.

    A body larger than the limit is allowed while there is no other one.
    """

    limit_bytes: int = DEFAULT_BODY_MEMORY_BYTES
    used_bytes: int = 0

    def reserve(self, body_bytes: int) -> int:
        """Reserve memory for a body and return its size; raise BodyMemoryFull."""
        size = COPIES * body_bytes
        if self.used_bytes and self.used_bytes + size > self.limit_bytes:
            raise BodyMemoryFull(
                f"the bodies of other requests take {self.used_bytes} of "
                f"{self.limit_bytes} bytes"
            )
        self.used_bytes += size
        return size

    def release(self, size: int) -> None:
        """Release memory that `reserve` has returned."""
        self.used_bytes -= size
