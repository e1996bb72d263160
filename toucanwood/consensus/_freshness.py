"""Upper bound on the age of the applied state of a replica."""

import asyncio
import math
from collections import deque

from toucanwood.consensus._core import CALL_TIMEOUT_S, HEARTBEAT_INTERVAL_S, RaftCore
from toucanwood.consensus._leadership import Leadership
from toucanwood.consensus._messages import Confirmation, ConfirmCurrent
from toucanwood.peering import PeerUnavailable


class FreshnessTracker:
    """Track how old the applied state of a replica may be.

    A follower requests the commit index from the leader at each heartbeat interval.
    The leader confirms the index only while its lease is valid, so at some time after
    the request was sent no other leader existed. A state that includes the confirmed
    commit index was therefore current when the request was sent.
    """

    def __init__(self, core: RaftCore, leadership: Leadership) -> None:
        self._core = core
        self._leadership = leadership
        self._current_as_of = -math.inf
        self._unapplied_confirmations: deque[tuple[float, int]] = deque()

    def age(self) -> float:
        """Return an upper bound on the age of the applied state, in seconds."""
        self._use_applied_confirmations()
        if self._leadership.is_leader():
            acked_at = self._leadership.majority_acked_sent_at()
            self._current_as_of = max(self._current_as_of, acked_at)
        return self._core.now() - self._current_as_of

    async def run(self) -> None:
        """Request a confirmation from the leader at each heartbeat interval."""
        core = self._core
        while not core.is_closed:
            leader_id = core.leader_id
            if leader_id is not None and leader_id != core.id:
                await self._request_confirmation(leader_id)
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def _request_confirmation(self, leader_id: str) -> None:
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
            self._unapplied_confirmations.append((sent_at, reply.commit_index))
            self._use_applied_confirmations()

    def _use_applied_confirmations(self) -> None:
        """Use the confirmations whose commit index has been applied locally."""
        while (
            self._unapplied_confirmations
            and self._unapplied_confirmations[0][1] <= self._core.applied_index
        ):
            sent_at, _ = self._unapplied_confirmations.popleft()
            self._current_as_of = max(self._current_as_of, sent_at)
