"""The exchange of server limits between instances, and their bound at all keepers."""

import bisect

import hypothesis
import mesh_fakes
import objectives_fakes
import policy_fakes as fakes
import pytest
from hypothesis import strategies

from cassiaquay_daemon.decisions import (
    rate_budgets,
    reported_values,
    server_limits,
)
from cassiaquay_daemon.fleet import replication, value_reports
from cassiaquay_schema import messages

NAMES = mesh_fakes.NAMES
SERVER = "e1"
WINDOW_SECONDS = 4.0
EXCESS = 1.5
SLACK = 5.0


@pytest.fixture(name="time")
def _time():
    with fakes.Time().used() as time:
        yield time


def _limits() -> server_limits.ServerLimits:
    return server_limits.ServerLimits(fakes.settings())


class Fleet(mesh_fakes.Mesh):
    """Instances that exchange server limits and may each act as keeper."""

    def __init__(self) -> None:
        super().__init__()
        self.limits: dict[str, server_limits.ServerLimits] = {}
        self.reports: dict[str, value_reports.ValueReports] = {}
        self.budgets: dict[str, rate_budgets.RateBudgets] = {}
        for name in NAMES:
            self.start(name)

    def start(self, name: str) -> None:
        """Start an instance that knows no limits."""
        self.members[name].heartbeat_callbacks.clear()
        self.limits[name] = _limits()
        self.reports[name] = value_reports.ValueReports(
            value_reports.LIMITS,
            self.limits[name],
            self.wires[name],
            self.members[name],
        )
        self.budgets[name] = rate_budgets.RateBudgets([self.limits[name]])

    def answer(self, name: str, rate: float | None) -> None:
        """Let an instance receive an answer to a request that it has just sent."""
        version = self.reports[name].version(SERVER)
        self.reports[name].answered(SERVER, version, rate)

    def send_heartbeats(self) -> None:
        """Send the heartbeats of all instances and deliver all messages."""
        for name in NAMES:
            digest = self.limits[name].digest
            beat = messages.Heartbeat(1, 0, 0, [], [], 0, limits_digest=digest)
            self.send_heartbeat(name, beat)
        self.deliver()

    def rates(self) -> list[float | None]:
        """Return the limit in force at each instance."""
        return [self.limits[name].current(SERVER).number for name in NAMES]


def test_limit_reaches_all_instances_and_ends_on_all(time) -> None:
    """Guards against instances that learn of a limit only by their own answers."""
    fleet = Fleet()
    fleet.answer("cq-1", 4.0)
    fleet.deliver()
    assert fleet.rates() == [4.0] * 3
    fleet.answer("cq-2", None)
    fleet.deliver()
    assert fleet.rates() == [None] * 3
    assert not fleet.queue, "each change is forwarded once"


def test_restarted_instance_gets_the_limits_after_its_first_heartbeat(time) -> None:
    """Guards against a restarted keeper that grants without a limit."""
    fleet = Fleet()
    fleet.answer("cq-1", 4.0)
    fleet.deliver()
    fleet.start("cq-3")
    fleet.send_heartbeats()
    assert fleet.rates() == [4.0] * 3


def test_outdated_report_is_answered_with_the_newer_limit(time) -> None:
    """Guards against an owner that returns permits for a limit that has ended."""
    fleet = Fleet()
    fleet.answer("cq-1", 4.0)
    fleet.deliver()
    fleet.answer("cq-2", None)
    fleet.queue.clear()
    fleet.reports["cq-1"].send_to(fleet.end("cq-1", "cq-2"), SERVER)
    fleet.deliver()
    assert fleet.rates()[:2] == [None, None]


def test_answer_to_an_earlier_request_does_not_end_a_limit(time) -> None:
    """An answer without a limit may have been made before the limit was named."""
    limits = _limits()
    sent_version = limits.current(SERVER).version
    assert limits.answered(SERVER, sent_version, 4.0)
    assert not limits.answered(SERVER, sent_version, None)
    assert not limits.answered(SERVER, sent_version, 9.0)
    assert limits.answered(SERVER, sent_version, 2.0)
    assert limits.current(SERVER).number == 2.0
    assert limits.answered(SERVER, limits.current(SERVER).version, None)
    assert not limits.holds(SERVER)


@pytest.mark.parametrize("first", [True, False])
def test_instances_that_saw_different_limits_keep_the_lower_one(time, first) -> None:
    fleet = Fleet()
    fleet.answer("cq-1", 4.0 if first else 3.0)
    fleet.answer("cq-2", 3.0 if first else 4.0)
    fleet.deliver()
    assert fleet.rates() == [3.0] * 3


