"""Write tables, plots and JSON of bench results."""

import json
import pathlib
import statistics
import typing

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # after the backend is set

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
    """Return the table columns of one run."""
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
    runs_by_policy = _by_policy(runs)
    baseline = next(iter(runs_by_policy))
    seeds = len(runs_by_policy[baseline])
    lines = [
        f"{plan.deployment}, {plan.workload}, {plan.load:g} x capacity "
        f"({runs[0]['rate']:.1f} requests/s), fault {plan.fault}, {seeds} seeds",
        "",
        "| policy | " + " | ".join(COLUMNS) + f" | goodput of {baseline} / its |",
        "|---" * (len(COLUMNS) + 2) + "|",
    ]
    for name, policy_runs in runs_by_policy.items():
        cells = []
        for column in COLUMNS:
            cells.append(
                _mean_and_deviation([summary(run)[column] for run in policy_runs])
            )
        pairs = zip(runs_by_policy[baseline], policy_runs, strict=True)
        ratios = [_goodput_ratio(one, other) for one, other in pairs]
        lines.append(
            f"| {name} | " + " | ".join(cells) + f" | {_mean_and_deviation(ratios)} |"
        )
    lines += ["", *_work_lines(runs_by_policy)]
    lines += ["", "| policy | " + " | ".join(_tiers(runs)) + " |"]
    lines.append("|---" * (len(_tiers(runs)) + 1) + "|")
    for name, policy_runs in runs_by_policy.items():
        cells = [
            _mean_and_deviation(_tier_shares(policy_runs, tier))
            for tier in _tiers(runs)
        ]
        lines.append(f"| {name} in time | " + " | ".join(cells) + " |")
    cells = [
        _mean_and_deviation(_bound_shares(runs_by_policy[baseline], tier))
        for tier in _tiers(runs)
    ]
    lines.append("| strict bound | " + " | ".join(cells) + " |")
    top = _tiers(runs)[0]
    lines.append("")
    for name, policy_runs in runs_by_policy.items():
        counts: dict[str, int] = {}
        for run in policy_runs:
            for reason, count in run["figures"]["missed"][top].items():
                counts[reason] = counts.get(reason, 0) + count
        ordered = sorted(counts.items(), key=lambda item: -item[1])
        reasons = ", ".join(f"{reason} {count}" for reason, count in ordered)
        lines.append(
            f"{name}, missed in the top tier over all seeds: {reasons or 'none'}"
        )
    return "\n".join(lines)


def _work_lines(runs_by_policy: dict[str, list[bench_runs.Run]]) -> list[str]:
    """Return a table of busy time by kind of work, averaged over engines and seeds."""
    lines = ["| policy | prefill | decode | steps | batch | wasted decode |"]
    lines.append("|---" * 6 + "|")
    for name, policy_runs in runs_by_policy.items():
        cells = []
        for field in bench_metrics.Work._fields:
            values = []
            for run in policy_runs:
                works = run["figures"]["work"].values()
                values.append(statistics.fmean(getattr(one, field) for one in works))
            cells.append(_mean_and_deviation(values))
        wasted = [run["figures"]["wasted_decode_share"] for run in policy_runs]
        lines.append(
            f"| {name} | " + " | ".join([*cells, _mean_and_deviation(wasted)]) + " |"
        )
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
    runs_by_policy = _by_policy(runs)
    figure, axes = pyplot.subplots(2, 3, figsize=(16, 9))
    panels: list[typing.Any] = list(axes.flat)
    _plot_tiers(panels[0], runs_by_policy, _tiers(runs))
    simple = ("wasted", "first p99 ms", "gap p99 ms", "Jain", "busy")
    for panel, column in zip(panels[1:], simple, strict=True):
        values = [
            [summary(run)[column] for run in policy_runs]
            for policy_runs in runs_by_policy.values()
        ]
        means = [statistics.fmean(value) for value in values]
        errors = [_deviation(value) for value in values]
        panel.bar(list(runs_by_policy), means, yerr=errors)
        panel.set_title(column)
        panel.tick_params(axis="x", rotation=20)
    figure.suptitle(f"{plan.workload}, {plan.load:g} x capacity, fault {plan.fault}")
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    pyplot.close(figure)


def _plot_tiers(
    panel: typing.Any, runs_by_policy: dict[str, list[bench_runs.Run]], tiers: list[str]
) -> None:
    base = [0.0] * len(runs_by_policy)
    for tier in tiers:
        means = []
        for policy_runs in runs_by_policy.values():
            counts = [run["figures"]["in_time"][tier] for run in policy_runs]
            means.append(statistics.fmean(counts))
        panel.bar(list(runs_by_policy), means, bottom=base, label=tier)
        base = [one + other for one, other in zip(base, means, strict=True)]
    baseline = next(iter(runs_by_policy.values()))
    limit = statistics.fmean(run["figures"]["bound_strict"] for run in baseline)
    panel.axhline(limit, linestyle="--", color="black", label="strict bound")
    panel.set_title("goodput by tier")
    panel.tick_params(axis="x", rotation=20)
    panel.legend()


def _by_policy(runs: list[bench_runs.Run]) -> dict[str, list[bench_runs.Run]]:
    runs_by_policy: dict[str, list[bench_runs.Run]] = {}
    for run in runs:
        runs_by_policy.setdefault(run["policy"], []).append(run)
    return runs_by_policy


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


def _goodput_ratio(one: bench_runs.Run, other: bench_runs.Run) -> float:
    return one["figures"]["goodput"] / max(other["figures"]["goodput"], 1)


def _mean_and_deviation(values: list[float]) -> str:
    return f"{statistics.fmean(values):.3g} ± {_deviation(values):.2g}"


def _deviation(values: list[float]) -> float:
    return statistics.stdev(values) if len(values) > 1 else 0.0
