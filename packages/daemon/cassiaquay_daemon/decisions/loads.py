"""Requests in flight on one backend server: running totals and queue of prefills."""

import collections
import collections.abc
import typing

# Engines report twice a second, and a report may be seconds old.
MAX_RECORDED_COUNTS = 16
# Tolerance when a report is compared with this keeper's own count: requests on their
# way to or from the server must not count as requests of other clients.
REPORT_SLACK_SECONDS = 1.0
REPORT_HALF_LIFE_SECONDS = 1.0


class Prefill(typing.NamedTuple):
    """A granted prompt whose first event has not been reported yet."""

    tokens: int
    granted_at: float
    expected_seconds: float


class FinishedPrefill(typing.NamedTuple):
    """A prompt whose first event has just arrived.

    Attributes
    ----------
    tokens : int
        Its uncached tokens.
    head_seconds : float
        Time for which it was at the head of the engine's prefill queue.
    seconds, expected_seconds : float
        Time from the permit to the first event, measured and estimated.
    """

    tokens: int
    head_seconds: float
    seconds: float
    expected_seconds: float


class Report(typing.NamedTuple):
    """Number of a server's requests that this keeper did not grant, at a given time."""

    foreign: int
    at: float


class Load:
    """Running totals of one backend server, updated without scanning its requests."""

    def __init__(self) -> None:
        self.count = 0
        self._report = Report(0, float("-inf"))
        self._counts: collections.deque[tuple[float, int]]
        self._counts = collections.deque(maxlen=MAX_RECORDED_COUNTS)
        self.tokens = 0
        self.prefill_tokens = 0
        self._prefills: collections.OrderedDict[str, Prefill]
        self._prefills = collections.OrderedDict()
        self._head_since = 0.0

    def add_prefill(
        self, request_id: str, uncached: int, now: float, expected: float
    ) -> None:
        """Add a prompt granted to the engine, which reads prompts in arrival order."""
        if not self._prefills:
            self._head_since = now
        self._prefills[request_id] = Prefill(uncached, now, expected)
        self.prefill_tokens += uncached

    def finish_prefill(self, request_id: str, at: float) -> FinishedPrefill | None:
        """Record a first event; return None when the prompt is not in the queue."""
        prefill = self._prefills.get(request_id)
        if prefill is None:
            return None
        since = max(self._head_since, prefill.granted_at)
        finished = FinishedPrefill(
            prefill.tokens,
            at - since,
            at - prefill.granted_at,
            prefill.expected_seconds,
        )
        self.remove_prefill(request_id, at)
        return finished

    def remove_prefill(self, request_id: str, at: float) -> None:
        """Remove a prompt from the prefill queue, if it is still there."""
        prefill = self._prefills.pop(request_id, None)
        if prefill is None:
            return
        self.prefill_tokens -= prefill.tokens
        self._head_since = max(self._head_since, at)

    def report(self, requests: int, age: float, now: float) -> None:
        """Record how many requests the server had ``age`` seconds ago."""
        self._counts.append((now, self.count))
        at = now - age
        nearby = [
            count
            for when, count in self._counts
            if abs(when - at) <= REPORT_SLACK_SECONDS
        ]
        # Compared with the most that this keeper had in flight around then: only the
        # excess over that is certainly not its own.
        foreign = max(requests - max(nearby, default=requests), 0)
        self._report = Report(foreign, at)

    def foreign(self, now: float) -> int:
        """Return the requests of other clients, discounted by the report's age."""
        age = max(now - self._report.at, 0.0)
        return int(self._report.foreign * 0.5 ** (age / REPORT_HALF_LIFE_SECONDS))

    def backlog_seconds(self, rate: float, now: float) -> float:
        """Return the time that the engine needs for the prompts in its queue.

        Parameters
        ----------
        rate : float
            Prompt tokens per second.
        now : float
            Seconds on this clock.
        """
        if not self._prefills:
            return 0.0
        head = next(iter(self._prefills.values()))
        done = max(now - self._head_since, 0.0) * rate
        # At least a tenth of the prompt being read stays in the backlog until its first
        # event arrives, so that an engine which has slowed down gets no more prompts.
        done = min(done, head.tokens * 0.9)
        return (self.prefill_tokens - done) / rate

    def count_silent(self, seconds: float, now: float) -> int:
        """Return how many requests have waited for a first event for ``seconds``.

        0 when another request of the server has had its first event since then.
        """
        horizon = now - seconds
        if self._head_since > horizon:
            return 0
        count = 0
        for prefill in self._prefills.values():
            if prefill.granted_at > horizon:
                break
            count += 1
        return count

    def current_prefill(self, now: float) -> tuple[int, float]:
        """Return the tokens of the prompt being read and its seconds at the head."""
        if not self._prefills:
            return 0, 0.0
        head = next(iter(self._prefills.values()))
        return head.tokens, now - max(self._head_since, head.granted_at)
