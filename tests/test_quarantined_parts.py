"""Quarantine of prompt parts: which are held, which never, and how a hold ends."""

import hypothesis
import policy_fakes as fakes
import pytest
import test_crash_reports
from hypothesis import strategies

from cassiaquay_daemon.decisions import quarantine
from cassiaquay_daemon.fleet import replication

NAMES = test_crash_reports.NAMES
CRASHES = 3


@pytest.fixture(name="time")
def _time():
    with fakes.Time().used() as time:
        yield time


def _quarantine() -> quarantine.Quarantine:
    return quarantine.Quarantine(fakes.settings("cq-1"))


def _crash(held: quarantine.Quarantine, count: int, *parts: str) -> None:
    """Record crashes of servers that ran different requests with some parts."""
    first = len(held.report(parts[0]).servers)
    for number in range(first, first + count):
        for part in parts:
            held.crashed(part, f"i-{number}/1", f"request {number}")


def test_part_of_different_requests_is_held(time) -> None:
    """Guards against servers that crash under new requests with one part."""
    held = _quarantine()
    _crash(held, CRASHES - 1, "bad")
    assert not held.blocking("new", ["bad"])
    _crash(held, 1, "bad")
    assert held.blocking("new", ["first", "bad"]) == ["bad"]
    assert not held.blocking("new", ["first", "other"])
    assert (held.count, held.part_count) == (0, 1)


def test_repeats_of_one_request_do_not_hold_its_parts(time) -> None:
    """Guards against refusing all requests of a subject for one crashing request."""
    held = _quarantine()
    for number in range(CRASHES):
        held.crashed("poison", f"i-{number}/1")
        held.crashed("subject", f"i-{number}/1", "poison")
    assert held.blocking("poison", ["subject"]) == ["poison"]
    assert not held.blocking("other", ["subject"])
    _crash(held, 1, "subject")
    held.crashed("subject", "i-9/1", "other")
    assert held.blocking("third", ["subject"]) == ["subject"]


def test_part_that_completes_is_not_held(time) -> None:
    """Guards against refusing requests that share only sound parts with bad ones."""
    held = _quarantine()
    held.completed("before")
    _crash(held, CRASHES, "bad", "before", "after")
    held.completed("after")
    assert not held.blocking("new", ["before", "after"])
    assert held.blocking("new", ["before", "bad", "after"]) == ["bad"]


def test_request_with_one_of_two_suspected_parts_is_sent(time) -> None:
    """Guards against refusing a sound part that only came with a bad one so far."""
    held = _quarantine()
    _crash(held, CRASHES, "bad", "beside")
    assert len(held.blocking("new", ["bad", "beside"])) == 2
    assert not held.blocking("new", ["beside"])
    held.completed("beside")
    assert held.blocking("new", ["bad"]) == ["bad"]


def test_suspected_part_is_held_after_a_crash_without_the_other(time) -> None:
    """Guards against a sound part that keeps explaining the crashes of a bad one."""
    held = _quarantine()
    _crash(held, CRASHES, "bad", "beside")
    assert not held.blocking("new", ["bad"])
    _crash(held, 1, "bad")
    assert held.blocking("new", ["bad"]) == ["bad"]


def test_two_bad_parts_are_both_held(time) -> None:
    """Guards against a bad part that another one's crashes keep in use."""
    held = _quarantine()
    _crash(held, CRASHES, "bad", "worse")
    _crash(held, 1, "bad")
    assert held.blocking("new", ["bad"]) == ["bad"]
    assert not held.blocking("new", ["worse"]), "the other part explains its crashes"
    held.crashed("worse", "i-9/1", "with the worse one only")
    assert held.blocking("new", ["worse"]) == ["worse"]


def test_trials_of_a_held_part_become_rare(time) -> None:
    """Guards against trials that crash more servers than the fleet can bear."""
    held = _quarantine()
    _crash(held, CRASHES, "bad")
    crash_times = []
    began_at = time.now
    while time.now < began_at + 3600.0:
        if held.is_trial_due("bad"):
            held.record_trial("bad")
            _crash(held, 1, "bad")
            crash_times.append(time.now - began_at)
        time.now += 1.0
    assert crash_times == [30.0, 150.0, 630.0, 2550.0]


