"""Leader election: election timer, pre-vote and votes."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Coroutine, Iterable
from typing import Any

from toucanwood.consensus._core import (
    CALL_TIMEOUT_S,
    HEARTBEAT_INTERVAL_S,
    MAX_ELECTION_TIMEOUT_S,
    MIN_ELECTION_TIMEOUT_S,
    VOTE_REFUSAL_S,
    RaftCore,
    RaftRole,
)
from toucanwood.consensus._messages import RequestVote, TimeoutNow, VoteReply
from toucanwood.consensus._records import StorageError
from toucanwood.peering import PeerUnavailable

# Timeout of a vote request. Longer than CALL_TIMEOUT_S, because a voter syncs its vote
# before it answers.
VOTE_TIMEOUT_S = 0.45


class Election:
    """Start elections when there is no leader, and vote in those of other replicas."""

    def __init__(
        self,
        core: RaftCore,
        *,
        become_leader: Callable[[], Awaitable[None]],
        majority_contact_at: Callable[[], float],
        seed: int | None,
    ) -> None:
        self._core = core
        self._become_leader = become_leader
        self._majority_contact_at = majority_contact_at
        self._random = random.Random(seed if seed is None else f"{seed}:{core.id}")
        core.transport.register(RequestVote, self._handle_vote_request)
        core.transport.register(TimeoutNow, self._handle_timeout_now)

    async def run(self) -> None:
        """Start an election after each election timeout until the replica is closed."""
        core = self._core
        while not core.is_closed:
            await self._wait_for_election_timeout()
            if self._should_campaign():
                await self._run_campaign(is_transfer=False)

    def _should_campaign(self) -> bool:
        core = self._core
        return core.is_voter and core.role is not RaftRole.LEADER and not core.is_closed

    async def _wait_for_election_timeout(self) -> None:
        """Sleep until one random election timeout has passed without a leader."""
        core = self._core
        timeout = self._random.uniform(MIN_ELECTION_TIMEOUT_S, MAX_ELECTION_TIMEOUT_S)
        while not core.is_closed:
            if core.role is RaftRole.LEADER:
                self._check_quorum()
                await asyncio.sleep(HEARTBEAT_INTERVAL_S)
                continue
            remaining = core.election_timer_reset_at + timeout - core.now()
            if remaining <= 0:
                core.election_timer_reset_at = core.now()
                return
            await asyncio.sleep(remaining)

    def _check_quorum(self) -> None:
        core = self._core
        if core.now() - self._majority_contact_at() > MIN_ELECTION_TIMEOUT_S:
            core.become_follower(None)
            core.election_timer_reset_at = core.now()

    async def _run_campaign(self, *, is_transfer: bool) -> None:
        try:
            await self._campaign(is_transfer=is_transfer)
        except StorageError:
            # The storage has already reported the failure to the core.
            return

    async def _campaign(self, *, is_transfer: bool) -> None:
        core = self._core
        core.leader_id = None
        term = core.term + 1
        if not is_transfer and not await self._collect_votes(term, is_pre_vote=True):
            return
        async with core.lock:
            if not self._may_campaign(term):
                return
            vote = _format_candidate(core.id, core.incarnation)
            await core.enter_term(term, vote)
            core.role = RaftRole.CANDIDATE
        if not await self._collect_votes(term, is_transfer=is_transfer):
            return
        async with core.lock:
            if core.term == term and core.role is RaftRole.CANDIDATE:
                await self._become_leader()

    def _may_campaign(self, term: int) -> bool:
        """Return whether no event during the pre-vote ended the campaign."""
        core = self._core
        is_unchanged = core.term == term - 1 and core.leader_id is None
        return is_unchanged and core.is_voter and not core.is_closed

    async def _collect_votes(
        self, term: int, *, is_pre_vote: bool = False, is_transfer: bool = False
    ) -> bool:
        """Request a vote from every voter and return whether a majority granted it."""
        core = self._core
        voters = core.members.voters
        calls = [
            self._request_vote(
                voter, term, is_pre_vote=is_pre_vote, is_transfer=is_transfer
            )
            for voter in voters
            if voter != core.id
        ]
        return await _has_majority(calls, needed=len(voters) // 2)

    async def _request_vote(
        self, voter: str, term: int, *, is_pre_vote: bool, is_transfer: bool
    ) -> bool:
        core = self._core
        request = RequestVote(
            term=term,
            target=core.members.by_id[voter].incarnation,
            incarnation=core.incarnation,
            last_index=core.storage.log.last_index,
            last_term=core.storage.log.last_term,
            is_pre_vote=is_pre_vote,
            is_transfer=is_transfer,
        )
        try:
            timeout = CALL_TIMEOUT_S if is_pre_vote else VOTE_TIMEOUT_S
            reply = await core.transport.call(voter, request, timeout=timeout)
        except PeerUnavailable:
            return False
        if not isinstance(reply, VoteReply):
            return False
        if reply.term > core.term and not reply.granted:
            await core.observe_term(reply.term)
        return reply.granted

    async def _handle_vote_request(
        self, sender: str, request: RequestVote
    ) -> VoteReply:
        core = self._core
        if not self._may_vote(request):
            return VoteReply(0, False)
        if request.is_pre_vote:
            granted = request.term > core.term and self._is_up_to_date(request)
            return VoteReply(core.term, granted)
        return await core.run_transition(
            lambda: self._decide_vote(sender, request), name="vote"
        )

    def _may_vote(self, request: RequestVote) -> bool:
        """Return whether the request is for this disk and no leader is in contact.

        The request of a leadership transfer is allowed in spite of leader contact.
        """
        core = self._core
        if core.is_closed or request.target != core.incarnation:
            return False
        return request.is_transfer or not self._has_leader_contact()

    def _has_leader_contact(self) -> bool:
        core = self._core
        leader_contact_at = core.leader_contact_at
        if core.role is RaftRole.LEADER:
            leader_contact_at = max(leader_contact_at, self._majority_contact_at())
        return core.now() - leader_contact_at < VOTE_REFUSAL_S

    async def _decide_vote(self, sender: str, request: RequestVote) -> VoteReply:
        core = self._core
        # A leader may have made contact while this request waited for the lock.
        if request.term < core.term or not self._may_vote(request):
            return VoteReply(core.term, False)
        vote = core.storage.state.vote if request.term == core.term else None
        candidate = _format_candidate(sender, request.incarnation)
        is_granted = vote in (None, candidate) and self._is_up_to_date(request)
        if is_granted:
            vote = candidate
        if (request.term, vote) != (core.term, core.storage.state.vote):
            await core.enter_term(request.term, vote)
        if is_granted:
            core.election_timer_reset_at = core.now()
        return VoteReply(core.term, is_granted)

    def _is_up_to_date(self, request: RequestVote) -> bool:
        log = self._core.storage.log
        own = (log.last_term, log.last_index)
        return (request.last_term, request.last_index) >= own

    async def _handle_timeout_now(self, sender: str, request: TimeoutNow) -> None:
        """Start an election at the request of a leader that no longer leads."""
        core = self._core
        is_addressed = request.target == core.incarnation and request.term == core.term
        if is_addressed and core.is_voter and core.role is RaftRole.FOLLOWER:
            # The former leader closes its connection now, which cancels this handler.
            # The election therefore runs in a task of its own.
            campaign = self._run_campaign(is_transfer=True)
            core.tasks.start(campaign, name="transfer-campaign")


async def _has_majority(
    calls: Iterable[Coroutine[Any, Any, bool]], needed: int
) -> bool:
    """Return whether `needed` calls return true, as soon as that is certain.

    A voter that can't be reached answers only after the timeout of its call, and the
    group has no leader meanwhile.
    """
    pending = {asyncio.ensure_future(call) for call in calls}
    try:
        while 0 < needed <= len(pending):
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            needed -= sum(task.result() for task in done)
        return needed <= 0
    finally:
        for task in pending:
            task.cancel()


def _format_candidate(instance_id: str, incarnation: str) -> str:
    """Return a name that changes when the candidate loses its disk."""
    return f"{instance_id}/{incarnation}"
