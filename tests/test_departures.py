"""Departures of servers: their exchange between instances, and when they end."""

import hypothesis
import mesh_fakes
import objectives_fakes
import policy_fakes as fakes
import pytest
from hypothesis import strategies

from cassiaquay_daemon.decisions import departures, server_states
from cassiaquay_daemon.fleet import departure_reports
from cassiaquay_schema import messages

NAMES = mesh_fakes.NAMES
SERVER = "e1"
# After this, heartbeats send a table again.
RESEND_SECONDS = 2.0


@pytest.fixture(name="time")
def _time():
    with fakes.Time().used() as time:
        yield time


class Fleet(mesh_fakes.Mesh):
    """Instances that exchange departures."""

    def __init__(self) -> None:
        super().__init__()
        self.known: dict[str, departures.Departures] = {}
        self.reports: dict[str, departure_reports.DepartureReports] = {}
        for name in NAMES:
            self.start(name)

    def start(self, name: str) -> None:
        """Start an instance that knows no departures and has no list."""
        self.members[name].heartbeat_callbacks.clear()
        self.known[name] = departures.Departures()
        self.reports[name] = departure_reports.DepartureReports(
            self.known[name], self.wires[name], self.members[name]
        )

    def list_servers(self, started_ms: int | None, *names: str) -> None:
        """Give instances a list with the server's start, or without the server."""
        listed = {"e2": 1} if started_ms is None else {SERVER: started_ms, "e2": 1}
        for name in names or NAMES:
            self.known[name].retain(listed)

    def send_heartbeats(self) -> None:
        """Send the heartbeats of all instances and deliver all messages."""
        for name in NAMES:
            digest = self.known[name].digest
            beat = messages.Heartbeat(1, 0, 0, [], [], 0, departures_digest=digest)
            self.send_heartbeat(name, beat)
        self.deliver()

    def leaving(self) -> list[bool]:
        """Return for each instance whether it takes the server for leaving."""
        return [self.known[name].get(SERVER) is not None for name in NAMES]


def test_departure_reaches_all_instances_once(time) -> None:
    """Guards against instances that learn of a departure only by own answers."""
    fleet = Fleet()
    fleet.list_servers(5)
    fleet.reports["cq-1"].answered(SERVER, 5)
    fleet.deliver()
    assert fleet.leaving() == [True] * 3
    assert not fleet.queue, "each departure is forwarded once"
    departure = fleet.known["cq-2"].get(SERVER)
    assert departure is not None
    assert (departure.started_ms, departure.source) == (5, "cq-1")


def test_restarted_instance_learns_the_departures_by_heartbeats(time) -> None:
    """Guards against a restarted instance that uses a leaving server again."""
    fleet = Fleet()
    fleet.list_servers(5)
    fleet.reports["cq-1"].answered(SERVER, 5)
    fleet.deliver()
    fleet.start("cq-3")
    fleet.list_servers(5, "cq-3")
    fleet.send_heartbeats()
    assert fleet.leaving() == [True] * 3


def test_server_is_used_again_by_each_instance_that_lists_its_restart(time) -> None:
    """Guards against a server that stays out of use under its reused name."""
    fleet = Fleet()
    fleet.list_servers(5)
    fleet.reports["cq-1"].answered(SERVER, 5)
    fleet.deliver()
    fleet.list_servers(6, "cq-1", "cq-2")
    assert fleet.leaving() == [False, False, True], "the third was cut off"
    time.now += RESEND_SECONDS
    fleet.send_heartbeats()
    assert fleet.leaving() == [False, False, True], "a stale report revives nothing"
    fleet.list_servers(6, "cq-3")
    assert fleet.leaving() == [False] * 3


def test_departing_server_that_the_list_names_again_as_ready_stays_out(time) -> None:
    """Its registration expired with the store and came back before its state."""
    fleet = Fleet()
    fleet.list_servers(5)
    fleet.reports["cq-1"].answered(SERVER, 5)
    fleet.deliver()
    time.now += 100.0
    fleet.list_servers(None)
    time.now += 3.0
    fleet.list_servers(5)
    assert fleet.leaving() == [True] * 3


def test_departure_is_forgotten_after_the_server_has_gone(time) -> None:
    """Guards against a table that grows with each server that ever left."""
    fleet = Fleet()
    fleet.list_servers(5)
    fleet.reports["cq-1"].answered(SERVER, 5)
    fleet.deliver()
    fleet.list_servers(None)
    assert fleet.known["cq-1"].digest == 0
    time.now += departures.RETENTION_SECONDS
    fleet.send_heartbeats()
    fleet.list_servers(None)
    assert fleet.leaving() == [False] * 3
    assert not fleet.known["cq-1"]._departures


