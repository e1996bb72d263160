"""Settings of asyncio's transports, and the way to end a connection at once."""

import asyncio
import socket
import struct

READ_BYTES = 64 * 1024
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def limit_read_size(transport: asyncio.BaseTransport) -> None:
    """Read at most 64 KiB at a time instead of 256 KiB.

    All that is read at once is kept, also beyond the limit of a stream, so many slow
    streams would take four times the memory. Other transports than those of selector
    event loops ignore the attribute.
    """
    # Unknown to the type stubs.
    transport.max_size = READ_BYTES  # type: ignore[attr-defined]


def reset_connection(transport: asyncio.WriteTransport) -> None:
    """End a connection at once; bytes that have not been delivered are lost.

    `abort` alone drops only the bytes in the buffer of the process. Those that the
    system holds are still delivered, possibly much later.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None and sock.fileno() != -1:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    transport.abort()
