"""Take large responses for entries with slow links, and pass them on at their pace.

A target sends as much of a response at once as the windows of the connection hold, and
on a slow link every small response waits behind it. A relay on a machine with a fast
link in the same data centre takes such a response in, and writes it to the entry in
small pieces, a part of the entry's link at most.
"""

from toucanwood.relay._client import (
    RelayFailed,
    RelayRefused,
    RelaySelector,
    TargetRefused,
    open_relayed_connection,
)
from toucanwood.relay._pacing import PIECE_BYTES, StreamPacer
from toucanwood.relay._server import RelayServer

__all__ = [
    "PIECE_BYTES",
    "RelayFailed",
    "RelayRefused",
    "RelaySelector",
    "RelayServer",
    "StreamPacer",
    "TargetRefused",
    "open_relayed_connection",
]
