"""Quarantine of requests and prompt parts that crash the servers which run them.

Load pattern: a request crashes each server that starts to run it, and thereby aborts
all other requests there. Its caller retries at any instance until no server is left.
Or many different requests do, since their prompts share a part that crashes servers.
One crash proves nothing, since every request on the server is suspect. A request or
part that was running on several servers when they crashed, and that no server has
completed, is assumed to be the cause and is held: the instances refuse it.
"""

import collections
import collections.abc
import typing

import xxhash

from cassiaquay_schema import settings as settings_schema

from .. import clock

# Retry-After of a held request; an earlier retry would be refused again.
RETRY_MS = 60_000
# Each crash of a server adds all requests that were running on it, and their parts.
MAX_SUSPECTS = 4096
MAX_COMPLETED = 16384
# Crashes recorded for one suspect. A part that most prompts share is beside the cause
# in every crash, and each crash that is recorded is reported to all instances.
MAX_CRASHES = 16
# Repeats of one request do not show which of its parts is the cause.
MIN_PART_REQUESTS = 2
# Growth of the time to the next trial of a held part with each further crash.
TRIAL_GROWTH = 4.0
# Suspects with fewer crashes are not compared with other instances: there are thousands
# of them when many servers crash at once.
MIN_COMPARED_CRASHES = 2
# Minimum interval between two removals of expired suspects.
EXPIRY_INTERVAL_SECONDS = 1.0


class Report(typing.NamedTuple):
    """The crashes and completion recorded for one request or prompt part.

    Attributes
    ----------
    content : str
        Content digest, equal for all attempts of the request, or digest of the part.
    servers : frozenset of str
        Servers that crashed while running it, each identified together with its start.
    is_cleared : bool
        Whether a server has completed it.
    age : float
        Seconds since the last crash or attempt.
    requests : frozenset of str
        Content digests of some crashed requests with the part; empty for a request.
    crash_age : float
        Seconds since the last crash.
    """

    content: str
    servers: frozenset[str]
    is_cleared: bool
    age: float
    requests: frozenset[str] = frozenset()
    crash_age: float = 0.0


class _Suspect:
    def __init__(self) -> None:
        self.servers: set[str] = set()
        self.requests: set[str] = set()
        self.is_cleared = False
        self.seen_at = float("-inf")
        self.crashed_at = float("-inf")
        self.tried_at = float("-inf")

    @property
    def is_part(self) -> bool:
        """Whether it is a part of prompts."""
        return bool(self.requests)

    @property
    def state(self) -> tuple[int, int, bool]:
        """What changes when a report adds to it."""
        return len(self.servers), len(self.requests), self.is_cleared

    def add(self, report: Report, is_cleared: bool) -> None:
        """Merge a report, within the bounds of what is recorded."""
        for server in sorted(report.servers):
            if len(self.servers) < MAX_CRASHES:
                self.servers.add(server)
        for request in sorted(report.requests):
            if len(self.requests) < MIN_PART_REQUESTS:
                self.requests.add(request)
        self.is_cleared |= is_cleared


