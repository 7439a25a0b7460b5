"""Histories of concurrent runs: events recorded from callers, daemons and back ends.

Events of callers come from the hooks of their sessions, those of daemons from their
JSON log lines, those of back ends from the back ends' own logs. Times are seconds since
1970 by one machine's clock, so events of different processes can be compared.
"""

import asyncio
import json
import time
import typing

import cassiaquay
from cassiaquay_daemon import log_writer

from .. import cluster

ENDED_STATES = ("finished", "completed")
# Log batches to wait for, which covers the one being gathered and one more.
AWAITED_LOG_BATCHES = 3


class Attempted(typing.NamedTuple):
    """A caller is about to send a request; ``call`` is the application's call."""

    at: float
    id: str
    call: str
    team: str
    idempotent: bool


class OutcomeReported(typing.NamedTuple):
    """The outcome of an id was reported to its caller."""

    at: float
    id: str
    outcome: str
    code: str


class Answered(typing.NamedTuple):
    """An application received a complete answer."""

    at: float
    id: str
    team: str
    text: str
    length: int


class Dispatched(typing.NamedTuple):
    """An owner is about to send a request to a backend server."""

    at: float
    instance: str
    id: str
    server: str


class Ended(typing.NamedTuple):
    """An owner recorded the final outcome of an id."""

    at: float
    instance: str
    id: str
    outcome: str
    code: str


class Arrived(typing.NamedTuple):
    """A request arrived at a back end; ``key`` is the id with the team."""

    at: float
    server: str
    key: str
    state: str


class ServerLeaving(typing.NamedTuple):
    """From this time the instance list shows a backend server as leaving."""

    at: float
    server: str


class Started(typing.NamedTuple):
    """A daemon process began to serve."""

    at: float
    instance: str
    incarnation: str


class InForce(typing.NamedTuple):
    """A configuration revision is in force at an instance."""

    at: float
    instance: str
    revision: int


class InstanceLeaving(typing.NamedTuple):
    """A daemon began its planned stop."""

    at: float
    instance: str


class Stopped(typing.NamedTuple):
    """A daemon completed its planned stop."""

    at: float
    instance: str


class Granted(typing.NamedTuple):
    """A keeper granted a permit; ``rank`` 0 is the most important tier."""

    at: float
    instance: str
    shard: str
    id: str
    rank: int


class Shed(typing.NamedTuple):
    """A keeper shed a demand that had waited for ``waited`` seconds."""

    at: float
    instance: str
    shard: str
    id: str
    rank: int
    code: str
    waited: float


Event = (
    Attempted
    | OutcomeReported
    | Answered
    | Dispatched
    | Ended
    | Arrived
    | ServerLeaving
    | Started
    | InForce
    | InstanceLeaving
    | Stopped
    | Granted
    | Shed
)
Kind = typing.TypeVar("Kind")


class History:
    """Events of one run, in any order; `of` sorts them by time."""

    def __init__(self, events: list[Event] | None = None):
        self.events: list[Event] = list(events or [])

    def of(self, kind: type[Kind]) -> list[Kind]:
        """Return the events of one kind, oldest first."""
        found = [event for event in self.events if isinstance(event, kind)]
        return sorted(found, key=_event_time)

    def team_of(self, request_id: str) -> str:
        """Return the team that sent an id, or an empty string."""
        for event in self.events:
            if isinstance(event, Attempted) and event.id == request_id:
                return event.team
        return ""


class Recorder:
    """Records the events of a run's caller sessions in a history."""

    def __init__(self) -> None:
        self.history = History()

    def watch(self, session: cassiaquay.Session, team: str) -> None:
        """Record the attempts and outcomes of a session."""

        def attempt(report: cassiaquay.hooks.Attempt) -> None:
            self.history.events.append(
                Attempted(
                    time.time(),
                    report.request_id,
                    report.call,
                    team,
                    report.idempotent,
                )
            )

        def outcome(report: cassiaquay.hooks.Outcome) -> None:
            self.record_outcome(report.request_id, report.outcome, report.code)

        session.hooks.register(cassiaquay.hooks.ATTEMPT, attempt)
        session.hooks.register(cassiaquay.hooks.OUTCOME, outcome)

    def record_outcome(self, request_id: str, outcome: str, code: str) -> None:
        """Record the outcome of an id that was reported to its caller."""
        self.history.events.append(
            OutcomeReported(time.time(), request_id, outcome, code)
        )

    def record_answer(self, answer: cassiaquay.Answer, team: str) -> None:
        """Record the complete answer of a model engine."""
        self.record_text(answer.request_id, team, answer.text, answer.count)

    def record_text(self, request_id: str, team: str, text: str, length: int) -> None:
        """Record the text of a complete answer that should have ``length`` tokens."""
        self.history.events.append(
            Answered(time.time(), request_id, team, text, length)
        )

    def record_server_leaving(self, server: str) -> None:
        """Record that the instance list shows a backend server as leaving."""
        self.history.events.append(ServerLeaving(time.time(), server))


async def collect(running_cluster: cluster.Cluster, history: History) -> None:
    """Add the log lines of all daemons and back ends of a cluster."""
    # Daemons write log lines in batches; the last ones may not be written yet.
    await asyncio.sleep(AWAITED_LOG_BATCHES * log_writer.WRITE_INTERVAL_SECONDS)
    collect_daemons(running_cluster, history)
    await collect_back_ends(running_cluster, history)


def collect_daemons(running_cluster: cluster.Cluster, history: History) -> None:
    """Add the log lines of all daemons, which may have stopped."""
    for process in running_cluster.daemons.values():
        history.events += read_log(process.lines())


async def collect_back_ends(running_cluster: cluster.Cluster, history: History) -> None:
    """Add the log entries of all back ends."""
    for name, address in running_cluster.addresses.items():
        log = await running_cluster.control(address, "GET", "/control/log")
        for line in log.get("dispatches", []) + log.get("runs", []):
            history.events.append(
                Arrived(line["at"], name, line["id"], str(line["state"]))
            )


def read_log(lines: list[str]) -> list[Event]:
    """Return the events among a daemon's JSON log lines."""
    found = []
    for line in lines:
        if not line.startswith("{"):
            continue
        try:
            fields = json.loads(line)
        except ValueError:
            # A killed process may leave an incomplete line.
            continue
        event = _read_line(fields)
        if event is not None:
            found.append(event)
    return found


def _read_line(fields: dict[str, typing.Any]) -> Event | None:
    at = float(fields.get("at", 0.0))
    instance = fields.get("instance", "")
    name = fields.get("event")
    if name == "dispatch":
        return Dispatched(at, instance, fields["id"], fields["server"])
    if name == "ended":
        return Ended(at, instance, fields["id"], fields["outcome"], fields["code"])
    if name == "ready":
        return Started(at, instance, fields["incarnation"])
    if name == "configuration_in_force":
        return InForce(at, instance, fields["revision"])
    if name == "leaving":
        return InstanceLeaving(at, instance)
    if name == "stopped":
        return Stopped(at, instance)
    if name == "granted":
        return Granted(at, instance, fields["shard"], fields["id"], fields["rank"])
    if name == "shed":
        return Shed(
            at,
            instance,
            fields["shard"],
            fields["id"],
            fields["rank"],
            fields["code"],
            fields["waited_ms"] / 1000.0,
        )
    return None


def _event_time(event: typing.Any) -> float:
    return float(event.at)
