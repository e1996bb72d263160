"""Automatic membership changes of the consensus group of the controllers."""

from collections.abc import Callable, Iterable

import structlog

from toucanwood.consensus import MemberRole, Replica

log = structlog.get_logger()

# Interval between checks of the group membership. Each membership change takes several
# round trips, so checking more often would not speed it up.
CHECK_INTERVAL_S = 0.25


def choose_voter_count(members: int) -> int:
    """Return the number of voters for a number of members.

    With an odd number of voters, a network partition into two halves always leaves a
    majority on one side.
    """
    return members if members % 2 else max(members - 1, 1)


class GroupManager:
    """Add live controllers to the group and promote learners to voters."""

    def __init__(
        self, replica: Replica, list_live: Callable[[], Iterable[str]]
    ) -> None:
        self._replica = replica
        self._list_live = list_live

    async def apply_next_change(self) -> None:
        """Make at most one membership change if this controller is the leader."""
        if not self._replica.is_leader():
            return
        members = self._replica.members
        live = set(self._list_live())
        for controller in sorted(live - set(members.by_id)):
            result = await self._replica.add_learner(controller)
            log.info("controller_added", id=controller, result=str(result))
            return
        if len(members.voters) >= choose_voter_count(len(members.by_id)):
            return
        for controller, member in members.by_id.items():
            if member.role is MemberRole.LEARNER and controller in live:
                result = await self._replica.promote(controller)
                log.info("controller_promoted", id=controller, result=str(result))
                return
