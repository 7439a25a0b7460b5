"""The time for which a server wants nothing from one instance, in each decision."""

import asyncio

import hypothesis
import objectives_fakes
import policy_fakes as fakes
import pytest
import test_admission
from hypothesis import strategies

from cassiaquay_daemon import exceptions
from cassiaquay_daemon.adapters import signals
from cassiaquay_daemon.decisions import backoffs, server_states
from cassiaquay_daemon.fleet import server_reports
from cassiaquay_schema import fleet, messages

SERVER = "e1"
# Part of an asked time in which requests that are under way may still arrive.
IN_FLIGHT_SECONDS = 0.5


@pytest.fixture(name="time")
def _time():
    with fakes.Time().used() as time:
        yield time


def _answer(reports: server_reports.ServerReports, **fields: object) -> None:
    sent = reports.sent("a", fleet.Server(name=SERVER, address="h:1"))
    reports.answered(sent, signals.Signals(**fields), True)


@pytest.fixture(name="states")
def _states() -> server_states.ServerStates:
    return server_states.ServerStates(fakes.settings())


@pytest.fixture(name="reports")
def _reports(states) -> server_reports.ServerReports:
    members = fakes.Membership("", [])
    members.on_heartbeat = lambda call: None
    return server_reports.ServerReports(states, fakes.Links(), members)


def test_server_gets_nothing_until_the_asked_time_is_over(time, reports) -> None:
    _answer(reports, retry_after=3.0)
    assert reports.blocking_cause(SERVER, True)
    assert reports.excluded_servers() == [SERVER]
    time.now += 2.99
    assert reports.blocking_cause(SERVER, False)
    time.now += 3.0 * backoffs.JITTER + 0.02
    assert not reports.blocking_cause(SERVER, False)
    assert not reports.excluded_servers()


def test_shorter_time_after_a_longer_one_ends_nothing_early(time, reports) -> None:
    """Guards against the answer to another request that shortens the time."""
    _answer(reports, retry_after=3.0)
    for seconds in (0.0, 0.5):
        _answer(reports, retry_after=seconds)
    time.now += 2.9
    assert reports.blocking_cause(SERVER, False)


def test_endless_time_is_bounded(time, reports) -> None:
    """Guards against a server that one wrong value takes out of use for good."""
    _answer(reports, retry_after=1e12)
    time.now += backoffs.MAX_SECONDS * (1.0 + backoffs.JITTER)
    assert not reports.blocking_cause(SERVER, False)


def test_zero_and_no_time_keep_a_server_in_use(time, reports) -> None:
    _answer(reports, retry_after=0.0)
    assert not reports.blocking_cause(SERVER, False)
    _answer(reports)
    assert not reports.blocking_cause(SERVER, False)


answers = strategies.lists(
    strategies.tuples(
        strategies.floats(0.0, 5.0), strategies.floats(0.0, 2.0), strategies.booleans()
    ),
    max_size=30,
)


@hypothesis.given(answers)
@hypothesis.settings(deadline=None, derandomize=True)
def test_no_order_of_answers_sends_a_request_within_an_asked_time(schedule) -> None:
    """Whatever asks before its first byte is sent nothing before the latest end."""
    with fakes.Time().used() as time:
        states = server_states.ServerStates(fakes.settings())
        ends_at = 0.0
        for seconds, passed, is_leaving in schedule:
            states.backoffs.add(SERVER, seconds)
            if is_leaving:
                states.departures.learn("e2", 1, "")
            ends_at = max(ends_at, time.now + seconds)
            time.now += passed
            if time.now < ends_at:
                assert states.blocking_cause(SERVER, True)


def _site(*servers: str) -> test_admission.Site:
    """Return an instance that some of its two servers have asked to wait 2 s."""
    site = test_admission.Site()
    states = site.demands._keeper.states
    for server in servers:
        states.backoffs.add(server, 2.0)
    reports = server_reports.ServerReports
    site.demands._reports = reports(states, site.links, _members())
    return site


def _members() -> fakes.Membership:
    members = fakes.Membership("", [])
    members.on_heartbeat = lambda call: None
    return members


def test_keeper_is_told_which_servers_the_owner_must_not_use() -> None:
    """Guards against a loop of grants and returned permits."""

    async def work() -> None:
        site = _site("i-1")
        asking = site.obtain(1)
        await asyncio.sleep(0.01)
        assert site.keeper.sent[0].tried == ["i-1"]
        # Another answer arrives while the demand waits and its permit is under way.
        site.demands._keeper.states.backoffs.add("i-2", 2.0)
        permit = messages.Permit("a1", "i-2", 1500, site.keeper.sent[0].shard)
        site.demands.answer(site.keeper, permit)
        kinds = [type(message) for message in site.keeper.sent]
        assert kinds == [messages.Demand, messages.Withdraw, messages.Demand]
        assert site.keeper.sent[-1].tried == ["i-1", "i-2"]
        asking.cancel()

    asyncio.run(work())


def test_local_admission_skips_servers_that_asked_for_time() -> None:
    """Guards against a silent keeper that lets requests through to such a server."""

    async def work() -> None:
        site = _site("i-1")
        tickets = [await site.obtain(number) for number in (1, 2, 3)]
        assert {ticket.server.name for ticket in tickets} == {"i-2"}

    asyncio.run(work())


def test_request_is_refused_at_once_when_all_servers_ask_for_too_long() -> None:
    """Its caller gets the time after which the first server takes requests again."""

    async def work() -> None:
        site = _site("i-1", "i-2")
        with pytest.raises(exceptions.ServersBusy) as refused:
            await site.obtain(1)
        assert 1900 < refused.value.retry_after_ms <= 2000 * (1.0 + backoffs.JITTER)
        assert not site.keeper.sent

    asyncio.run(work())


def test_request_waits_for_a_server_that_takes_requests_in_time() -> None:
    """Guards against refusals of requests that could still be in time."""

    async def work() -> None:
        site = _site()
        for server in ("i-1", "i-2"):
            site.demands._keeper.states.backoffs.add(server, 0.05)
        asking = site.obtain(1)
        await asyncio.sleep(0.02)
        assert not site.keeper.sent
        ticket = await asking
        assert len(site.keeper.sent[0].tried) < 2
        assert ticket.server.name in ("i-1", "i-2")

    asyncio.run(work())


def test_forecast_leaves_out_slots_that_a_demand_must_not_use(time) -> None:
    """Guards against late refusals of demands that wait for an excluded server.

    The free slots are all of a server that has asked the owner for time; the other one
    is busy for longer than the objective.
    """
    bench = objectives_fakes.Bench(time, {SERVER: 2, "e2": 8})
    for server in (SERVER, "e2"):
        bench.set_speed(server, 100_000.0, 0.02)
    running = [bench.demand(tried=["e2"], events=200) for _ in range(2)]
    bench.serve()
    for name in running:
        bench.start(name)
    excluded = [bench.demand(tried=["e2"]) for _ in range(4)]
    bench.serve()
    assert len(set(bench.owner.sheds()) & set(excluded)) >= 3
    free = bench.demand()
    bench.serve()
    assert bench.owner.permits()[free] == "e2"


def test_deferred_request_is_no_failure_of_its_server(time) -> None:
    """Guards against a healthy server that is used less after it asked for time."""
    bench = objectives_fakes.Bench(time, {SERVER: 2})
    for _ in range(5):
        name = bench.demand()
        bench.serve()
        assert bench.owner.permits()[name] == SERVER
        bench.end(name, "deferred")
    times = bench.policy._times_of(SERVER)
    assert times.failure_share(time.now) == 0.0
