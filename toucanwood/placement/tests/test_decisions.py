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
from toucanwood.placement._rate_limit import MIN_SENDERS, choose_senders

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


def report_full_load(pool, now=0.0):
    for record in pool.records.values():
        record.record_load(LoadReport(record.target.slots, 4, 4), now)


# Guards against objects that every target has to load.
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


# Guards against targets that stay unused because their last report was a full load.
def test_reported_load_decays_without_new_reports():
    pool = build_pool(1)
    report_full_load(pool)
    assert isinstance(pool.place(build_request(), 0.0), Refused)
    later = build_request(2.0)
    assert isinstance(pool.place(later, 2.0), Placed)


# Guards against late requests that take the slots of requests that would be in time.
def test_late_request_gets_no_slot_while_the_pool_is_busy():
    pool = build_pool(2)
    pool.find_response_times(build_request()).record(0.6, 0.03)
    pool.find_response_times(build_request()).record(0.2, 0.95)
    for record in pool.records.values():
        for _ in range(3):
            record.start_request(0.2, 0.0)
    slow = build_request(
        object_key="o", excluded=frozenset({_find_first_target(pool, "o")})
    )
    assert not isinstance(pool.place(slow, 0.0), Placed)


def test_late_request_runs_while_most_slots_are_free():
    pool = build_pool(2)
    pool.find_response_times(build_request()).record(0.6, 0.03)
    pool.find_response_times(build_request()).record(0.2, 0.95)
    slow = build_request(
        object_key="o", excluded=frozenset({_find_first_target(pool, "o")})
    )
    placed = pool.place(slow, 0.0)
    assert isinstance(placed, Placed) and placed.reason == "late"


def _find_first_target(pool, key):
    ranking = {
        item: pool.selector.ranking.find_rank(key, item) for item in pool.records
    }
    return min(ranking, key=lambda item: 9 if ranking[item] is None else ranking[item])


# Guards against less urgent requests that fill the queues of targets, so that urgent
# ones are refused.
def test_less_urgent_request_is_refused_where_an_urgent_one_may_queue():
    pool = build_pool(1)
    start(pool, build_request(priorities=(1, 1)))
    # The report counts the request just answered and this entry's own request, so four
    # requests of other entries remain.
    pool.records["t-0"].record_load(LoadReport(4, 2, 4), 0.0)
    less_urgent = pool.place(build_request(priorities=(2, 2)), 0.0)
    urgent = pool.place(build_request(priorities=(1, 1)), 0.0)
    assert isinstance(less_urgent, Refused) and isinstance(urgent, Placed)


# Guards against requests that are queued at the entry, are late anyway, and hold
# back other requests whose targets are free.
def test_request_without_room_is_refused_at_once_with_a_retry_delay():
    pool = build_pool(1)
    report_full_load(pool)
    decision = pool.place(build_request(), 0.0)
    assert isinstance(decision, Refused) and decision.reason == "no_room"
    assert 0 < decision.retry_after_s <= 1.5


def test_retry_delays_of_requests_refused_together_differ():
    pool = build_pool(1)
    report_full_load(pool)
    times = [pool.place(build_request(), 0.0).retry_after_s for _ in range(50)]
    assert max(times) > 1.3 * min(times)


def test_request_without_any_target_is_refused_at_once():
    pool = build_pool(1)
    pool.records["t-0"].health.eject(0.0)
    decision = pool.place(build_request(), 0.0)
    assert isinstance(decision, Refused) and decision.reason == "no_target"


def test_request_is_placed_in_its_allowed_regions_only():
    pool = build_pool(1)
    south = TargetRecord(attrs.evolve(TARGET, id="t-s"), "south", 0.012)
    pool.records["t-s"] = south
    placed = pool.place(build_request(regions=frozenset({"south"})), 0.0)
    assert placed.record is south


def test_evacuated_draining_and_excluded_targets_get_no_requests():
    pool = build_pool(3, evacuated=frozenset({"b"}))
    draining_record = pool.records["t-0"]
    draining_record.target = attrs.evolve(
        draining_record.target, state=TargetState.DRAINING
    )
    evacuated_record = pool.records["t-1"]
    evacuated_record.target = attrs.evolve(evacuated_record.target, data_centre="b")
    request = build_request(excluded=frozenset({"t-2"}))
    assert isinstance(pool.place(request, 0.0), Refused)


# Guards against a target in its cold start that crashes because all entries send
# requests to it.
def test_cold_target_gets_its_rate_limit_over_all_entries():
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
    max_per_second = max(
        sum(time <= other < time + 1.0 for other in sent) for time in sent
    )
    assert max_per_second <= rate * over + slack
    assert len(sent) >= rate * 2


def test_few_entries_send_to_a_cold_target_of_a_large_fleet():
    entries = [f"e-{number}" for number in range(900)]
    assert len(choose_senders("t-0", entries)) == MIN_SENDERS


def test_cold_start_limiter_spaces_requests():
    limiter = ColdStartLimiter(2.0)
    assert limiter.may_send(0.0)
    limiter.consume(0.0)
    assert not limiter.may_send(0.49) and limiter.may_send(0.5)


