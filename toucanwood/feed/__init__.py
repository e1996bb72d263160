"""Replication of the catalog to all instances, and submission of commands."""

from toucanwood.feed._catalog_view import CatalogView
from toucanwood.feed._control_client import ControlClient
from toucanwood.feed._control_server import ControlServer
from toucanwood.feed._publisher import Publisher
from toucanwood.feed._replica_ranking import rank_replicas
from toucanwood.feed._subscriber import Subscriber
from toucanwood.feed._withdrawal_gossip import WithdrawalGossip

__all__ = [
    "CatalogView",
    "ControlClient",
    "ControlServer",
    "Publisher",
    "Subscriber",
    "WithdrawalGossip",
    "rank_replicas",
]
