"""Requests that crash the servers which run them, and are refused for that.

Load pattern: a request crashes each server that begins to run it, and so breaks off all
else that runs there. Its caller retries at any instance until no server is left. One
crash proves nothing, since everything on the server is suspect. A request that was on
several servers when they crashed, and that none has completed, is taken for the cause.
"""

import collections
import collections.abc
import typing

import xxhash

from cassiaquay_schema import settings as settings_schema

from .. import clock

# Retry-After of a held request: it would be refused again sooner.
RETRY_MS = 60_000
# A crash of a server makes suspects of all that ran on it.
MOST_SUSPECTS = 4096
MOST_COMPLETED = 8192
# Suspects with fewer crashes are left out of the comparison with other instances: when
# many servers crash at once, they are thousands.
LEAST_COMPARED_CRASHES = 2
# Pause between two looks for what is old enough to be forgotten.
FORGET_SECONDS = 1.0


class Report(typing.NamedTuple):
    """What is known of one request.

    Attributes
    ----------
    content : str
        Digest that all attempts of the request share.
    servers : frozenset of str
        Servers, by their starts, that crashed while they ran it.
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
        How many crashes are enough, and for how long a request is remembered.

    Attributes
    ----------
    is_history_lost : callable
        Tells whether earlier knowledge was lost; one crash less is enough then.
    """

    def __init__(self, settings: settings_schema.Settings):
        self.is_history_lost: collections.abc.Callable[[], bool] = bool
        self._gateway = settings.gateway
        self._suspects: collections.OrderedDict[str, _Suspect]
        self._suspects = collections.OrderedDict()
        self._forgot_at = float("-inf")
        self._completed: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._digest: int | None = 0

    @property
    def count(self) -> int:
        """Number of requests that are held."""
        return sum(self._is_held(found) for found in self._suspects.values())

    @property
    def suspect_count(self) -> int:
        """Number of requests that were on a server when it crashed."""
        return len(self._suspects)

    @property
    def digest(self) -> int:
        """Digest of what :meth:`reports` returns, 0 for nothing."""
        self._forget()
        if self._digest is None:
            self._digest = self._digest_now()
        return self._digest

    def adopt(self, settings: settings_schema.Settings) -> None:
        """Take in changed settings."""
        self._gateway = settings.gateway

    def holds(self, content: str) -> bool:
        """Return whether a request must not be sent to a server."""
        found = self._suspects.get(content)
        return found is not None and self._is_held(found)

    def record_refusal(self, content: str) -> None:
        """Keep a held request for as long as its caller retries."""
        found = self._suspects.get(content)
        if found is not None:
            self._see(content, found, clock.now())

    def crashed(self, content: str, server: str) -> bool:
        """Note a server that crashed with a request; return whether that is news."""
        return self.learn(Report(content, frozenset([server]), False, 0.0))

    def completed(self, content: str) -> bool:
        """Note that a server has completed a request; return whether that is news."""
        self._completed[content] = None
        self._completed.move_to_end(content)
        if len(self._completed) > MOST_COMPLETED:
            self._completed.popitem(last=False)
        if content not in self._suspects:
            return False
        return self.learn(Report(content, frozenset(), True, 0.0))

    def learn(self, report: Report) -> bool:
        """Take in what another instance knows; return whether something is news."""
        seen_at = clock.now() - report.age
        if report.age > self._gateway.quarantine_seconds:
            return False
        found = self._suspects.get(report.content)
        if found is None:
            found = self._suspects[report.content] = _Suspect()
            if len(self._suspects) > MOST_SUSPECTS:
                self._suspects.popitem(last=False)
        # This instance may have seen the request complete before the first crash.
        is_cleared = report.is_cleared or report.content in self._completed
        before = len(found.servers), found.is_cleared
        found.servers |= report.servers
        found.is_cleared |= is_cleared
        self._see(report.content, found, seen_at)
        is_news = (len(found.servers), found.is_cleared) != before
        if is_news:
            self._digest = None
        return is_news

    def report(self, content: str) -> Report:
        """Return what is known of a request."""
        found = self._suspects.get(content) or _Suspect()
        age = max(clock.now() - found.seen_at, 0.0)
        return Report(content, frozenset(found.servers), found.is_cleared, age)

    def reports(self) -> list[Report]:
        """Return what is known of requests with several crashes."""
        found = []
        for content, suspect in self._suspects.items():
            if len(suspect.servers) >= LEAST_COMPARED_CRASHES:
                found.append(self.report(content))
        return found

    def _is_held(self, found: _Suspect) -> bool:
        if found.is_cleared:
            return False
        missing = self._gateway.quarantine_crashes - len(found.servers)
        if missing == 1 and found.servers:
            return self.is_history_lost()
        return missing <= 0

    def _see(self, content: str, found: _Suspect, seen_at: float) -> None:
        # The one that was seen last stands at the end.
        if seen_at > found.seen_at:
            found.seen_at = seen_at
            self._suspects.move_to_end(content)

    def _forget(self) -> None:
        now = clock.now()
        if not self._suspects or now < self._forgot_at + FORGET_SECONDS:
            return
        self._forgot_at = now
        horizon = now - self._gateway.quarantine_seconds
        for content, found in list(self._suspects.items()):
            if found.seen_at >= horizon:
                continue
            del self._suspects[content]
            self._digest = None

    def _digest_now(self) -> int:
        lines = []
        for report in self.reports():
            lines.append((report.content, sorted(report.servers), report.is_cleared))
        if not lines:
            return 0
        return xxhash.xxh3_64_intdigest(repr(sorted(lines)).encode())
