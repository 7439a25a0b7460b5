"""Quarantine of requests that crash the servers which run them.

Load pattern: a request crashes each server that starts to run it, and thereby aborts
all other requests there. Its caller retries at any instance until no server is left.
One crash proves nothing, since every request on the server is suspect. A request that
was running on several servers when they crashed, and that no server has completed, is
assumed to be the cause and is held: the instances refuse it.
"""

import collections
import collections.abc
import typing

import xxhash

from cassiaquay_schema import settings as settings_schema

from .. import clock

# Retry-After of a held request; an earlier retry would be refused again.
RETRY_MS = 60_000
# Each crash of a server adds all requests that were running on it.
MAX_SUSPECTS = 4096
MAX_COMPLETED = 8192
# Suspects with fewer crashes are not compared with other instances: there are thousands
# of them when many servers crash at once.
MIN_COMPARED_CRASHES = 2
# Minimum interval between two removals of expired suspects.
EXPIRY_INTERVAL_SECONDS = 1.0


class Report(typing.NamedTuple):
    """The crashes and completion recorded for one request.

    Attributes
    ----------
    content : str
        Content digest, equal for all attempts of the request.
    servers : frozenset of str
        Servers that crashed while running it, each identified together with its start.
    is_cleared : bool
        Whether a server has completed it.
    age : float
        Seconds since the last crash or attempt.
    """

    content: str
    servers: frozenset[str]
    is_cleared: bool
    age: float


class _Suspect:
    def __init__(self) -> None:
        self.servers: set[str] = set()
        self.is_cleared = False
        self.seen_at = float("-inf")


class Quarantine:
    """Suspected requests by content, and the servers that crashed while running them.

    Parameters
    ----------
    settings : Settings
        Number of crashes after which a request is held, and how long it is recorded.

    Attributes
    ----------
    is_history_lost : callable
        Returns whether earlier records were lost; then one crash fewer is enough.
    """

    def __init__(self, settings: settings_schema.Settings):
        self.is_history_lost: collections.abc.Callable[[], bool] = bool
        self._gateway = settings.gateway
        self._suspects: collections.OrderedDict[str, _Suspect]
        self._suspects = collections.OrderedDict()
        self._removed_expired_at = float("-inf")
        self._completed: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._digest: int | None = 0

    @property
    def count(self) -> int:
        """Number of requests that are held."""
        return sum(self._is_held(suspect) for suspect in self._suspects.values())

    @property
    def suspect_count(self) -> int:
        """Number of recorded requests that were on a server when it crashed."""
        return len(self._suspects)

    @property
    def digest(self) -> int:
        """Digest of the :meth:`reports`; 0 when there are none."""
        self._remove_expired()
        if self._digest is None:
            self._digest = self._compute_digest()
        return self._digest

    def adopt(self, settings: settings_schema.Settings) -> None:
        """Use changed settings from now on."""
        self._gateway = settings.gateway

    def holds(self, content: str) -> bool:
        """Return whether a request is held and must not be sent to a server."""
        suspect = self._suspects.get(content)
        return suspect is not None and self._is_held(suspect)

    def record_refusal(self, content: str) -> None:
        """Record a refused attempt, so that the hold lasts while its caller retries."""
        suspect = self._suspects.get(content)
        if suspect is not None:
            self._record_seen(content, suspect, clock.now())

    def crashed(self, content: str, server: str) -> bool:
        """Record a server's crash; return whether it changes the request's report."""
        return self.learn(Report(content, frozenset([server]), False, 0.0))

    def completed(self, content: str) -> bool:
        """Record a completion; return whether it changes the request's report."""
        self._completed[content] = None
        self._completed.move_to_end(content)
        if len(self._completed) > MAX_COMPLETED:
            self._completed.popitem(last=False)
        if content not in self._suspects:
            return False
        return self.learn(Report(content, frozenset(), True, 0.0))

    def learn(self, report: Report) -> bool:
        """Merge a report; return whether it changed what is recorded here."""
        seen_at = clock.now() - report.age
        if report.age > self._gateway.quarantine_seconds:
            return False
        suspect = self._suspects.get(report.content)
        if suspect is None:
            suspect = self._suspects[report.content] = _Suspect()
            if len(self._suspects) > MAX_SUSPECTS:
                self._suspects.popitem(last=False)
        # This instance may have seen the request complete before the first crash.
        is_cleared = report.is_cleared or report.content in self._completed
        before = len(suspect.servers), suspect.is_cleared
        suspect.servers |= report.servers
        suspect.is_cleared |= is_cleared
        self._record_seen(report.content, suspect, seen_at)
        is_changed = (len(suspect.servers), suspect.is_cleared) != before
        if is_changed:
            self._digest = None
        return is_changed

    def report(self, content: str) -> Report:
        """Return the report of a request."""
        suspect = self._suspects.get(content) or _Suspect()
        age = max(clock.now() - suspect.seen_at, 0.0)
        return Report(content, frozenset(suspect.servers), suspect.is_cleared, age)

    def reports(self) -> list[Report]:
        """Return the reports of requests with several crashes."""
        reports = []
        for content, suspect in self._suspects.items():
            if len(suspect.servers) >= MIN_COMPARED_CRASHES:
                reports.append(self.report(content))
        return reports

    def _is_held(self, suspect: _Suspect) -> bool:
        if suspect.is_cleared:
            return False
        missing = self._gateway.quarantine_crashes - len(suspect.servers)
        if missing == 1 and suspect.servers:
            return self.is_history_lost()
        return missing <= 0

    def _record_seen(self, content: str, suspect: _Suspect, seen_at: float) -> None:
        # Ordered by the time at which a suspect was last seen.
        if seen_at > suspect.seen_at:
            suspect.seen_at = seen_at
            self._suspects.move_to_end(content)

    def _remove_expired(self) -> None:
        now = clock.now()
        if (
            not self._suspects
            or now < self._removed_expired_at + EXPIRY_INTERVAL_SECONDS
        ):
            return
        self._removed_expired_at = now
        horizon = now - self._gateway.quarantine_seconds
        for content, suspect in list(self._suspects.items()):
            if suspect.seen_at >= horizon:
                continue
            del self._suspects[content]
            self._digest = None

    def _compute_digest(self) -> int:
        lines = []
        for report in self.reports():
            lines.append((report.content, sorted(report.servers), report.is_cleared))
        if not lines:
            return 0
        return xxhash.xxh3_64_intdigest(repr(sorted(lines)).encode())
