"""The framing of a body in chunks."""

import re
from enum import Enum

_CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;|\r?\n)")


class _Line(Enum):
    """The line that follows the bytes so far."""

    SIZE = "size"
    END_OF_CHUNK = "end_of_chunk"
    TRAILER = "trailer"


class ChunkedFraming:
    """Find the end of a body in chunks without a look at the bytes in the chunks.

    Checks only what it needs to find the end; the parser refuses other faults.
    """

    def __init__(self) -> None:
        self.data_bytes = 0
        self.framing_bytes = 0
        self.is_complete = False
        self.is_malformed = False
        self._expected = _Line.SIZE
        self._line = bytearray()
        self._chunk_bytes_left = 0

    def advance(self, data: bytes, start: int) -> int:
        """Follow the bytes from `start` on; return the index where the body ends.

        Returns the length of `data` if the body goes on behind it or is malformed.
        """
        position = start
        while position < len(data) and not self.is_complete:
            if self.is_malformed:
                return len(data)
            if self._chunk_bytes_left:
                step = min(self._chunk_bytes_left, len(data) - position)
                self._chunk_bytes_left -= step
                self.data_bytes += step
                position += step
                continue
            end = data.find(b"\n", position)
            stop = len(data) if end < 0 else end + 1
            self._line += data[position:stop]
            self.framing_bytes += stop - position
            position = stop
            if end >= 0:
                self._read_line()
        return position

    def _read_line(self) -> None:
        line = bytes(self._line)
        self._line.clear()
        is_empty = line in (b"\n", b"\r\n")
        if self._expected is _Line.TRAILER:
            self.is_complete = is_empty
        elif self._expected is _Line.END_OF_CHUNK:
            self.is_malformed = not is_empty
            self._expected = _Line.SIZE
        else:
            self._read_size(line)

    def _read_size(self, line: bytes) -> None:
        match = _CHUNK_SIZE.match(line)
        if match is None:
            self.is_malformed = True
            return
        self._chunk_bytes_left = int(match.group(1), 16)
        is_last = not self._chunk_bytes_left
        self._expected = _Line.TRAILER if is_last else _Line.END_OF_CHUNK