def test_server_of_unknown_start_is_tried_again_after_a_while(time) -> None:
    """Guards against servers of a fleet text that are lost at their first restart."""
    fleet = Fleet()
    fleet.list_servers(0)
    fleet.reports["cq-1"].answered(SERVER, 0)
    fleet.deliver()
    assert fleet.leaving() == [True] * 3
    time.now += departures.RETENTION_SECONDS
    fleet.send_heartbeats()
    assert fleet.leaving() == [False] * 3


def test_leaving_server_gets_no_request_with_any_permit(time) -> None:
    """Also a charged permit, of a server that has named a limit, is stopped."""
    states = server_states.ServerStates(fakes.settings())
    states.retain({SERVER: 5})
    states.departures.learn(SERVER, 5, "")
    assert states.blocking_cause(SERVER, True) == "the server is leaving"
    assert not states.blocking_cause("e2", False)


steps = strategies.lists(
    strategies.one_of(
        strategies.tuples(strategies.just("answer"), strategies.sampled_from(NAMES)),
        strategies.tuples(strategies.just("list"), strategies.sampled_from(NAMES)),
        strategies.tuples(strategies.just("expire"), strategies.sampled_from(NAMES)),
        strategies.tuples(strategies.just("start"), strategies.sampled_from(NAMES)),
        strategies.tuples(strategies.just("restart server"), strategies.just("")),
        strategies.tuples(strategies.just("wait"), strategies.just("")),
        strategies.tuples(strategies.just("deliver"), strategies.just("")),
        strategies.tuples(strategies.just("lose"), strategies.just("")),
    ),
    max_size=40,
)


class Schedule:
    """Plays a schedule; each instance that knows of a departure must keep to it."""

    def __init__(self, time: fakes.Time):
        self.time = time
        self.fleet = Fleet()
        self.fleet.list_servers(1)
        self.started_ms = 1
        self.listed = dict.fromkeys(NAMES, 1)
        # Run of the server whose departure was reported to an instance.
        self.reported: dict[str, int] = {}

    def play(self, step: str, name: str) -> None:
        """Play one step."""
        fleet = self.fleet
        if step == "answer":
            # The answer is of the run that the instance has listed.
            fleet.reports[name].answered(SERVER, self.listed[name])
            self.reported[name] = self.listed[name]
        elif step == "list":
            self.listed[name] = self.started_ms
            fleet.list_servers(self.started_ms, name)
        elif step == "expire":
            fleet.list_servers(None, name)
            fleet.list_servers(self.listed[name], name)
        elif step == "start":
            fleet.start(name)
            self.reported.pop(name, None)
            fleet.list_servers(self.listed[name], name)
        elif step == "restart server":
            self.started_ms += 1
        elif step == "wait":
            self.time.now += 30.0
            fleet.send_heartbeats()
        elif step == "deliver":
            fleet.deliver()
        elif step == "lose":
            fleet.queue.clear()
        for knowing, started_ms in self.reported.items():
            if started_ms >= self.listed[knowing]:
                assert fleet.known[knowing].get(SERVER) is not None


@hypothesis.given(steps)
@hypothesis.settings(deadline=None, derandomize=True, max_examples=150)
def test_no_schedule_brings_a_leaving_server_back(schedule) -> None:
    """Also not by lost messages, restarts of instances and entries that expire."""
    with fakes.Time().used() as time:
        played = Schedule(time)
        for step, name in schedule:
            played.play(step, name)
        played.fleet.list_servers(played.started_ms)
        for _ in range(3):
            time.now += RESEND_SECONDS
            played.fleet.send_heartbeats()
        assert len(set(played.fleet.leaving())) == 1, "all instances agree"


def test_forecast_leaves_out_the_slots_of_a_leaving_server(time) -> None:
    """Guards against demands that wait for slots that no demand will get.

    The leaving server's requests end at once; the other server is busy for long.
    """
    bench = objectives_fakes.Bench(time, {SERVER: 4, "e2": 2})
    for server in (SERVER, "e2"):
        bench.set_speed(server, 100_000.0, 0.02)
    running = [bench.demand(tried=["e2"], events=5) for _ in range(4)]
    running += [bench.demand(tried=[SERVER], events=200) for _ in range(2)]
    bench.serve()
    assert sorted(bench.owner.permits().values()) == [SERVER] * 4 + ["e2"] * 2
    for name in running:
        bench.start(name)
    bench.shard.states.departures.learn(SERVER, 1, "")
    waiting = [bench.demand() for _ in range(4)]
    bench.serve()
    assert len(set(bench.owner.sheds()) & set(waiting)) >= 3


def test_waiting_demands_are_refused_at_once_when_all_servers_leave(time) -> None:
    """Guards against late refusals of long prompts by a shard without servers."""
    bench = objectives_fakes.Bench(time, {SERVER: 1})
    running = bench.demand(events=200)
    bench.serve()
    bench.start(running)
    time.now += 0.01
    waiting = [bench.demand(prompt=prompt) for prompt in (600, 40_000)]
    bench.shard.states.departures.learn(SERVER, 1, "")
    bench.serve()
    assert set(waiting) <= set(bench.owner.sheds())