def test_server_that_has_left_is_forgotten(time) -> None:
    """Guards against a table that grows with each server that comes and goes."""
    limits = _limits()
    limits.retain(frozenset([SERVER]))
    limits.answered(SERVER, 0, 4.0)
    limits.retain(frozenset())
    assert limits.holds(SERVER), "an instance without a list keeps what it hears"
    limits.retain(frozenset(["e2"]))
    assert limits.digest == 0
    assert not limits.learn(SERVER, reported_values.Value(3, 4.0))


def test_server_with_a_limit_of_zero_gets_a_request_now_and_then(time) -> None:
    """Guards against a server that can never show that its limit has ended."""
    limits = _limits()
    limits.answered(SERVER, 0, 0.0)
    budgets = rate_budgets.RateBudgets([limits])
    assert not budgets.allows(SERVER)
    time.now += 1.0 / server_limits.MIN_RATE
    assert budgets.allows(SERVER)


def test_load_returns_gradually_after_a_limit_has_ended(time) -> None:
    """Guards against a burst to the free slots of a server whose limit has ended."""
    limits = _limits()
    limits.answered(SERVER, 0, 4.0)
    budgets = rate_budgets.RateBudgets([limits])
    assert not budgets.allows(SERVER)
    limits.answered(SERVER, 1, None)
    granted = []
    for _ in range(int(server_limits.RAMP_PERIODS)):
        count = 0
        for _ in range(100):
            time.now += server_limits.RAMP_PERIOD_SECONDS / 100.0
            while count < 100 and budgets.allows(SERVER):
                budgets.granted(SERVER, 1500)
                count += 1
        granted.append(count)
    assert granted[0] <= 4.0 * 2
    assert granted == sorted(granted)
    time.now += 0.01
    assert limits.limit(SERVER) is None


def test_long_limit_is_reported_once(time, caplog) -> None:
    fleet = Fleet()
    fleet.answer("cq-1", 4.0)
    fleet.deliver()
    time.now += value_reports.LONG_SECONDS
    for _ in range(2):
        fleet.send_heartbeats()
    found = [item for item in caplog.records if item.message == "server_limit_lasts"]
    assert len(found) == len(NAMES)


STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["answer", "lose", "restart", "deliver", "wait"]),
        strategies.sampled_from(NAMES),
        strategies.sampled_from([None, 0.5, 4.0, 30.0]),
    ),
    max_size=20,
)


@hypothesis.settings(max_examples=150, deadline=None, derandomize=True)
@hypothesis.given(STEPS)
def test_heartbeats_bring_all_instances_to_the_same_limit(steps) -> None:
    """Guards against limits that differ after lost messages, restarts or pauses."""
    with fakes.Time().used() as time:
        fleet = Fleet()
        for kind, name, rate in steps:
            if kind == "answer":
                fleet.answer(name, rate)
            elif kind == "lose":
                fleet.queue.clear()
            elif kind == "restart":
                fleet.start(name)
            elif kind == "deliver":
                fleet.deliver(paused=name)
            else:
                time.now += 0.3
        for _ in range(3):
            time.now += replication.RESEND_INTERVAL_SECONDS
            fleet.send_heartbeats()
        assert len(set(fleet.rates())) == 1
        assert len({fleet.limits[name].digest for name in NAMES}) == 1


KEEPER_STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["grant", "wait", "wait", "split", "heal", "move"]),
        strategies.floats(0.0, 1.0),
        strategies.integers(0, 1),
    ),
    max_size=120,
)


@hypothesis.given(KEEPER_STEPS, strategies.sampled_from([0.0, 0.3, 1.1, 4.0, 30.0]))
@hypothesis.settings(deadline=None, max_examples=200)
def test_no_schedule_of_keepers_exceeds_a_limit(steps, rate) -> None:
    """Two concurrent keepers, keepers in both parts of a partition, new keepers.

    Each keeper grants all it can, and permits are used at the worst time of their
    lifetime.
    """
    with fakes.Time().used() as time:
        shares = [1.0, 1.0]
        keepers = []
        for number in (0, 1):
            limits = _limits()
            limits.answered(SERVER, 0, rate)
            keepers.append(rate_budgets.RateBudgets([limits]))
            keepers[number].reachable_share = lambda number=number: shares[number]
            assert not keepers[number].allows(SERVER)
        granted: list[float] = []
        for kind, amount, number in steps:
            if kind == "wait":
                time.now += amount
            elif kind == "split":
                shares[:] = [amount, 1.0 - amount]
            elif kind == "heal":
                shares[:] = [1.0, 1.0]
            elif kind == "move":
                keepers[number].clear()
            while kind == "grant" and keepers[number].allows(SERVER):
                keepers[number].granted(SERVER, 1500)
                granted.append(time.now)
        bound = rate * WINDOW_SECONDS * EXCESS + SLACK
        span = WINDOW_SECONDS + rate_budgets.PERMIT_MS / 1000.0
        for first, at in enumerate(granted):
            assert bisect.bisect(granted, at + span) - first <= bound


