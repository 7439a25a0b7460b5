"""Measure the effect of each mechanism by simulating a day with and without it.

Both variants run on the same seeds; the effect is the mean of the paired differences.
"""

import collections.abc
import concurrent.futures
import math
import statistics
import typing

from . import days, mechanisms, simulation, virtual_time

# Two-sided 95% quantiles of Student's t for 1, 2, ... degrees of freedom.
STUDENT_T_95 = (12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26)
NORMAL_95 = 1.96


class Task(typing.NamedTuple):
    """One simulation: a day, a seed and the mechanisms to disable."""

    day: days.Day
    seed: int
    without: tuple[str, ...]


class Effect(typing.NamedTuple):
    """Effect of a mechanism on the worth that a day earns.

    Attributes
    ----------
    name : str
        Name of the mechanism.
    worth : float
        Mean difference of the earned share of worth, with it minus without it.
    margin : float
        Half-width of the 95% confidence interval; infinite for a single seed.
    """

    name: str
    worth: float
    margin: float

    @property
    def verdict(self) -> str:
        """Classify the effect as positive, negative or not significant."""
        if abs(self.worth) <= self.margin:
            return "not told apart from nothing"
        return "worth its place" if self.worth > 0 else "harmful here"


def play(task: Task) -> float:
    """Simulate a day and return the share of worth that it earned."""
    with mechanisms.switched_off(task.without):
        found = virtual_time.run(simulation.play(task.day, task.seed))
    return simulation.worth(found.ended)


def ablate(
    day: days.Day,
    seeds: collections.abc.Sequence[int],
    names: collections.abc.Sequence[str],
    workers: int,
) -> list[Effect]:
    """Return the effects of the named mechanisms, the largest first."""
    variants: list[tuple[str, ...]] = [(), *((name,) for name in names)]
    tasks = [Task(day, seed, without) for without in variants for seed in seeds]
    with concurrent.futures.ProcessPoolExecutor(workers) as pool:
        results = list(pool.map(play, tasks))
    worths: dict[tuple[str, ...], list[float]] = {}
    for task, result in zip(tasks, results, strict=True):
        worths.setdefault(task.without, []).append(result)
    effects = [effect(name, worths[()], worths[(name,)]) for name in names]
    return sorted(effects, key=_worth, reverse=True)


def effect(name: str, full: list[float], without: list[float]) -> Effect:
    """Return the effect of a mechanism from paired results of the same seeds."""
    gains = [
        with_it - without_it for with_it, without_it in zip(full, without, strict=True)
    ]
    mean = statistics.mean(gains)
    if len(gains) < 2:
        return Effect(name, mean, math.inf)
    degrees_of_freedom = len(gains) - 1
    t_value = (
        STUDENT_T_95[degrees_of_freedom - 1]
        if degrees_of_freedom <= len(STUDENT_T_95)
        else NORMAL_95
    )
    margin = t_value * statistics.stdev(gains) / math.sqrt(len(gains))
    return Effect(name, mean, margin)


def table(effects: list[Effect]) -> list[str]:
    """Return the lines of a table of effects."""
    lines = [f"{'mechanism':18} {'worth':>7}  95%"]
    for item in effects:
        line = f"{item.name:18} {item.worth:+7.4f}  +-{item.margin:.4f}  {item.verdict}"
        lines.append(line)
    return lines


def _worth(item: Effect) -> float:
    return item.worth
