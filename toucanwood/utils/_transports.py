"""Settings of asyncio's transports."""

import asyncio

READ_BYTES = 64 * 1024


def limit_read_size(transport: asyncio.BaseTransport) -> None:
    """Read at most 64 KiB at a time instead of 256 KiB.

    All that is read at once is kept, also beyond the limit of a stream, so many slow
    streams would take four times the memory. Other transports than those of selector
    event loops ignore the attribute.
    """
    # Unknown to the type stubs.
    transport.max_size = READ_BYTES  # type: ignore[attr-defined]
