import attrs

from toucanwood.fleet import Target, TargetState
from toucanwood.placement import (
    Choice,
    ColdStartLimiter,
    Health,
    LoadReport,
    Outcome,
    Placed,
    PlacementRequest,
    Refused,
    RegionShiftLimiter,
    RetryBudget,
    ServicePool,
    TargetRecord,
    TargetSelector,
)
from toucanwood.placement._cold_start import MAX_SENDERS, rank_senders

TARGET = Target(
    id="t-0",
    start_time_ms=1,
    sequence=1,
    service="s",
    address="127.0.0.1:80",
    data_centre="a",
    software="",
    slots=4,
    state=TargetState.READY,
    remaining_cold_start_s=0.0,
)
ENTRIES = frozenset(f"e-{number}" for number in range(8))


def build_pool(count=3, **selector):
    pool = ServicePool("s", TargetSelector(entry_id="e-0", entries=ENTRIES, **selector))
    for number in range(count):
        target = attrs.evolve(TARGET, id=f"t-{number}")
        pool.records[target.id] = TargetRecord(target, "north", 0.001)
    pool.selector.ranking.set_targets(dict.fromkeys(pool.records, 1.0))
    return pool


def build_request(now=0.0, **changed):
    request = PlacementRequest(
        service="s",
        priorities=(1, 1),
        arrived_at=now,
        objective_at=now + 0.4,
        deadline_at=now + 1.0,
        kind="r",
    )
    return attrs.evolve(request, **changed)


def start(pool, request, now=0.0):
    placed = pool.place(request, now)
    assert isinstance(placed, Placed)
    return attrs.evolve(placed, number=pool.start(placed, request, now))


def finish(pool, placed, request, now, outcome=Outcome.OK, seconds=0.1, report=None):
    return pool.finish(
        placed,
        request,
        outcome,
        seconds=seconds,
        report=report,
        now=now,
    )


def fill(pool, now=0.0):
    for record in pool.records.values():
        record.record_load(LoadReport(record.target.slots, 4, 4), now)


# Guards against objects that every target has to learn.
def test_requests_for_one_object_go_to_the_same_target():
    pool = build_pool(6)
    request = build_request(object_key="o-1")
    targets = set()
    for number in range(12):
        now = float(number)
        placed = start(pool, attrs.evolve(request, objective_at=now + 0.4), now)
        targets.add(placed.record.id)
        finish(pool, placed, request, now + 0.1)
    assert len(targets) == 1


def test_two_entries_prefer_the_same_target_for_an_object():
    first, second = build_pool(6), build_pool(6)
    for number in range(20):
        request = build_request(object_key=f"o-{number}")
        chosen = [start(pool, request) for pool in (first, second)]
        assert chosen[0].record.id == chosen[1].record.id
        for pool, placed in zip((first, second), chosen, strict=True):
            finish(pool, placed, request, 0.0)


# Guards against targets that stay unused because they last reported a full load.
def test_load_of_other_entries_fades_when_no_report_comes():
    pool = build_pool(1)
    fill(pool)
    assert isinstance(pool.place(build_request(), 0.0), Refused)
    later = build_request(2.0)
    assert isinstance(pool.place(later, 2.0), Placed)


# Guards against slow runs that take the slots of requests that are in time.
def test_late_request_gets_no_slot_while_the_pool_is_busy():
    pool = build_pool(2)
    pool.find_response_times(build_request()).record(0.6, 0.03)
    pool.find_response_times(build_request()).record(0.2, 0.95)
    for record in pool.records.values():
        for _ in range(3):
            record.start_request(0.2, 0.0)
    slow = build_request(object_key="o", excluded=frozenset({_find_first(pool, "o")}))
    assert not isinstance(pool.place(slow, 0.0), Placed)


def test_late_request_runs_while_slots_are_left_over():
    pool = build_pool(2)
    pool.find_response_times(build_request()).record(0.6, 0.03)
    pool.find_response_times(build_request()).record(0.2, 0.95)
    slow = build_request(object_key="o", excluded=frozenset({_find_first(pool, "o")}))
    placed = pool.place(slow, 0.0)
    assert isinstance(placed, Placed) and placed.reason == "late"


