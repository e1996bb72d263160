"""The shares of the regions in the requests of all callers."""

import zlib
from collections.abc import Iterable, Mapping

import attrs

# Time for which requests are counted before the shares are published. Objects move to
# other targets when the shares change, so a passing peak of one region, or a controller
# that has just started, must not change them.
OBSERVATION_S = 120.0
# Half-life of the counted requests.
HALF_LIFE_S = 1200.0
# Shares are published in multiples of this step, and only when one of them has moved by
# more than the step.
STEP = 0.05


@attrs.define
class RegionDemand:
    """Estimate the regions' shares in all requests from the counts of entries."""

    _started_at: float
    _counts: dict[str, float] = attrs.field(factory=dict)
    _decayed_at: float = 0.0
    _last_count_by_entry: dict[str, int] = attrs.field(factory=dict)
    _published: dict[str, float] = attrs.field(factory=dict)

    def record(self, entry_id: str, region: str, count: int, now: float) -> None:
        """Record the number of requests that an entry has received since its start.

        A count below the last one comes from an entry that has restarted.
        """
        last = self._last_count_by_entry.get(entry_id)
        self._last_count_by_entry[entry_id] = count
        if last is None:
            # The count may cover a time before this controller has started.
            return
        self._decay(now)
        received = count - last if count >= last else count
        self._counts[region] = self._counts.get(region, 0.0) + received

    def get_shares(self, now: float) -> tuple[Mapping[str, float], int]:
        """Return the published shares by region, which sum to about 1, and a mark.

        The mark is a checksum of the shares. There are no shares until requests have
        been counted for OBSERVATION_S.
        """
        total = sum(self._counts.values())
        if total > 0 and now - self._started_at >= OBSERVATION_S:
            shares = {name: count / total for name, count in self._counts.items()}
            if any(
                abs(share - self._published.get(region, 0.0)) > STEP
                for region, share in shares.items()
            ):
                self._published = {
                    region: round(round(share / STEP) * STEP, 4)
                    for region, share in sorted(shares.items())
                }
        return self._published, _compute_mark(self._published)

    def remove_entries(self, entry_ids: Iterable[str]) -> None:
        """Drop the last counts of entries that are gone."""
        for entry_id in entry_ids:
            self._last_count_by_entry.pop(entry_id, None)

    def _decay(self, now: float) -> None:
        elapsed = now - self._decayed_at
        if elapsed < 1.0:
            return
        factor = 0.5 ** (elapsed / HALF_LIFE_S)
        self._decayed_at = now
        for region in self._counts:
            self._counts[region] *= factor


def _compute_mark(shares: Mapping[str, float]) -> int:
    return zlib.crc32(repr(shares).encode()) if shares else 0