@pytest.mark.parametrize("rate", [0.0, 0.3, 1.1, 4.0, 30.0, 500.0])
def test_two_keepers_with_full_buckets_stay_within_a_limit(time, rate) -> None:
    """Guards against two keepers that each grant the whole depth of their buckets."""
    keepers = []
    for _ in range(rate_budgets.MAX_KEEPERS):
        limits = _limits()
        limits.answered(SERVER, 0, rate)
        keepers.append(rate_budgets.RateBudgets([limits]))
        assert not keepers[-1].allows(SERVER)
    time.now += 60.0
    ends_at = time.now + WINDOW_SECONDS + rate_budgets.PERMIT_MS / 1000.0
    count = 0
    while time.now <= ends_at:
        for keeper in keepers:
            while keeper.allows(SERVER):
                keeper.granted(SERVER, 1500)
                count += 1
        time.now += 0.001
    assert 0 < count <= rate * WINDOW_SECONDS * EXCESS + SLACK


def test_forecast_reckons_with_the_rate_of_a_limited_server(time) -> None:
    """Guards against waits by the ends of requests that the limit makes useless.

    All slots of the only server are taken and end soon, but it takes two requests a
    second: demands behind the first few must be refused at once, not when late.
    """
    bench = objectives_fakes.Bench(time, {SERVER: 8})
    bench.set_speed(SERVER, 100_000.0, 0.005)
    for _ in range(8):
        bench.demand()
    bench.serve()
    running = list(bench.owner.permits())
    assert len(running) == 8
    for name in running:
        bench.start(name)
    bench.shard.states.limits.answered(SERVER, 0, 2.0)
    bench.serve()
    for _ in range(8):
        bench.demand()
    bench.serve()
    assert len(bench.owner.sheds()) >= 7


def test_demands_go_to_servers_that_have_room(time) -> None:
    """Guards against demands that wait for a limited server while another is free."""
    bench = objectives_fakes.Bench(time, {SERVER: 8, "e2": 8})
    for server in (SERVER, "e2"):
        bench.set_speed(server, 100_000.0, 0.005)
    bench.shard.states.limits.answered(SERVER, 0, 2.0)
    for _ in range(8):
        bench.demand(events=5)
    bench.serve()
    assert set(bench.owner.permits().values()) == {"e2"}


def test_higher_tiers_get_a_limited_server_first(time) -> None:
    """Guards against a limit that is spent on requests in order of arrival."""
    bench = objectives_fakes.Bench(time, {SERVER: 8})
    bench.set_speed(SERVER, 100_000.0, 0.005)
    bench.shard.states.limits.answered(SERVER, 0, 4.0)
    bench.serve()
    low = [bench.demand(rank=2, first_ms=1500) for _ in range(3)]
    high = [bench.demand(rank=0, first_ms=1500) for _ in range(2)]
    for _ in range(60):
        time.now += 0.01
        bench.serve()
    permits = bench.owner.permits()
    assert permits
    assert set(permits) <= set(high)
    assert not set(permits) & set(low)


def test_demand_does_not_wait_for_a_limited_engine_that_caches_its_prefix(time) -> None:
    """Guards against a wait for an engine by its load, whatever its limit allows."""
    prompt = "measure " * 2000
    shard = fakes.shard({SERVER: 4, "e2": 4})
    policy = fakes.policy(shard)
    owner = fakes.Owner()
    shard.add(fakes.demand("first", prompt=prompt), owner)
    policy.serve()
    [cached] = owner.permits().values()
    time.now += 0.5
    step = messages.Step("first", cached, True, 0.0)
    shard.progress(messages.Progress(shard.name, [step]))
    policy.learn(fakes.release("first", cached))
    shard.drop("first")
    shard.states.limits.answered(cached, 0, 0.5)
    shard.add(fakes.demand("second", prompt=prompt), owner)
    policy.serve()
    assert owner.permits()["second"] != cached
