"""Authenticated msgpack streams between instances."""

from toucanwood.peering._messages import decode_message, encode_message, message
from toucanwood.peering._network import PeerNetwork, split_address
from toucanwood.peering._transport import Handler, PeerUnavailable, Transport

__all__ = [
    "Handler",
    "PeerNetwork",
    "PeerUnavailable",
    "Transport",
    "decode_message",
    "encode_message",
    "message",
    "split_address",
]
