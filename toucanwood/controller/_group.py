"""Which controllers vote in the replicated log."""

from collections.abc import Callable, Iterable

import structlog

from toucanwood.consensus import MemberRole, Replica

log = structlog.get_logger()

# A change of members takes some round trips, so there is no use in more haste.
CHECK_INTERVAL_S = 0.25


def choose_voter_count(members: int) -> int:
    """Return the number of voters for a number of members.

    An odd number keeps a majority on one side when the controllers are cut in halves.
    """
    return members if members % 2 else max(members - 1, 1)


class GroupKeeper:
    """Let the leader add the controllers that announce themselves."""

    def __init__(
        self, replica: Replica, list_live: Callable[[], Iterable[str]]
    ) -> None:
        self._replica = replica
        self._list_live = list_live

    async def change_one(self) -> None:
        """Make at most one change, if this controller leads."""
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
