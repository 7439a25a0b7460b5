"""Placement on servers that fall silent, fail, slow down or restart."""

import objectives_fakes
import policy_fakes as fakes
import pytest

from cassiaquay_daemon.decisions import service_times
from cassiaquay_schema import messages


@pytest.fixture(name="time")
def _time():
    with fakes.Time().used() as time:
        yield time


def test_broken_engine_gets_one_probe_at_a_time_in_a_burst(time) -> None:
    """Guards against an engine that aborts each run at once and attracts all overflow.

    It aborts runs after 20 ms, and a burst fills the other engine, so the broken one
    always has free slots. After four failures it gets one probe at a time; other
    requests are refused and can be retried. Its first successful run ends this.
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


def test_silent_engine_gets_one_probe_at_a_time(time) -> None:
    """Guards against sending work to an engine that hangs with a good health check.

    A first event is overdue, so new requests go to the other engine. After a pause one
    request probes the silent engine, and its first event makes the engine usable again.
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


def test_one_slow_call_does_not_mark_a_plain_server_silent(time) -> None:
    """Guards against mistaking one slow call for silence.

    A booking may take a second while other calls take 50 ms.
    """
    bench = objectives_fakes.Bench(time, {"a": 6})
    plain = {"prompt": 0, "events": 0, "pause_ms": 0}
    bench.demand(name="long", **plain)
    bench.serve()
    time.now += 1.0
    bench.demand(name="next", **plain)
    bench.serve()
    assert bench.owner.permits() == {"long": "a", "next": "a"}


def test_failing_server_is_the_last_choice_until_failures_decay(time) -> None:
    """Its health check passes while it answers half of its requests with an error."""
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
    # The failure decays over time: the server may have recovered.
    time.now += 20.0
    name = bench.demand()
    bench.serve()
    assert bench.owner.permits()[name] == "grey"


def test_retry_avoids_servers_already_tried(time) -> None:
    """A server that answered with an error is avoided by the retry of that request.

    Other requests still use it.
    """
    bench = objectives_fakes.Bench(time, {"a": 9, "b": 9})
    bench.set_speed("a", 75_000.0, 0.01)
    bench.set_speed("b", 75_000.0, 0.02)
    bench.demand(name="again", tried=["a"])
    bench.demand(name="other")
    bench.serve()
    assert bench.owner.permits() == {"again": "b", "other": "a"}


def test_restart_resets_the_estimates_of_a_server(time) -> None:
    """Guards against estimates from before a restart under the same name."""
    bench = objectives_fakes.Bench(time, {"a": 9})
    bench.set_speed("a", 1_000.0, 1.0)
    old = bench.shard.servers["a"]
    bench.shard.servers["a"] = type(old)(
        name="a", address=old.address, slots=9, started_ms=5
    )
    assert bench.policy._times_of("a").rate == service_times.START_RATE


def test_estimates_follow_a_server_that_slows_down(time) -> None:
    found = service_times.ServiceTimes("a")
    for _ in range(20):
        found.advanced(10, 0.2)
    assert found.event_seconds == pytest.approx(0.02)
    for _ in range(4):
        found.advanced(10, 1.0)
    assert found.event_seconds > 0.08
    found.prefilled(6000, 0.5, 0.5)
    assert found.rate < 15_000


def test_no_request_is_refused_because_all_servers_fail_alike(time) -> None:
    """Guards against refusing requests with free slots when all servers fail alike.

    Each of four plain servers fails three in four requests, at times several in a row,
    and then counts as broken. There is no healthy server to wait for; granted, some
    requests succeed, and more of those that may be retried.
    """
    bench = objectives_fakes.Bench(time, {"a": 6, "b": 6, "c": 6, "d": 6})
    plain = {"prompt": 0, "events": 0, "pause_ms": 0}
    for number in range(80):
        name = bench.demand(**plain)
        bench.serve()
        assert name not in bench.owner.sheds()
        bench.end(name, "failed" if number % 8 < 6 else "completed")
        time.now += 0.01


def test_only_broken_server_of_a_shard_gets_probes_only(time) -> None:
    """One of four servers fails every request; the others fail one in eight."""
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


def test_stalled_stream_of_one_owner_keeps_no_work_from_a_server(time) -> None:
    """Guards against a server taken for silent since one instance is cut off."""
    bench = objectives_fakes.Bench(time, {"a": 9})
    # The stalled one reports last.
    owners = {name: fakes.Owner(name) for name in ("cq-2", "cq-1")}
    streams = {}
    for name, owner in owners.items():
        bench.owner = owner
        streams[name] = bench.demand(events=400)
        bench.serve()
        bench.start(streams[name])
    produced = dict.fromkeys(owners, 1)
    for _ in range(10):
        time.now += 0.3
        # The events of cq-1 do not arrive any more, those of cq-2 do.
        produced["cq-2"] += 10
        for name, request_id in streams.items():
            item = messages.Outstanding(
                request_id, "", "", 0, "a", 600, 400, produced=produced[name]
            )
            bench.shard.renew(name, [item])
        asked = bench.demand(events=1)
        bench.serve()
        assert asked in bench.owner.permits()
        bench.start(asked)
        bench.end(asked)


def test_overdue_first_events_of_one_owner_keep_no_work_from_a_server(time) -> None:
    """Guards against a server taken for silent since one instance is cut off."""
    bench = objectives_fakes.Bench(time, {"a": 9})
    bench.set_speed("a", 75_000.0, 0.01)
    cut, other = fakes.Owner("cq-1"), fakes.Owner("cq-2")
    bench.owner = cut
    for _ in range(3):
        bench.demand()
    bench.serve()
    bench.owner = other
    for _ in range(20):
        time.now += 0.1
        asked = bench.demand(events=1)
        bench.serve()
        assert asked in other.permits()
        bench.start(asked)
        bench.end(asked)
