"""The parsing of responses, one at a time and within bounds.

aiohttp's parser reads all bytes of a segment at once. Bytes behind a complete response
then discard the response, and a target can send interim responses, blank lines or
chunk extensions without end. `TargetProtocol` gives the parser the bytes of one
response only, and bounds all bytes that belong to no head or body. It refuses heads
that the parser accepts although their status or the end of their body is undefined.
"""

import asyncio
import re
from collections.abc import Callable
from enum import Enum

from aiohttp.client_exceptions import ClientError, ClientPayloadError
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import RawResponseMessage
from aiohttp.streams import StreamReader

from toucanwood.upstream._chunked_framing import ChunkedFraming
from toucanwood.utils import limit_read_size, reset_connection

# Maximum bytes before the end of the head of the final response, which includes blank
# lines and interim responses.
MAX_HEAD_BYTES = 64 * 1024
# Maximum number of interim responses (status 1xx) before the final one.
MAX_INTERIM_RESPONSES = 8
# Maximum bytes of chunk sizes, extensions and trailers of a body: a fixed number, and a
# multiple of the bytes of the body. A chunk of one byte has five bytes of framing.
MAX_FRAMING_BYTES = 16 * 1024
MAX_FRAMING_RATIO = 8
# Maximum bytes that are kept after the end of a response. They may be the next response
# if the first one was for another request.
MAX_PENDING_BYTES = 64 * 1024
_NO_BODY_STATUSES = frozenset({204, 304})
_MIN_STATUS = 100
_MAX_STATUS = 599
# The end of a head.
_BLANK_LINE = re.compile(rb"\n\r?\n")
# A blank line can begin in an earlier segment, by at most this number of bytes.
_BLANK_LINE_OVERLAP = 2


class ProtocolViolation(ClientError):
    """Report that a target sent an invalid head or more bytes than are allowed."""


class _Stage(Enum):
    # The head of the final response is not complete.
    HEAD = "head"
    SIZED_BODY = "sized_body"
    CHUNKED_BODY = "chunked_body"
    # A body that ends with the connection.
    UNSIZED_BODY = "unsized_body"
    COMPLETE = "complete"


