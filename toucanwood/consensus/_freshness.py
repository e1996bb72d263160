"""Proof of how current a replica's applied state is."""

import asyncio
import math
from collections import deque

from toucanwood.consensus._core import CALL_TIMEOUT_S, HEARTBEAT_S, Core
from toucanwood.consensus._leadership import Leadership
from toucanwood.consensus._messages import Confirmation, ConfirmCurrent
from toucanwood.peering import PeerUnavailable


class Freshness:
    """Ask the leader which index is current, and count it once it is applied.

    The leader answers only while its lease is valid, so at some time after the
    request was sent no other leader existed. The state that includes the leader's
    commit index was therefore current when the request was sent.
    """

    def __init__(self, core: Core, leadership: Leadership) -> None:
        self._core = core
        self._leadership = leadership
        self._proven_at = -math.inf
        self._waiting: deque[tuple[float, int]] = deque()

    def age(self) -> float:
        """Return an upper bound on the age of the applied state, in seconds."""
        self._count_applied()
        if self._leadership.is_leader():
            acked_at = self._leadership.acked_majority_at()
            self._proven_at = max(self._proven_at, acked_at)
        return self._core.now() - self._proven_at

    async def run(self) -> None:
        """Ask the leader at each heartbeat interval."""
        core = self._core
        while not core.is_closed:
            leader_id = core.leader_id
            if leader_id is not None and leader_id != core.id:
                await self._ask(leader_id)
            await asyncio.sleep(HEARTBEAT_S)

    async def _ask(self, leader_id: str) -> None:
        core = self._core
        sent_at = core.now()
        request = ConfirmCurrent()
        try:
            reply = await core.transport.call(
                leader_id, request, timeout=CALL_TIMEOUT_S
            )
        except PeerUnavailable:
            return
        if isinstance(reply, Confirmation) and reply.is_valid:
            self._waiting.append((sent_at, reply.commit_index))
            self._count_applied()

    def _count_applied(self) -> None:
        """Count the answers whose commit index has been applied here."""
        while self._waiting and self._waiting[0][1] <= self._core.applied_index:
            sent_at, _ = self._waiting.popleft()
            self._proven_at = max(self._proven_at, sent_at)
