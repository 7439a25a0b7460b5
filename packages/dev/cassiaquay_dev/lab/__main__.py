"""``python -m cassiaquay_dev.lab DAY``: play a day and show what came of it."""

import collections
import statistics
import sys
import time

import fire

from cassiaquay_schema import exceptions

from . import days, played, virtual_time

OUTCOMES = (played.IN_TIME, played.LATE, played.REFUSED, played.LEFT)


def main(day: str, seeds: int = 1, seed: int = 1, by_second: bool = False) -> None:
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
    """
    try:
        chosen = days.read(day)
    except exceptions.SchemaError as error:
        print(error, file=sys.stderr)
        sys.exit(1)
    for number in range(seed, seed + seeds):
        began = time.monotonic()
        found = virtual_time.run(played.play(chosen, number))
        seconds = time.monotonic() - began
        print(f"seed {number}: {len(found.ended)} requests in {seconds:.1f} s")
        print("\n".join(kinds_table(chosen, found)))
        if by_second:
            print("\n".join(seconds_table(found)))
        sys.stdout.flush()


def earned(item: played.Ended) -> float:
    """Return what a request was worth in the end."""
    if item.outcome == played.IN_TIME:
        return item.request.worth
    return item.request.late_worth if item.outcome == played.LATE else 0.0


def worth(items: list[played.Ended]) -> float:
    """Return the share of the worth of some requests that was earned."""
    owed = sum(item.request.worth for item in items)
    return sum(earned(item) for item in items) / owed if owed else 1.0


def kinds_table(day: days.Day, found: played.Played) -> list[str]:
    """Return the lines of a table by kind of request."""
    lines = [f"{'kind':10} {'count':>6} {'worth':>6}  in time, late, refused, left"]
    for name in [*day.kinds, ""]:
        items = [item for item in found.ended if name in ("", item.request.kind)]
        counts = collections.Counter(item.outcome for item in items)
        shares = [f"{counts[outcome] / max(len(items), 1):.3f}" for outcome in OUTCOMES]
        line = f"{name or 'all':10} {len(items):6} {worth(items):6.3f}  "
        lines.append(line + " ".join(shares))
    return lines


def seconds_table(found: played.Played) -> list[str]:
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
        for column in range(1, len(played.Sample._fields)):
            values = [sample[column] for sample in samples[second]]
            means.append(f"{statistics.mean(values or [0]):6.1f}")
        line = f"{second:6} {len(items):5} {worth(items):.3f}  {shares} | "
        lines.append(line + " ".join(means))
    return lines


if __name__ == "__main__":
    fire.Fire(main)
