"""Automatic membership changes of the consensus group of the controllers."""

from collections.abc import Callable, Iterable
from typing import Any

import attrs
import structlog
from returns.result import Failure, Result

from toucanwood.consensus import MemberRole, Members, Replica
from toucanwood.verdicts import Verdict, refuse

log = structlog.get_logger()

# Interval between checks of the group membership. Each membership change takes several
# round trips, so checking more often would not speed it up.
CHECK_INTERVAL_S = 0.25
# Interval between checks above which the process was frozen or its machine suspended,
# so that signs of life may have been missed.
MAX_CHECK_INTERVAL_S = 1.0
# Number of voters below which none is removed. Each order is then stored on three disks
# at least, and survives the loss of two.
MIN_REMAINING_VOTERS = 5


def choose_voter_count(members: int) -> int:
    """Return the number of voters for a number of members.

    With an odd number of voters, a network partition into two halves always leaves a
    majority on one side.
    """
    return members if members % 2 else max(members - 1, 1)


def find_promotable_member(
    members: Members, gone: Iterable[str], live: Iterable[str]
) -> str | None:
    """Return a live learner that the group needs as a voter, or None.

    A voter whose lost disk is being repaired becomes a voter again and counts as one.
    Otherwise a learner would take its place as well, and the number would be even.
    """
    gone = set(gone)
    present = [
        member
        for controller, member in members.by_id.items()
        if controller not in gone and member.role is not MemberRole.LEARNER
    ]
    if len(present) >= choose_voter_count(len(members.by_id) - len(gone)):
        return None
    live = set(live)
    return next(
        (
            controller
            for controller, member in members.by_id.items()
            if member.role is MemberRole.LEARNER and controller in live
        ),
        None,
    )


def find_removable_member(members: Members, gone: Iterable[str]) -> str | None:
    """Return a gone member that is not needed any more, or None.

    A voter is needed until others have taken its place: fewer voters would store orders
    on fewer disks than may be lost.
    """
    gone = set(gone)
    for controller in sorted(gone):
        if members.by_id[controller].role is not MemberRole.VOTER:
            return controller
    present = [voter for voter in members.voters if voter not in gone]
    remaining = len(members.voters) - 1
    needed = min(MIN_REMAINING_VOTERS, choose_voter_count(len(members.by_id)))
    if len(present) < needed or remaining < needed:
        return None
    return next((voter for voter in sorted(members.voters) if voter in gone), None)


@attrs.define
class MemberLiveness:
    """Track which members have given no sign of life for too long.

    Only the time counts in which this controller has checked without a break.
    """

    gone_after_s: float
    _alive_at: dict[str, float] = attrs.field(factory=dict)
    _checked_at: float = float("-inf")

    def list_gone(
        self, members: Iterable[str], live: Iterable[str], now: float
    ) -> set[str]:
        """Return the members that have been silent for `gone_after_s` seconds."""
        if now - self._checked_at > MAX_CHECK_INTERVAL_S:
            self._alive_at.clear()
        self._checked_at = now
        alive = set(live)
        self._alive_at = {
            member: now if member in alive else self._alive_at.get(member, now)
            for member in members
        }
        return {
            member
            for member, alive_at in self._alive_at.items()
            if now - alive_at > self.gone_after_s
        }


class GroupManager:
    """Add live controllers to the group, promote learners and remove what is gone."""

    def __init__(
        self,
        replica: Replica,
        list_live: Callable[[], Iterable[str]],
        *,
        own_id: str,
        gone_after_s: float,
        now: Callable[[], float],
    ) -> None:
        self._replica = replica
        self._list_live = list_live
        self._own_id = own_id
        self._now = now
        self._liveness = MemberLiveness(gone_after_s)

    def describe(self) -> list[dict[str, Any]]:
        """Return the members with their role and whether they are live."""
        live = self._list_present()
        return [
            {"id": key, "role": member.role.value, "is_live": key in live}
            for key, member in sorted(self._replica.members.by_id.items())
        ]

    async def remove(self, controller: str) -> Result[Any, Verdict]:
        """Remove a member at the order of an operator; only the leader can.

        A removal after which the live voters would be no majority is refused. A live
        controller that is removed joins again.
        """
        if not self._replica.is_leader():
            leader = self._replica.leader() or "unknown"
            message = f"only the leader removes controllers; it is {leader}"
            return Failure(refuse("not_leader", message, status=409))
        remaining = set(self._replica.members.voters) - {controller}
        live_count = len(remaining & self._list_present())
        if 2 * live_count <= len(remaining):
            message = (
                f"{live_count} of the {len(remaining)} remaining voters are live, "
                "which is no majority"
            )
            return Failure(refuse("majority_lost", message, status=409))
        result = await self._replica.remove(controller)
        log.info("controller_removed", id=controller, result=str(result))
        return result

    def _list_present(self) -> set[str]:
        return {self._own_id, *self._list_live()}

    async def apply_next_change(self) -> None:
        """Make at most one membership change if this controller is the leader."""
        if not self._replica.is_leader():
            return
        members = self._replica.members
        live = self._list_present()
        gone = self._liveness.list_gone(members.by_id, live, self._now())
        for controller in sorted(live - set(members.by_id)):
            result = await self._replica.add_learner(controller)
            log.info("controller_added", id=controller, result=str(result))
            return
        promotable = find_promotable_member(members, gone, live)
        if promotable is not None:
            result = await self._replica.promote(promotable)
            log.info("controller_promoted", id=promotable, result=str(result))
            return
        removable = find_removable_member(members, gone)
        if removable is not None:
            result = await self._replica.remove(removable)
            log.info("controller_removed", id=removable, result=str(result))
