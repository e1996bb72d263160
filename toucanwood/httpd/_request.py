"""The request of a caller."""

from typing import Any

import attrs
from aiohttp.http import HttpVersion11, RawRequestMessage
from aiohttp.streams import StreamReader
from multidict import CIMultiDictProxy

from toucanwood.httpd._body_budget import BodyBudget, BodyMemoryFull
from toucanwood.utils import decode_json

# Memory of decoded JSON as a multiple of its text.
DECODED_COPIES = 10


class BodyError(Exception):
    """Report that the caller's request body ended early or is malformed."""


class BodyTooLarge(Exception):
    """Report that the caller's request body is longer than allowed."""


@attrs.define(eq=False)
class CallerRequest:
    """Hold the head of a request and the stream of its body.

    `arrived_at` is the time of the event loop at which the head was complete.
    """

    message: RawRequestMessage
    payload: StreamReader
    arrived_at: float
    peer: str
    budget: BodyBudget = attrs.field(factory=BodyBudget)
    _reserved_bytes: int = 0

    @property
    def method(self) -> str:
        """Return the method."""
        return self.message.method

    @property
    def target(self) -> str:
        """Return the request target as the caller sent it."""
        return self.message.path

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.message.path.partition("?")[0]

    @property
    def headers(self) -> CIMultiDictProxy[str]:
        """Return the headers."""
        return self.message.headers

    @property
    def is_http11(self) -> bool:
        """Return whether the caller speaks HTTP/1.1."""
        return self.message.version >= HttpVersion11

    @property
    def has_body(self) -> bool:
        """Return whether the headers announce a body."""
        headers = self.message.headers
        return "Transfer-Encoding" in headers or headers.get(
            "Content-Length", "0"
        ) not in ("", "0")

    def count_unread_bytes(self) -> int:
        """Return how many bytes of the declared length have not arrived yet."""
        declared = self.message.headers.get("Content-Length", "")
        if self.payload.is_eof() or not declared.isdigit():
            return 0
        return max(int(declared) - self.payload.total_bytes, 0)

    async def read_body(self, limit: int) -> bytes:
        """Return the whole body; raise BodyError, BodyTooLarge or BodyMemoryFull.

        The body counts for the budget until `release_memory`.
        """
        if not self.has_body:
            return b""
        declared = self.message.headers.get("Content-Length", "")
        if declared.isdigit():
            if int(declared) > limit:
                message = f"the body has {declared} bytes, the limit is {limit}"
                raise BodyTooLarge(message)
            self._reserved_bytes += self.budget.reserve(int(declared))
        parts: list[bytes] = []
        size = 0
        while chunk := await self._read_chunk():
            size += len(chunk)
            if size > limit:
                raise BodyTooLarge(f"the body has over {limit} bytes")
            if not declared.isdigit():
                self._reserved_bytes += self.budget.reserve(len(chunk))
            parts.append(chunk)
        return b"".join(parts)

    async def read_json(self, limit: int) -> Any:
        """Return the decoded body; raise ValueError too if it is not JSON.

        The decoded form counts for the budget as well.
        """
        data = await self.read_body(limit)
        size = DECODED_COPIES * len(data)
        if not self.budget.has_room(size, self._reserved_bytes):
            raise BodyMemoryFull(f"there is no memory to decode {len(data)} bytes")
        self.hold_memory(size)
        return decode_json(data)

    def hold_memory(self, size: int) -> None:
        """Count bytes for the budget until `release_memory`."""
        self._reserved_bytes += size
        self.budget.used_bytes += size

    def release_memory(self) -> None:
        """End the claims on the budget, once the request has ended."""
        self.budget.release(self._reserved_bytes)
        self._reserved_bytes = 0

    async def _read_chunk(self) -> bytes:
        try:
            return await self.payload.readany()
        except Exception as error:
            raise BodyError(f"the request body is incomplete: {error}") from error
