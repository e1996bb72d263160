"""The choice of a target for a request among the targets of a service."""

import random
from collections.abc import Collection, Iterable, Mapping

import attrs

from toucanwood.placement._affinity import (
    DEFAULT_WARM_PROBABILITY,
    NEW_TARGET_FACTOR,
    NEW_TARGET_S,
    RECENT_OBJECT_PROBABILITY,
    WARM_PROBABILITIES,
    ObjectRanking,
    get_warm_probability,
)
from toucanwood.placement._cold_start import ColdStartLimiter
from toucanwood.placement._rate_limit import RateShare, choose_senders
from toucanwood.placement._region_shift import RegionShiftLimiter
from toucanwood.placement._request import PlacementRequest
from toucanwood.placement._response_times import ResponseTimes
from toucanwood.placement._target_record import TargetRecord

# Assumed ratio of the response time of a target that has just started to its usual
# response time.
COLD_FACTOR = 2.0
# Relative increase of the expected response time of a target whose slots are all in
# use. A busy target is slightly slower than an idle one, and the increase spreads the
# load between equal targets.
LOAD_PENALTY = 0.05
# Maximum length of the queue at a target, as a fraction of its slots, for urgent and
# for less urgent requests. Waiting for a target where the object is warm takes less
# time than running at a target where it is cold.
QUEUE_FRACTION = 0.67
LESS_URGENT_QUEUE_FRACTION = 0.34
# Number of targets above which only a shortlist of them is evaluated for a request. The
# shortlist holds the targets of the object and RANDOM_TARGETS others, drawn at random.
SHORTLIST_THRESHOLD = 16
RANDOM_TARGETS = 4
# Minimum probability that an object is warm at a target for the target to be preferred.
# The first target in the ranking of an object reaches this probability, and so does a
# target to which this entry has just sent the object.
PREFERRED_PROBABILITY = WARM_PROBABILITIES[0]


@attrs.frozen
class Choice:
    """A target and what is expected of the request there; times are in seconds."""

    record: TargetRecord
    expected_s: float
    has_free_slot: bool
    # Probability that the object of the request is warm at the target.
    warm_probability: float
    # Whether `warm_probability` is at least PREFERRED_PROBABILITY.
    is_preferred: bool