def _find_first(pool, key):
    ranking = {
        item: pool.selector.ranking.find_rank(key, item) for item in pool.records
    }
    return min(ranking, key=lambda item: 9 if ranking[item] is None else ranking[item])


# Guards against less urgent requests that take the room of urgent ones.
def test_less_urgent_request_gets_no_place_in_the_queue_of_a_target():
    pool = build_pool(1)
    start(pool, build_request(priorities=(1, 1)))
    # Five others beside this entry's own request and the one just answered.
    pool.records["t-0"].record_load(LoadReport(4, 2, 4), 0.0)
    usual = pool.place(build_request(priorities=(2, 2)), 0.0)
    urgent = pool.place(build_request(priorities=(1, 1)), 0.0)
    assert isinstance(usual, Refused) and isinstance(urgent, Placed)


# Guards against requests that are held at the entry and are late in the end, and that
# hold back others whose targets are free.
def test_request_without_room_is_refused_at_once_and_told_when_to_return():
    pool = build_pool(1)
    fill(pool)
    decision = pool.place(build_request(), 0.0)
    assert isinstance(decision, Refused) and decision.reason == "no_room"
    assert 0 < decision.retry_after_s <= 1.5


def test_requests_that_are_refused_together_return_apart():
    pool = build_pool(1)
    fill(pool)
    times = [pool.place(build_request(), 0.0).retry_after_s for _ in range(50)]
    assert max(times) > 1.3 * min(times)


def test_request_without_any_target_is_refused_at_once():
    pool = build_pool(1)
    pool.records["t-0"].health.eject(0.0)
    decision = pool.place(build_request(), 0.0)
    assert isinstance(decision, Refused) and decision.reason == "no_target"


def test_request_stays_in_its_regions():
    pool = build_pool(1)
    south = TargetRecord(attrs.evolve(TARGET, id="t-s"), "south", 0.012)
    pool.records["t-s"] = south
    placed = pool.place(build_request(regions=frozenset({"south"})), 0.0)
    assert placed.record is south


def test_evacuated_draining_and_excluded_targets_get_nothing():
    pool = build_pool(3, evacuated=frozenset({"b"}))
    drain = pool.records["t-0"]
    drain.target = attrs.evolve(drain.target, state=TargetState.DRAINING)
    away = pool.records["t-1"]
    away.target = attrs.evolve(away.target, data_centre="b")
    request = build_request(excluded=frozenset({"t-2"}))
    assert isinstance(pool.place(request, 0.0), Refused)


# Guards against a cold target that crashes under the requests of all entries.
def test_cold_target_gets_its_rate_over_all_entries():
    rate, slack, over = 7.8, 5, 1.5
    pools = [build_pool(1, cold_rate=rate) for _ in ENTRIES]
    sent = []
    for entry, pool in zip(sorted(ENTRIES), pools, strict=True):
        pool.selector.entry_id = entry
        pool.records["t-0"].cold_until = 10.0
    for tick in range(300):
        now = tick * 0.01
        for pool in pools:
            request = build_request(now)
            placed = pool.place(request, now)
            if isinstance(placed, Placed):
                number = pool.start(placed, request, now)
                finish(pool, attrs.evolve(placed, number=number), request, now)
                sent.append(now)
    most = max(sum(at <= other < at + 1.0 for other in sent) for at in sent)
    assert most <= rate * over + slack
    assert len(sent) >= rate * 2


def test_few_entries_send_to_a_cold_target_of_a_large_fleet():
    entries = [f"e-{number}" for number in range(900)]
    assert len(rank_senders("t-0", entries)) == MAX_SENDERS


def test_cold_gate_spaces_requests():
    limiter = ColdStartLimiter(2.0)
    assert limiter.may_send(0.0)
    limiter.consume(0.0)
    assert not limiter.may_send(0.49) and limiter.may_send(0.5)


