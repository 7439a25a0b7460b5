"""Error-budget burn: good and total requests per time window, held in memory only.

Each owner (the instance that accepted a request) counts the requests that it ended;
``cassiaquay burn`` adds up the counts of all instances. Counts are lost when an
instance is replaced, so each instance also reports since when it counts.
"""

import collections
import typing

from cassiaquay_schema import bodies

from . import top_counts

FAST_BUCKET_SECONDS = 60.0
FAST_BUCKETS = 60
SLOW_BUCKET_SECONDS = 3600.0
SLOW_BUCKETS = 72

# Refusals by a team's own limit and cancellations by the caller do not measure the
# service. A cancellation later than the objective's time counts as a bad request.
EXCLUDED_CODES = ("limit_reached",)
CANCELLATION_CODES = (
    "cancelled",
    "cancelled_running",
    "caller_gone",
    "caller_gone_running",
)


class Window(typing.NamedTuple):
    """A time window for which burn is reported, and the ring that it is summed from."""

    name: str
    seconds: float
    ring: str


WINDOWS = (
    Window("5m", 300.0, "fast"),
    Window("1h", 3600.0, "fast"),
    Window("6h", 21600.0, "slow"),
    Window("3d", 259200.0, "slow"),
)


class Ended(typing.NamedTuple):
    """An ended request as burn counts it.

    Attributes
    ----------
    service, tier, team, server : str
        Names; ``server`` is empty when the request was never dispatched.
    outcome, code : str
        As sent to the caller.
    seconds : float
        From acceptance to the end, or to the first event for a gateway request that
        streamed.
    within_seconds : float
        Time allowed by the objective; 0 without an objective.
    """

    service: str
    tier: str
    team: str
    server: str
    outcome: str
    code: str
    seconds: float
    within_seconds: float


class Cell(typing.NamedTuple):
    """Key of a counter: a service and tier, in total, by team or by backend server.

    Attributes
    ----------
    service, tier : str
        Names.
    axis : str
        ``all``, ``team`` or ``server``.
    name : str
        Team or backend server; empty for ``all``.
    """

    service: str
    tier: str
    axis: str
    name: str


class Report(typing.TypedDict):
    """All windows of one instance, and the buckets of its two rings for plotting."""

    windows: list[bodies.Window]
    fast: list[bodies.Point]
    slow: list[bodies.Point]
    excluded: int


def is_good(ended: Ended) -> bool | None:
    """Return whether a request met its objective; None when it is excluded."""
    if not ended.within_seconds or ended.code in EXCLUDED_CODES:
        return None
    if ended.code in CANCELLATION_CODES and ended.seconds <= ended.within_seconds:
        return None
    return ended.outcome == "completed" and ended.seconds <= ended.within_seconds


class Ring:
    """Counters in a bounded ring of time buckets; a new bucket replaces the oldest.

    Parameters
    ----------
    bucket_seconds : float
        Length of a bucket.
    buckets : int
        Number of buckets retained.
    max_cells : int
        Distinct cells per bucket; names beyond it are counted under ``other``.
    """

    def __init__(self, bucket_seconds: float, buckets: int, max_cells: int):
        self.bucket_seconds = bucket_seconds
        self._max_cells = max_cells
        self._buckets: collections.deque[tuple[int, dict[Cell, list[int]]]]
        self._buckets = collections.deque(maxlen=buckets)

    def add(self, now: float, cells: list[Cell], good: bool) -> None:
        """Add one request to each of its cells."""
        number = int(now / self.bucket_seconds)
        if not self._buckets or self._buckets[-1][0] != number:
            self._buckets.append((number, {}))
        counts = self._buckets[-1][1]
        for cell in cells:
            if cell not in counts and len(counts) >= self._max_cells:
                if cell.axis != "all":
                    cell = cell._replace(name=top_counts.OTHER)
            count = counts.setdefault(cell, [0, 0])
            count[0] += 1
            count[1] += good

    def sum(self, now: float, seconds: float) -> dict[Cell, list[int]]:
        """Return total and good requests by cell over the last ``seconds``.

        The bucket in which this span begins is included entirely.
        """
        first = int((now - seconds) / self.bucket_seconds)
        sums: dict[Cell, list[int]] = {}
        for number, counts in self._buckets:
            if number < first:
                continue
            for cell, (total, good) in counts.items():
                count = sums.setdefault(cell, [0, 0])
                count[0] += total
                count[1] += good
        return sums

    def points(self, now: float) -> list[bodies.Point]:
        """Return the counts of each bucket by service and tier, oldest first."""
        points = []
        for number, counts in self._buckets:
            age = now - number * self.bucket_seconds
            for cell, (total, good) in counts.items():
                if cell.axis != "all":
                    continue
                points.append(
                    bodies.Point(
                        age_seconds=age,
                        service=cell.service,
                        tier=cell.tier,
                        total=total,
                        good=good,
                    )
                )
        return points


class Burn:
    """Error-budget burn of one instance in all windows.

    Parameters
    ----------
    scale : float
        Factor on the lengths of all windows and buckets.
    teams : int
        Teams counted under their own names; all others count as ``other``.
    max_cells : int
        Distinct cells per bucket.
    now : float
        Current time; later times are read from the same clock.
    """

    def __init__(self, scale: float, teams: int, max_cells: int, now: float):
        self._scale = scale
        self._since = now
        self._rings = {
            "fast": Ring(FAST_BUCKET_SECONDS * scale, FAST_BUCKETS, max_cells),
            "slow": Ring(SLOW_BUCKET_SECONDS * scale, SLOW_BUCKETS, max_cells),
        }
        self._by_requests = top_counts.TopCounts(teams)
        self._by_failures = top_counts.TopCounts(teams)
        self._excluded = 0

    def add(self, now: float, ended: Ended) -> None:
        """Count an ended request unless it is excluded."""
        good = is_good(ended)
        if good is None:
            self._excluded += 1
            return
        self._by_requests.add(ended.team)
        if not good:
            self._by_failures.add(ended.team)
        team = self._by_requests.label(ended.team)
        if team == top_counts.OTHER:
            # A team with few requests is named as well if it has many failures.
            team = self._by_failures.label(ended.team)
        cells = [
            Cell(ended.service, ended.tier, "all", ""),
            Cell(ended.service, ended.tier, "team", team),
            Cell(ended.service, ended.tier, "server", ended.server or "(none)"),
        ]
        for ring in self._rings.values():
            ring.add(now, cells, good)

    def report(self, now: float) -> Report:
        """Return the current counts of all windows."""
        windows = []
        for window in WINDOWS:
            seconds = window.seconds * self._scale
            counts = self._rings[window.ring].sum(now, seconds)
            windows.append(
                bodies.Window(
                    name=window.name,
                    seconds=seconds,
                    counted_seconds=min(seconds, now - self._since),
                    counts=[_count(cell, *count) for cell, count in counts.items()],
                )
            )
        return Report(
            windows=windows,
            fast=self._rings["fast"].points(now),
            slow=self._rings["slow"].points(now),
            excluded=self._excluded,
        )


def _count(cell: Cell, total: int, good: int) -> bodies.Count:
    return bodies.Count(
        service=cell.service,
        tier=cell.tier,
        axis=cell.axis,
        name=cell.name,
        total=total,
        good=good,
    )
