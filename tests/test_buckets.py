"""Token buckets whose room is spent now or reserved for a moment soon."""

import math

import hypothesis
import policy_fakes as fakes
import pytest
from hypothesis import strategies

from cassiaquay_daemon.decisions import buckets

FLOW = buckets.Flow(10.0, 100.0)


@pytest.fixture(name="time")
def _time():
    with fakes.Time().used() as time:
        yield time


def test_room_is_reserved_for_the_moment_it_comes(time) -> None:
    """A team has spent its depth; three more requests come at once.

    Each is told a moment of its own, in the order they came: none is refused and none
    has to try again.
    """
    found = buckets.Bucket(-math.inf)
    assert found.reserve(100.0, FLOW, 0.0) == 0.0
    waits = [found.reserve(5.0, FLOW, 2.0) for _ in range(3)]
    assert waits == pytest.approx([0.5, 1.0, 1.5])


def test_a_wait_that_is_too_long_takes_no_room(time) -> None:
    found = buckets.Bucket(-math.inf)
    found.reserve(90.0, FLOW, 0.0)
    assert found.reserve(20.0, FLOW, 0.5) == pytest.approx(1.0)
    assert found.reserve(10.0, FLOW, 0.0) == 0.0
    assert found.reserve(101.0, FLOW, math.inf) == math.inf


def test_a_process_that_starts_again_gives_at_once_and_little(time) -> None:
    """What was spent before is not known; the rate alone is safe from the start."""
    found = buckets.Bucket(time.now)
    assert found.reserve(5.0, FLOW, 1.0) == pytest.approx(0.5)
    time.now += 20.0
    assert found.reserve(100.0, FLOW, 0.0) == 0.0


@hypothesis.given(
    steps=strategies.lists(
        strategies.tuples(
            strategies.floats(0.0, 3.0),
            strategies.floats(0.1, 60.0),
            strategies.floats(0.0, 9.0),
        ),
        max_size=60,
    ),
    restarts=strategies.sets(strategies.integers(0, 59), max_size=3),
)
def test_no_span_holds_more_than_the_flow_allows(steps, restarts: set[int]) -> None:
    """Requests of any size come at any time; the process dies and starts again.

    Whatever was spent or reserved, no span of time holds more than the depth and the
    rate for its length, over all lives of the process.
    """
    with fakes.Time().used() as time:
        found = buckets.Bucket(-math.inf)
        spent: list[tuple[float, float]] = []
        for number, (pause, amount, patience) in enumerate(steps):
            time.now += pause
            if number in restarts:
                # What was reserved for later is not spent by a dead process.
                spent = [one for one in spent if one[0] <= time.now]
                found = buckets.Bucket(time.now)
            wait = found.reserve(amount, FLOW, patience)
            if wait <= patience:
                spent.append((time.now + wait, amount))
        for first in range(len(spent)):
            inside = 0.0
            for at, amount in spent[first:]:
                inside += amount
                length = at - spent[first][0]
                assert inside <= FLOW.depth + FLOW.rate * length + 1e-6
