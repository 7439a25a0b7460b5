"""What each mechanism is worth on a day: played with and without it, seed by seed."""

import collections.abc
import concurrent.futures
import math
import statistics
import typing

from . import days, mechanisms, simulation, virtual_time

# Two-sided 95% points of Student's t by degrees of freedom, from one on.
STUDENT_T = (12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26)
NORMAL = 1.96


class Task(typing.NamedTuple):
    """One day to be played."""

    day: days.Day
    seed: int
    without: tuple[str, ...]


class Effect(typing.NamedTuple):
    """What a mechanism is worth.

    Attributes
    ----------
    name : str
        The mechanism.
    worth : float
        Mean worth of a day with it less that without it.
    margin : float
        Half of the 95% interval of that mean; infinite for a single seed.
    """

    name: str
    worth: float
    margin: float

    @property
    def verdict(self) -> str:
        """Say what the interval allows to be said."""
        if abs(self.worth) <= self.margin:
            return "not told apart from nothing"
        return "worth its place" if self.worth > 0 else "harmful here"


def play(task: Task) -> float:
    """Return the worth of a day."""
    with mechanisms.switched_off(task.without):
        found = virtual_time.run(simulation.play(task.day, task.seed))
    return simulation.worth(found.ended)


def ablate(
    day: days.Day,
    seeds: collections.abc.Sequence[int],
    names: collections.abc.Sequence[str],
    workers: int,
) -> list[Effect]:
    """Return the effects of some mechanisms, the largest first."""
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
    """Return the effect of a mechanism from the worths of the same seeds."""
    gains = [one - other for one, other in zip(full, without, strict=True)]
    mean = statistics.mean(gains)
    if len(gains) < 2:
        return Effect(name, mean, math.inf)
    freedom = len(gains) - 1
    point = STUDENT_T[freedom - 1] if freedom <= len(STUDENT_T) else NORMAL
    margin = point * statistics.stdev(gains) / math.sqrt(len(gains))
    return Effect(name, mean, margin)


def table(effects: list[Effect]) -> list[str]:
    """Return the lines of a table."""
    lines = [f"{'mechanism':18} {'worth':>7}  95%"]
    for item in effects:
        line = f"{item.name:18} {item.worth:+7.4f}  +-{item.margin:.4f}  {item.verdict}"
        lines.append(line)
    return lines


def _worth(item: Effect) -> float:
    return item.worth
