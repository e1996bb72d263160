"""Relays for large responses to entries with slow links.

A target sends as much of a response at once as the TCP window allows, and on a slow
link every small response queues behind it. A relay runs on a machine with a fast link
in the same data centre. It buffers the response and writes it to the entry in small
pieces, paced to a fraction of the entry's link.
"""

from toucanwood.relay._client import (
    RelayFailed,
    RelayRefused,
    RelaySelector,
    TargetRefused,
    open_relayed_connection,
)
from toucanwood.relay._pacing import PIECE_BYTES, StreamPacer
from toucanwood.relay._relayed_protocol import RelayedProtocol, RelayEnded
from toucanwood.relay._server import RelayServer

__all__ = [
    "PIECE_BYTES",
    "RelayEnded",
    "RelayFailed",
    "RelayRefused",
    "RelaySelector",
    "RelayServer",
    "RelayedProtocol",
    "StreamPacer",
    "TargetRefused",
    "open_relayed_connection",
]
