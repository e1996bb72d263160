"""The memory that the bodies of requests and responses of a process may take."""

from typing import Protocol

import attrs

# Copies of a request body that a process holds at most: its parts and the whole while
# it is joined, then the whole and the bytes in the send buffer of the connection to a
# target.
COPIES = 2
DEFAULT_BODY_MEMORY_BYTES = 128 * 1024 * 1024
# Fraction of the memory from which on responses should be streamed in small parts.
SCARCE_FRACTION = 0.5


class BodyMemoryFull(Exception):
    """Report that other requests and responses hold the memory for bodies."""


class ResponseHolder(Protocol):
    """A connection that holds bytes of responses until its caller reads them."""

    def count_held_bytes(self) -> int:
        """Return how many bytes are held."""


@attrs.define
class BodyBudget:
    """Count the memory for bodies of one process and bound it.

    A request body larger than the limit is allowed while there is no other one.
    """

    limit_bytes: int = DEFAULT_BODY_MEMORY_BYTES
    # Memory that requests in progress have claimed.
    used_bytes: int = 0
    _holders: set[ResponseHolder] = attrs.field(factory=set)

    def reserve(self, body_bytes: int) -> int:
        """Reserve memory for a body and return its size; raise BodyMemoryFull."""
        size = COPIES * body_bytes
        if not self.has_room(size):
            raise self._build_error()
        self.used_bytes += size
        return size

    def has_room(self, size: int, own_bytes: int = 0) -> bool:
        """Return whether a request that has claimed `own_bytes` may claim more."""
        if self.used_bytes <= own_bytes and own_bytes + size > self.limit_bytes:
            return True
        return self.measure() + size <= self.limit_bytes

    def release(self, size: int) -> None:
        """Release memory that `reserve` has returned."""
        self.used_bytes -= size

    def watch(self, holder: ResponseHolder) -> None:
        """Count the responses of a connection until it holds no bytes."""
        self._holders.add(holder)

    def measure(self) -> int:
        """Return how many bytes request bodies and unread responses take."""
        total = self.used_bytes
        for holder in list(self._holders):
            held = holder.count_held_bytes()
            total += held
            if not held:
                self._holders.discard(holder)
        return total

    def is_scarce(self) -> bool:
        """Return whether responses should take little memory."""
        return self.measure() > self.limit_bytes * SCARCE_FRACTION

    def check(self) -> None:
        """Raise BodyMemoryFull if there is no memory for another response."""
        if self.measure() >= self.limit_bytes:
            raise self._build_error()

    def _build_error(self) -> BodyMemoryFull:
        return BodyMemoryFull(
            f"the bodies of other requests and responses take {self.measure()} of "
            f"{self.limit_bytes} bytes"
        )