class Quarantine:
    """Suspects by their digests, and the servers that crashed while running them.

    Parameters
    ----------
    settings : Settings
        Number of crashes after which a suspect is held, and how long it is recorded.

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
        # Parts that are not cleared and have several crashes.
        self._suspected_parts: set[str] = set()
        self._removed_expired_at = float("-inf")
        self._completed: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._digest: int | None = 0

    @property
    def count(self) -> int:
        """Number of requests that are held."""
        held = [
            suspect for suspect in self._suspects.values() if self._is_held(suspect)
        ]
        return sum(not suspect.is_part for suspect in held)

    @property
    def part_count(self) -> int:
        """Number of prompt parts that are held."""
        return sum(self.holds(part) for part in self._suspected_parts)

    @property
    def suspect_count(self) -> int:
        """Number of recorded requests and parts that were on a crashing server."""
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
        """Return whether a request or part is held."""
        suspect = self._suspects.get(content)
        return suspect is not None and self._is_held(suspect)

    def blocking(self, content: str, parts: collections.abc.Sequence[str]) -> list[str]:
        """Return what forbids to send a request: its content or some of its parts.

        A part whose crashes another held part explains, which the request does not
        have, forbids nothing: if it is sound, its next completion clears it, and
        otherwise its next crash is one that the other part does not explain.
        """
        blocking = [content] if self.holds(content) else []
        for part in parts:
            if part not in self._suspected_parts or not self.holds(part):
                continue
            if not self._is_explained(part, parts):
                blocking.append(part)
        return blocking

    def is_trial_due(self, part: str) -> bool:
        """Return whether one request may try a held part.

        A part may be held by mistake, or have become harmless with a new version of
        the servers. A trial costs one crash at most.
        """
        suspect = self._suspects.get(part)
        if suspect is None or not suspect.is_part:
            return False
        further = len(suspect.servers) - self._gateway.quarantine_crashes
        seconds = self._gateway.quarantine_trial_seconds * TRIAL_GROWTH ** max(
            further, 0
        )
        return clock.now() >= max(suspect.crashed_at, suspect.tried_at) + seconds

    def record_trial(self, part: str) -> None:
        """Record that a request with a held part is sent."""
        suspect = self._suspects.get(part)
        if suspect is not None:
            suspect.tried_at = clock.now()

    def record_refusal(self, content: str) -> None:
        """Record a refused attempt, so that the hold lasts while callers retry."""
        suspect = self._suspects.get(content)
        if suspect is not None:
            self._record_seen(content, suspect, clock.now())

    def crashed(self, content: str, server: str, request: str = "") -> bool:
        """Record a server's crash; return whether it changes the report.

        ``request`` is the content digest of the request if ``content`` is a part.
        """
        if content in self._completed and content not in self._suspects:
            return False
        requests = frozenset([request] if request else [])
        return self.learn(Report(content, frozenset([server]), False, 0.0, requests))

    def completed(self, content: str) -> bool:
        """Record a completion; return whether it changes the report."""
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
                removed, _ = self._suspects.popitem(last=False)
                self._suspected_parts.discard(removed)
        # This instance may have seen it complete before the first crash.
        is_cleared = report.is_cleared or report.content in self._completed
        before = suspect.state
        suspect.add(report, is_cleared)
        self._record_seen(report.content, suspect, seen_at)
        if report.servers:
            crashed_at = clock.now() - report.crash_age
            suspect.crashed_at = max(suspect.crashed_at, crashed_at)
        is_changed = suspect.state != before
        if is_changed:
            self._digest = None
            self._index_part(report.content, suspect)
        return is_changed

    def report(self, content: str) -> Report:
        """Return the report of a request or part."""
        suspect = self._suspects.get(content) or _Suspect()
        now = clock.now()
        age = max(now - suspect.seen_at, 0.0)
        return Report(
            content,
            frozenset(suspect.servers),
            suspect.is_cleared,
            age,
            frozenset(suspect.requests),
            max(now - suspect.crashed_at, 0.0) if suspect.servers else age,
        )

    def reports(self) -> list[Report]:
        """Return the reports with several crashes."""
        reports = []
        for content, suspect in self._suspects.items():
            if len(suspect.servers) >= MIN_COMPARED_CRASHES:
                reports.append(self.report(content))
        return reports

    def _is_held(self, suspect: _Suspect) -> bool:
        if suspect.is_cleared:
            return False
        if suspect.is_part and len(suspect.requests) < MIN_PART_REQUESTS:
            return False
        missing = self._gateway.quarantine_crashes - len(suspect.servers)
        if missing == 1 and suspect.servers:
            return self.is_history_lost()
        return missing <= 0

    def _is_explained(
        self, part: str, request_parts: collections.abc.Sequence[str]
    ) -> bool:
        servers = self._suspects[part].servers
        for other in self._suspected_parts:
            if other in request_parts or not self.holds(other):
                continue
            if servers <= self._suspects[other].servers:
                return True
        return False

    def _index_part(self, content: str, suspect: _Suspect) -> None:
        has_several_crashes = len(suspect.servers) >= MIN_COMPARED_CRASHES
        if suspect.is_part and has_several_crashes and not suspect.is_cleared:
            self._suspected_parts.add(content)
        else:
            self._suspected_parts.discard(content)

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
            self._suspected_parts.discard(content)
            self._digest = None

    def _compute_digest(self) -> int:
        lines = []
        for report in self.reports():
            # Instances may record different crashes once there are enough.
            is_full = len(report.servers) == MAX_CRASHES
            servers = [] if is_full else sorted(report.servers)
            request_count = len(report.requests)
            lines.append((report.content, servers, request_count, report.is_cleared))
        if not lines:
            return 0
        return xxhash.xxh3_64_intdigest(repr(sorted(lines)).encode())
