from soak._history import History
from soak._http import Reply
from soak._run import play_seed

# Seeds that once failed are kept here, each with a line on its cause; none has yet.
SEEDS = (1,)
SECONDS = 4.0
KEY, ORGANISATION = "k", "org"


class NamedTarget:
    id = "t-1"


def build_history():
    return History(KEY, ORGANISATION)


def run(history, request_id, headers=None):
    given = {"X-Tenant": ORGANISATION, **(headers or {})}
    history.note_run(request_id, NamedTarget(), "POST /unsafe/x HTTP/1.1", given)


def answer(history, request_id, status, body=b"", *, is_whole=True):
    reply = Reply(status, {"X-Response-Signature": "s"}, body, is_whole)
    history.note_answer(request_id, reply, is_settled=False)


def test_invariants_are_kept_under_kills_stops_and_pauses():
    for seed in SEEDS:
        verdict = play_seed(seed, SECONDS)
        assert verdict.broken == []
        assert verdict.served > 100


def test_checker_finds_an_order_that_ran_twice():
    history = build_history()
    history.unsafe.add("a")
    run(history, "a")
    run(history, "a")
    assert history.conclude() == ["a: ran 2 times"]


def test_checker_finds_a_false_refusal():
    history = build_history()
    history.unsafe.add("a")
    run(history, "a")
    answer(history, "a", 503)
    assert history.conclude() == ["a: answered 503 and has run"]


def test_checker_finds_a_key_at_a_target_and_a_foreign_answer():
    history = build_history()
    run(history, "a", {"Authorization": "Bearer k"})
    answer(history, "a", 200, b"b")
    assert len(history.conclude()) == 2


def test_checker_finds_an_old_configuration():
    history = build_history()
    history.note_acknowledged(5)
    at, _ = history.acknowledged[0]
    history.note_read(at + 1.0, 4)
    assert history.conclude() == []
    history.note_read(at + 3.0, 4)
    assert len(history.conclude()) == 1


def test_checker_finds_a_service_that_does_not_recover():
    history = build_history()
    for number in range(10):
        history.note_answer(str(number), None, is_settled=True)
    assert history.conclude() == ["after the faults 0 of 10 served"]
