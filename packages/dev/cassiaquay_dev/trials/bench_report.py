"""Tables, plots and JSON of the bench."""

import json
import pathlib
import statistics
import typing

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # the backend goes first

from . import bench_metrics, bench_runs

COLUMNS = (
    "goodput",
    "of strict bound",
    "of bound",
    "top tier",
    "wasted",
    "cache of oracle",
    "first p50 ms",
    "first p99 ms",
    "gap p50 ms",
    "gap p99 ms",
    "Jain",
    "busy",
    "recovery",
)


def summary(run: bench_runs.Run) -> dict[str, float]:
    """Return the columns of one run."""
    figures = run["figures"]
    top = next(iter(figures["sent"]))
    busy = figures["busy_share"].values()
    return dict(
        zip(
            COLUMNS,
            (
                figures["goodput"],
                figures["goodput"] / max(figures["bound_strict"], 1e-9),
                figures["goodput"] / max(figures["bound_without_tiers"], 1e-9),
                figures["in_time"][top] / max(figures["finishable"][top], 1),
                figures["wasted_prefill_share"],
                figures["oracle_cached_share"],
                figures["first_ms"][0],
                figures["first_ms"][2],
                figures["gap_ms"][0],
                figures["gap_ms"][2],
                figures["jain"],
                sum(busy) / max(len(busy), 1),
                figures["recovery_share"],
            ),
            strict=True,
        )
    )


def line(run: bench_runs.Run) -> str:
    """Return one run as a line of key=value pairs."""
    figures = run["figures"]
    columns = summary(run)
    pairs = [f"policy={run['policy']}", f"seed={run['seed']}"]
    for name, value in columns.items():
        pairs.append(f"{name.replace(' ', '_')}={value:.4g}")
    busiest = max(
        figures["processor_share"], key=figures["processor_share"].__getitem__
    )
    pairs.append(f"processor={busiest}:{figures['processor_share'][busiest]:.2f}")
    pairs.append(f"wrong={figures['wrong']}")
    pairs.append(f"repeated={figures['repeated_dispatches']}")
    return " ".join(pairs)


def table(plan: bench_runs.Plan, runs: list[bench_runs.Run]) -> str:
    """Return the comparison as Markdown: mean and standard deviation over seeds."""
    found = _by_policy(runs)
    first = next(iter(found))
    seeds = len(found[first])
    lines = [
        f"{plan.deployment}, {plan.workload}, {plan.load:g} x capacity "
        f"({runs[0]['rate']:.1f} requests/s), fault {plan.fault}, {seeds} seeds",
        "",
        "| policy | " + " | ".join(COLUMNS) + f" | goodput of {first} / its |",
        "|---" * (len(COLUMNS) + 2) + "|",
    ]
    for name, mine in found.items():
        cells = []
        for column in COLUMNS:
            cells.append(_spread([summary(run)[column] for run in mine]))
        pairs = zip(found[first], mine, strict=True)
        ratios = [_ratio(one, other) for one, other in pairs]
        lines.append(f"| {name} | " + " | ".join(cells) + f" | {_spread(ratios)} |")
    lines += ["", *_work_lines(found)]
    lines += ["", "| policy | " + " | ".join(_tiers(runs)) + " |"]
    lines.append("|---" * (len(_tiers(runs)) + 1) + "|")
    for name, mine in found.items():
        cells = [_spread(_tier_shares(mine, tier)) for tier in _tiers(runs)]
        lines.append(f"| {name} in time | " + " | ".join(cells) + " |")
    cells = [_spread(_bound_shares(found[first], tier)) for tier in _tiers(runs)]
    lines.append("| strict bound | " + " | ".join(cells) + " |")
    top = _tiers(runs)[0]
    lines.append("")
    for name, mine in found.items():
        counts: dict[str, int] = {}
        for run in mine:
            for reason, count in run["figures"]["missed"][top].items():
                counts[reason] = counts.get(reason, 0) + count
        ordered = sorted(counts.items(), key=lambda item: -item[1])
        told = ", ".join(f"{reason} {count}" for reason, count in ordered)
        lines.append(f"{name}, missed in the top tier over all seeds: {told or 'none'}")
    return "\n".join(lines)


