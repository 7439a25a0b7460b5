"""Check a recorded history against each guarantee (promise) of the system.

Each check is a function registered under the name of its promise and returns one line
per breach. tests/test_checker.py has a history that violates each of them.
"""

import collections
import collections.abc
import typing

from cassiaquay_schema import registry

from ..standins import texts
from . import history

LEAVING_GRACE_SECONDS = 2.0
SHED_CODES = ("shed_overload", "deadline_infeasible")

Check = collections.abc.Callable[[history.History], list[str]]
checks: registry.Registry[Check] = registry.Registry("check")


class Breach(typing.NamedTuple):
    """A violated promise and a description of the violation."""

    promise: str
    text: str


def check(recorded: history.History) -> list[Breach]:
    """Run all registered checks and return all breaches."""
    found = []
    for name in checks.names():
        for text in checks.get(name)(recorded):
            found.append(Breach(name, text))
    return found


@checks.register("at_most_one_dispatch")
def at_most_one_dispatch(recorded: history.History) -> list[str]:
    """Require that a request is dispatched to a back end at most once."""
    arrivals = collections.Counter(event.key for event in recorded.of(history.Arrived))
    sends = collections.Counter(event.id for event in recorded.of(history.Dispatched))
    found = [f"{key} arrived {n} times" for key, n in arrivals.items() if n > 1]
    found += [f"{name} was dispatched {n} times" for name, n in sends.items() if n > 1]
    return found


@checks.register("not_run_did_not_run")
def not_run_did_not_run(recorded: history.History) -> list[str]:
    """Require that an id reported as ``not_run`` never arrives at a back end."""
    arrived = {event.key.rpartition("~")[0] for event in recorded.of(history.Arrived)}
    refused: dict[str, str] = {}
    for report in recorded.of(history.OutcomeReported):
        if report.outcome == "not_run":
            refused[report.id] = f"a caller ({report.code})"
    for ended in recorded.of(history.Ended):
        if ended.outcome == "not_run":
            refused[ended.id] = f"{ended.instance} ({ended.code})"
    found = []
    for request_id, reporter in refused.items():
        if request_id in arrived:
            found.append(f"{request_id} ran though {reporter} recorded it as not run")
    return found


@checks.register("own_whole_answer")
def own_whole_answer(recorded: history.History) -> list[str]:
    """Require that an answer is the complete text generated for its id and team."""
    found = []
    for answer in recorded.of(history.Answered):
        key = f"{answer.id}~{answer.team}"
        if answer.text != texts.expected_answer(key, answer.length):
            found.append(f"{answer.id} was answered with a wrong text")
    lengths = {event.id: event.length for event in recorded.of(history.Answered)}
    for report in recorded.of(history.OutcomeReported):
        if report.outcome == "completed" and lengths.get(report.id, 1) == 0:
            found.append(f"{report.id} is completed with an empty answer")
    return found


@checks.register("non_idempotent_at_most_once")
def non_idempotent_at_most_once(recorded: history.History) -> list[str]:
    """Require that a non-idempotent call runs at most once over all its ids."""
    calls: dict[str, set[str]] = {}
    for attempt in recorded.of(history.Attempted):
        if not attempt.idempotent:
            calls.setdefault(attempt.call, set()).add(attempt.id)
    runs = collections.Counter(
        event.key.rpartition("~")[0] for event in recorded.of(history.Arrived)
    )
    found = []
    for call, ids in calls.items():
        count = sum(runs[request_id] for request_id in ids)
        if count > 1:
            found.append(f"call {call} ran {count} times under {len(ids)} ids")
    return found


@checks.register("nothing_to_leaving_servers")
def nothing_to_leaving_servers(recorded: history.History) -> list[str]:
    """Require that a backend server that is listed as leaving gets no new requests."""
    since = {event.server: event.at for event in recorded.of(history.ServerLeaving)}
    found = []
    for event in recorded.of(history.Arrived):
        if event.server not in since:
            continue
        delay = event.at - since[event.server]
        if delay > LEAVING_GRACE_SECONDS:
            found.append(
                f"{event.key} arrived at {event.server} {delay:.1f} s after the notice"
            )
    return found


@checks.register("planned_stops_cut_nothing")
def planned_stops_cut_nothing(recorded: history.History) -> list[str]:
    """Require that a planned stop completes and cuts off no dispatched request."""
    found = []
    ended = {event.id for event in recorded.of(history.Ended)}
    stops = [(event.instance, event.at) for event in recorded.of(history.Stopped)]
    for leaving in recorded.of(history.InstanceLeaving):
        ends = [at for name, at in stops if name == leaving.instance]
        if not [at for at in ends if at >= leaving.at]:
            found.append(f"{leaving.instance} did not complete its planned stop")
            continue
        started_at = _started_at(recorded, leaving)
        for event in recorded.of(history.Dispatched):
            if event.instance != leaving.instance or event.at < started_at:
                continue
            if event.at <= min(at for at in ends if at >= leaving.at):
                if event.id not in ended:
                    found.append(f"{leaving.instance} stopped and cut {event.id}")
    found += _cut_while_leaving(recorded)
    return found


def _started_at(recorded: history.History, leaving: history.InstanceLeaving) -> float:
    started_at = 0.0
    for event in recorded.of(history.Started):
        if event.instance == leaving.instance and event.at <= leaving.at:
            started_at = event.at
    return started_at


def _cut_while_leaving(recorded: history.History) -> list[str]:
    found = []
    for leaving in recorded.of(history.InstanceLeaving):
        for event in recorded.of(history.Ended):
            if event.instance != leaving.instance or event.at < leaving.at:
                continue
            if event.code == "stopped_while_running":
                found.append(f"{leaving.instance} cut {event.id} as it left")
    return found


@checks.register("configuration_monotone")
def configuration_monotone(recorded: history.History) -> list[str]:
    """Require that each revision in force at an instance is newer than the last.

    After a restart the same revision may come into force again, but no older one.
    """
    found = []
    newest: dict[str, int] = {}
    start_counts = collections.Counter[str]()
    highest = 0
    events: list[history.Started | history.InForce] = [
        *recorded.of(history.Started),
        *recorded.of(history.InForce),
    ]
    for event in sorted(events, key=lambda event: event.at):
        if isinstance(event, history.Started):
            start_counts[event.instance] += 1
            continue
        previous = newest.get(event.instance, 0)
        if event.revision <= previous and start_counts[event.instance] < 2:
            found.append(f"{event.instance}: {event.revision} after {previous}")
        elif event.revision < previous and highest > event.revision:
            # After a restart, while a newer revision had been in force.
            found.append(
                f"{event.instance}: {event.revision} after restart, before {previous}"
            )
        newest[event.instance] = event.revision
        highest = max(highest, event.revision)
    return found


@checks.register("tiers_under_shedding")
def tiers_under_shedding(recorded: history.History) -> list[str]:
    """Require that a shard grants to no lower tier while a demand waits to be shed."""
    grants = recorded.of(history.Granted)
    found = []
    for shed in recorded.of(history.Shed):
        # Limits of a team or service may refuse any tier. Demands that cannot be in
        # time even on idle engines are refused at once, so their interval is empty.
        if shed.code not in SHED_CODES:
            continue
        for grant in grants:
            if grant.shard != shed.shard or grant.instance != shed.instance:
                continue
            if grant.rank <= shed.rank:
                continue
            if shed.at - shed.waited <= grant.at <= shed.at:
                found.append(
                    f"{shed.id} of rank {shed.rank} was shed at {shed.shard} while "
                    f"{grant.id} of rank {grant.rank} was granted"
                )
                break
    return found
