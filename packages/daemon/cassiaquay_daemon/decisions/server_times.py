"""When the entries of servers were written, listed and removed.

The platform's history has revisions in place of times. A server registers when it has
started, which gives the time of that revision. Where each report of a server changes
its entry, these give the time of each of its writes: by the time between two writes,
or, if that is not known, by its start and its count of its reports since.
"""

import bisect
import collections
import collections.abc
import math

from cassiaquay_schema import messages

from .. import clock

# A write follows the server's report by less than this, and reports are not regular.
ERROR_SECONDS = 2.0
# Servers and entries that are remembered after they have left.
RETENTION_SECONDS = 300.0
MAX_SEEN = 10_000


class Revisions:
    """Estimates the times of a platform's revisions.

    Parameters
    ----------
    written, listed : list of ServerEntry
        Entries as they were written, and the newest of each server that is listed.
    now_ms : float
        Unix time now. Entries that were read earlier make all estimates later.
    created_at : mapping of str to int
        Revisions at which servers registered.
    heartbeat_seconds : float, optional
        Time between two writes of a server; 0 if unknown.
    """

    def __init__(
        self,
        written: list[messages.ServerEntry],
        listed: list[messages.ServerEntry],
        now_ms: float,
        created_at: collections.abc.Mapping[str, int],
        heartbeat_seconds: float = 0.0,
    ):
        newest = {entry.name: entry for entry in listed}
        by_name: dict[str, list[messages.ServerEntry]] = {}
        for entry in written:
            known = newest.get(entry.name)
            if known is None or known.started_ms != entry.started_ms:
                continue
            by_name.setdefault(entry.name, []).append(entry)
            if entry.revision > known.revision:
                newest[entry.name] = entry
        self._created_at = created_at
        marks = []
        for name, entries in by_name.items():
            for later_count, entry in enumerate(reversed(entries)):
                if heartbeat_seconds:
                    seconds = later_count * heartbeat_seconds
                else:
                    seconds = _seconds_between(entry, newest[name], now_ms)
                marks.append((entry.revision, now_ms - seconds * 1000.0))
        for entry in written:
            if entry.started_ms and created_at.get(entry.name) == entry.revision:
                marks.append((entry.revision, float(entry.started_ms)))
        marks.sort()
        self._revisions = [revision for revision, _ in marks]
        self._times_ms = [at_ms for _, at_ms in marks]

    @property
    def began_ms(self) -> float:
        """Time of the oldest entry; infinite if unknown."""
        if not self._times_ms:
            return math.inf
        return self._times_ms[0] + ERROR_SECONDS * 1000.0

    def latest_ms(self, revision: int) -> float:
        """Return the time of a revision at the latest; infinite if unknown."""
        at = bisect.bisect_left(self._revisions, revision)
        if at == len(self._revisions):
            return math.inf
        return self._times_ms[at] + ERROR_SECONDS * 1000.0

    def replacing(self, written: list[messages.ServerEntry]) -> frozenset[str]:
        """Return the servers that have taken an entry over from another process.

        The history shows the entries of the new process only.
        """
        first: dict[str, messages.ServerEntry] = {}
        for entry in written:
            first.setdefault(entry.name, entry)
        oldest_ms = self.began_ms - 2.0 * ERROR_SECONDS * 1000.0
        names = set()
        for name, entry in first.items():
            is_creation = self._created_at.get(name) == entry.revision
            if not is_creation and entry.started_ms >= oldest_ms:
                names.add(name)
        return frozenset(names)


def _seconds_between(
    entry: messages.ServerEntry, newest: messages.ServerEntry, now_ms: float
) -> float:
    """Return the time from a write to the newest one by the server's count; 0 if none.

    The time between two reports is that since its start by their number.
    """
    if not entry.started_ms or not entry.sequence or not newest.sequence:
        return 0.0
    share = 1.0 - entry.sequence / newest.sequence
    return max(share * (now_ms - entry.started_ms) / 1000.0, 0.0)


class Sightings:
    """The servers that this instance has seen listed, and when they came and went.

    Attributes
    ----------
    began_at : float
        Time of the first list; infinite before. Seconds on this clock.
    """

    def __init__(self) -> None:
        self.began_at = math.inf
        self._listed: dict[str, messages.ServerEntry] = {}
        # Entries that were replaced or have left, with the time of that.
        self._former: collections.deque[tuple[messages.ServerEntry, float]]
        self._former = collections.deque(maxlen=MAX_SEEN)
        # Times at which servers came after the first list, and left.
        self._came_at: dict[str, float] = {}
        self._left_at: dict[str, float] = {}

    def note(self, entries: list[messages.ServerEntry]) -> None:
        """Record the entries that are listed from now on."""
        now = clock.now()
        before, self._listed = self._listed, {item.name: item for item in entries}
        for name, entry in before.items():
            if name not in self._listed:
                self._left_at[name] = now
            if not _is_same(entry, self._listed.get(name)):
                self._former.append((entry, now))
        if math.isinf(self.began_at):
            if entries:
                self.began_at = now
        else:
            for name in self._listed.keys() - before.keys():
                self._came_at[name] = now
        self._expire(now - RETENTION_SECONDS)

    def former_since(self, at: float) -> list[messages.ServerEntry]:
        """Return the entries that were listed after a time, and are no more."""
        return [entry for entry, ended_at in self._former if ended_at >= at]

    def came_ages(self) -> dict[str, float]:
        """Return how long ago servers came, in seconds by name."""
        now = clock.now()
        return {name: now - at for name, at in self._came_at.items()}

    def left_ages(self) -> dict[str, float]:
        """Return how long ago servers left last, in seconds by name."""
        now = clock.now()
        return {name: now - at for name, at in self._left_at.items()}

    def _expire(self, horizon: float) -> None:
        while self._former and self._former[0][1] < horizon:
            self._former.popleft()
        for times in (self._came_at, self._left_at):
            for name in [name for name, at in times.items() if at < horizon]:
                del times[name]


def _is_same(entry: messages.ServerEntry, other: messages.ServerEntry | None) -> bool:
    """Return whether two entries differ by a server's heartbeats only."""
    if other is None:
        return False
    return entry == other._replace(
        revision=entry.revision, cold_ms=entry.cold_ms, sequence=entry.sequence
    )
