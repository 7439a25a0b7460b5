"""Token buckets: spending, reservations of future tokens, restarts."""

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


def test_reservations_get_consecutive_times(time) -> None:
    """Guards against refusals and retries when tokens will be available soon.

    A team has spent its depth, and three more requests arrive at once. Each gets its
    own time, in order of arrival.
    """
    bucket = buckets.Bucket(-math.inf)
    assert bucket.reserve(100.0, FLOW, 0.0) == 0.0
    waits = [bucket.reserve(5.0, FLOW, 2.0) for _ in range(3)]
    assert waits == pytest.approx([0.5, 1.0, 1.5])


def test_reservation_beyond_the_maximum_wait_spends_nothing(time) -> None:
    bucket = buckets.Bucket(-math.inf)
    bucket.reserve(90.0, FLOW, 0.0)
    assert bucket.reserve(20.0, FLOW, 0.5) == pytest.approx(1.0)
    assert bucket.reserve(10.0, FLOW, 0.0) == 0.0
    assert bucket.reserve(101.0, FLOW, math.inf) == math.inf


def test_restarted_bucket_is_empty_and_refills_at_its_rate(time) -> None:
    """Guards against a restart that admits a second burst or nothing for a window.

    What was spent before the restart is unknown; refilling an empty bucket is safe.
    """
    bucket = buckets.Bucket(time.now)
    assert bucket.reserve(5.0, FLOW, 1.0) == pytest.approx(0.5)
    time.now += 20.0
    assert bucket.reserve(100.0, FLOW, 0.0) == 0.0


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
def test_no_span_admits_more_than_depth_and_rate(steps, restarts: set[int]) -> None:
    """Requests of any size arrive at any time, and the process crashes and restarts.

    Over all restarts, no span of time admits more than the depth plus the rate times
    its length, spent or reserved.
    """
    with fakes.Time().used() as time:
        bucket = buckets.Bucket(-math.inf)
        spent: list[tuple[float, float]] = []
        for number, (pause, amount, patience) in enumerate(steps):
            time.now += pause
            if number in restarts:
                # A crashed process does not spend its reservations.
                spent = [
                    reservation for reservation in spent if reservation[0] <= time.now
                ]
                bucket = buckets.Bucket(time.now)
            wait = bucket.reserve(amount, FLOW, patience)
            if wait <= patience:
                spent.append((time.now + wait, amount))
        for first in range(len(spent)):
            total = 0.0
            for at, amount in spent[first:]:
                total += amount
                length = at - spent[first][0]
                assert total <= FLOW.depth + FLOW.rate * length + 1e-6
