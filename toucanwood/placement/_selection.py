"""The choice of a target among those of a service."""

import hashlib
from collections.abc import Collection, Iterable

import attrs

from toucanwood.placement._cold import ColdStartGate, rank_senders
from toucanwood.placement._need import Need
from toucanwood.placement._record import TargetRecord
from toucanwood.placement._shift import RegionShare

# A target that has handled an object lately takes about this part of the time.
WARM_FACTOR = 0.4
# All entries prefer the same targets for an object that they don't know, by this part
# of the time, so that few targets have to learn it.
PREFERENCE_FACTOR = 0.3
COLD_FACTOR = 2.0
# A busy target is a little slower than an idle one; spreads load between equals.
LOAD_PENALTY = 0.1
# The estimate of other entries' requests is a fraction; this part of a slot may lack.
ROUNDING_SLOTS = 0.5


@attrs.define
class Selection:
    """Choose the target with the lowest expected time that has a free slot."""

    entry_id: str
    evacuated: Collection[str] = frozenset()
    entries: Collection[str] = frozenset()
    cold_rate: float = 0.0
    share: RegionShare | None = None
    _gates: dict[str, ColdStartGate] = attrs.field(factory=dict)

    def choose(
        self,
        records: Iterable[TargetRecord],
        need: Need,
        mean_s: float,
        now: float,
    ) -> TargetRecord | None:
        """Return the best target with room, or None."""
        full = self.share.list_full(now) if self.share is not None else frozenset()
        best: TargetRecord | None = None
        best_cost = float("inf")
        for record in records:
            if not self._is_candidate(record, need) or record.region in full:
                continue
            load = record.estimate_load(now, mean_s)
            if load + 1 > record.target.slots + ROUNDING_SLOTS:
                continue
            if not self._may_warm_up(record, now):
                continue
            cost = self._estimate_cost(record, need, mean_s, load, now)
            if cost < best_cost:
                best, best_cost = record, cost
        return best

    def has_candidate(self, records: Iterable[TargetRecord], need: Need) -> bool:
        """Return whether a target could take the request once it has room."""
        return any(self._is_candidate(record, need) for record in records)

    def note_sent(self, record: TargetRecord, now: float) -> None:
        """Count a request that is sent to a target."""
        if record.is_cold(now) and self.cold_rate > 0:
            self._find_gate(record).take(now)
        if self.share is not None:
            self.share.add(record.region, now)

    def forget(self, target_id: str) -> None:
        """Drop what is kept of a target that has left."""
        self._gates.pop(target_id, None)

    def _is_candidate(self, record: TargetRecord, need: Need) -> bool:
        target = record.target
        return not (
            target.is_draining
            or record.health.is_ejected
            or target.data_centre in self.evacuated
            or target.id in need.excluded
            or (need.regions and record.region not in need.regions)
        )

    def _may_warm_up(self, record: TargetRecord, now: float) -> bool:
        if not record.is_cold(now) or self.cold_rate <= 0:
            return True
        if self.entry_id not in rank_senders(record.id, self.entries):
            return False
        return self._find_gate(record).is_open(now)

    def _find_gate(self, record: TargetRecord) -> ColdStartGate:
        gate = self._gates.get(record.id)
        if gate is None:
            senders = max(len(rank_senders(record.id, self.entries)), 1)
            gate = ColdStartGate(self.cold_rate / senders)
            self._gates[record.id] = gate
        return gate

    def _estimate_cost(
        self,
        record: TargetRecord,
        need: Need,
        mean_s: float,
        load: float,
        now: float,
    ) -> float:
        factor = 1.0
        if need.object_key is not None:
            factor = self._estimate_warmth(record, need)
        if record.is_cold(now):
            factor *= COLD_FACTOR
        if record.mean_s is not None and mean_s > 0:
            # A slow target shows in its own mean; a single fast one is not trusted.
            factor *= max(record.mean_s / mean_s, 0.8)
        factor *= 1.0 + LOAD_PENALTY * load / record.target.slots
        return 2 * record.latency_s + mean_s * factor / max(
            record.health.success_rate, 0.1
        )

    def _estimate_warmth(self, record: TargetRecord, need: Need) -> float:
        key = need.object_key
        assert key is not None
        if record.knows_object(key):
            return WARM_FACTOR
        return 1.0 - PREFERENCE_FACTOR * _score(record.id, key)


def _score(target_id: str, key: str) -> float:
    """Return a number in [0, 1) by which all entries prefer the same targets."""
    digest = hashlib.blake2b(f"{target_id}|{key}".encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") / 2**32
