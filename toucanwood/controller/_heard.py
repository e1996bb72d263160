"""When each target was last heard, over all controllers."""

from collections.abc import Iterable
from typing import Any

import attrs

from toucanwood.fleet import Target

# A target announces itself every 1.5 s or so; one that misses this many seconds has
# crashed, or nobody can hear it.
SILENT_TARGET_S = 10.0
# A cold start is news when the target was less cold at its last announcement.
COLD_MARGIN_S = 0.1


@attrs.define
class _Announcement:
    """Hold the last announcement of one target."""

    start_time_ms: int
    sequence: int
    remaining_cold_start_s: float
    heard_at: float


@attrs.define
class HeardTargets:
    """Know the last announcement of each target."""

    _by_id: dict[str, _Announcement] = attrs.field(factory=dict)
    _unshared: dict[str, list[Any]] = attrs.field(factory=dict)

    def note(self, target: Target, now: float) -> bool:
        """Record an announcement; return whether it tells of a new cold start."""
        known = self._by_id.get(target.id)
        is_late = known is not None and (target.start_time_ms, target.sequence) < (
            known.start_time_ms,
            known.sequence,
        )
        if is_late:
            return False
        before = known.remaining_cold_start_s if known is not None else 0.0
        self._by_id[target.id] = _Announcement(
            target.start_time_ms, target.sequence, target.remaining_cold_start_s, now
        )
        self._unshared[target.id] = [target.id, target.start_time_ms, target.sequence]
        return target.remaining_cold_start_s > before + COLD_MARGIN_S

    def note_shared(self, heard: Iterable[list[Any]], now: float) -> None:
        """Record what another controller has heard."""
        for target_id, start_time_ms, sequence in heard:
            known = self._by_id.get(target_id)
            if known is None:
                self._by_id[target_id] = _Announcement(
                    start_time_ms, sequence, 0.0, now
                )
            elif (start_time_ms, sequence) >= (known.start_time_ms, known.sequence):
                known.start_time_ms, known.sequence = start_time_ms, sequence
                known.heard_at = now

    def take_unshared(self) -> list[list[Any]]:
        """Return what was heard here since the last call."""
        taken = list(self._unshared.values())
        self._unshared.clear()
        return taken

    def list_silent(self, targets: Iterable[Target], now: float) -> list[Target]:
        """Return the targets that nobody has heard for long."""
        silent = []
        for target in targets:
            known = self._by_id.setdefault(
                target.id,
                _Announcement(target.start_time_ms, target.sequence, 0.0, now),
            )
            if now - known.heard_at > SILENT_TARGET_S:
                silent.append(target)
        return silent

    def forget(self, target_id: str) -> None:
        """Drop what is known of a target that has left."""
        self._by_id.pop(target_id, None)
