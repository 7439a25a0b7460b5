"""Generated schedules of silent servers: waiting for them, or moving to another one."""

import random
import typing

import hedging_fakes as fakes
import pytest

from cassiaquay_daemon.decisions import hedges
from cassiaquay_daemon.gateway import hedging
from cassiaquay_dev.lab import virtual_time
from cassiaquay_dev.standins import platform_standins as standins

SEEDS = range(150)
SECONDS_LEFT = 20.0
# Two servers may work on one stream for this long.
MAX_OVERLAP_SECONDS = 0.4


class Played(typing.NamedTuple):
    """One generated request, and what became of it."""

    is_stream: bool
    attempts: int
    retry_extra: float
    events: int
    servers: fakes.Fleet
    answer: fakes.gateway_fakes.CallerResponse


def _plans(chance: random.Random, drip_chance: random.Random) -> list[fakes.Plan]:
    """Return plans of servers of which all, half or one stop at the same time."""
    count = chance.choice([2, 3, 5])
    stopped = chance.choice([1, (count + 1) // 2, count])
    stops = []
    at = round(chance.uniform(0.0, 1.0), 2)
    for _ in range(chance.choice([1, 1, 3])):
        until = at + round(chance.uniform(0.3, 2.0), 2)
        stops.append((at, until))
        at = until + round(chance.uniform(0.05, 1.0), 2)
    plans = []
    for number in range(count):
        is_silent = number < stopped
        dies_at = chance.uniform(0.0, 2.0) if chance.random() < 0.15 else fakes.NEVER
        declines = number > 0 and chance.random() < 0.15
        drips = drip_chance.random() < 0.3
        plans.append(fakes.Plan(stops if is_silent else [], dies_at, declines, drips))
    chance.shuffle(plans)
    return plans


def _play(seed: int) -> Played:
    chance = random.Random(seed)
    is_stream = chance.random() < 0.6
    attempts = chance.choice([1, 2, 3])
    retry_extra = chance.choice([0.0, 1.3, 100.0])
    events = chance.randint(1, 8)
    slowest = chance.choice([0.3, 1.5])
    work = [round(chance.uniform(0.01, slowest), 2) for _ in range(events)]
    servers = fakes.Fleet(_plans(chance, random.Random(seed)), chance, work)
    servers.shed_share = chance.choice([0.0, 0.5, 1.0])
    route = fakes.route(is_stream, attempts, chance.choice([0.06, 0.4, 5.0]))
    asking = fakes.ask(servers, route, SECONDS_LEFT, retry_extra)
    answer = virtual_time.run(asking)
    return Played(is_stream, attempts, retry_extra, events, servers, answer)


def _is_lost_without_cause(played: Played) -> bool:
    """Return whether a request got no answer though its servers live."""
    if played.answer.status == 200 and played.answer.complete:
        return False
    for run in played.servers.runs:
        if played.servers.plans[run.server].dies_at != fakes.NEVER:
            return False
    if not played.servers.runs:
        # All servers have declined it, or it was not sent in time.
        return played.answer.status not in (503, 504)
    return True


def _overlap_seconds(played: Played) -> float:
    """Return the longest time for which two servers worked on the request."""
    longest = 0.0
    runs = sorted(played.servers.runs, key=lambda run: run.began_at)
    for number, run in enumerate(runs):
        for other in runs[number + 1 :]:
            end = min(run.ended[0], other.ended[0])
            stops = {*played.servers.plans[run.server].stops}
            stops.update(played.servers.plans[other.server].stops)
            working = end - other.began_at
            for begin, until in stops:
                working -= max(min(until, end) - max(begin, other.began_at), 0.0)
            longest = max(longest, working)
    return longest


def _violations(played: Played) -> list[str]:
    servers = played.servers
    found = []
    if _is_lost_without_cause(played):
        found.append("lost")
    if servers.sent_count > played.attempts:
        found.append("attempts")
    if servers.sent_count > 1 + played.retry_extra:
        found.append("budget")
    if sorted(map(id, servers.tickets)) != sorted(map(id, servers.ended)):
        found.append("tickets")
    if any(not run.ended for run in servers.runs):
        found.append("open")
    whole = b"".join(b"%d" % number for number in range(played.events))
    if played.is_stream:
        whole = standins.stream_events(played.events)
        if _overlap_seconds(played) > MAX_OVERLAP_SECONDS:
            found.append("overlap")
    if played.answer.status == 200:
        body = played.answer.body.replace(fakes.COMMENT, b"")
        if body != whole and (played.answer.complete or not whole.startswith(body)):
            found.append("mixed")
    return found


@pytest.mark.parametrize("seed", SEEDS)
def test_no_schedule_of_silences_loses_a_request(seed: int) -> None:
    """Guards against answers that end because their servers are silent."""
    assert not _violations(_play(seed))


def test_two_servers_do_not_work_on_one_stream_for_long() -> None:
    """Guards against a stream at a second server while the first one works on it."""
    servers = fakes.Fleet([fakes.Plan([])] * 2, random.Random(1), [0.01, 2.0])
    route = fakes.route(True, 2, 0.4)
    answer = virtual_time.run(fakes.ask(servers, route, SECONDS_LEFT, 100.0))
    assert answer.body == standins.stream_events(2)
    assert len(servers.runs) == 2
    played = Played(True, 2, 100.0, 2, servers, answer)
    assert 0.0 < _overlap_seconds(played) <= MAX_OVERLAP_SECONDS


def _leave_at_once(monkeypatch) -> None:
    """Close the silent server's connection when another one may get the request."""
    take_ticket = hedging.HedgedAnswer._take_ticket

    def take_and_leave(self, search) -> None:
        take_ticket(self, search)
        if self._others:
            self._promote(self._others[-1])

    monkeypatch.setattr(hedging.HedgedAnswer, "_take_ticket", take_and_leave)


def _never_leave(monkeypatch) -> None:
    """Let two servers work on a stream until one of them has an event."""
    monkeypatch.setattr(hedges, "OVERLAP_SECONDS", 60.0)


def _ignore_attempts(monkeypatch) -> None:
    """Seek other servers without regard to attempts and budget."""
    monkeypatch.setattr(hedging.HedgedAnswer, "_find_obstacle", lambda self: "")


def _forget_tickets(monkeypatch) -> None:
    """Leave the second server's ticket to itself when the first one answers."""

    def close_others(self) -> None:
        for other in self._others:
            other._step.cancel()
        self._others = []
        if self._search is not None:
            self._search.cancel()

    monkeypatch.setattr(hedging.HedgedAnswer, "_close_others", close_others)


@pytest.mark.parametrize(
    ("mutate", "expected"),
    [
        (_leave_at_once, "lost"),
        (_never_leave, "overlap"),
        (_ignore_attempts, "attempts"),
        (_forget_tickets, "tickets"),
    ],
)
def test_schedules_detect_a_gateway_without_a_safeguard(
    mutate, expected: str, monkeypatch
) -> None:
    mutate(monkeypatch)
    found: set[str] = set()
    for seed in SEEDS:
        found.update(_violations(_play(seed)))
    assert expected in found
