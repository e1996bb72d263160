from soak._history import History
from soak._http import Response
from soak._run import run_seed

# Seeds to run. A seed that has failed is added with a line on its cause; none has yet.
SEEDS = (1,)
FAULT_DURATION_S = 4.0
API_KEY, ORGANISATION = "k", "org"


class FakeTarget:
    id = "t-1"


def build_history():
    return History(API_KEY, ORGANISATION)


def receive_request(history, request_id, headers=None):
    all_headers = {"X-Tenant": ORGANISATION, **(headers or {})}
    history.record_run(request_id, FakeTarget(), "POST /unsafe/x HTTP/1.1", all_headers)


def receive_response(history, request_id, status, body=b"", *, is_complete=True):
    response = Response(status, {"X-Response-Signature": "s"}, body, is_complete)
    history.record_response(request_id, response, is_after_recovery_period=False)


def test_invariants_hold_under_injected_faults():
    for seed in SEEDS:
        result = run_seed(seed, FAULT_DURATION_S)
        assert result.violations == []
        assert result.served > 100


def test_reports_unsafe_request_that_ran_twice():
    history = build_history()
    history.unsafe_ids.add("a")
    receive_request(history, "a")
    receive_request(history, "a")
    assert history.list_violations() == ["a: ran 2 times"]


def test_reports_refused_request_that_ran():
    history = build_history()
    history.unsafe_ids.add("a")
    receive_request(history, "a")
    receive_response(history, "a", 503)
    assert history.list_violations() == ["a: answered 503 and has run"]


def test_reports_api_key_at_target_and_foreign_response():
    history = build_history()
    receive_request(history, "a", {"Authorization": "Bearer k"})
    receive_response(history, "a", 200, b"b")
    assert len(history.list_violations()) == 2


def test_reports_read_of_outdated_configuration():
    history = build_history()
    history.record_acknowledgement(5)
    acknowledged_at, _ = history.acknowledged[0]
    history.record_read(acknowledged_at + 1.0, 4)
    assert history.list_violations() == []
    history.record_read(acknowledged_at + 3.0, 4)
    assert len(history.list_violations()) == 1


def test_reports_missing_recovery_after_faults():
    history = build_history()
    for request_number in range(10):
        history.record_response(
            str(request_number), None, is_after_recovery_period=True
        )
    assert history.list_violations() == ["after the faults 0 of 10 served"]
