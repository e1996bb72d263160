"""What entries have heard from targets, shared among all entries."""

from collections.abc import Container, Iterable
from typing import Any

import attrs

# Time after the last response that named it for which a limit is kept. The entries that
# may send to the target report it with each response meanwhile.
SIGNAL_TIMEOUT_S = 60.0


@attrs.define
class _Signal:
    """The latest report on one target, and the version that it came with."""

    start_time_ms: int
    rate_limit: float
    is_leaving: bool
    heard_at: float
    version: int


@attrs.define
class SharedSignals:
    """Keep the latest report on each target and list what has changed.

    Versions count the changes at this controller; `epoch` tells them from those of
    another controller, or of this one before a restart. A rate limit of 0 stands for
    one that has ended. The reports are not part of the replicated state: they change
    too often, and entries repeat them.
    """

    epoch: int
    version: int = 0
    _by_target: dict[str, _Signal] = attrs.field(factory=dict)

    def record(self, reports: Iterable[list[Any]], now: float) -> None:
        """Record the reports of an entry: id, start time, limit, leaving and age.

        The rate limit of the latest response holds; a target that leaves does so until
        it restarts.
        """
        for target_id, start_time_ms, rate_limit, is_leaving, age_s, *_ in reports:
            heard_at = now - max(age_s, 0.0)
            known = self._by_target.get(target_id)
            if known is not None and start_time_ms < known.start_time_ms:
                continue
            if known is None or start_time_ms > known.start_time_ms:
                known = _Signal(start_time_ms, 0.0, False, float("-inf"), -1)
                self._by_target[target_id] = known
            before = known.rate_limit, known.is_leaving
            known.is_leaving |= is_leaving
            if heard_at > known.heard_at:
                known.rate_limit, known.heard_at = rate_limit, heard_at
            if known.version < 0 or before != (known.rate_limit, known.is_leaving):
                self.version += 1
                known.version = self.version

    def list_since(
        self, epoch: int, version: int, now: float
    ) -> list[list[Any]] | None:
        """Return the reports that changed after a version, None if there are none."""
        if epoch != self.epoch:
            version = -1
        elif version >= self.version:
            return None
        changed = [
            [
                target_id,
                item.start_time_ms,
                item.rate_limit,
                item.is_leaving,
                now - item.heard_at,
            ]
            for target_id, item in self._by_target.items()
            if item.version > version
        ]
        return changed or None

    def expire(self, targets: Container[str], now: float) -> None:
        """End the limits that nobody has heard of for a long time.

        The report stays until the target has left the fleet, so that an entry that was
        cut off meanwhile learns of the end too.
        """
        oldest = now - SIGNAL_TIMEOUT_S
        for target_id, item in list(self._by_target.items()):
            if item.heard_at >= oldest:
                continue
            if target_id not in targets:
                del self._by_target[target_id]
            elif item.rate_limit:
                self.version += 1
                item.rate_limit, item.heard_at = 0.0, now
                item.version = self.version

    def dump(self) -> dict[str, float]:
        """Return the rate limits in force by target."""
        items = self._by_target.items()
        return {key: item.rate_limit for key, item in items if item.rate_limit}
