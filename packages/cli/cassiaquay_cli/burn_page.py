"""Renders the burn report as one self-contained HTML page."""

import datetime
import html

from . import burn_sums, outputs, plots

STYLE = """
body { font: 14px/1.5 system-ui, sans-serif; margin: 2em; max-width: 60em; }
table { border-collapse: collapse; margin: 1em 0; }
th, td { border-bottom: 1px solid #ccc; padding: 0.2em 0.8em; text-align: left; }
.page, .ticket { color: #a40000; font-weight: bold; }
.missing { background: #fff3cd; padding: 0.5em 1em; }
svg text { font: 11px system-ui, sans-serif; }
svg .title { font-weight: bold; }
svg .right { text-anchor: end; }
svg .under { fill: #4a7fb5; }
svg .over { fill: #c0392b; }
svg .limit { stroke: #c0392b; stroke-dasharray: 4 3; }
svg .axis { stroke: #555; }
"""


def render(report: burn_sums.Report) -> str:
    """Return the HTML page of a report."""
    at = datetime.datetime.fromtimestamp(report["at"]).isoformat(" ", "seconds")
    parts = [
        "<!doctype html>",
        '<html lang="en"><head><meta charset="utf-8">',
        f"<title>cassiaquay burn {at}</title><style>{STYLE}</style></head><body>",
        "<h1>Service-level burn</h1>",
        f"<p>{at}; {report['instances']} instances answered; configuration revision"
        f" {report['revision']}; {report['excluded']} requests not counted.</p>",
        _missing_section(report),
        _objectives_table(report),
    ]
    for objective in report["objectives"]:
        parts.append(_objective_section(report, objective))
    parts.append("</body></html>")
    return "\n".join(parts)


def _missing_section(report: burn_sums.Report) -> str:
    lines = missing_lines(report)
    if not lines:
        return "<p>Nothing is missing.</p>"
    items = "".join(f"<li>{html.escape(line)}</li>" for line in lines)
    return f'<div class="missing"><b>What is missing</b><ul>{items}</ul></div>'


def missing_lines(report: burn_sums.Report) -> list[str]:
    """Return one line for each instance whose counts are missing or incomplete."""
    lines = []
    for item in report["missing"]:
        lines.append(f"{item['instance']} gave no answer: {item['reason']}")
    for young in report["young"]:
        since = datetime.datetime.fromtimestamp(young["since"])
        lines.append(
            f"{young['instance']} counts since {since.isoformat(' ', 'seconds')}"
            f" ({outputs.duration(young['counted_seconds'])}) only: started or replaced"
            " then; what an earlier life counted is lost"
        )
    if lines:
        parts = [f"{name} {part:.0%}" for name, part in report["coverage"].items()]
        lines.append("counted part of the instances' time: " + ", ".join(parts))
    return lines


def _objectives_table(report: burn_sums.Report) -> str:
    names = [*burn_sums.FAST_WINDOWS, *burn_sums.SLOW_WINDOWS]
    header = "".join(f"<th>{name}</th>" for name in names)
    rows = []
    for item in report["objectives"]:
        rates = "".join(f"<td>{format_rate(w['rate'])}</td>" for w in item["windows"])
        kind = item["verdict"].replace(" ", "-")
        rows.append(
            f"<tr><td>{html.escape(item['service'])}</td>"
            f"<td>{html.escape(item['tier'])}</td>"
            f"<td>{item['share']:.2%} in {item['within_ms']} ms</td>{rates}"
            f"<td>{format_budget_left(item['budget_left'])}</td>"
            f'<td class="{kind}">{item["verdict"]}</td></tr>'
        )
    return (
        "<table><tr><th>service</th><th>tier</th><th>objective</th>"
        f"{header}<th>budget left</th><th>verdict</th></tr>{''.join(rows)}</table>"
        "<p>A burn rate of 1 spends the budget exactly by the end of the period.</p>"
    )


def _objective_section(report: burn_sums.Report, item: burn_sums.ObjectiveBurn) -> str:
    parts = [f"<h2>{html.escape(item['service'])}, {html.escape(item['tier'])}</h2>"]
    for series in report["series"]:
        is_same_objective = (series["service"], series["tier"]) == (
            item["service"],
            item["tier"],
        )
        if is_same_objective:
            parts.append(_plot(series, item["share"]))
    if not item["burners"]:
        return "\n".join(parts)
    rows = []
    for burner in item["burners"]:
        rows.append(
            f"<tr><td>{burner['axis']}</td><td>{html.escape(burner['name'])}</td>"
            f"<td>{burner['bad']} of {burner['total']}</td>"
            f"<td>{burner['part']:.0%}</td></tr>"
        )
    parts.append(
        "<table><tr><th>by</th><th>name</th><th>bad requests</th>"
        f"<th>part of all bad</th></tr>{''.join(rows)}</table>"
    )
    return "\n".join(parts)


def _plot(series: burn_sums.Series, share: float) -> str:
    buckets = 60 if series["ring"] == "fast" else 72
    span = buckets * series["bucket_seconds"]
    items = []
    for point in series["points"]:
        value = burn_sums.rate(share, point["total"], point["good"]) or 0.0
        start = 1.0 - (point["age_seconds"] + series["bucket_seconds"]) / span
        if start >= 0.0:
            items.append(plots.Bar(start, 1.0 / buckets, value))
    label = f"{outputs.duration(span)} ago"
    return plots.bars(f"burn rate, last {outputs.duration(span)}", items, 1.0, label)


def format_rate(value: float | None) -> str:
    """Format a burn rate; ``-`` without requests."""
    return "-" if value is None else f"{value:.2f}"


def format_budget_left(value: float | None) -> str:
    """Format the remaining share of a budget; ``-`` without requests."""
    return "-" if value is None else f"{value:.0%}"
