"""``python -m cassiaquay_dev.lab DAY``: play a day and show what came of it."""

import collections
import statistics
import sys
import time

import fire

from cassiaquay_schema import exceptions

from . import ablation, days, mechanisms, simulation, virtual_time

OUTCOMES = (simulation.IN_TIME, simulation.LATE, simulation.REFUSED, simulation.LEFT)


def main(
    day: str,
    seeds: int = 1,
    seed: int = 1,
    by_second: bool = False,
    without: str | tuple[str, ...] = (),
    ablate: bool = False,
    workers: int = 2,
) -> None:
    """Play a day and print its tables.

    Parameters
    ----------
    day : str
        Name of a day, or path of its file.
    seeds : int
        How many seeds to play, one after the other.
    seed : int
        The first of them.
    by_second : bool
        Whether to print each second as well.
    without : str or tuple of str
        Mechanisms to switch off, separated by commas.
    ablate : bool
        Play the day without each mechanism in turn, and print what each is worth.
    workers : int
        Processes that play at a time for that.
    """
    names = without.split(",") if isinstance(without, str) else list(without)
    try:
        chosen = days.read(day)
        for name in names:
            mechanisms.mechanisms.get(name)
    except (exceptions.SchemaError, LookupError) as error:
        print(error, file=sys.stderr)
        sys.exit(1)
    numbers = range(seed, seed + seeds)
    if ablate:
        known = mechanisms.mechanisms.names()
        found = ablation.ablate(chosen, numbers, known, workers)
        print("\n".join(ablation.table(found)))
        return
    for number in numbers:
        _play(chosen, number, names, by_second)


def _play(day: days.Day, seed: int, without: list[str], by_second: bool) -> None:
    began = time.monotonic()
    with mechanisms.switched_off(without):
        found = virtual_time.run(simulation.play(day, seed))
    seconds = time.monotonic() - began
    print(f"seed {seed}: {len(found.ended)} requests in {seconds:.1f} s")
    print("\n".join(kinds_table(day, found)))
    if by_second:
        print("\n".join(seconds_table(found)))
    sys.stdout.flush()


def kinds_table(day: days.Day, found: simulation.DayResult) -> list[str]:
    """Return the lines of a table by kind of request."""
    lines = [f"{'kind':10} {'count':>6} {'worth':>6}  in time, late, refused, left"]
    for name in [*day.kinds, ""]:
        items = [item for item in found.ended if name in ("", item.request.kind)]
        counts = collections.Counter(item.outcome for item in items)
        shares = [f"{counts[outcome] / max(len(items), 1):.3f}" for outcome in OUTCOMES]
        line = f"{name or 'all':10} {len(items):6} {simulation.worth(items):6.3f}  "
        lines.append(line + " ".join(shares))
    return lines


def seconds_table(found: simulation.DayResult) -> list[str]:
    """Return the lines of a table by second of arrival."""
    lines = [
        "second  came worth  in time, late, refused, left | fast slow queued waiting"
    ]
    ended = collections.defaultdict(list)
    for item in found.ended:
        ended[int(item.request.at)].append(item)
    samples = collections.defaultdict(list)
    for sample in found.samples:
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
