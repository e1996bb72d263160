"""Gossip of withdrawals."""

from collections.abc import Iterable

from toucanwood.feed._catalog_view import CatalogView
from toucanwood.feed._messages import WithdrawalNotice
from toucanwood.peering import Transport


class WithdrawalGossip:
    """Withdraw keys at once here and at all connected peers.

    Every instance passes a withdrawal on once, when it learns of it.
    """

    def __init__(self, *, transport: Transport, view: CatalogView) -> None:
        self._transport = transport
        self._view = view
        transport.register(WithdrawalNotice, self._receive)

    def withdraw(self, key_ids: Iterable[str]) -> None:
        """Apply withdrawals to the view and pass on the ones that are new."""
        self.spread(self._view.withdraw(key_ids))

    def spread(self, key_ids: list[str]) -> None:
        """Pass withdrawals on to all connected peers."""
        if not key_ids:
            return
        for peer_id in self._transport.connected_peers():
            self._transport.send(peer_id, WithdrawalNotice(key_ids))

    async def _receive(self, sender: str, notice: WithdrawalNotice) -> None:
        self.withdraw(notice.key_ids)
