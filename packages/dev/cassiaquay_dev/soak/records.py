"""Records of attempts, runs and faults of a soak, which the checks evaluate."""

import re
import time
import typing

from ..standins import raw_servers

FOREVER = float("inf")
EVENT = re.compile(rb"^id: \d+\n(?:.+\n)+\n", re.MULTILINE)


def now() -> float:
    """Return seconds of the monotonic clock, which all processes share."""
    return time.monotonic()


class Run:
    """One arrival of a request at an engine, and what the engine did with it."""

    def __init__(self, engine: str, service: str, request: raw_servers.Request):
        self.engine = engine
        self.service = service
        self.request = request
        self.at = now()
        # Whether the engine began to work on it.
        self.executed = False
        # Whether the engine injected a fault into this run.
        self.has_engine_fault = False
        # Kind of the engine's answer if it has no end.
        self.endless_kind = ""
        # Form of the engine's answer if it has neither a length nor chunks, and the
        # number behind its last event.
        self.unframed = ""
        self.sent_until = 0
        # Whether the engine turned the request away without running it.
        self.rejected = False
        # When the engine had written its whole answer, and when it broke that off.
        self.answered_at = FOREVER
        self.broke_off_at = FOREVER
        self.seal = ""
        self.status = 0

    @property
    def is_endless(self) -> bool:
        """Whether the engine's answer has no end."""
        return bool(self.endless_kind)

    @property
    def is_unframed_cut(self) -> bool:
        """Whether the engine ended early an answer without a length and chunks."""
        return bool(self.unframed) and self.has_engine_fault


class Attempt:
    """One attempt of a caller to get a request answered.

    `daemon_start` counts the starts of the daemon up to the one that got the attempt.
    """

    def __init__(self, name: str, kind: str, path: str, key: str, body: bytes):
        self.name = name
        self.kind = kind
        self.path = path
        self.key = key
        self.body = body
        self.daemon = ""
        self.daemon_start = 0
        self.sent_at = FOREVER
        self.ended_at = FOREVER
        self.gave_up = False
        self.deadline = 0.0
        self.status = 0
        self.headers: dict[str, str] = {}
        self.answer = b""
        self.complete = False
        # Whether the answer has a length or chunks, so that its end is marked.
        self.is_marked = True
        # The attempt that brought the first event of the stream that this one takes up;
        # its own name if it begins a stream.
        self.stream = name
        # Number of the first event that it lacks.
        self.first_event = 0
        # Part of its prompt that crashes engines; empty if none does.
        self.crashing_part = ""

    @property
    def is_resumed(self) -> bool:
        """Whether it takes up the stream of an earlier attempt."""
        return self.stream != self.name

    @property
    def event_count(self) -> int:
        """Number of events that the caller has, those of earlier attempts included."""
        return self.first_event + len(EVENT.findall(self.answer))

    @property
    def may_repeat(self) -> bool:
        """Whether the request may run more than once."""
        return self.kind in ("safe", "stream")

    @property
    def is_served(self) -> bool:
        """Whether the caller received a complete answer with status 200."""
        return self.status == 200 and self.complete


class Span(typing.NamedTuple):
    """Start and end of one disturbance."""

    start: float
    end: float


class Disturbances:
    """Times in which faults disturbed a process or link, by its name."""

    def __init__(self) -> None:
        self._spans: dict[str, list[Span]] = {}

    def add(self, name: str, start: float, end: float = FOREVER) -> None:
        """Record a disturbance, which lasts until `end` is called for it."""
        self._spans.setdefault(name, []).append(Span(start, end))

    def end(self, name: str, start: float, end: float) -> None:
        """Set the end of a disturbance that began at ``start``."""
        self._spans[name].remove(Span(start, FOREVER))
        self.add(name, start, end)

    def overlapping(self, name: str, start: float, end: float) -> list[Span]:
        """Return the disturbances of ``name`` that overlap the time span."""
        found = []
        for span in self._spans.get(name, []):
            if span.start <= end and span.end >= start:
                found.append(span)
        return found

    def is_undisturbed(self, name: str, start: float, end: float) -> bool:
        """Return whether no disturbance of ``name`` overlaps the time span."""
        return not self.overlapping(name, start, end)


class Change(typing.NamedTuple):
    """One version of the configuration: time of writing, API keys, services by path."""

    at: float
    keys: frozenset[str]
    services: dict[str, str]


class Named(typing.NamedTuple):
    """A limit of an engine: requests a second, and when it held."""

    engine: str
    rate: float
    start: float
    end: float


class Report(typing.NamedTuple):
    """An answer in which an engine says something about itself to one daemon.

    Attributes
    ----------
    engine : str
        The engine.
    daemon : str
        The daemon that was answered.
    daemon_start : int
        Counts the starts of that daemon.
    at : float
        Time of the answer.
    seconds : float
        Time for which the engine wants no request; `FOREVER` if it leaves.
    """

    engine: str
    daemon: str
    daemon_start: int
    at: float
    seconds: float


