"""Alarm for answers that are given up although their servers answer other requests.

A server that has crashed completes no request afterwards. One that was paused, or that
is slower than the time of a route, goes on to answer: its requests were given up too
early.
"""

import typing

from .. import clock, logs

# Time after a lost answer within which its server must answer another request.
WINDOW_SECONDS = 10.0
# Least time between two alarms about one service.
ALARM_PERIOD_SECONDS = 10.0
# Servers of a service that an alarm names.
MAX_NAMED_SERVERS = 8
# Outcome of a silence at the end of which the request ended, too.
ENDED_OUTCOME = "ended"
LOST_CODE = "answer_lost"


class _Losses(typing.NamedTuple):
    """Requests that ended without an answer of one server.

    Attributes
    ----------
    silences, lost : int
        Requests that ended while the server was silent, and requests whose answer was
        lost; one that was silent and then lost is in both.
    ended_at : float
        End of the last one; seconds on this clock.
    """

    silences: int
    lost: int
    ended_at: float

    @property
    def request_count(self) -> int:
        """Least number of requests that these are."""
        return max(self.silences, self.lost)


class _Service:
    """Losses of one service."""

    def __init__(self) -> None:
        self.losses: dict[str, _Losses] = {}
        self.given_up: dict[str, int] = {}
        self.alarmed_at = float("-inf")

    def drop_old(self, now: float) -> None:
        """Forget losses whose servers have completed no request in time."""
        for server, losses in list(self.losses.items()):
            if now - losses.ended_at > WINDOW_SECONDS:
                del self.losses[server]


class GivenUpAnswers:
    """Logs ``answers_given_up`` when servers answer after answers of theirs are lost.

    Its memory is bounded: it knows a service only once an answer of it is lost, and a
    server only from there until it answers or ``WINDOW_SECONDS`` have passed.
    """

    def __init__(self) -> None:
        self._services: dict[str, _Service] = {}

    def record_silence(self, service: str, server: str, outcome: str) -> None:
        """Record how a server's silence ended."""
        if outcome == ENDED_OUTCOME:
            self._add(service, server, silences=1)

    def record_end(self, service: str, server: str, outcome: str, code: str) -> None:
        """Record how a request ended, and at which server."""
        if code == LOST_CODE:
            self._add(service, server, lost=1)
        if outcome != "completed":
            return
        found = self._services.get(service)
        if found is None:
            return
        now = clock.now()
        found.drop_old(now)
        losses = found.losses.pop(server, None)
        if losses is not None:
            before = found.given_up.get(server, 0)
            found.given_up[server] = before + losses.request_count
        self._alarm(service, found, now)

    def _add(self, service: str, server: str, silences: int = 0, lost: int = 0) -> None:
        if not server:
            return
        now = clock.now()
        found = self._services.setdefault(service, _Service())
        found.drop_old(now)
        before = found.losses.get(server, _Losses(0, 0, now))
        found.losses[server] = _Losses(
            before.silences + silences, before.lost + lost, now
        )

    def _alarm(self, service: str, found: _Service, now: float) -> None:
        if not found.given_up or now - found.alarmed_at < ALARM_PERIOD_SECONDS:
            return
        most = sorted(found.given_up, key=lambda name: -found.given_up[name])
        logs.trouble(
            "answers_given_up",
            service=service,
            count=sum(found.given_up.values()),
            servers=",".join(most[:MAX_NAMED_SERVERS]),
        )
        found.alarmed_at = now
        found.given_up = {}
