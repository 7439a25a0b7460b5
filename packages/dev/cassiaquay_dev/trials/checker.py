"""Decide over a history whether each promise of the brief held.

Each check is a function registered under the name of its promise; it returns one line
for each breach. tests/test_checker.py shows for each a history that it rejects.
"""

import collections
import collections.abc
import typing

from cassiaquay_schema import registry

from ..standins import texts
from . import history

LEAVING_SECONDS = 2.0
SHED_CODES = ("shed_overload", "deadline_infeasible")

Check = collections.abc.Callable[[history.History], list[str]]
checks: registry.Registry[Check] = registry.Registry("check")


class Breach(typing.NamedTuple):
    """A promise that did not hold, and how."""

    promise: str
    text: str


def check(seen: history.History) -> list[Breach]:
    """Return every breach of every registered promise."""
    found = []
    for name in checks.names():
        for text in checks.get(name)(seen):
            found.append(Breach(name, text))
    return found


@checks.register("at_most_one_dispatch")
def at_most_one_dispatch(seen: history.History) -> list[str]:
    """Require that a request is dispatched to a back end at most once."""
    arrivals = collections.Counter(event.key for event in seen.of(history.Arrived))
    sends = collections.Counter(event.id for event in seen.of(history.Dispatched))
    found = [f"{key} came {n} times" for key, n in arrivals.items() if n > 1]
    found += [f"{name} was sent {n} times" for name, n in sends.items() if n > 1]
    return found


@checks.register("not_run_did_not_run")
def not_run_did_not_run(seen: history.History) -> list[str]:
    """Require that an id called ``not_run`` is at no back end, before or after."""
    arrived = {event.key.rpartition("~")[0] for event in seen.of(history.Arrived)}
    refused: dict[str, str] = {}
    for told in seen.of(history.OutcomeReported):
        if told.outcome == "not_run":
            refused[told.id] = f"a caller ({told.code})"
    for ended in seen.of(history.Ended):
        if ended.outcome == "not_run":
            refused[ended.id] = f"{ended.instance} ({ended.code})"
    found = []
    for request_id, who in refused.items():
        if request_id in arrived:
            found.append(f"{request_id} ran though {who} has it as not run")
    return found


@checks.register("own_whole_answer")
def own_whole_answer(seen: history.History) -> list[str]:
    """Require that an answer is all that the engine makes for its id and team."""
    found = []
    for answer in seen.of(history.Answered):
        key = f"{answer.id}~{answer.team}"
        if answer.text != texts.expected_answer(key, answer.length):
            found.append(f"{answer.id} got another text")
    lengths = {event.id: event.length for event in seen.of(history.Answered)}
    for told in seen.of(history.OutcomeReported):
        if told.outcome == "completed" and lengths.get(told.id, 1) == 0:
            found.append(f"{told.id} is completed with an empty answer")
    return found


@checks.register("non_idempotent_at_most_once")
def non_idempotent_at_most_once(seen: history.History) -> list[str]:
    """Require that a non-idempotent call runs once at most, over all its ids."""
    calls: dict[str, set[str]] = {}
    for attempt in seen.of(history.Attempted):
        if not attempt.idempotent:
            calls.setdefault(attempt.call, set()).add(attempt.id)
    runs = collections.Counter(
        event.key.rpartition("~")[0] for event in seen.of(history.Arrived)
    )
    found = []
    for call, ids in calls.items():
        count = sum(runs[request_id] for request_id in ids)
        if count > 1:
            found.append(f"call {call} ran {count} times under {len(ids)} ids")
    return found


@checks.register("nothing_to_leaving_servers")
def nothing_to_leaving_servers(seen: history.History) -> list[str]:
    """Require that a backend server listed as leaving soon gets no new work."""
    since = {event.server: event.at for event in seen.of(history.ServerLeaving)}
    found = []
    for event in seen.of(history.Arrived):
        if event.server not in since:
            continue
        late = event.at - since[event.server]
        if late > LEAVING_SECONDS:
            found.append(f"{event.key} came to {event.server} {late:.1f} s late")
    return found


@checks.register("planned_stops_cut_nothing")
def planned_stops_cut_nothing(seen: history.History) -> list[str]:
    """Require that a planned stop ends and leaves no dispatched request behind."""
    found = []
    ended = {event.id for event in seen.of(history.Ended)}
    stops = [(event.instance, event.at) for event in seen.of(history.Stopped)]
    for leaving in seen.of(history.InstanceLeaving):
        ends = [at for name, at in stops if name == leaving.instance]
        if not [at for at in ends if at >= leaving.at]:
            found.append(f"{leaving.instance} never ended its planned stop")
            continue
        begun = _life_of(seen, leaving)
        for event in seen.of(history.Dispatched):
            if event.instance != leaving.instance or event.at < begun:
                continue
            if event.at <= min(at for at in ends if at >= leaving.at):
                if event.id not in ended:
                    found.append(f"{leaving.instance} stopped and cut {event.id}")
    found += _cut_while_leaving(seen)
    return found


def _life_of(seen: history.History, leaving: history.InstanceLeaving) -> float:
    begun = 0.0
    for event in seen.of(history.Started):
        if event.instance == leaving.instance and event.at <= leaving.at:
            begun = event.at
    return begun


def _cut_while_leaving(seen: history.History) -> list[str]:
    found = []
    for leaving in seen.of(history.InstanceLeaving):
        for event in seen.of(history.Ended):
            if event.instance != leaving.instance or event.at < leaving.at:
                continue
            if event.code == "stopped_while_running":
                found.append(f"{leaving.instance} cut {event.id} as it left")
    return found


@checks.register("configuration_monotone")
def configuration_monotone(seen: history.History) -> list[str]:
    """Require that no instance goes back, also over its lives if others knew."""
    found = []
    newest: dict[str, int] = {}
    begun = collections.Counter[str]()
    highest = 0
    events: list[history.Started | history.InForce] = [
        *seen.of(history.Started),
        *seen.of(history.InForce),
    ]
    for event in sorted(events, key=lambda one: one.at):
        if isinstance(event, history.Started):
            begun[event.instance] += 1
            continue
        before = newest.get(event.instance, 0)
        if event.revision <= before and begun[event.instance] < 2:
            found.append(f"{event.instance}: {event.revision} after {before}")
        elif event.revision < before and highest > event.revision:
            # A new life of the instance, while others already had a newer text.
            found.append(
                f"{event.instance}: {event.revision} in a new life after {before}"
            )
        newest[event.instance] = event.revision
        highest = max(highest, event.revision)
    return found


@checks.register("tiers_under_shedding")
def tiers_under_shedding(seen: history.History) -> list[str]:
    """Require that no demand is shed while its shard grants to a lower tier."""
    grants = seen.of(history.Granted)
    found = []
    for shed in seen.of(history.Shed):
        # A limit of a team or service may refuse any tier. Work that cannot be in time
        # even on idle engines is refused at once, so its window is empty.
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