class Cut(typing.NamedTuple):
    """Daemons without a path to all engines, and for how long.

    Attributes
    ----------
    daemons : frozenset of str
        Their names.
    start, end : float
        Seconds of this clock.
    """

    daemons: frozenset[str]
    start: float
    end: float


class Fall(typing.NamedTuple):
    """A brittle engine that fell over since it had to reject too many requests."""

    engine: str
    service: str
    at: float


class BrittleTime(typing.NamedTuple):
    """A time in which the engines of a service were brittle and had no queue."""

    service: str
    engines: int
    start: float
    end: float


class Lag(typing.NamedTuple):
    """A time at which the soak's own event loop was late, and by how many seconds."""

    at: float
    seconds: float


class Passing(typing.NamedTuple):
    """A request at the proxy before an engine.

    Attributes
    ----------
    arrived_at : float
        Time at which the proxy read it: a daemon had sent it by then.
    delivered_at : float
        Time at which the proxy passed it on; `FOREVER` if it has not.
    """

    arrived_at: float
    delivered_at: float


class EngineTime(typing.NamedTuple):
    """A time in which an engine took new requests."""

    engine: str
    service: str
    software: str
    start: float
    end: float


class Records:
    """Everything that one soak recorded."""

    def __init__(self) -> None:
        self.attempts: dict[str, Attempt] = {}
        self.runs: list[Run] = []
        # Disturbances by faults, without planned stops and reloads.
        self.faults = Disturbances()
        # Faults that may break connections: ends of processes, harmed links.
        self.breaks = Disturbances()
        # Times in which a signal had stopped an engine.
        self.pauses = Disturbances()
        # Disturbances by planned stops and reloads.
        self.planned = Disturbances()
        self.changes: list[Change] = []
        self.leaving_since: dict[str, float] = {}
        # Engines whose processes ended, which closes their connections in order.
        self.process_ends: set[str] = set()
        # Targets of requests that crash engines; callers send the active ones.
        self.crashing_targets: set[str] = set()
        self.active_crashing_targets: set[str] = set()
        # Parts of prompts that crash engines, with the times of the fault.
        self.crashing_parts: dict[str, Span] = {}
        # Limits that engines have named, each from its first answer on.
        self.limits: list[Named] = []
        self.departures: list[Report] = []
        self.cuts: list[Cut] = []
        self.falls: list[Fall] = []
        self.brittle_times: list[BrittleTime] = []
        self.backoffs: list[Report] = []
        self.engine_times: dict[str, EngineTime] = {}
        self.protocol_errors: list[str] = []
        self.unexpected_exits: list[str] = []
        # Most bytes of memory that a daemon has used, by its name and life.
        self.memory_peaks: dict[str, int] = {}
        self.lags: list[Lag] = []
        # Times at which processes of daemons were started, by name and life.
        self.daemon_starts: dict[tuple[str, int], float] = {}
        # By engine and attempt id.
        self._passings: dict[tuple[str, str], list[Passing]] = {}
        self.faults_ended_at = FOREVER

    def note_arrival(self, engine: str, attempt: str, at: float) -> None:
        """Record that the proxy before an engine has read a request."""
        passing = Passing(at, FOREVER)
        self._passings.setdefault((engine, attempt), []).append(passing)

    def note_delivery(self, engine: str, attempt: str, at: float) -> None:
        """Record that the proxy has passed on the request that it read last."""
        passings = self._passings.get((engine, attempt))
        if passings:
            passings[-1] = passings[-1]._replace(delivered_at=at)

    def passing(self, run: Run) -> Passing | None:
        """Return when the request of a run passed its engine's proxy, if known.

        Of several, it is the last one that the proxy read before the run.
        """
        found = None
        for passing in self._passings.get((run.engine, run.request.attempt), []):
            if passing.arrived_at <= run.at:
                found = passing
        return found

    def receivers(self, attempt: str) -> set[str]:
        """Return the engines whose proxies have read a request."""
        return {engine for engine, name in self._passings if name == attempt}

    def sent_at(self, run: Run) -> float:
        """Return a time by which the request of a run had been sent to its engine.

        That is the time of its arrival there if its proxy has not seen it.
        """
        passing = self.passing(run)
        return run.at if passing is None else passing.arrived_at

    def max_lag(self, start: float = 0.0, end: float = FOREVER) -> float:
        """Return by how much the soak's event loop was late at most within a time."""
        found = 0.0
        for lag in self.lags:
            # It was late from the time at which it should have run.
            if lag.at >= start and lag.at - lag.seconds <= end:
                found = max(found, lag.seconds)
        return found

    def report(self, run: Run, seconds: float) -> Report | None:
        """Return the report of an answer to a run; None for an unknown attempt."""
        attempt = self.attempts.get(run.request.attempt)
        if attempt is None:
            return None
        return Report(run.engine, attempt.daemon, attempt.daemon_start, now(), seconds)

    def is_undisturbed(self, daemon: str, start: float, end: float) -> bool:
        """Return whether a daemon, its links and the store were undisturbed."""
        for name in (daemon, "store"):
            if not self.faults.is_undisturbed(name, start, end):
                return False
        return self.planned.is_undisturbed(daemon, start, end)
