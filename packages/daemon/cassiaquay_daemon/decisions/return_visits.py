"""Recognises the retry of a refused caller by the time that it has left.

Load pattern: under overload many callers are refused and retry once. Whether they are
served in time is measured from their first attempt, so most retries are late whenever
they start. Taken for new requests, they displace requests that can still be in time.

Nothing but the remaining time that a caller states distinguishes a retry. The callers
of a route usually begin with the same time; a request with clearly less of it has lost
the difference in an earlier attempt. A caller that states less time than it has only
gets a later position in the queue, so that no caller gains by it.
"""

import collections

from .. import clock

# Time for which a stated time counts: it is forgotten after one to two such periods.
PERIOD_SECONDS = 30.0
# Share of a route's requests that a stated time needs to be usual. Retries after a
# Retry-After with jitter of 0.25 s spread over some 60 of the steps below.
USUAL_SHARE = 0.1
# Least number of requests that make a time usual: two of few retries are often equal.
MIN_COUNT = 4
# Stated times are counted in steps of this many milliseconds: first attempts differ
# by the time between the caller's timer and its request's first byte.
STEP_MS = 4
# Stated times of one route that are counted; the rarest is replaced by a new one.
MAX_TIMES = 16
# Routes that are remembered; the one that was seen first is replaced by a new one.
MAX_ROUTES = 256
# A retry has lost the shortest Retry-After; less than that is no sign of one.
MIN_AGE_SECONDS = 0.15
# Callers wait for at most a third of the time that they have left; a first attempt
# ends with a refusal within this time.
MAX_WAIT_SHARE = 1.0 / 3.0
FIRST_ATTEMPT_SECONDS = 1.8


class _Times:
    """The times that callers of one route have stated in one period.

    At most `MAX_TIMES` different ones are counted (Misra-Gries): a time that makes more
    than one in `MAX_TIMES` of the requests is always among them.
    """

    def __init__(self) -> None:
        self.total = 0
        self.counts: collections.Counter[int] = collections.Counter()

    def add(self, step: int) -> None:
        """Count a stated time."""
        self.total += 1
        if step in self.counts or len(self.counts) < MAX_TIMES:
            self.counts[step] += 1
            return
        for other in list(self.counts):
            self.counts[other] -= 1
            if not self.counts[other]:
                del self.counts[other]


class _Route:
    """The usual times of one route, in steps of `STEP_MS`."""

    def __init__(self) -> None:
        # The longest usual time; 0 while none is known.
        self.longest = 0
        self._began_at = clock.now()
        self._current = _Times()
        self._previous = _Times()

    def add(self, step: int) -> None:
        """Count a stated time, and forget those of the period before the last."""
        if clock.now() - self._began_at >= PERIOD_SECONDS:
            self._begin_period()
        self._current.add(step)
        if step > self.longest and self.is_usual(step):
            self.longest = step

    def is_usual(self, step: int) -> bool:
        """Return whether many callers begin with this time."""
        total = self._current.total + self._previous.total
        count = 0
        for near in (step - 1, step, step + 1):
            count += self._current.counts[near] + self._previous.counts[near]
        return count >= max(total * USUAL_SHARE, MIN_COUNT)

    def _begin_period(self) -> None:
        now = clock.now()
        is_recent = now - self._began_at < 2.0 * PERIOD_SECONDS
        self._previous = self._current if is_recent else _Times()
        self._current = _Times()
        self._began_at = now
        usual = filter(self.is_usual, self._previous.counts)
        self.longest = max(usual, default=0)


class ReturnVisits:
    """Estimates with which age the requests that an owner accepts begin.

    Attributes
    ----------
    counts : Counter of str
        Number of recognised retries by route.
    """

    def __init__(self) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        self._routes: dict[str, _Route] = {}

    def age_seconds(self, route: str, deadline_ms: int) -> float:
        """Return how long ago a request's first attempt began; 0 for a new request.

        Parameters
        ----------
        route : str
            Name of the route.
        deadline_ms : int
            Time that the caller states to have left; 0 if it states none.
        """
        if not deadline_ms:
            return 0.0
        known = self._routes.get(route)
        if known is None:
            if len(self._routes) >= MAX_ROUTES:
                del self._routes[next(iter(self._routes))]
            known = self._routes[route] = _Route()
        step = deadline_ms // STEP_MS
        known.add(step)
        usual = known.longest * STEP_MS / 1000.0
        age = usual - deadline_ms / 1000.0
        longest = FIRST_ATTEMPT_SECONDS + usual * MAX_WAIT_SHARE
        if not MIN_AGE_SECONDS <= age <= longest or known.is_usual(step):
            return 0.0
        self.counts[route] += 1
        return age