def test_unreachable_target_is_ejected_until_a_probe_succeeds():
    health = Health()
    assert health.record(Outcome.UNREACHABLE, 0.0)
    assert health.is_ejected and health.probe_at > 0.0
    health.record_probe(is_healthy=False, now=1.0)
    assert health.is_ejected and health.probe_at > 1.0
    health.record_probe(is_healthy=True, now=2.0)
    assert not health.is_ejected


def test_target_with_broken_responses_is_ejected_after_a_few_of_them():
    health = Health()
    ejected = [health.record(Outcome.BROKEN, 0.0) for _ in range(3)]
    assert ejected == [False, False, True]


def test_cancelled_requests_do_not_affect_the_health_of_the_target():
    health = Health()
    for _ in range(20):
        health.record(Outcome.CANCELLED, 0.0)
    assert not health.is_ejected and health.success_rate == 1.0


def test_target_that_often_sheds_gets_fewer_requests_than_healthy_ones():
    pool = build_pool(4)
    counts = dict.fromkeys(pool.records, 0)
    for number in range(200):
        now = number * 0.05
        request = build_request(now)
        placed = start(pool, request, now)
        counts[placed.record.id] += 1
        must_shed = placed.record.id == "t-0" and number % 2
        outcome = Outcome.SHED if must_shed else Outcome.OK
        finish(pool, placed, request, now + 0.04, outcome)
    assert counts["t-0"] < 0.5 * max(counts.values())


def test_retries_stay_within_the_budget_in_any_window():
    budget = RetryBudget(fraction=0.1, slack=5, window_s=10.0)
    retries = []
    for tick in range(3000):
        now = tick * 0.01
        budget.record_request(now)
        if budget.take(now):
            retries.append(now)
    for time in retries:
        count = sum(time <= other < time + 10.0 for other in retries)
        assert count <= 0.1 * 1000 + 5 + 1


# Guards against a region that suddenly gets the requests of another region.
def test_fraction_of_a_region_grows_by_the_cap_at_most_between_windows():
    shift_limiter = RegionShiftLimiter(0.1, 2.0)
    for tick in range(400):
        now = tick * 0.01
        shift_limiter.record_request("north", now)
    shifted = 0
    for tick in range(400, 600):
        now = tick * 0.01
        region = (
            "north" if "south" in shift_limiter.list_capped_regions(now) else "south"
        )
        shifted += region == "south"
        shift_limiter.record_request(region, now)
    assert shifted <= 0.12 * 200


# Guards against a hung target that gets more requests until the first ones time out.
def test_target_with_overdue_requests_is_avoided_before_they_end():
    pool = build_pool(2)
    pool.find_response_times(build_request()).record(0.1, 0.95)
    for _ in range(2):
        placed = start(pool, build_request(excluded=frozenset({"t-1"})), 0.0)
        assert placed.record.id == "t-0"
    later = build_request(0.7, objective_at=5.0)
    assert start(pool, later, 0.7).record.id == "t-1"


def test_request_that_times_out_is_recorded_as_slow():
    pool = build_pool(1)
    request = build_request()
    pool.find_response_times(request).record(0.1, 0.95)
    placed = start(pool, request)
    finish(pool, placed, request, 1.0, Outcome.TIMED_OUT, seconds=1.0)
    assert placed.record.slowdown > 1.5


# Guards against counting the request just answered as the load of another entry.
def test_idle_target_that_reports_the_answered_request_is_treated_as_idle():
    pool = build_pool(1)
    request = build_request()
    placed = start(pool, request)
    finish(pool, placed, request, 0.1, report=LoadReport(1, 0, 4))
    assert placed.record.estimate_load(0.1) == 0


# Guards against a target that all entries fill at once just after their start.
def test_entry_without_load_reports_leaves_room_for_other_entries():
    pool = build_pool(1)
    sent = 0
    while isinstance(pool.place(build_request(), 0.0), Placed):
        start(pool, build_request())
        sent += 1
    slots = pool.records["t-0"].target.slots
    assert 1 <= sent <= slots


# To save CPU time, only a shortlist of the targets of a large service is evaluated for
# each request. Guards against a shortlist without the first target of the object.
def test_object_of_a_service_with_many_targets_goes_to_its_first_target():
    pool = build_pool(95)
    chosen = set()
    for number in range(10):
        request = build_request(float(number), object_key="o-1")
        placed = start(pool, request, float(number))
        chosen.add(placed.record.id)
        finish(pool, placed, request, number + 0.1)
    assert chosen == {_find_first_target(pool, "o-1")}


def finish_on_all_targets(pool, seconds_by_target, rounds=30):
    """Let every target answer a request in each round, after its response time."""
    request = build_request(object_key=None)
    for number in range(rounds):
        now = float(number)
        for key, seconds in seconds_by_target.items():
            record = pool.records[key]
            choice = Choice(record, 0.1, True, 0.95, True)
            placed = Placed(choice, "in_time")
            placed = attrs.evolve(placed, number=pool.start(placed, request, now))
            finish(pool, placed, request, now + seconds, seconds=seconds)


