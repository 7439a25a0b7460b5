"""``python -m cassiaquay_dev.lab DAY``: simulate a day and print its results."""

import collections
import statistics
import sys
import time

import fire

from cassiaquay_schema import exceptions

from . import ablation, days, mechanisms, simulation, virtual_time

OUTCOMES = (
    simulation.IN_TIME,
    simulation.LATE,
    simulation.REFUSED,
    simulation.ABANDONED,
)


def main(
    day: str,
    seeds: int = 1,
    seed: int = 1,
    by_second: bool = False,
    without: str | tuple[str, ...] = (),
    ablate: bool = False,
    workers: int = 2,
) -> None:
    """Simulate a day and print its tables.

    Parameters
    ----------
    day : str
        Name of a day in ``days/``, or path of a day file.
    seeds : int
        Number of consecutive seeds to simulate.
    seed : int
        The first seed.
    by_second : bool
        Whether to print a table by second as well.
    without : str or tuple of str
        Names of mechanisms to disable, separated by commas.
    ablate : bool
        Simulate the day without each mechanism in turn and print each one's effect.
    workers : int
        Number of parallel processes for ``ablate``.
    """
    names = without.split(",") if isinstance(without, str) else list(without)
    try:
        selected_day = days.read(day)
        for name in names:
            mechanisms.mechanisms.get(name)
    except (exceptions.SchemaError, LookupError) as error:
        print(error, file=sys.stderr)
        sys.exit(1)
    seed_numbers = range(seed, seed + seeds)
    if ablate:
        known = mechanisms.mechanisms.names()
        result = ablation.ablate(selected_day, seed_numbers, known, workers)
        print("\n".join(ablation.table(result)))
        return
    for number in seed_numbers:
        _print_day(selected_day, number, names, by_second)


def _print_day(day: days.Day, seed: int, without: list[str], by_second: bool) -> None:
    started_at = time.monotonic()
    with mechanisms.switched_off(without):
        result = virtual_time.run(simulation.play(day, seed))
    seconds = time.monotonic() - started_at
    print(f"seed {seed}: {len(result.ended)} requests in {seconds:.1f} s")
    print("\n".join(kinds_table(day, result)))
    if by_second:
        print("\n".join(seconds_table(result)))
    sys.stdout.flush()


def kinds_table(day: days.Day, result: simulation.DayResult) -> list[str]:
    """Return the lines of a table of outcomes by kind of request."""
    lines = [f"{'kind':10} {'count':>6} {'worth':>6}  in time, late, refused, left"]
    for name in [*day.kinds, ""]:
        items = [item for item in result.ended if name in ("", item.request.kind)]
        counts = collections.Counter(item.outcome for item in items)
        shares = [f"{counts[outcome] / max(len(items), 1):.3f}" for outcome in OUTCOMES]
        line = f"{name or 'all':10} {len(items):6} {simulation.worth(items):6.3f}  "
        lines.append(line + " ".join(shares))
    return lines


def seconds_table(result: simulation.DayResult) -> list[str]:
    """Return the lines of a table of outcomes and engine load by second of arrival."""
    lines = [
        "second  came worth  in time, late, refused, left | fast slow queued waiting"
    ]
    ended = collections.defaultdict(list)
    for item in result.ended:
        ended[int(item.request.at)].append(item)
    samples = collections.defaultdict(list)
    for sample in result.samples:
        samples[int(sample.at)].append(sample)
    for second in sorted(ended):
        items = ended[second]
        counts = collections.Counter(item.outcome for item in items)
        shares = " ".join(f"{counts[outcome]:4}" for outcome in OUTCOMES)
        means = []
        for column in range(1, len(simulation.Sample._fields)):
            values = [sample[column] for sample in samples[second]]
            means.append(f"{statistics.mean(values or [0]):6.1f}")
        line = f"{second:6} {len(items):5} {simulation.worth(items):.3f}  {shares} | "
        lines.append(line + " ".join(means))
    return lines


if __name__ == "__main__":
    fire.Fire(main)