@attrs.define
class TargetSelector:
    """Choose the target with room that has the lowest expected response time."""

    entry_id: str
    evacuated: Collection[str] = frozenset()
    entries: Collection[str] = frozenset()
    cold_rate: float = 0.0
    shift_limiter: RegionShiftLimiter | None = None
    generator: random.Random = attrs.field(factory=random.Random)
    ranking: ObjectRanking = attrs.field(factory=ObjectRanking)
    _cold_start_limiters: dict[str, ColdStartLimiter] = attrs.field(factory=dict)
    _rate_shares: dict[str, RateShare] = attrs.field(factory=dict)

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

        Less urgent requests may use a smaller fraction of the queues of the targets.
        """
        capped_regions = (
            self.shift_limiter.list_capped_regions(now)
            if self.shift_limiter is not None
            else frozenset()
        )
        allowed = None
        if request.regions is not None:
            allowed = {
                key
                for key, item in records.items()
                if _is_in_allowed_region(item, request)
            }
        queue_fraction = QUEUE_FRACTION if is_urgent else LESS_URGENT_QUEUE_FRACTION
        best: Choice | None = None
        for record in self._shortlist(records, request, allowed):
            if record.region in capped_regions or not self._is_candidate(
                record, request
            ):
                continue
            choice = self._evaluate(
                record, request, times, allowed, now, queue_fraction
            )
            if choice is None or not self.may_send(record, now):
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
        """Return the targets to evaluate: those of the object and a few random ones.

        To evaluate all of a hundred targets for each request would take a third of the
        CPU time of a small entry.
        """
        key = request.object_key
        if key is None or len(records) <= SHORTLIST_THRESHOLD:
            return records.values()
        ranked = self.ranking.list_ranked_targets(key, allowed)
        shortlist = {item: records[item] for item in ranked if item in records}
        for record in records.values():
            if record.has_object(key):
                shortlist[record.id] = record
        names = list(records)
        for _ in range(RANDOM_TARGETS):
            name = names[self.generator.randrange(len(names))]
            shortlist[name] = records[name]
        return shortlist.values()

    def has_candidate(
        self, records: Iterable[TargetRecord], request: PlacementRequest
    ) -> bool:
        """Return whether any target could take the request if it had room."""
        return any(self._is_candidate(record, request) for record in records)

    def record_sent(self, record: TargetRecord, now: float) -> None:
        """Record a request that is sent to a target."""
        if record.is_cold(now) and self.cold_rate > 0:
            self._find_cold_start_limiter(record).consume(now)
        share = self._find_rate_share(record, now)
        if share is not None:
            share.take(now)
        if self.shift_limiter is not None:
            self.shift_limiter.record_request(record.region, now)

    def remove_target(self, target_id: str) -> None:
        """Drop the state of a target that has left."""
        self._cold_start_limiters.pop(target_id, None)
        self._rate_shares.pop(target_id, None)

    def _is_candidate(self, record: TargetRecord, request: PlacementRequest) -> bool:
        target = record.target
        return not (
            target.is_draining
            or record.signals.is_leaving
            or record.health.is_ejected
            or target.data_centre in self.evacuated
            or target.id in request.excluded
            or not _is_in_allowed_region(record, request)
        )

    def may_send(self, record: TargetRecord, now: float) -> bool:
        """Return whether a target takes a request of this entry now."""
        if now < record.signals.waiting_until:
            return False
        share = self._find_rate_share(record, now)
        if share is not None and not share.has_token(now):
            return False
        return self._may_send_if_cold(record, now)

    def take_probe(self, record: TargetRecord, now: float) -> bool:
        """Return whether a target may be probed now; count the probe in its rate."""
        signals = record.signals
        if signals.is_leaving or now < signals.waiting_until:
            return False
        share = self._find_rate_share(record, now)
        if share is None:
            return True
        has_token = share.has_token(now)
        if has_token:
            share.take(now)
        return has_token

    def _find_rate_share(self, record: TargetRecord, now: float) -> RateShare | None:
        """Return the share in the rate limit of a target, None if it names no limit."""
        rate = record.signals.rate_limit
        if rate is None:
            self._rate_shares.pop(record.id, None)
            return None
        share = self._rate_shares.get(record.id)
        if share is None:
            share = self._rate_shares[record.id] = RateShare(record.id, self.entry_id)
        share.update(rate, self.entries, now)
        return share

    def explain_delay(
        self, records: Iterable[TargetRecord], request: PlacementRequest, now: float
    ) -> tuple[str, float] | None:
        """Return why targets take no request now and the seconds until one does.

        None if any target that could take the request neither asks to wait nor names a
        limit.
        """
        delays = []
        for record in records:
            if not self._is_candidate(record, request):
                continue
            wait_s = record.signals.waiting_until - now
            share = self._find_rate_share(record, now)
            if wait_s > 0.0:
                delays.append((wait_s, "targets_waiting"))
            elif share is not None:
                delays.append((share.get_delay(now), "targets_limited"))
            else:
                return None
        if not delays:
            return None
        delay, reason = min(delays)
        return reason, delay

    def _may_send_if_cold(self, record: TargetRecord, now: float) -> bool:
        if not record.is_cold(now) or self.cold_rate <= 0:
            return True
        if self.entry_id not in choose_senders(record.id, self.entries):
            return False
        return self._find_cold_start_limiter(record).may_send(now)

    def _find_cold_start_limiter(self, record: TargetRecord) -> ColdStartLimiter:
        limiter = self._cold_start_limiters.get(record.id)
        if limiter is None:
            senders = max(len(choose_senders(record.id, self.entries)), 1)
            limiter = ColdStartLimiter(self.cold_rate / senders)
            self._cold_start_limiters[record.id] = limiter
        return limiter

    def _evaluate(
        self,
        record: TargetRecord,
        request: PlacementRequest,
        times: ResponseTimes,
        allowed: Collection[str] | None,
        now: float,
        queue_fraction: float,
    ) -> Choice | None:
        """Return what to expect of a target, or None if it has no room."""
        slots = record.target.slots
        load = record.estimate_load(now)
        if load + 1 > slots * (1.0 + queue_fraction):
            return None
        probability = self._estimate_warm_probability(record, request, allowed, now)
        slowdown = record.estimate_slowdown(now)
        factor = slowdown / max(record.health.success_rate, 0.1)
        if record.is_cold(now):
            factor *= COLD_FACTOR
        factor *= 1.0 + LOAD_PENALTY * load / slots
        queued = max(load + 1 - slots, 0.0)
        wait = queued / slots * times.get_warm_median() * slowdown
        expected = 2 * record.latency_s + wait + times.estimate(probability) * factor
        is_preferred = probability >= PREFERRED_PROBABILITY
        return Choice(record, expected, load + 1 <= slots, probability, is_preferred)

    def _estimate_warm_probability(
        self,
        record: TargetRecord,
        request: PlacementRequest,
        allowed: Collection[str] | None,
        now: float,
    ) -> float:
        """Return the probability that the request's object is warm at the target."""
        key = request.object_key
        if key is None:
            return RECENT_OBJECT_PROBABILITY
        age = record.get_object_age(key, now)
        probability_by_age = (
            get_warm_probability(age) if age is not None else DEFAULT_WARM_PROBABILITY
        )
        rank = self.ranking.find_rank(key, record.id, allowed)
        if rank is None:
            return probability_by_age
        probability = WARM_PROBABILITIES[rank]
        if now - record.appeared_at < NEW_TARGET_S:
            probability *= NEW_TARGET_FACTOR
        return max(probability, probability_by_age)


def _is_in_allowed_region(record: TargetRecord, request: PlacementRequest) -> bool:
    return request.regions is None or record.region in request.regions
