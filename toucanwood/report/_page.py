"""The HTML page of a report, with its plots embedded."""

import html
import io
from typing import Any

from toucanwood.report._timeline import STATE_EVENTS, Timeline

OUTCOMES = ("answered", "refused", "failed", "caller left")
OUTCOME_COLORS = ("#4c956c", "#e09f3e", "#9e2a2b", "#8d99ae")
PERCENTILES = ((0.5, "p50"), (0.9, "p90"), (0.99, "p99"))
MAX_REASONS = 6
# Events in the table; a storm of configurations would fill the page.
MAX_LISTED_MARKS = 200
PLOT_SIZE_INCHES = (9.0, 2.6)
# The same margins in each plot, so that their time lines are aligned.
PLOT_MARGINS = {"left": 0.07, "right": 0.77, "top": 0.96, "bottom": 0.2}
STYLE = """
body { font-family: system-ui, sans-serif; margin: 1rem auto; max-width: 60rem;
  padding: 0 1rem; line-height: 1.4; color: #222; background: #fff; }
figure { margin: 1.5rem 0; }
figcaption { font-weight: 600; }
svg { width: 100%; min-width: 40rem; height: auto; }
.scroll { overflow-x: auto; }
table { border-collapse: collapse; }
td, th { padding: .2rem .8rem .2rem 0; text-align: left; vertical-align: top; }
td.number { text-align: right; font-variant-numeric: tabular-nums; }
"""


def build_page(timeline: Timeline, title: str) -> str:
    """Return a complete HTML page; raise ImportError without the plotting library."""
    from matplotlib.figure import Figure

    figures = [
        (
            "Logged requests a second, by outcome",
            _draw(Figure, timeline, _plot_outcomes),
        ),
        (
            "Time of logged requests in the entry, ms",
            _draw(Figure, timeline, _plot_percentiles),
        ),
        ("Refusals a second, by reason", _draw(Figure, timeline, _plot_refusals)),
        (
            "Targets and instances, events a second",
            _draw(Figure, timeline, _plot_states),
        ),
    ]
    plots = "\n".join(
        f"<figure><figcaption>{caption}</figcaption>"
        f'<div class="scroll">{svg}</div></figure>'
        for caption, svg in figures
    )
    start = timeline.started_at.strftime("%Y-%m-%d %H:%M:%S")
    return f"""<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>{html.escape(title)}</title>
<style>{STYLE}</style>
</head>
<body>
<h1>{html.escape(title)}</h1>
<p>{timeline.line_count} log lines from {start} UTC on, {timeline.duration_s:.0f} s.
Entries log every failure and retry, but only a sample of the requests that were
answered at the first attempt. Vertical lines mark elections (solid) and orders of the
operator (dotted).</p>
{_build_outcome_table(timeline)}
{plots}
{_build_mark_table(timeline)}
</body>
</html>
"""


def _draw(figure_type: Any, timeline: Timeline, plot: Any) -> str:
    """Return one plot as an SVG element."""
    figure = figure_type(figsize=PLOT_SIZE_INCHES)
    figure.subplots_adjust(**PLOT_MARGINS)
    axes = figure.add_subplot()
    plot(axes, timeline)
    for mark in timeline.marks:
        is_election = mark.label == "leader elected"
        axes.axvline(
            mark.at,
            color="#333333" if is_election else "#999999",
            linestyle="-" if is_election else ":",
            linewidth=0.8,
        )
    axes.set_xlim(0, max(timeline.duration_s, timeline.interval_s))
    axes.set_ylim(bottom=0)
    axes.set_xlabel("seconds")
    axes.spines[["top", "right"]].set_visible(False)
    if axes.get_legend_handles_labels()[1]:
        axes.legend(loc="upper left", bbox_to_anchor=(1.0, 1.0), frameon=False)
    buffer = io.StringIO()
    figure.savefig(buffer, format="svg")
    svg = buffer.getvalue()
    return svg[svg.index("<svg") :]


def _plot_outcomes(axes: Any, timeline: Timeline) -> None:
    rows = [
        [item.outcomes[name] / timeline.interval_s for item in timeline.intervals]
        for name in OUTCOMES
    ]
    axes.stackplot(
        timeline.list_times(), rows, labels=OUTCOMES, colors=OUTCOME_COLORS, step="post"
    )


def _plot_percentiles(axes: Any, timeline: Timeline) -> None:
    for fraction, name in PERCENTILES:
        values = [item.compute_percentile(fraction) for item in timeline.intervals]
        axes.plot(timeline.list_times(), values, label=name, drawstyle="steps-post")


def _plot_refusals(axes: Any, timeline: Timeline) -> None:
    for reason in timeline.list_refusal_reasons(MAX_REASONS):
        values = [
            item.refusals[reason] / timeline.interval_s for item in timeline.intervals
        ]
        axes.plot(timeline.list_times(), values, label=reason, drawstyle="steps-post")


def _plot_states(axes: Any, timeline: Timeline) -> None:
    for name in STATE_EVENTS.values():
        values = [
            item.states[name] / timeline.interval_s for item in timeline.intervals
        ]
        if any(values):
            axes.plot(timeline.list_times(), values, label=name, drawstyle="steps-post")


def _build_outcome_table(timeline: Timeline) -> str:
    counts = timeline.count_outcomes()
    rows = "".join(
        f'<tr><td>{name}</td><td class="number">{counts[name]}</td></tr>'
        for name in OUTCOMES
    )
    return f"<table><tr><th>Outcome</th><th>Logged requests</th></tr>{rows}</table>"


def _build_mark_table(timeline: Timeline) -> str:
    if not timeline.marks:
        return "<p>No election and no order was logged.</p>"
    rows = "".join(
        f'<tr><td class="number">{mark.at:.2f}</td><td>{mark.label}</td>'
        f"<td>{html.escape(mark.detail)}</td></tr>"
        for mark in timeline.marks[:MAX_LISTED_MARKS]
    )
    omitted = len(timeline.marks) - MAX_LISTED_MARKS
    note = f"<p>{omitted} later events are not listed.</p>" if omitted > 0 else ""
    head = "<tr><th>Second</th><th>Event</th><th>Details</th></tr>"
    return (
        f'<h2>Control</h2><div class="scroll"><table>{head}{rows}</table></div>{note}'
    )