def test_unreachable_target_is_left_alone_until_a_probe_succeeds():
    health = Health()
    assert health.record(Outcome.UNREACHABLE, 0.0)
    assert health.is_ejected and health.probe_at > 0.0
    health.record_probe(is_healthy=False, now=1.0)
    assert health.is_ejected and health.probe_at > 1.0
    health.record_probe(is_healthy=True, now=2.0)
    assert not health.is_ejected


def test_target_that_breaks_off_is_left_alone_after_a_few_requests():
    health = Health()
    ejected = [health.record(Outcome.BROKEN, 0.0) for _ in range(3)]
    assert ejected == [False, False, True]


def test_caller_that_leaves_says_nothing_about_the_target():
    health = Health()
    for _ in range(20):
        health.record(Outcome.CANCELLED, 0.0)
    assert not health.is_ejected and health.success_rate == 1.0


def test_grey_target_gets_fewer_requests_than_sound_ones():
    pool = build_pool(4)
    counts = dict.fromkeys(pool.records, 0)
    for number in range(200):
        now = number * 0.05
        request = build_request(now)
        placed = start(pool, request, now)
        counts[placed.record.id] += 1
        is_grey = placed.record.id == "t-0" and number % 2
        outcome = Outcome.SHED if is_grey else Outcome.OK
        finish(pool, placed, request, now + 0.04, outcome)
    assert counts["t-0"] < 0.5 * max(counts.values())


def test_repeats_stay_within_the_budget_of_any_window():
    budget = RetryBudget(fraction=0.1, slack=5, window_s=10.0)
    repeats = []
    for tick in range(3000):
        now = tick * 0.01
        budget.record_request(now)
        if budget.take(now):
            repeats.append(now)
    for at in repeats:
        count = sum(at <= other < at + 10.0 for other in repeats)
        assert count <= 0.1 * 1000 + 5 + 1


# Guards against a region that suddenly gets the requests of another one.
def test_part_of_a_region_grows_by_the_cap_at_most_between_windows():
    shift_limiter = RegionShiftLimiter(0.1, 2.0)
    for tick in range(400):
        now = tick * 0.01
        shift_limiter.record_request("north", now)
    moved = 0
    for tick in range(400, 600):
        now = tick * 0.01
        region = (
            "north" if "south" in shift_limiter.list_capped_regions(now) else "south"
        )
        moved += region == "south"
        shift_limiter.record_request(region, now)
    assert moved <= 0.12 * 200


# Guards against a target that has stopped and keeps its requests until they time out.
def test_target_whose_requests_take_far_too_long_is_avoided_before_they_end():
    pool = build_pool(2)
    pool.find_response_times(build_request()).record(0.1, 0.95)
    for _ in range(2):
        stuck = start(pool, build_request(excluded=frozenset({"t-1"})), 0.0)
        assert stuck.record.id == "t-0"
    later = build_request(0.7, objective_at=5.0)
    assert start(pool, later, 0.7).record.id == "t-1"


def test_request_that_times_out_counts_as_slow():
    pool = build_pool(1)
    request = build_request()
    pool.find_response_times(request).record(0.1, 0.95)
    placed = start(pool, request)
    finish(pool, placed, request, 1.0, Outcome.TIMED_OUT, seconds=1.0)
    assert placed.record.slowdown > 1.5


# Guards against a slot of each target that seems taken by the request just answered.
def test_idle_target_that_reports_the_answered_request_counts_as_idle():
    pool = build_pool(1)
    request = build_request()
    placed = start(pool, request)
    finish(pool, placed, request, 0.1, report=LoadReport(1, 0, 4))
    assert placed.record.estimate_load(0.1) == 0


# Guards against a target that all entries fill at once after they have started.
def test_entry_that_knows_no_report_leaves_room_for_others():
    pool = build_pool(1)
    sent = 0
    while isinstance(pool.place(build_request(), 0.0), Placed):
        start(pool, build_request())
        sent += 1
    slots = pool.records["t-0"].target.slots
    assert 1 <= sent <= slots


