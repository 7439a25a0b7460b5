"""Requests that a server has received and that the keeper refuses a further one."""

import asyncio
import collections.abc
import itertools
import random
import typing

import hedging_fakes as fakes
import pytest

from cassiaquay_daemon import clock, logs
from cassiaquay_daemon.configured import routing
from cassiaquay_daemon.decisions import repeats
from cassiaquay_dev.lab import virtual_time

SECONDS_LEFT = 3.0
OBJECTIVE_SECONDS = 1.0
# Each request for capacity takes up to this long, see the fakes.
ASKING_SECONDS = 0.1
ROUNDING_SECONDS = 1e-6
# More than any request asks.
ALWAYS = 1000


class Played(typing.NamedTuple):
    """An answer, how long it took, and the servers."""

    status: int
    seconds: float
    servers: fakes.Fleet
    retries_left: int

    @property
    def gaps(self) -> list[float]:
        """Times between two requests for capacity."""
        demanded_at = self.servers.demanded_at
        pairs = itertools.pairwise(demanded_at)
        return [later - earlier for earlier, later in pairs]


def _plan(fault: str) -> fakes.Plan:
    if fault == "declined":
        return fakes.Plan([], declines=True)
    return fakes.Plan([], fault=fault)


def _play(
    plans: collections.abc.Sequence[fakes.Plan],
    sheds: int,
    *,
    retries: int = 1,
    kind: routing.Kind = routing.Kind.IDEMPOTENT,
    objective_seconds: float = OBJECTIVE_SECONDS,
) -> Played:
    """Serve a request whose first servers follow the plans."""
    servers = fakes.Fleet(list(plans), random.Random(1), [0.01, 0.01])
    servers.sheds = sheds
    servers.is_ordered = True
    route = fakes.route(False, 2, objective_seconds, kind)

    async def work() -> Played:
        began_at = clock.now()
        got = await fakes.ask(servers, route, SECONDS_LEFT, float(retries))
        seconds = clock.now() - began_at
        left = 0
        while servers.budget.take(fakes.SERVICE):
            left += 1
        return Played(got.status, seconds, servers, left)

    played = virtual_time.run(work())
    assert sorted(map(id, servers.tickets)) == sorted(map(id, servers.ended))
    return played


def _first(fault: str) -> list[fakes.Plan]:
    """Return plans of a server with a fault, which is asked first, and a sound one."""
    return [_plan(fault), fakes.Plan([])]


@pytest.mark.parametrize("fault", ["cut", "declined", "failed"])
def test_request_asks_until_the_keeper_grants(fault: str) -> None:
    """Guards against a request that ends because of one refusal with seconds left."""
    played = _play(_first(fault), sheds=2)
    assert played.status == 200
    assert len(played.servers.demanded_at) == 4
    assert played.retries_left == 0
    for gap in played.gaps[1:]:
        assert gap >= repeats.INTERVAL_SECONDS - ROUNDING_SECONDS
        assert gap <= repeats.INTERVAL_SECONDS + ASKING_SECONDS


def test_cut_request_asks_for_as_long_as_an_answer_is_of_use() -> None:
    """Guards against a caller that gets an error while it could still be served."""
    played = _play(_first("cut"), sheds=ALWAYS)
    assert played.status == 502
    assert played.seconds > SECONDS_LEFT / 2
    assert len(played.servers.runs) == 1
    assert played.retries_left == 1


def test_late_request_asks_less_and_less() -> None:
    """Guards against keepers whose time is spent on requests that they refuse."""
    played = _play(_first("cut"), sheds=ALWAYS, objective_seconds=0.1)
    first, *_, last = played.gaps[1:]
    assert last > 2.0 * first
    assert len(played.gaps) <= 7


@pytest.mark.parametrize("fault", ["declined", "failed"])
def test_true_answer_is_not_held_back_beyond_the_objective(fault: str) -> None:
    """Guards against callers that learn of a refusal or failure when all is late."""
    played = _play(_first(fault), sheds=ALWAYS)
    assert played.status == (503 if fault == "declined" else 500)
    assert played.seconds <= OBJECTIVE_SECONDS
    assert len(played.servers.demanded_at) > 2
    assert played.retries_left == 1


def test_declined_request_that_must_not_run_twice_asks_again() -> None:
    """Guards against a refusal of a request that has not run and may be sent again."""
    kind = routing.Kind.NON_IDEMPOTENT
    assert _play(_first("declined"), 2, kind=kind).status == 200


def test_request_that_must_not_run_twice_asks_for_nothing_after_a_cut() -> None:
    """Guards against a request that runs twice."""
    played = _play(_first("cut"), 2, kind=routing.Kind.NON_IDEMPOTENT)
    assert played.status == 502
    assert len(played.servers.demanded_at) == 1
    assert len(played.servers.runs) == 1


@pytest.mark.parametrize("fault", ["cut", "declined", "failed"])
def test_request_without_a_retry_asks_for_nothing(fault: str) -> None:
    """Guards against demands of requests that may not be sent again."""
    played = _play(_first(fault), sheds=2, retries=0)
    assert played.status == {"cut": 502, "declined": 503, "failed": 500}[fault]
    assert len(played.servers.demanded_at) == 1


def test_first_refusal_is_not_delayed() -> None:
    """Guards against callers that wait for a refusal of a request never sent."""
    servers = [fakes.Plan([], fault="unreachable")] * 2
    played = _play(servers, sheds=ALWAYS)
    assert played.status == 503
    assert played.seconds < repeats.INTERVAL_SECONDS
    assert len(played.servers.demanded_at) == 2


def test_retry_that_no_server_received_is_given_back() -> None:
    """Guards against a budget spent by requests that were not sent."""
    plans = [_plan("cut"), _plan("unreachable"), fakes.Plan([])]
    played = _play(plans, sheds=0)
    assert played.status == 200
    assert played.retries_left == 0
    plans = [_plan("cut"), _plan("unreachable")]
    played = _play(plans, sheds=0)
    assert played.status == 502
    assert played.retries_left == 1


def test_caller_that_leaves_ends_the_search() -> None:
    """Guards against requests that seek capacity after their callers left."""
    servers = fakes.Fleet(_first("cut"), random.Random(1), [0.01])
    servers.sheds = ALWAYS
    servers.is_ordered = True
    route = fakes.route(False, 2, OBJECTIVE_SECONDS)

    async def work() -> None:
        asking = asyncio.create_task(fakes.ask(servers, route, SECONDS_LEFT, 1.0))
        async with asyncio.timeout(SECONDS_LEFT):
            while len(servers.demanded_at) < 3:
                await asyncio.sleep(0.01)
        asking.cancel()
        await asyncio.gather(asking, return_exceptions=True)
        await asyncio.sleep(SECONDS_LEFT)

    virtual_time.run(work())
    assert len(servers.demanded_at) == 3
    assert servers.budget.take(fakes.SERVICE)


def test_late_refusal_of_an_unsent_request_is_told_in_the_log(monkeypatch) -> None:
    """Guards against late refusals that look like those of requests sent before."""
    ended: list[object] = []

    def record(name: str, **fields: object) -> None:
        if name == "ended":
            ended.append(fields.get("unsent_late"))

    monkeypatch.setattr(logs, "event", record)
    unreachable = fakes.Plan([], fault="unreachable")
    # The objective is shorter than eight times the pause after a failed connection.
    _play([unreachable] * 2, sheds=ALWAYS, objective_seconds=0.05)
    _play([unreachable] * 2, sheds=ALWAYS)
    _play(_first("declined"), sheds=ALWAYS)
    assert ended == [True, None, None]
