"""Retries of refused callers, recognised at their owner by the time they have left.

Overload: callers of a route have 10 s; some are refused, wait for nearly a third of
their remaining time, and come back to any instance under a new id.
"""

import random

import policy_fakes as fakes
import pytest

from cassiaquay_daemon.decisions import return_visits

ROUTE, USUAL_MS = "reports", 10_000


@pytest.fixture(name="time")
def _time():
    with fakes.Time().used() as time:
        yield time


@pytest.fixture(name="visits")
def _visits(time) -> return_visits.ReturnVisits:
    """Return what an owner knows that has seen ten first attempts."""
    visits = return_visits.ReturnVisits()
    for _ in range(10):
        assert visits.age_seconds(ROUTE, USUAL_MS) == 0.0
    return visits


def test_retry_is_as_old_as_the_time_that_it_lacks(visits) -> None:
    assert visits.age_seconds(ROUTE, 6_800) == pytest.approx(3.2, abs=0.01)
    assert visits.counts[ROUTE] == 1


def test_retries_are_recognised_while_they_are_half_of_the_requests(visits) -> None:
    """Guards against taking the time that retries have left for a usual one."""
    rng = random.Random(1)
    for _ in range(300):
        visits.age_seconds(ROUTE, USUAL_MS)
        visits.age_seconds(ROUTE, USUAL_MS - rng.randrange(3_000, 3_340))
    assert visits.counts[ROUTE] > 280


@pytest.mark.parametrize("deadline_ms", [0, 3_000, 9_950, 20_000])
def test_time_that_no_retry_has_left_is_no_sign_of_one(visits, deadline_ms) -> None:
    """Guards against harm to callers that have little time from the beginning."""
    assert visits.age_seconds(ROUTE, deadline_ms) == 0.0


def test_shorter_time_that_many_callers_have_is_no_sign_of_a_retry(visits) -> None:
    """One team's callers have 7 s, another team floods the route with 10 s."""
    for _ in range(3):
        visits.age_seconds(ROUTE, 7_000)
    for _ in range(50):
        assert visits.age_seconds(ROUTE, 7_000) == 0.0
        for _ in range(4):
            visits.age_seconds(ROUTE, USUAL_MS)


def test_usual_time_is_forgotten_within_a_minute(visits, time) -> None:
    """Callers change their time limit; the new one must not count as a retry's."""
    time.now += 31.0
    assert visits.age_seconds(ROUTE, 7_000) > 0.0
    time.now += 31.0
    for _ in range(4):
        visits.age_seconds(ROUTE, 7_000)
    assert visits.age_seconds(ROUTE, 7_000) == 0.0
    assert visits.age_seconds(ROUTE, 5_000) == pytest.approx(2.0, abs=0.01)
