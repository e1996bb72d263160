"""Gossip of key withdrawals."""

from collections.abc import Iterable

from toucanwood.feed._catalog_view import CatalogView
from toucanwood.feed._messages import WithdrawalNotice
from toucanwood.peering import Transport


class WithdrawalGossip:
    """Withdraw keys at once on this instance and on all connected peers.

    Every instance forwards a withdrawal once, when it first receives the withdrawal.
    """

    def __init__(self, *, transport: Transport, view: CatalogView) -> None:
        self._transport = transport
        self._view = view
        transport.register(WithdrawalNotice, self._handle_notice)

    def withdraw(self, key_ids: Iterable[str]) -> None:
        """Apply withdrawals to the view and broadcast the new ones."""
        self.broadcast(self._view.withdraw(key_ids))

    def broadcast(self, key_ids: list[str]) -> None:
        """Send withdrawals to all connected peers."""
        if not key_ids:
            return
        for peer_id in self._transport.connected_peers():
            self._transport.send(peer_id, WithdrawalNotice(key_ids))

    async def _handle_notice(self, sender: str, notice: WithdrawalNotice) -> None:
        self.withdraw(notice.key_ids)
