"""Tracking of the last announcement of each target to any controller."""

from collections.abc import Container, Iterable
from typing import Any

import attrs

from toucanwood.fleet import Target

# Targets announce themselves about every 1.5 s. A target without an announcement for
# this time has crashed or cannot reach any controller.
TARGET_TIMEOUT_S = 10.0
# Interval between checks above which the process was frozen or its machine suspended,
# so that announcements may have been missed.
MAX_CHECK_INTERVAL_S = 3.0
# Minimum increase of the remaining cold start time between two announcements that
# counts as a new cold start.
COLD_START_MARGIN_S = 0.1


@attrs.define
class _Announcement:
    """Hold the last announcement of one target."""

    start_time_ms: int
    sequence: int
    remaining_cold_start_s: float
    received_at: float

    @classmethod
    def from_target(cls, target: Target, received_at: float) -> "_Announcement":
        """Return the record of an announcement."""
        return cls(
            target.start_time_ms,
            target.sequence,
            target.remaining_cold_start_s,
            received_at,
        )

    def is_older_than(self, target: Target) -> bool:
        """Return whether this announcement precedes that of a target."""
        return (self.start_time_ms, self.sequence) < (
            target.start_time_ms,
            target.sequence,
        )


@attrs.define
class TargetLiveness:
    """Track when each target last announced itself to any controller.

    Announcements that this controller receives are collected until the next gossip
    round, which shares them with the other controllers.
    """

    _by_id: dict[str, _Announcement] = attrs.field(factory=dict)
    _unshared: dict[str, list[Any]] = attrs.field(factory=dict)
    # Since when this controller has checked without a break, and its last check.
    _checking_since: float | None = None
    _checked_at: float = float("-inf")

    def record_announcement(self, target: Target, now: float) -> bool:
        """Record an announcement; return whether it reports a new cold start."""
        known = self._by_id.get(target.id)
        is_outdated = known is not None and (target.start_time_ms, target.sequence) < (
            known.start_time_ms,
            known.sequence,
        )
        if is_outdated:
            return False
        previous = known.remaining_cold_start_s if known is not None else 0.0
        self._by_id[target.id] = _Announcement.from_target(target, now)
        self._unshared[target.id] = [target.id, target.start_time_ms, target.sequence]
        return target.remaining_cold_start_s > previous + COLD_START_MARGIN_S

    def merge_shared(self, announcements: Iterable[list[Any]], now: float) -> None:
        """Merge announcements that another controller has received."""
        for target_id, start_time_ms, sequence in announcements:
            known = self._by_id.get(target_id)
            if known is None:
                self._by_id[target_id] = _Announcement(
                    start_time_ms, sequence, 0.0, now
                )
            elif (start_time_ms, sequence) >= (known.start_time_ms, known.sequence):
                known.start_time_ms, known.sequence = start_time_ms, sequence
                known.received_at = now

    def take_unshared(self) -> list[list[Any]]:
        """Return the announcements received by this controller since the last call."""
        taken = list(self._unshared.values())
        self._unshared.clear()
        return taken

    def list_silent(self, targets: Iterable[Target], now: float) -> list[Target]:
        """Return the targets without an announcement to any controller for too long.

        Only the time counts in which this controller has checked without a break: a
        controller that was cut off, frozen or not leading may have missed
        announcements to others. An announcement that is part of the state counts as
        received when it is first seen there, since others share it later.
        """
        elapsed = now - self._checked_at
        if self._checking_since is None or elapsed > MAX_CHECK_INTERVAL_S:
            self._checking_since = now
        self._checked_at = now
        silent = []
        for target in targets:
            known = self._by_id.get(target.id)
            if known is None or known.is_older_than(target):
                known = self._by_id[target.id] = _Announcement.from_target(target, now)
            if now - max(known.received_at, self._checking_since) > TARGET_TIMEOUT_S:
                silent.append(target)
        return silent

    def stop_checking(self) -> None:
        """Let the time of the next check start anew, after leadership was lost."""
        self._checking_since = None

    def expire(self, targets: Container[str], now: float) -> None:
        """Delete the records of targets that are gone and no longer announced."""
        oldest = now - TARGET_TIMEOUT_S
        for target_id, known in list(self._by_id.items()):
            if known.received_at < oldest and target_id not in targets:
                del self._by_id[target_id]
