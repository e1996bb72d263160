"""Tests of selecting the log lines of one request."""

from toucanwood.request_history import find_request_lines, parse_line

LINES = [
    "timestamp=2026-05-18T06:47:01.840082Z level=info event=target_ejected "
    "target=i-6abb outcome=unreachable success_rate=0.9",
    "timestamp=2026-05-18T06:47:01.850000Z level=info event=target_ejected "
    "target=i-other outcome=broken success_rate=0.5",
    "timestamp=2026-05-18T06:47:02.000000Z level=info event=routing_applied "
    "revision=18 before=15",
    "timestamp=2026-05-18T06:47:05.211357Z level=info event=request_answered "
    'request=f366 code=answered attempts="i-6abb:in_time:broken:107ms:load=6.0/6,'
    'i-5d06:late:ok:617ms:load=4.0/6"',
    "timestamp=2026-05-18T06:40:00.000000Z level=info event=target_ejected "
    "target=i-6abb outcome=unreachable success_rate=0.9",
    "something else",
]


def parse_lines():
    parsed = [parse_line(text, "entry.log") for text in LINES]
    return [line for line in parsed if line is not None]


def test_history_has_the_request_and_earlier_events_of_its_targets():
    events = [line.event for line in find_request_lines("f366", parse_lines())]
    assert events == ["target_ejected", "routing_applied", "request_answered"]


def test_unknown_request_has_no_lines():
    assert find_request_lines("none", parse_lines()) == []


def test_quoted_value_is_parsed_as_one_value():
    line = parse_lines()[3]
    assert line.pairs["attempts"].count(",") == 1


def test_text_without_pairs_is_not_a_log_line():
    assert parse_line("something else", "x") is None
