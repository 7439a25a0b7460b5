"""Which servers an instance considers reachable, and when it probes them."""

import random

import policy_fakes as fakes
import pytest

from cassiaquay_daemon.decisions import paths

CHAT = ["c1:1", "c2:1", "c3:1", "c4:1"]
PLAIN = ["p1:1", "p2:1"]
SCHEDULES = 200
STEPS = 80


@pytest.fixture(name="time")
def _time():
    with fakes.Time().used() as time:
        yield time


def _paths() -> paths.Paths:
    return paths.Paths(lambda: {"chat": CHAT, "plain": PLAIN})


def test_first_lost_path_has_a_few_others_probed_and_the_second_all(time) -> None:
    """Guards against a partition that each request finds out anew for its server."""
    made = _paths()
    made.failed("c1:1")
    assert not made.is_open("c1:1")
    sampled = made.take_due()
    assert len(sampled) == paths.SAMPLED_PATHS
    assert "c1:1" not in sampled, "it is probed again later"
    made.failed(sampled[0])
    rest = {*CHAT, *PLAIN} - {"c1:1", *sampled}
    assert set(made.take_due()) == rest
    assert not any(made.is_open(address) for address in [*CHAT, *PLAIN])


def test_crashed_server_has_no_further_paths_probed(time) -> None:
    """Guards against connections to all servers from everywhere after each crash."""
    made = _paths()
    made.failed("c1:1")
    for address in made.take_due():
        made.connected(address)
    time.now += paths.PROBE_INTERVAL_SECONDS
    assert made.take_due() == ["c1:1"]
    assert made.lost == {"c1:1"}


def test_lost_service_is_one_that_another_instance_reaches(time) -> None:
    """Guards against all instances taking themselves for cut off when servers crash."""
    made = _paths()
    for address in PLAIN:
        made.failed(address)
    assert made.lost_services() == []
    made.relayed("p1:1")
    assert made.lost_services() == ["plain"]
    made.connected("p2:1")
    assert made.lost_services() == []


def test_path_is_open_again_once_a_probe_has_connected(time) -> None:
    made = _paths()
    made.failed("p1:1")
    time.now += paths.PROBE_INTERVAL_SECONDS
    assert "p1:1" in made.take_due()
    made.connected("p1:1")
    assert made.is_open("p1:1")


def test_slow_answer_of_a_server_that_was_heard_causes_no_probe(time) -> None:
    """Guards against a connection to a busy server for each of its slow answers."""
    made = _paths()
    made.heard("c1:1")
    time.now += paths.TRUST_SECONDS / 2
    made.doubt("c1:1", "silent")
    assert made.is_open("c1:1")
    time.now += paths.TRUST_SECONDS
    made.doubt("c1:1", "silent")
    assert not made.is_open("c1:1")
    assert made.take_due() == ["c1:1"]


def test_unlisted_server_is_forgotten(time) -> None:
    listed = {"chat": list(CHAT)}
    made = paths.Paths(lambda: listed)
    made.failed("c1:1")
    listed["chat"].remove("c1:1")
    made.take_due()
    assert made.lost == set()
    made.failed("c1:1")
    made.doubt("other:1", "silent")
    assert made.is_open("other:1")
    assert made.is_open("c1:1")


def test_every_closed_path_is_probed_again_in_any_schedule(time) -> None:
    """Guards against a path that stays closed though its server can be reached."""
    for seed in range(SCHEDULES):
        rng = random.Random(seed)
        made = _paths()
        for _ in range(STEPS):
            time.now += rng.uniform(0.0, 0.3)
            address = rng.choice([*CHAT, *PLAIN])
            event = rng.choice(["failed", "doubt", "relayed", "heard", "probe"])
            if event == "probe":
                for due in made.take_due():
                    rng.choice([made.failed, made.connected])(due)
            elif event == "doubt":
                made.doubt(address, "silent")
            else:
                getattr(made, event)(address)
            seconds = made.seconds_to_probe()
            is_closed = not all(made.is_open(name) for name in [*CHAT, *PLAIN])
            assert (seconds is not None) == is_closed, seed
            assert seconds is None or seconds <= paths.PROBE_INTERVAL_SECONDS, seed
        time.now += paths.PROBE_INTERVAL_SECONDS
        for due in made.take_due():
            made.connected(due)
        assert all(made.is_open(name) for name in [*CHAT, *PLAIN]), seed