def _work_lines(found: dict[str, list[bench_runs.Run]]) -> list[str]:
    """Return a table of where the engines' time went, over engines and seeds."""
    lines = ["| policy | prefill | decode | steps | batch | wasted decode |"]
    lines.append("|---" * 6 + "|")
    for name, mine in found.items():
        cells = []
        for field in bench_metrics.Work._fields:
            values = []
            for run in mine:
                works = run["figures"]["work"].values()
                values.append(statistics.fmean(getattr(one, field) for one in works))
            cells.append(_spread(values))
        wasted = [run["figures"]["wasted_decode_share"] for run in mine]
        lines.append(f"| {name} | " + " | ".join([*cells, _spread(wasted)]) + " |")
    return lines


def write(
    plan: bench_runs.Plan, runs: list[bench_runs.Run], folder: pathlib.Path
) -> str:
    """Write table, plots and JSON into a folder; return the table."""
    name = f"{plan.workload}-{plan.load:g}x-{plan.fault}"
    text = table(plan, runs)
    (folder / f"{name}.md").write_text(text + "\n")
    content = {"plan": plan._asdict(), "runs": runs}
    (folder / f"{name}.json").write_text(json.dumps(content, indent=1))
    _plot(plan, runs, folder / f"{name}.png")
    return text


def _plot(
    plan: bench_runs.Plan, runs: list[bench_runs.Run], path: pathlib.Path
) -> None:
    found = _by_policy(runs)
    figure, axes = pyplot.subplots(2, 3, figsize=(16, 9))
    panels: list[typing.Any] = list(axes.flat)
    _plot_tiers(panels[0], found, _tiers(runs))
    simple = ("wasted", "first p99 ms", "gap p99 ms", "Jain", "busy")
    for panel, column in zip(panels[1:], simple, strict=True):
        values = [[summary(run)[column] for run in mine] for mine in found.values()]
        means = [statistics.fmean(value) for value in values]
        errors = [_deviation(value) for value in values]
        panel.bar(list(found), means, yerr=errors)
        panel.set_title(column)
        panel.tick_params(axis="x", rotation=20)
    figure.suptitle(f"{plan.workload}, {plan.load:g} x capacity, fault {plan.fault}")
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    pyplot.close(figure)


def _plot_tiers(
    panel: typing.Any, found: dict[str, list[bench_runs.Run]], tiers: list[str]
) -> None:
    base = [0.0] * len(found)
    for tier in tiers:
        means = []
        for mine in found.values():
            counts = [run["figures"]["in_time"][tier] for run in mine]
            means.append(statistics.fmean(counts))
        panel.bar(list(found), means, bottom=base, label=tier)
        base = [one + other for one, other in zip(base, means, strict=True)]
    first = next(iter(found.values()))
    limit = statistics.fmean(run["figures"]["bound_strict"] for run in first)
    panel.axhline(limit, linestyle="--", color="black", label="strict bound")
    panel.set_title("goodput by tier")
    panel.tick_params(axis="x", rotation=20)
    panel.legend()


def _by_policy(runs: list[bench_runs.Run]) -> dict[str, list[bench_runs.Run]]:
    found: dict[str, list[bench_runs.Run]] = {}
    for run in runs:
        found.setdefault(run["policy"], []).append(run)
    return found


def _tiers(runs: list[bench_runs.Run]) -> list[str]:
    return list(runs[0]["figures"]["sent"])


def _tier_shares(runs: list[bench_runs.Run], tier: str) -> list[float]:
    shares = []
    for run in runs:
        figures = run["figures"]
        shares.append(figures["in_time"][tier] / max(figures["sent"][tier], 1))
    return shares


def _bound_shares(runs: list[bench_runs.Run], tier: str) -> list[float]:
    shares = []
    for run in runs:
        figures = run["figures"]
        shares.append(figures["bound_by_tier"][tier] / max(figures["sent"][tier], 1))
    return shares


def _ratio(one: bench_runs.Run, other: bench_runs.Run) -> float:
    return one["figures"]["goodput"] / max(other["figures"]["goodput"], 1)


def _spread(values: list[float]) -> str:
    return f"{statistics.fmean(values):.3g} ± {_deviation(values):.2g}"


def _deviation(values: list[float]) -> float:
    return statistics.stdev(values) if len(values) > 1 else 0.0
