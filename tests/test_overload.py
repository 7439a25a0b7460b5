"""Overload of a large pool: 195 daemons, four shards, fifty engines.

A simulation in virtual time that runs the daemon's own keepers and owners. Requests of
three ranks burst to twice their rate for some seconds; each shard has its own keeper,
and every daemon accepts requests.
"""

import collections

import pytest

from cassiaquay_dev.lab import days, simulation, virtual_time

REPORT, QUESTION, TAG = "report", "question", "tag"


class Result:
    """A simulated day and its outcome.

    Parameters
    ----------
    day : Day
        The simulated load and engines.
    found : Played
        The outcome of the simulation.
    """

    def __init__(self, day: days.Day, found: simulation.DayResult):
        self.day = day
        self.found = found

    def share(self, kind: str, outcome: str, start: float, end: float) -> float:
        """Return the share of a kind's arrivals in a period with a given outcome."""
        counts: collections.Counter[str] = collections.Counter()
        for item in self.found.ended:
            if item.request.kind == kind and start <= item.request.at < end:
                counts[item.outcome] += 1
        return counts[outcome] / max(sum(counts.values()), 1)

    def busy(self, start: float, end: float) -> float:
        """Return the mean share of occupied slots in a period."""
        slots = self.day.engines.count * self.day.engines.slots
        occupied = []
        for sample in self.found.samples:
            if start <= sample.at < end:
                occupied.append(sample.busy_fast + sample.busy_slow)
        return sum(occupied) / len(occupied) / slots


@pytest.fixture(name="burst", scope="module")
def _burst() -> Result:
    """Simulate a burst from second 3 to 6 and the time after it."""
    day = days.read("burst")
    return Result(day, virtual_time.run(simulation.play(day, 1)))


def test_engines_stay_busy_while_requests_are_refused(burst: Result) -> None:
    """Guards against empty slots in all shards whenever a higher rank is shed.

    Some request of a higher rank is refused at every moment of the burst. Keeping all
    free slots empty for each of them would lose a third of the engines' work.
    """
    assert burst.busy(4.5, 9.0) > 0.95


def test_higher_ranks_are_refused_less(burst: Result) -> None:
    refused = []
    for kind in (REPORT, QUESTION, TAG):
        refused.append(burst.share(kind, simulation.REFUSED, 3.0, 9.0))
    assert refused == sorted(refused)
    assert refused[0] < 0.05 < refused[2]


def test_top_rank_that_fits_alone_is_never_refused(burst: Result) -> None:
    """Guards against refusing a report while a lower rank is served.

    Reports alone need little more than half of the engines' capacity, also in a burst.
    """
    assert burst.share(REPORT, simulation.REFUSED, 0.0, burst.day.seconds) == 0.0


def test_top_rank_stays_in_time_during_a_burst(burst: Result) -> None:
    in_time = burst.share(REPORT, simulation.IN_TIME, 3.0, 9.0)
    assert in_time > 0.9 * burst.share(REPORT, simulation.IN_TIME, 1.5, 3.0)


def test_no_request_is_refused_while_a_tenth_of_slots_is_free(burst: Result) -> None:
    """Guards against refusals with free slots, in the burst and after it.

    Such a refusal results from a wrong forecast or a slot kept for another shard. A
    slot that becomes free within the same tenth of a second counts as occupied.
    """
    slots = burst.day.engines.count * burst.day.engines.slots
    free_at = []
    for sample in burst.found.samples:
        if sample.busy_fast + sample.busy_slow < 0.9 * slots:
            free_at.append(sample.at)
    refused = 0
    for at in burst.found.refused_at:
        refused += any(
            abs(at - free) <= simulation.SAMPLE_SECONDS / 2.0 for free in free_at
        )
    assert refused <= 0.01 * len(burst.found.refused_at)


def test_refusals_stop_two_seconds_after_a_burst(burst: Result) -> None:
    """Guards against refusals more than two seconds after the end of a burst.

    For one of these seconds all slots are occupied by requests of the burst, and
    refused callers retry.
    """
    for kind in (REPORT, QUESTION, TAG):
        assert burst.share(kind, simulation.REFUSED, 11.0, 14.0) < 0.02


def test_worth_of_a_burst_stays_above_a_minimum(burst: Result) -> None:
    assert simulation.worth(burst.found.ended) > 0.8
