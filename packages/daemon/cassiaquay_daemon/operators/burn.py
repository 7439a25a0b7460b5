"""Service-level burn: requests good and in all, in windows of time, in memory only.

Each owner counts the requests that it ended. ``cassiaquay burn`` adds the counts of
all instances up; an instance that was replaced has lost its own, and says since when
it counts.
"""

import collections
import typing

from cassiaquay_schema import bodies

from . import top_counts

FAST_BUCKET_SECONDS = 60.0
FAST_BUCKETS = 60
SLOW_BUCKET_SECONDS = 3600.0
SLOW_BUCKETS = 72

# What the caller or the team's own limit decided says nothing about the service;
# unless the caller gave up later than the objective allows.
NOT_COUNTED = ("limit_reached",)
GIVEN_UP = ("cancelled", "cancelled_running", "caller_gone", "caller_gone_running")


class Window(typing.NamedTuple):
    """A span of time that burn is told for: its name, length and ring."""

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
    """One request that has ended.

    Attributes
    ----------
    service, tier, team, server : str
        Names; ``server`` is empty when it was never dispatched.
    outcome, code : str
        As the caller was told.
    seconds : float
        From acceptance to the end.
    within_seconds : float
        The objective's time; 0 when there is no objective.
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
    """What a counter is about: by the whole, by team or by backend server.

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
    """All windows of one instance, and the buckets of its two rings for plots."""

    windows: list[bodies.Window]
    fast: list[bodies.Point]
    slow: list[bodies.Point]
    excluded: int


def is_good(ended: Ended) -> bool | None:
    """Return whether a request met its objective, None when it does not count."""
    if not ended.within_seconds or ended.code in NOT_COUNTED:
        return None
    if ended.code in GIVEN_UP and ended.seconds <= ended.within_seconds:
        return None
    return ended.outcome == "completed" and ended.seconds <= ended.within_seconds


class Ring:
    """Counters in buckets of time; the oldest bucket gives way to the newest.

    Parameters
    ----------
    bucket_seconds : float
        Length of a bucket.
    buckets : int
        Buckets kept.
    max_cells : int
        Cells in one bucket.
    """

    def __init__(self, bucket_seconds: float, buckets: int, max_cells: int):
        self.bucket_seconds = bucket_seconds
        self._max_cells = max_cells
        self._buckets: collections.deque[tuple[int, dict[Cell, list[int]]]]
        self._buckets = collections.deque(maxlen=buckets)

    def add(self, now: float, cells: list[Cell], good: bool) -> None:
        """Count one request in each of its cells."""
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
        """Return total and good by cell over the last ``seconds``.

        The bucket in which the span begins is taken whole.
        """
        first = int((now - seconds) / self.bucket_seconds)
        found: dict[Cell, list[int]] = {}
        for number, counts in self._buckets:
            if number < first:
                continue
            for cell, (total, good) in counts.items():
                count = found.setdefault(cell, [0, 0])
                count[0] += total
                count[1] += good
        return found

    def points(self, now: float) -> list[bodies.Point]:
        """Return the buckets by service and tier, oldest first."""
        found = []
        for number, counts in self._buckets:
            age = now - number * self.bucket_seconds
            for cell, (total, good) in counts.items():
                if cell.axis != "all":
                    continue
                found.append(
                    bodies.Point(
                        age_seconds=age,
                        service=cell.service,
                        tier=cell.tier,
                        total=total,
                        good=good,
                    )
                )
        return found


class Burn:
    """The windows of one instance.

    Parameters
    ----------
    scale : float
        Factor on all lengths.
    teams : int
        Teams named one by one.
    max_cells : int
        Cells in one bucket.
    now : float
        Seconds on the clock that all later times are on.
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
        """Count one request that has ended."""
        good = is_good(ended)
        if good is None:
            self._excluded += 1
            return
        self._by_requests.add(ended.team)
        if not good:
            self._by_failures.add(ended.team)
        team = self._by_requests.label(ended.team)
        if team == top_counts.OTHER:
            # A small team whose requests all fail is worth its name too.
            team = self._by_failures.label(ended.team)
        cells = [
            Cell(ended.service, ended.tier, "all", ""),
            Cell(ended.service, ended.tier, "team", team),
            Cell(ended.service, ended.tier, "server", ended.server or "(none)"),
        ]
        for ring in self._rings.values():
            ring.add(now, cells, good)

    def report(self, now: float) -> Report:
        """Return all windows as they are now."""
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
