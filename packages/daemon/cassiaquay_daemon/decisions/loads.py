"""What is out on one backend server, as running totals and an order of prefills."""

import collections
import collections.abc
import typing

# Reports come twice a second and may be seconds old.
KEPT_COUNTS = 16
# Requests on their way to the server and back are no others' requests.
REPORT_SLACK_SECONDS = 1.0
REPORT_HALF_LIFE_SECONDS = 1.0


class Prefill(typing.NamedTuple):
    """A prompt that the engine has not read yet, as far as its keeper knows."""

    tokens: int
    granted_at: float
    expected_seconds: float


class Started(typing.NamedTuple):
    """A prompt that the engine has just read.

    Attributes
    ----------
    tokens : int
        Its uncached tokens.
    alone_seconds : float
        How long it was the first in the engine's queue.
    seconds, expected_seconds : float
        From the permit to the first event, measured and as estimated.
    """

    tokens: int
    alone_seconds: float
    seconds: float
    expected_seconds: float


class Report(typing.NamedTuple):
    """Requests on a server that this keeper did not grant, and when that was so."""

    foreign: int
    at: float


class Load:
    """Totals of one backend server. No figure is a sum over what is running."""

    def __init__(self) -> None:
        self.count = 0
        self._report = Report(0, float("-inf"))
        self._counts: collections.deque[tuple[float, int]]
        self._counts = collections.deque(maxlen=KEPT_COUNTS)
        self.tokens = 0
        self.prefill_tokens = 0
        self._prefills: collections.OrderedDict[str, Prefill]
        self._prefills = collections.OrderedDict()
        self._head_since = 0.0

    def begin(
        self, request_id: str, uncached: int, now: float, expected: float
    ) -> None:
        """Note a prompt sent to the engine, which reads in order of arrival."""
        if not self._prefills:
            self._head_since = now
        self._prefills[request_id] = Prefill(uncached, now, expected)
        self.prefill_tokens += uncached

    def start(self, request_id: str, at: float) -> Started | None:
        """Note a first event; return None for a prompt not known as unread."""
        prefill = self._prefills.get(request_id)
        if prefill is None:
            return None
        since = max(self._head_since, prefill.granted_at)
        found = Started(
            prefill.tokens,
            at - since,
            at - prefill.granted_at,
            prefill.expected_seconds,
        )
        self.forget(request_id, at)
        return found

    def forget(self, request_id: str, at: float) -> None:
        """Drop a prompt that ended before it was read."""
        prefill = self._prefills.pop(request_id, None)
        if prefill is None:
            return
        self.prefill_tokens -= prefill.tokens
        self._head_since = max(self._head_since, at)

    def report(self, requests: int, age: float, now: float) -> None:
        """Take in how many requests the server had ``age`` seconds ago."""
        self._counts.append((now, self.count))
        at = now - age
        around = [
            count
            for when, count in self._counts
            if abs(when - at) <= REPORT_SLACK_SECONDS
        ]
        # The most that this keeper had out around then: only what is more than that
        # is certainly not its own.
        foreign = max(requests - max(around, default=requests), 0)
        self._report = Report(foreign, at)

    def foreign(self, now: float) -> int:
        """Return the requests of others, weighed by the age of the report."""
        age = max(now - self._report.at, 0.0)
        return int(self._report.foreign * 0.5 ** (age / REPORT_HALF_LIFE_SECONDS))

    def backlog_seconds(self, rate: float, now: float) -> float:
        """Return how long the engine still reads what it has.

        Parameters
        ----------
        rate : float
            Prompt tokens a second.
        now : float
            Seconds on this clock.
        """
        if not self._prefills:
            return 0.0
        head = next(iter(self._prefills.values()))
        done = max(now - self._head_since, 0.0) * rate
        # The one being read counts until its first event is seen: an engine that has
        # slowed down without telling gets nothing more meanwhile.
        done = min(done, head.tokens * 0.9)
        return (self.prefill_tokens - done) / rate

    def silent(self, seconds: float, now: float) -> int:
        """Return how many requests wait for a sign longer than ``seconds``.

        None, when any other request of the server has given one since.
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

    def overdue(self, now: float) -> tuple[int, float]:
        """Return the tokens of the prompt being read and the seconds it has taken."""
        if not self._prefills:
            return 0, 0.0
        head = next(iter(self._prefills.values()))
        return head.tokens, now - max(self._head_since, head.granted_at)
