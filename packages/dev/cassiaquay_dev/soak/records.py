"""What callers and engines saw, for the checks."""

import time
import typing

from ..standins import raw_servers

FOREVER = float("inf")


def now() -> float:
    """Seconds on the steady clock of this machine, which all processes share."""
    return time.monotonic()


class Run:
    """One arrival of a request at an engine, and what the engine did."""

    def __init__(self, engine: str, service: str, request: raw_servers.Request):
        self.engine = engine
        self.service = service
        self.request = request
        self.at = now()
        # Whether the engine began to work on it.
        self.executed = False
        # Whether the engine itself did something wrong to it.
        self.harmed = False
        self.seal = ""
        self.status = 0


class Attempt:
    """One attempt of a caller."""

    def __init__(self, name: str, kind: str, path: str, key: str, body: bytes):
        self.name = name
        self.kind = kind
        self.path = path
        self.key = key
        self.body = body
        self.daemon = ""
        self.life = 0
        self.sent_at = FOREVER
        self.ended_at = FOREVER
        self.gave_up = False
        self.deadline = 0.0
        self.status = 0
        self.headers: dict[str, str] = {}
        self.answer = b""
        self.complete = False

    @property
    def may_repeat(self) -> bool:
        """Whether it may run more than once."""
        return self.kind in ("safe", "stream")

    @property
    def is_served(self) -> bool:
        """Whether it got a whole good answer."""
        return self.status == 200 and self.complete


class Span(typing.NamedTuple):
    """A time in which something was disturbed."""

    start: float
    end: float


class Disturbances:
    """When which process or link was disturbed from outside, by name."""

    def __init__(self) -> None:
        self._spans: dict[str, list[Span]] = {}

    def add(self, name: str, start: float, end: float = FOREVER) -> None:
        """Note one disturbance; until its end is given, it goes on."""
        self._spans.setdefault(name, []).append(Span(start, end))

    def end(self, name: str, start: float, end: float) -> None:
        """Give the end of a disturbance whose end was not known."""
        self._spans[name].remove(Span(start, FOREVER))
        self.add(name, start, end)

    def is_calm(self, name: str, start: float, end: float) -> bool:
        """Tell whether nothing disturbed it in a time."""
        for span in self._spans.get(name, []):
            if span.start <= end and span.end >= start:
                return False
        return True


class Change(typing.NamedTuple):
    """One version of the configuration: when it was written, its keys and routes."""

    at: float
    keys: frozenset[str]
    services: dict[str, str]


class Records:
    """Everything that was seen in one soak."""

    def __init__(self) -> None:
        self.attempts: dict[str, Attempt] = {}
        self.runs: list[Run] = []
        # Processes and links, without the planned stops and reloads.
        self.faults = Disturbances()
        # Planned stops and reloads.
        self.planned = Disturbances()
        self.changes: list[Change] = []
        self.leaving: dict[str, float] = {}
        # Requests that crash engines, by path; callers send those in `coming`.
        self.crashing: set[str] = set()
        self.coming: set[str] = set()
        self.unasked_bytes: list[str] = []
        self.own_ends: list[str] = []
        self.calm_from = FOREVER

    def is_calm(self, daemon: str, start: float, end: float) -> bool:
        """Tell whether a daemon, its links and the store were left alone."""
        for name in (daemon, "store"):
            if not self.faults.is_calm(name, start, end):
                return False
        return self.planned.is_calm(daemon, start, end)
