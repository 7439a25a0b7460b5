"""Which requests are held since they crash servers."""

import hypothesis
import msgspec
import policy_fakes as fakes
import pytest
from hypothesis import strategies

from cassiaquay_daemon.decisions import quarantine
from cassiaquay_schema import settings as settings_schema


@pytest.fixture(name="time")
def _time():
    with fakes.Time().used() as time:
        yield time


def _settings(**fields) -> settings_schema.Settings:
    settings = fakes.settings("cq-1")
    gateway = msgspec.structs.replace(settings.gateway, **fields)
    return msgspec.structs.replace(settings, gateway=gateway)


def _quarantine(**fields) -> quarantine.Quarantine:
    return quarantine.Quarantine(_settings(**fields))


def test_a_request_is_held_once_it_has_crashed_enough_servers(time) -> None:
    """Guards against holding by one server that crashes, or breaks off, repeatedly."""
    held = _quarantine()
    for server in ("i-1", "i-2", "i-2", "i-1"):
        held.crashed("poison", server)
        assert not held.holds("poison")
    held.crashed("poison", "i-3")
    assert held.holds("poison")
    assert not held.holds("other")


def test_what_ran_beside_it_goes_on(time) -> None:
    """Guards against refusing all that was on a server when it crashed."""
    held = _quarantine()
    for server in ("i-1", "i-2", "i-3"):
        held.crashed("poison", server)
        held.crashed(f"beside on {server}", server)
        held.crashed("unlucky", server)
        held.completed("unlucky")
    assert held.holds("poison")
    assert held.count == 1


def test_a_request_that_has_run_well_before_is_not_the_cause(time) -> None:
    """Guards against holding what many callers ask for, after a wave of crashes."""
    held = _quarantine()
    held.completed("popular")
    for server in ("i-1", "i-2", "i-3"):
        held.learn(quarantine.Report("popular", frozenset([server]), False, 0.1))
    assert not held.holds("popular")
    assert held.report("popular").is_cleared


def test_a_held_request_is_remembered_as_long_as_its_caller_keeps_coming(time) -> None:
    """Guards against a slow retry that outlives the memory of its crashes."""
    held = _quarantine(quarantine_seconds=100.0)
    for server in ("i-1", "i-2", "i-3"):
        held.crashed("poison", server)
    for _ in range(5):
        time.now += 90.0
        assert held.digest
        assert held.holds("poison")
        held.record_refusal("poison")
    time.now += 110.0
    assert held.digest == 0
    assert not held.holds("poison")


def test_what_another_instance_has_forgotten_does_not_come_back(time) -> None:
    """Guards against reports that instances keep alive by resending them."""
    held = _quarantine(quarantine_seconds=100.0)
    report = quarantine.Report("poison", frozenset(["i-1", "i-2"]), False, 120.0)
    assert not held.learn(report)
    assert held.suspect_count == 0


def test_what_nobody_remembers_is_held_sooner(time) -> None:
    """Guards against a request that crashes servers anew after all instances died."""
    held = _quarantine()
    held.is_history_lost = lambda: True
    held.crashed("poison", "i-1")
    assert not held.holds("poison")
    held.crashed("poison", "i-2")
    assert held.holds("poison")
    held.is_history_lost = lambda: False
    assert not held.holds("poison")


def test_many_suspects_do_not_fill_the_memory(time) -> None:
    """Guards against growth without bound when all servers crash."""
    held = _quarantine()
    for number in range(quarantine.MAX_SUSPECTS + 100):
        time.now += 0.001
        held.crashed(f"request {number}", "i-1")
    assert held.suspect_count == quarantine.MAX_SUSPECTS
    assert not held.reports()


_REPORTS = strategies.builds(
    quarantine.Report,
    strategies.sampled_from("abc"),
    strategies.frozensets(strategies.sampled_from(["i-1", "i-2", "i-3", "i-4"])),
    strategies.booleans(),
    strategies.floats(0.0, 50.0),
)


@hypothesis.settings(max_examples=200, deadline=None, derandomize=True)
@hypothesis.given(strategies.lists(_REPORTS, max_size=12), strategies.randoms())
def test_instances_that_heard_the_same_in_any_order_know_the_same(
    reports, random
) -> None:
    """Guards against instances that never agree on what is held."""
    with fakes.Time().used():
        one, other = _quarantine(), _quarantine()
        for report in reports:
            one.learn(report)
        again = [*reports, *reports]
        random.shuffle(again)
        for report in again:
            other.learn(report)
        assert one.digest == other.digest
        for content in "abc":
            assert one.holds(content) == other.holds(content)


def test_an_operator_lets_a_held_request_through_by_changed_settings(time) -> None:
    """Guards against a request held by mistake that only waiting would release."""
    held = _quarantine()
    for server in ("i-1", "i-2", "i-3"):
        held.crashed("poison", server)
    assert held.holds("poison")
    held.adopt(_settings(quarantine_crashes=100))
    assert not held.holds("poison")