# Guards against a look at every target of a large service for each request.
def test_large_service_still_sends_an_object_to_its_first_target():
    pool = build_pool(95)
    chosen = set()
    for number in range(10):
        request = build_request(float(number), object_key="o-1")
        placed = start(pool, request, float(number))
        chosen.add(placed.record.id)
        finish(pool, placed, request, number + 0.1)
    assert chosen == {_find_first(pool, "o-1")}


def finish_all(pool, seconds_by_target, rounds=30):
    """Let every target answer in turn, each in its time."""
    request = build_request(object_key=None)
    for number in range(rounds):
        now = float(number)
        for key, seconds in seconds_by_target.items():
            record = pool.records[key]
            choice = Choice(record, 0.1, True, 0.95, True)
            placed = Placed(choice, "in_time")
            placed = attrs.evolve(placed, number=pool.start(placed, request, now))
            finish(pool, placed, request, now + seconds, seconds=seconds)


# Guards against targets that count as slow because the entry's own link is busy, so
# that requests leave the targets that have their objects warm.
def test_delay_that_all_targets_share_makes_none_of_them_slow():
    pool = build_pool(6)
    finish_all(pool, dict.fromkeys(pool.records, 0.1))
    finish_all(pool, dict.fromkeys(pool.records, 0.4), rounds=5)
    slowdown = [item.estimate_slowdown(40.0) for item in pool.records.values()]
    assert max(slowdown) < 1.5


def test_one_slow_target_counts_as_slow_beside_usual_ones():
    pool = build_pool(6)
    finish_all(pool, dict.fromkeys(pool.records, 0.1))
    finish_all(pool, {**dict.fromkeys(pool.records, 0.1), "t-3": 0.5}, rounds=10)
    assert pool.records["t-3"].estimate_slowdown(40.0) > 2.0
    assert pool.records["t-1"].estimate_slowdown(40.0) < 1.3


def learn_use(pool, running, now):
    """Let every target report its load with the answer to one request."""
    request = build_request(now)
    for record in pool.records.values():
        choice = Choice(record, 0.1, True, 0.95, True)
        placed = Placed(choice, "in_time")
        placed = attrs.evolve(placed, number=pool.start(placed, request, now))
        report = LoadReport(running, 2, record.target.slots)
        finish(pool, placed, request, now, seconds=0.1, report=report)


# Guards against an overload that feeds itself: one of 60 entries hears of each target
# every few seconds, takes the targets for idle, and lets late runs take all slots.
def test_late_request_gets_no_slot_while_targets_report_that_they_are_busy():
    pool = build_pool(4)
    times = pool.find_response_times(build_request())
    times.record(0.9, 0.03)
    times.record(0.1, 0.95)
    now = 0.0
    for number in range(40):
        now = number * 0.05
        learn_use(pool, 4, now)
    # The reports of single targets have faded by now, that of the service has not.
    now += 0.4
    first = {_find_first(pool, "o")}
    slow = build_request(now, object_key="o", excluded=frozenset(first))
    assert isinstance(pool.place(slow, now), Refused)
    now += 5.0
    slow = build_request(now, object_key="o", excluded=frozenset(first))
    assert isinstance(pool.place(slow, now), Placed)


# Guards against a refusal whose log line does not tell what it was decided by.
def test_refusal_tells_the_use_and_the_expected_time():
    pool = build_pool(2)
    times = pool.find_response_times(build_request())
    times.record(0.9, 0.03)
    times.record(0.5, 0.95)
    now = 0.0
    for number in range(40):
        now = number * 0.05
        learn_use(pool, 4, now)
    request = build_request(now, object_key="o", objective_at=now + 0.2)
    refused = pool.place(request, now)
    assert isinstance(refused, Refused)
    assert refused.utilisation > 0.6
    assert refused.expected_s is not None and refused.expected_s > 0.2
