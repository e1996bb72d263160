"""Tests of the report: what it counts, and that its page is complete."""

import re

from toucanwood.report import Timeline, build_page
from toucanwood.request_history import parse_line


def build_lines(*texts):
    return [
        parse_line(
            f"timestamp=2026-12-05T00:00:{second:09.6f}Z level=info {text}", "log"
        )
        for second, text in texts
    ]


LINES = build_lines(
    (0.0, "event=gateway_started id=e-1"),
    (0.5, "event=request_answered code=answered status=200 held_ms=100"),
    (0.6, "event=request_answered code=answered status=500 held_ms=200"),
    (1.2, "event=request_failed code=no_room status=503 held_ms=1"),
    (1.3, "event=request_failed code=no_room status=503 held_ms=1"),
    (1.4, "event=request_failed code=over_quota status=429 held_ms=1"),
    (1.5, "event=request_failed code=target_failed status=502 held_ms=900"),
    (1.6, "event=request_failed code=caller_left status=0 held_ms=50"),
    (2.1, 'event=leader_elected replica="<c-1>" term=2'),
    (2.2, "event=target_ejected target=t-1"),
    (3.0, "event=order_answered status=accepted revision=7"),
)


# Guards against a report that counts a failure as a refusal, or the other way round: a
# refusal promises that the request has not run.
def test_requests_are_counted_by_outcome_and_interval():
    timeline = Timeline.from_lines(reversed(LINES))
    assert timeline.duration_s == 3.0 and timeline.interval_s == 1.0
    assert len(timeline.intervals) == 4
    first, second = timeline.intervals[:2]
    assert first.outcomes == {"answered": 1, "failed": 1}
    assert second.outcomes == {"refused": 3, "failed": 1, "caller left": 1}
    assert second.refusals == {"no_room": 2, "over_quota": 1}
    assert timeline.list_refusal_reasons(1) == ["no_room"]
    assert first.compute_percentile(0.99) == 200
    assert [mark.label for mark in timeline.marks] == [
        "leader elected",
        "configuration",
    ]


# Guards against a page that needs a network, or shows text of a log as markup.
def test_page_is_complete_without_a_network():
    page = build_page(Timeline.from_lines(LINES), "a <b> & c")
    assert page.count("<svg") == page.count("</svg>") == 4
    assert "<title>a &lt;b&gt; &amp; c</title>" in page
    assert "&lt;c-1&gt;" in page and "<c-1>" not in page
    assert not re.search(r"<(script|link|img|iframe)\b", page)
    assert 'name="viewport"' in page


# Guards against a report of days that has an interval for each second.
def test_long_logs_have_a_bounded_number_of_intervals():
    lines = build_lines((0.0, "event=request_failed code=no_room status=503"))
    last = parse_line("timestamp=2026-12-06T00:00:00Z event=target_left", "log")
    timeline = Timeline.from_lines([*lines, last])
    assert len(timeline.intervals) <= 601 and timeline.interval_s == 144