class TargetProtocol(ResponseHandler):
    """Parse one response at a time; keep the bytes behind it unparsed.

    `on_violation` is called with a reason and the latest bytes when a target exceeds a
    bound or sends a head that is refused. The connection is then closed at once.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        on_violation: Callable[[str, bytes], None],
    ) -> None:
        super().__init__(loop)
        # What ended the connection, None while it is open and after a plain close.
        self.lost_by: BaseException | None = None
        self._on_violation = on_violation
        self._stage = _Stage.COMPLETE
        # Received bytes; those before the offset have been parsed.
        self._received = b""
        self._offset = 0
        self._overlap = b""
        self._head_bytes = 0
        self._interim_responses = 0
        # Why a head was refused, if one was.
        self._head_fault: str | None = None
        self._body_bytes_left = 0
        self._framing = ChunkedFraming()
        self._body: StreamReader | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Bound what is read ahead of the reader of a body."""
        super().connection_made(transport)
        limit_read_size(transport)

    @property
    def should_close(self) -> bool:
        """Return whether the connection can't be used for another request."""
        return bool(super().should_close or self._pending_bytes)

    @property
    def _pending_bytes(self) -> int:
        return len(self._received) - self._offset

    def expect_response(self) -> None:
        """Parse the next response; bytes that were kept are its beginning."""
        self._stage = _Stage.HEAD
        self._overlap = b""
        self._head_bytes = self._interim_responses = 0
        self._framing = ChunkedFraming()
        self._body = None
        self._parse()
        self._hold_full_buffer()

    def expect_following_response(self) -> None:
        """Parse the response behind a complete one; otherwise do nothing."""
        if self._stage is _Stage.COMPLETE:
            self.expect_response()

    def data_received(self, data: bytes) -> None:
        """Pass the bytes of the current response to the parser."""
        if not data:
            # Called by aiohttp to parse the bytes that it held back during a pause.
            self._pass_to_parser(data)
        self._received += data
        self._parse()
        self._hold_full_buffer()

    def feed_data(
        self, data: tuple[RawResponseMessage, StreamReader], size: int = 0
    ) -> None:
        """Queue a response head for the reader and find how its body ends."""
        message, body = data
        if self._head_fault is None:
            self._head_fault = _find_head_fault(message)
        if self._head_fault is not None:
            return
        super().feed_data(data, size)
        if message.code == 101:
            self._stage = _Stage.COMPLETE
        elif message.code < 200:
            self._interim_responses += 1
        else:
            self._stage = self._find_body_stage(message)
            self._body = body

    def connection_lost(self, exc: BaseException | None) -> None:
        """Parse all remaining bytes; a reset makes a body without length incomplete."""
        self.lost_by = exc
        while self._can_parse_following_response():
            pending_bytes = self._pending_bytes
            self.expect_response()
            if self._pending_bytes == pending_bytes:
                break
        if exc is not None and self._stage is _Stage.UNSIZED_BODY:
            # aiohttp ends such a body in the same way for a close and a reset.
            self._fail_body(ClientPayloadError("the response ended with a reset"))
        super().connection_lost(exc)
        # The stream refers to this object; a cycle would keep its unread bytes until
        # the next full garbage collection.
        self._body = None

    def _can_parse_following_response(self) -> bool:
        return (
            self._stage is _Stage.COMPLETE
            and self._pending_bytes > 0
            and self.exception() is None
            and self._parser is not None
            and not self._reading_paused
        )

    def _find_body_stage(self, message: RawResponseMessage) -> _Stage:
        if self._skip_payload or message.code in _NO_BODY_STATUSES:
            return _Stage.COMPLETE
        if message.chunked:
            return _Stage.CHUNKED_BODY
        length = message.headers.get("Content-Length")
        if length is None:
            return _Stage.UNSIZED_BODY
        self._body_bytes_left = int(length)
        return _Stage.SIZED_BODY if self._body_bytes_left else _Stage.COMPLETE

    def _hold_full_buffer(self) -> None:
        """Stop reading exactly while too many bytes wait to be parsed.

        They wait behind a complete response, and while its reader is behind. The second
        ends in `data_received`, which aiohttp calls when the reader has caught up.
        """
        is_full = self._pending_bytes > MAX_PENDING_BYTES
        if is_full and not self._buffer_paused:
            self._pause_reading_for_buffer()
        elif not is_full and self._buffer_paused:
            self._resume_reading_for_buffer()

    def _parse(self) -> None:
        """Parse bytes until the end of the response, or until the reader is busy."""
        while (
            self._pending_bytes
            and self._stage is not _Stage.COMPLETE
            and self._parser is not None
            and not self._reading_paused
        ):
            end = self._find_end()
            piece = self._received[self._offset : end]
            self._offset = end
            self._overlap = (self._overlap + piece)[-_BLANK_LINE_OVERLAP:]
            self._pass_to_parser(piece)
        self._received = self._received[self._offset :]
        self._offset = 0

    def _pass_to_parser(self, piece: bytes) -> None:
        stage = self._stage
        super().data_received(piece)
        if self.exception() is not None:
            self._end_after_error()
        elif violation := self._head_fault or self._account(stage, piece):
            self._abort_response(violation, piece)

    def _find_end(self) -> int:
        """Return the index behind the bytes of the current head or body."""
        received, offset = self._received, self._offset
        if self._stage is _Stage.UNSIZED_BODY:
            return len(received)
        if self._stage is _Stage.SIZED_BODY:
            return min(offset + self._body_bytes_left, len(received))
        if self._stage is _Stage.CHUNKED_BODY:
            return self._framing.advance(received, offset)
        # The blank line that ends a head may have begun in the piece before.
        match = _BLANK_LINE.search(self._overlap + received[offset : offset + 2])
        if match is None:
            match = _BLANK_LINE.search(received, offset)
            return match.end() if match is not None else len(received)
        return max(offset + match.end() - len(self._overlap), offset + 1)

    def _account(self, stage: _Stage, piece: bytes) -> str | None:
        """Count a parsed piece; return the bound that it exceeds, or None."""
        if stage is _Stage.HEAD:
            self._head_bytes += len(piece)
            if self._head_bytes > MAX_HEAD_BYTES:
                return f"more than {MAX_HEAD_BYTES} bytes before the end of the head"
            if self._interim_responses > MAX_INTERIM_RESPONSES:
                return f"more than {MAX_INTERIM_RESPONSES} interim responses"
        elif stage is _Stage.SIZED_BODY:
            self._body_bytes_left -= len(piece)
            if not self._body_bytes_left:
                self._stage = _Stage.COMPLETE
        elif stage is _Stage.CHUNKED_BODY and self._body is not None:
            if self._body.is_eof():
                self._stage = _Stage.COMPLETE
                return None
            framing = self._framing
            limit = MAX_FRAMING_BYTES + MAX_FRAMING_RATIO * framing.data_bytes
            if framing.framing_bytes > limit:
                return (
                    f"more than {limit} bytes of framing in {framing.data_bytes} "
                    "body bytes"
                )
            # While the reader is behind, the parser may hold the end of the body back.
            if framing.is_complete and not self._reading_paused:
                return "the body goes on behind its last chunk"
        return None

    def _end_after_error(self) -> None:
        """End the body that the parser gave up; its reader would wait otherwise."""
        self._drop_received()
        self._fail_body(ClientPayloadError("the body is malformed"))

    def _abort_response(self, reason: str, received: bytes) -> None:
        self._on_violation(reason, received)
        error = ProtocolViolation(reason)
        transport = self.transport
        self._drop_received()
        self.set_exception(error)
        self._fail_body(error)
        if transport is not None:
            reset_connection(transport)

    def _drop_received(self) -> None:
        self._received = b""
        self._offset = 0

    def _fail_body(self, error: ClientError) -> None:
        """Make the reader of an incomplete body fail."""
        if self._body is not None and not self._body.is_eof():
            self._body.set_exception(error)


def _find_head_fault(message: RawResponseMessage) -> str | None:
    """Return why a head is refused, or None.

    The status must be known to the caller, and each recipient must find the same end of
    the body (RFC 9110, sections 15 and 8.6; RFC 9112, section 6).
    """
    if not _MIN_STATUS <= message.code <= _MAX_STATUS:
        return f"status must be in {_MIN_STATUS}..{_MAX_STATUS}, got {message.code:03d}"
    encodings = message.headers.getall("Transfer-Encoding", ())
    if encodings and [item.strip().lower() for item in encodings] != ["chunked"]:
        return f"transfer encoding must be chunked, got {', '.join(encodings)[:64]!r}"
    length = message.headers.get("Content-Length", "0")
    if message.code < 200 and (encodings or length.strip("0")):
        return f"an interim response with status {message.code} declares a body"
    return None
