"""Decides when a request that a server has received asks for capacity again.

Load pattern: a server crashes, cuts answers, declines requests or falls silent while
the other servers are full. The keeper refuses most of its requests at that moment,
although slots become free within fractions of a second and callers have seconds left.

A request that may have run cannot be refused any more: without another server its
caller gets an error that says nothing. It asks until its deadline, since a late answer
is worth more than none. A request that has not run, or that holds a server's own
failure, has something true to tell its caller, who can act on it; it asks again only
while the answer can be in time.

Each refusal costs the keeper a pass, and holds back less important ranks for 0.3 s. A
request that is late gains little by haste, so the later it is the less often it asks:
13 times for a cut with an objective of 1 s and 12 s to go, instead of 48 times.
"""

import typing

# Slots become free at this rate or faster while servers answer at all.
INTERVAL_SECONDS = 0.25
# Interval as a share of the time for which the request has been late and refused.
LATE_SHARE = 0.5


class Search(typing.NamedTuple):
    """A request that seeks capacity at a further server.

    Attributes
    ----------
    may_have_run : bool
        Whether any server may have run it.
    has_failure : bool
        Whether a server's complete failure answer can be passed on instead.
    searched_seconds : float
        Time since capacity was requested first.
    objective_seconds_left : float
        Time until its answer, or the first event, misses the objective; negative after.
    seconds_left : float
        Time until its deadline.
    """

    may_have_run: bool
    has_failure: bool
    searched_seconds: float
    objective_seconds_left: float
    seconds_left: float


def interval_seconds(search: Search) -> float:
    """Return the time from a refusal to the next request for capacity."""
    late_seconds = min(search.searched_seconds, -search.objective_seconds_left)
    return max(INTERVAL_SECONDS, late_seconds * LATE_SHARE)


def may_ask_again(search: Search) -> bool:
    """Return whether an answer is of use if capacity is found at the next time."""
    useful_seconds = search.seconds_left
    if search.has_failure or not search.may_have_run:
        useful_seconds = min(useful_seconds, search.objective_seconds_left)
    return interval_seconds(search) < useful_seconds