# Guards against targets that are treated as slow because the entry's own link is busy.
# Requests would then go to other targets than those where their objects are warm.
def test_delay_shared_by_all_targets_makes_none_of_them_slow():
    pool = build_pool(6)
    finish_on_all_targets(pool, dict.fromkeys(pool.records, 0.1))
    finish_on_all_targets(pool, dict.fromkeys(pool.records, 0.4), rounds=5)
    slowdown = [item.estimate_slowdown(40.0) for item in pool.records.values()]
    assert max(slowdown) < 1.5


def test_single_slow_target_is_recorded_as_slow():
    pool = build_pool(6)
    finish_on_all_targets(pool, dict.fromkeys(pool.records, 0.1))
    finish_on_all_targets(
        pool, {**dict.fromkeys(pool.records, 0.1), "t-3": 0.5}, rounds=10
    )
    assert pool.records["t-3"].estimate_slowdown(40.0) > 2.0
    assert pool.records["t-1"].estimate_slowdown(40.0) < 1.3


def learn_response_times(pool, *, cold_s, warm_s):
    """Record responses until the medians have these values."""
    times = pool.find_response_times(build_request())
    for _ in range(40):
        times.record(cold_s, 0.03)
        times.record(warm_s, 0.95)


# Guards against placement that ignores objects for many seconds after a start of all
# instances: the first responses come from targets with long queues, and the only one of
# them for a warm object took as long as for a cold one.
def test_first_response_alone_does_not_set_the_median():
    times = build_pool(1).find_response_times(build_request())
    times.record(2.5, 0.95)
    assert times.get_warm_median() < 0.6 * times.get_cold_median()
    for _ in range(8):
        times.record(0.12, 0.95)
    assert times.get_warm_median() < 0.15


def report_load(pool, running, now):
    """Let every target report its load with the response to one request."""
    request = build_request(now)
    for record in pool.records.values():
        choice = Choice(record, 0.1, True, 0.95, True)
        placed = Placed(choice, "in_time")
        placed = attrs.evolve(placed, number=pool.start(placed, request, now))
        report = LoadReport(running, 2, record.target.slots)
        finish(pool, placed, request, now, seconds=0.1, report=report)


# Guards against an overload that sustains itself: each of 60 entries gets a report of a
# target only every few seconds, assumes that the targets are idle, and lets late
# requests take all slots.
def test_late_request_gets_no_slot_while_targets_report_that_they_are_busy():
    pool = build_pool(4)
    learn_response_times(pool, cold_s=0.9, warm_s=0.1)
    now = 0.0
    for number in range(40):
        now = number * 0.05
        report_load(pool, 4, now)
    # The load reports of single targets have expired by now; the reported utilisation
    # of the service decays more slowly.
    now += 0.4
    first = {_find_first_target(pool, "o")}
    slow = build_request(now, object_key="o", excluded=frozenset(first))
    assert isinstance(pool.place(slow, now), Refused)
    now += 5.0
    slow = build_request(now, object_key="o", excluded=frozenset(first))
    assert isinstance(pool.place(slow, now), Placed)


# Guards against a refusal whose log line lacks the figures that led to the refusal.
def test_refusal_holds_the_utilisation_and_the_expected_time():
    pool = build_pool(2)
    learn_response_times(pool, cold_s=0.9, warm_s=0.5)
    now = 0.0
    for number in range(40):
        now = number * 0.05
        report_load(pool, 4, now)
    request = build_request(now, object_key="o", objective_at=now + 0.2)
    refused = pool.place(request, now)
    assert isinstance(refused, Refused)
    assert refused.utilisation > 0.6
    assert refused.expected_s is not None and refused.expected_s > 0.2


# Guards against runs that end at the deadline of their request without a response, and
# take slots from requests that could be served.
def test_request_that_cannot_be_answered_before_its_deadline_is_refused():
    pool = build_pool(2)
    learn_response_times(pool, cold_s=0.9, warm_s=0.3)
    late = build_request(0.0, object_key="o", objective_at=0.1)
    assert isinstance(pool.place(late, 0.0), Placed)
    refused = pool.place(attrs.evolve(late, deadline_at=0.2), 0.0)
    assert isinstance(refused, Refused) and refused.reason == "past_deadline"


# Guards against runs for a cold object that nearly always end at the time-out: only the
# few that were in time were learned from.
def test_runs_that_are_cut_off_raise_the_expected_time():
    pool = build_pool(1)
    learn_response_times(pool, cold_s=0.9, warm_s=0.3)
    request = build_request(object_key="o", deadline_at=1.0)
    choice = Choice(pool.records["t-0"], 0.9, True, 0.03, False)
    for _ in range(20):
        placed = Placed(choice, "late")
        placed = attrs.evolve(placed, number=pool.start(placed, request, 0.0))
        finish(pool, placed, request, 1.0, Outcome.TIMED_OUT, seconds=1.0)
    times = pool.find_response_times(request)
    assert times.get_cold_median() > 0.99
    assert times.get_warm_median() == 0.3
