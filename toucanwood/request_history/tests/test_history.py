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


def read_lines():
    parsed = [parse_line(text, "entry.log") for text in LINES]
    return [line for line in parsed if line is not None]


def test_story_has_the_request_and_what_was_believed_of_its_targets():
    events = [line.event for line in find_request_lines("f366", read_lines())]
    assert events == ["target_ejected", "routing_applied", "request_answered"]


def test_request_that_no_line_names_has_no_story():
    assert find_request_lines("none", read_lines()) == []


def test_quoted_values_are_read_whole():
    line = read_lines()[3]
    assert line.pairs["attempts"].count(",") == 1


def test_other_text_is_not_a_line():
    assert parse_line("something else", "x") is None
