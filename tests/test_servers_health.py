"""Servers that fall silent, fail, slow down or start again, and what they get."""

import objectives_fakes
import policy_fakes as fakes
import pytest

from cassiaquay_daemon.decisions import service_times


@pytest.fixture(name="time")
def _time():
    with fakes.Time().used() as time:
        yield time


def test_an_engine_that_breaks_everything_off_does_not_swallow_a_burst(time) -> None:
    """One of two engines breaks off each run after 20 ms, and a burst fills the other.

    It has free slots all the time. After four of its failures callers are refused, and
    come back, instead of losing their one run there; one request at a time tries it,
    and its first good end opens it again.
    """
    bench = objectives_fakes.Bench(time, {"good": 1, "broken": 4})
    bench.demand(name="long", events=400)
    bench.serve()
    lost = 0
    for _ in range(30):
        name = bench.demand(avoid=["good"])
        bench.serve()
        if bench.owner.permits().get(name) == "broken":
            lost += 1
            bench.end(name, "cut")
        time.now += 0.02
    assert 4 <= lost <= 5
    time.now += service_times.PROBE_SECONDS
    probe = bench.demand(avoid=["good"])
    bench.serve()
    assert bench.owner.permits()[probe] == "broken"
    bench.start(probe)
    bench.end(probe)
    after = bench.demand(avoid=["good"])
    bench.serve()
    assert bench.owner.permits()[after] == "broken"


def test_a_silent_engine_gets_one_request_at_a_time(time) -> None:
    """An engine stops answering; its health check and its connections are good.

    The first request's event is overdue. What comes then goes elsewhere; after a
    moment one request tries it, and its first sign of life brings all back.
    """
    bench = objectives_fakes.Bench(time, {"mute": 9, "b": 9})
    bench.set_speed("mute", 75_000.0, 0.01)
    bench.set_speed("b", 75_000.0, 0.02)
    first = bench.demand()
    bench.serve()
    assert bench.owner.permits()[first] == "mute"
    time.now += 0.7
    later = [bench.demand() for _ in range(3)]
    bench.serve()
    assert {bench.owner.permits()[name] for name in later} == {"b"}
    time.now += service_times.STALL_SECONDS + 0.01
    tries = [bench.demand() for _ in range(3)]
    bench.serve()
    servers = [bench.owner.permits()[name] for name in tries]
    assert sorted(servers) == ["b", "b", "mute"]
    bench.start(tries[servers.index("mute")])
    back = bench.demand()
    bench.serve()
    assert bench.owner.permits()[back] == "mute"


def test_one_long_call_does_not_make_a_plain_service_silent(time) -> None:
    """One booking takes a second by its nature; the others take 50 ms as ever."""
    bench = objectives_fakes.Bench(time, {"a": 6})
    plain = {"prompt": 0, "events": 0, "pause_ms": 0}
    bench.demand(name="long", **plain)
    bench.serve()
    time.now += 1.0
    bench.demand(name="next", **plain)
    bench.serve()
    assert bench.owner.permits() == {"long": "a", "next": "a"}


def test_a_server_that_fails_quietly_is_the_last_choice(time) -> None:
    """Its health check is good and it answers half of its requests with an error."""
    bench = objectives_fakes.Bench(time, {"grey": 9, "b": 9})
    bench.set_speed("grey", 75_000.0, 0.01)
    bench.set_speed("b", 75_000.0, 0.02)
    name = bench.demand()
    bench.serve()
    assert bench.owner.permits()[name] == "grey"
    bench.end(name, "failed")
    names = [bench.demand() for _ in range(3)]
    bench.serve()
    assert {bench.owner.permits()[name] for name in names} == {"b"}
    for name in names:
        bench.end(name)
    # It is forgotten after a while: the server may be well again.
    time.now += 20.0
    name = bench.demand()
    bench.serve()
    assert bench.owner.permits()[name] == "grey"


def test_a_server_that_had_the_request_is_left_out(time) -> None:
    """One answered with an error; to the others' requests it is as good as before."""
    bench = objectives_fakes.Bench(time, {"a": 9, "b": 9})
    bench.set_speed("a", 75_000.0, 0.01)
    bench.set_speed("b", 75_000.0, 0.02)
    bench.demand(name="again", tried=["a"])
    bench.demand(name="other")
    bench.serve()
    assert bench.owner.permits() == {"again": "b", "other": "a"}


def test_a_server_started_again_is_another_one(time) -> None:
    """It has the same name, and nothing of what was learned of it holds."""
    bench = objectives_fakes.Bench(time, {"a": 9})
    bench.set_speed("a", 1_000.0, 1.0)
    old = bench.shard.servers["a"]
    bench.shard.servers["a"] = type(old)(
        name="a", address=old.address, slots=9, started_ms=5
    )
    assert bench.policy._times_of("a").rate == service_times.START_RATE


def test_a_server_that_slows_down_is_noticed_by_its_events(time) -> None:
    found = service_times.ServiceTimes("a")
    for _ in range(20):
        found.advanced(10, 0.2)
    assert found.event_seconds == pytest.approx(0.02)
    for _ in range(4):
        found.advanced(10, 1.0)
    assert found.event_seconds > 0.08
    found.read(6000, 0.5, 0.5)
    assert found.rate < 15_000


def test_nobody_is_refused_because_all_servers_fail_alike(time) -> None:
    """Each of four plain servers fails three in four, several in a row at times.

    Each then counts as broken, and there is no sound one to send callers to. Refused,
    they get nothing while nearly all slots are free; sent on, some are served, and of
    those that may be repeated more.
    """
    bench = objectives_fakes.Bench(time, {"a": 6, "b": 6, "c": 6, "d": 6})
    plain = {"prompt": 0, "events": 0, "pause_ms": 0}
    for number in range(80):
        name = bench.demand(**plain)
        bench.serve()
        assert name not in bench.owner.sheds()
        bench.end(name, "failed" if number % 8 < 6 else "completed")
        time.now += 0.01


def test_a_server_that_alone_breaks_everything_off_is_left_to_its_probes(time) -> None:
    """One of four servers fails everything; the others fail as ever, one in eight."""
    bench = objectives_fakes.Bench(time, {"a": 6, "b": 6, "c": 6, "broken": 6})
    plain = {"prompt": 0, "events": 0, "pause_ms": 0}
    lost = 0
    for number in range(200):
        name = bench.demand(**plain)
        bench.serve()
        server = bench.owner.permits()[name]
        lost += server == "broken"
        fails = server == "broken" or number % 8 == 0
        bench.end(name, "failed" if fails else "completed")
        time.now += 0.01
    assert lost <= 4 + 200 * 0.01 / service_times.PROBE_SECONDS + 1
