"""The choice of a target among those of a service."""

import random
from collections.abc import Collection, Iterable, Mapping

import attrs

from toucanwood.placement._affinity import (
    KNOWN_CHANCE,
    NEW_CHANCE,
    NEW_TARGET_S,
    OTHER_CHANCE,
    WARM_CHANCES,
    ObjectRanking,
    find_known_chance,
)
from toucanwood.placement._cold_start import ColdStartLimiter, rank_senders
from toucanwood.placement._region_shift import RegionShiftLimiter
from toucanwood.placement._request import PlacementRequest
from toucanwood.placement._response_times import ResponseTimes
from toucanwood.placement._target_record import TargetRecord

# A target that has just started takes about this many times as long.
COLD_FACTOR = 2.0
# A busy target is a little slower than an idle one; spreads load between equals.
LOAD_PENALTY = 0.05
# Requests may queue at a target up to this part of its slots: waiting for a target
# that has the object warm is shorter than a run at another one.
QUEUE_PART = 0.67
LESS_URGENT_QUEUE_PART = 0.34
# With more targets than this, only those of the object and a few others are looked at.
SHORTLIST_FROM = 16
OTHERS_LOOKED_AT = 4
# The chance of the first target of an object, or of one that is known to have it.
PREFERRED_CHANCE = WARM_CHANCES[0]


@attrs.frozen
class Choice:
    """Hold a target and what is expected of it there; times are in seconds."""

    record: TargetRecord
    expected_s: float
    has_free_slot: bool
    warm_probability: float
    # The target is the first one for the request's object.
    is_preferred: bool


@attrs.define
class TargetSelector:
    """Choose the target with the lowest expected time that has room."""

    entry_id: str
    evacuated: Collection[str] = frozenset()
    entries: Collection[str] = frozenset()
    cold_rate: float = 0.0
    shift_limiter: RegionShiftLimiter | None = None
    generator: random.Random = attrs.field(factory=random.Random)
    ranking: ObjectRanking = attrs.field(factory=ObjectRanking)
    _cold_start_limiters: dict[str, ColdStartLimiter] = attrs.field(factory=dict)

    def choose(
        self,
        records: Mapping[str, TargetRecord],
        request: PlacementRequest,
        times: ResponseTimes,
        now: float,
        *,
        is_urgent: bool = True,
    ) -> Choice | None:
        """Return the best target with room, or None.

        Less urgent requests may not use the queues of the targets.
        """
        full = (
            self.shift_limiter.list_capped_regions(now)
            if self.shift_limiter is not None
            else frozenset()
        )
        allowed = None
        if request.regions is not None:
            allowed = {key for key, item in records.items() if _is_home(item, request)}
        queue_part = QUEUE_PART if is_urgent else LESS_URGENT_QUEUE_PART
        best: Choice | None = None
        for record in self._shortlist(records, request, allowed):
            if record.region in full or not self._is_candidate(record, request):
                continue
            choice = self._consider(record, request, times, allowed, now, queue_part)
            if choice is None or not self._may_warm_up(record, now):
                continue
            if best is None or choice.expected_s < best.expected_s:
                best = choice
        return best

    def _shortlist(
        self,
        records: Mapping[str, TargetRecord],
        request: PlacementRequest,
        allowed: Collection[str] | None,
    ) -> Iterable[TargetRecord]:
        """Return the targets worth a look: those of the object, and a few others.

        To look at all of a hundred targets for each request would take a third of the
        processor of a small entry.
        """
        key = request.object_key
        if key is None or len(records) <= SHORTLIST_FROM:
            return records.values()
        ranked = self.ranking.list_ranked(key, allowed)
        listed = {item: records[item] for item in ranked if item in records}
        for record in records.values():
            if record.has_object(key):
                listed[record.id] = record
        names = list(records)
        for _ in range(OTHERS_LOOKED_AT):
            name = names[self.generator.randrange(len(names))]
            listed[name] = records[name]
        return listed.values()

    def has_candidate(
        self, records: Iterable[TargetRecord], request: PlacementRequest
    ) -> bool:
        """Return whether a target could take the request once it has room."""
        return any(self._is_candidate(record, request) for record in records)

    def record_sent(self, record: TargetRecord, now: float) -> None:
        """Count a request that is sent to a target."""
        if record.is_cold(now) and self.cold_rate > 0:
            self._find_cold_start_limiter(record).consume(now)
        if self.shift_limiter is not None:
            self.shift_limiter.record_request(record.region, now)

    def remove_target(self, target_id: str) -> None:
        """Drop what is kept of a target that has left."""
        self._cold_start_limiters.pop(target_id, None)

    def _is_candidate(self, record: TargetRecord, request: PlacementRequest) -> bool:
        target = record.target
        return not (
            target.is_draining
            or record.health.is_ejected
            or target.data_centre in self.evacuated
            or target.id in request.excluded
            or not _is_home(record, request)
        )

    def _may_warm_up(self, record: TargetRecord, now: float) -> bool:
        if not record.is_cold(now) or self.cold_rate <= 0:
            return True
        if self.entry_id not in rank_senders(record.id, self.entries):
            return False
        return self._find_cold_start_limiter(record).may_send(now)

    def _find_cold_start_limiter(self, record: TargetRecord) -> ColdStartLimiter:
        limiter = self._cold_start_limiters.get(record.id)
        if limiter is None:
            senders = max(len(rank_senders(record.id, self.entries)), 1)
            limiter = ColdStartLimiter(self.cold_rate / senders)
            self._cold_start_limiters[record.id] = limiter
        return limiter

    def _consider(
        self,
        record: TargetRecord,
        request: PlacementRequest,
        times: ResponseTimes,
        allowed: Collection[str] | None,
        now: float,
        queue_part: float,
    ) -> Choice | None:
        """Return what to expect of a target, or None where it has no room."""
        slots = record.target.slots
        load = record.estimate_load(now)
        if load + 1 > slots * (1.0 + queue_part):
            return None
        chance = self._estimate_warmth(record, request, allowed, now)
        slowdown = record.estimate_slowdown(now)
        factor = slowdown / max(record.health.success_rate, 0.1)
        if record.is_cold(now):
            factor *= COLD_FACTOR
        factor *= 1.0 + LOAD_PENALTY * load / slots
        queued = max(load + 1 - slots, 0.0)
        wait = queued / slots * times.get_warm_median() * slowdown
        expected = 2 * record.latency_s + wait + times.estimate(chance) * factor
        is_preferred = chance >= PREFERRED_CHANCE
        return Choice(record, expected, load + 1 <= slots, chance, is_preferred)

    def _estimate_warmth(
        self,
        record: TargetRecord,
        request: PlacementRequest,
        allowed: Collection[str] | None,
        now: float,
    ) -> float:
        """Return the chance that the target has the request's object warm."""
        key = request.object_key
        if key is None:
            return KNOWN_CHANCE
        age = record.get_object_age(key, now)
        known = find_known_chance(age) if age is not None else OTHER_CHANCE
        rank = self.ranking.find_rank(key, record.id, allowed)
        if rank is None:
            return known
        chance = WARM_CHANCES[rank]
        if now - record.appeared_at < NEW_TARGET_S:
            chance *= NEW_CHANCE
        return max(chance, known)


def _is_home(record: TargetRecord, request: PlacementRequest) -> bool:
    return request.regions is None or record.region in request.regions
