"""More load than a large pool can carry: 195 daemons, four shards, fifty engines.

Played in virtual time with the daemon's own roles. Requests of three ranks burst to
twice their rate for some seconds; each shard has a keeper of its own, and every daemon
takes requests.
"""

import collections

import pytest

from cassiaquay_dev.lab import days, simulation, virtual_time

REPORT, QUESTION, TAG = "report", "question", "tag"


class Result:
    """A played day.

    Parameters
    ----------
    day : Day
        What was played.
    found : DayResult
        What came of it.
    """

    def __init__(self, day: days.Day, found: simulation.DayResult):
        self.day = day
        self.found = found

    def share(self, kind: str, outcome: str, start: float, end: float) -> float:
        """Return the share of a kind's arrivals of some seconds that ended so."""
        counts: collections.Counter[str] = collections.Counter()
        for item in self.found.ended:
            if item.request.kind == kind and start <= item.request.at < end:
                counts[item.outcome] += 1
        return counts[outcome] / max(sum(counts.values()), 1)

    def busy(self, start: float, end: float) -> float:
        """Return the mean share of slots that were taken."""
        slots = self.day.engines.count * self.day.engines.slots
        taken = []
        for sample in self.found.samples:
            if start <= sample.at < end:
                taken.append(sample.busy_fast + sample.busy_slow)
        return sum(taken) / len(taken) / slots


@pytest.fixture(name="burst", scope="module")
def _burst() -> Result:
    """Play seconds 3 to 6 of a burst, and what follows."""
    day = days.read("burst")
    return Result(day, virtual_time.run(simulation.play(day, 1)))


def test_engines_stay_full_while_requests_are_refused(burst: Result) -> None:
    """Some request of a higher rank is refused in every moment of the burst.

    Slots that come free meanwhile are for whoever waits, of any rank: kept empty in all
    shards for each of them, a third of the engines' work would be lost.
    """
    assert burst.busy(4.5, 9.0) > 0.95


def test_higher_ranks_are_refused_less(burst: Result) -> None:
    refused = []
    for kind in (REPORT, QUESTION, TAG):
        refused.append(burst.share(kind, simulation.REFUSED, 3.0, 9.0))
    assert refused == sorted(refused)
    assert refused[0] < 0.05 < refused[2]


def test_the_most_important_rank_alone_fits_and_is_never_refused(burst: Result) -> None:
    """Reports alone need little over half of what the engines can do, burst or not.

    One that is refused stands there in vain for a lower rank that was served.
    """
    assert burst.share(REPORT, simulation.REFUSED, 0.0, burst.day.seconds) == 0.0


def test_the_most_important_rank_is_served_as_without_a_burst(burst: Result) -> None:
    in_time = burst.share(REPORT, simulation.IN_TIME, 3.0, 9.0)
    assert in_time > 0.9 * burst.share(REPORT, simulation.IN_TIME, 1.5, 3.0)


def test_nobody_is_refused_while_a_tenth_of_the_slots_is_free(burst: Result) -> None:
    """In the burst and after it, what engines can still do is done.

    Refused with slots free, a caller stands back for a wrong reckoning or for a
    slot in another shard. Slots that come free in the same tenth of a second are taken.
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


def test_a_burst_is_over_when_it_is_over(burst: Result) -> None:
    """Two seconds after its last request nobody is refused any more.

    For one second of them all slots are taken by what the burst has left, and refused
    callers are back.
    """
    for kind in (REPORT, QUESTION, TAG):
        assert burst.share(kind, simulation.REFUSED, 11.0, 14.0) < 0.02


def test_a_burst_costs_no_more_than_what_engines_lack(burst: Result) -> None:
    assert simulation.worth(burst.found.ended) > 0.8