def test_request_is_not_tried(time) -> None:
    """Guards against trials of a request that a trial would only repeat."""
    held = _quarantine()
    for number in range(CRASHES):
        held.crashed("poison", f"i-{number}/1")
    time.now += 600.0
    assert not held.is_trial_due("poison")


def test_one_instance_tries_a_held_part_once() -> None:
    """Guards against a trial, and thus a crash, by each instance."""
    with fakes.Time().used() as time:
        fleet = test_crash_reports.Fleet()
        for number, name in enumerate(NAMES):
            fleet.reports[name].crashed(f"r{number}", f"i-{number}/1", ["bad"])
        fleet.deliver()
        time.now += 31.0
        sent_count = 0
        for number in range(9):
            reports = fleet.reports[NAMES[number % len(NAMES)]]
            if not reports.holds(f"new {number}", ["bad"], is_sent_now=True):
                sent_count += 1
        assert sent_count == 1
        time.now += 1.0
        for name in NAMES:
            fleet.reports[name].completed("tried", ["bad"])
            fleet.deliver()
            assert not fleet.reports[name].holds("new", ["bad"])


def test_crashes_recorded_for_a_part_are_bounded() -> None:
    """Guards against reports without end of a part that most prompts share."""
    with fakes.Time().used() as time:
        fleet = test_crash_reports.Fleet()
        for number in range(60):
            name = NAMES[number % len(NAMES)]
            fleet.reports[name].crashed(f"r{number}", f"i-{number}/1", ["shared"])
            if number % 3 == 2:
                fleet.deliver()
        fleet.deliver()
        for name in NAMES:
            servers = fleet.held[name].report("shared").servers
            assert len(servers) == quarantine.MAX_CRASHES
        time.now += replication.RESEND_INTERVAL_SECONDS
        assert len({fleet.held[name].digest for name in NAMES}) == 1


# One step: its kind, the instance, and the request's parts other than the bad one.
STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["bad", "sound", "lose", "restart", "deliver", "wait"]),
        strategies.sampled_from(NAMES),
        strategies.sets(strategies.sampled_from(["first", "second", "third"])),
    ),
    max_size=40,
)


@hypothesis.settings(max_examples=200, deadline=None, derandomize=True)
@hypothesis.given(STEPS)
def test_only_the_bad_part_is_refused_once_sound_ones_complete(steps) -> None:
    """Guards against holds of sound parts, and bad ones that some instances send."""
    with fakes.Time().used() as time:
        fleet = test_crash_reports.Fleet()
        crash_count = 0
        for kind, name, parts in steps:
            reports = fleet.reports[name]
            if kind == "bad" and not reports.holds(f"r{crash_count}", ["bad", *parts]):
                crash_count += 1
                server = f"i-{crash_count}/1"
                reports.crashed(f"r{crash_count}", server, ["bad", *parts])
                # Another instance has a sound request on the same server.
                other = fleet.reports[NAMES[crash_count % len(NAMES)]]
                other.crashed(f"beside {crash_count}", server, sorted(parts))
            elif kind == "sound" and not reports.holds("sound", sorted(parts)):
                reports.completed("sound", sorted(parts))
            elif kind == "lose":
                fleet.queue.clear()
            elif kind == "restart":
                fleet.start(name)
            elif kind == "deliver":
                fleet.deliver(paused=name)
            elif kind == "wait":
                time.now += 0.3
        for _ in range(3):
            time.now += replication.RESEND_INTERVAL_SECONDS
            fleet.send_heartbeats()
        for part in ("first", "second", "third"):
            fleet.reports[NAMES[0]].completed("sound", [part])
        fleet.deliver()
        for _ in range(3):
            time.now += replication.RESEND_INTERVAL_SECONDS
            fleet.send_heartbeats()
        for name in NAMES:
            assert not fleet.reports[name].holds("new", ["first", "second", "third"])
        assert len({fleet.reports[n].holds("new", ["bad"]) for n in NAMES}) == 1
