"""Distribution of the catalog to all instances, and commands to its leader."""

from toucanwood.feed._control import Control
from toucanwood.feed._control_server import ControlServer
from toucanwood.feed._gossip import WithdrawalGossip
from toucanwood.feed._publisher import Publisher
from toucanwood.feed._ranking import rank_replicas
from toucanwood.feed._subscriber import Subscriber
from toucanwood.feed._view import View

__all__ = [
    "Control",
    "ControlServer",
    "Publisher",
    "Subscriber",
    "View",
    "WithdrawalGossip",
    "rank_replicas",
]
