"""Quarantine: which requests are held because they crash servers."""

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


def test_request_is_held_after_crashing_enough_distinct_servers(time) -> None:
    """Guards against holding a request because one server crashes repeatedly."""
    quarantined = _quarantine()
    for server in ("i-1", "i-2", "i-2", "i-1"):
        quarantined.crashed("poison", server)
        assert not quarantined.holds("poison")
    quarantined.crashed("poison", "i-3")
    assert quarantined.holds("poison")
    assert not quarantined.holds("other")


def test_requests_beside_the_crashing_one_are_not_held(time) -> None:
    """Guards against refusing all requests that were on a server when it crashed."""
    quarantined = _quarantine()
    for server in ("i-1", "i-2", "i-3"):
        quarantined.crashed("poison", server)
        quarantined.crashed(f"beside on {server}", server)
        quarantined.crashed("unlucky", server)
        quarantined.completed("unlucky")
    assert quarantined.holds("poison")
    assert quarantined.count == 1


def test_request_that_completed_before_the_crashes_is_not_held(time) -> None:
    """Guards against holding a frequent request after a wave of crashes."""
    quarantined = _quarantine()
    quarantined.completed("popular")
    for server in ("i-1", "i-2", "i-3"):
        quarantined.learn(quarantine.Report("popular", frozenset([server]), False, 0.1))
    assert not quarantined.holds("popular")
    assert quarantined.report("popular").is_cleared


def test_hold_lasts_while_the_caller_retries(time) -> None:
    """Guards against a hold that expires while its caller still retries slowly."""
    quarantined = _quarantine(quarantine_seconds=100.0)
    for server in ("i-1", "i-2", "i-3"):
        quarantined.crashed("poison", server)
    for _ in range(5):
        time.now += 90.0
        assert quarantined.digest
        assert quarantined.holds("poison")
        quarantined.record_refusal("poison")
    time.now += 110.0
    assert quarantined.digest == 0
    assert not quarantined.holds("poison")


def test_expired_report_of_another_instance_is_ignored(time) -> None:
    """Guards against expired reports that instances keep renewing for each other."""
    quarantined = _quarantine(quarantine_seconds=100.0)
    report = quarantine.Report("poison", frozenset(["i-1", "i-2"]), False, 120.0)
    assert not quarantined.learn(report)
    assert quarantined.suspect_count == 0


def test_one_crash_fewer_suffices_when_history_is_lost(time) -> None:
    """Guards against a full series of crashes again after all instances restarted."""
    quarantined = _quarantine()
    quarantined.is_history_lost = lambda: True
    quarantined.crashed("poison", "i-1")
    assert not quarantined.holds("poison")
    quarantined.crashed("poison", "i-2")
    assert quarantined.holds("poison")
    quarantined.is_history_lost = lambda: False
    assert not quarantined.holds("poison")


def test_number_of_suspects_is_bounded(time) -> None:
    """Guards against unbounded memory when all servers crash."""
    quarantined = _quarantine()
    for number in range(quarantine.MAX_SUSPECTS + 100):
        time.now += 0.001
        quarantined.crashed(f"request {number}", "i-1")
    assert quarantined.suspect_count == quarantine.MAX_SUSPECTS
    assert not quarantined.reports()


_REPORTS = strategies.builds(
    quarantine.Report,
    strategies.sampled_from("abc"),
    strategies.frozensets(strategies.sampled_from(["i-1", "i-2", "i-3", "i-4"])),
    strategies.booleans(),
    strategies.floats(0.0, 50.0),
)


@hypothesis.settings(max_examples=200, deadline=None, derandomize=True)
@hypothesis.given(strategies.lists(_REPORTS, max_size=12), strategies.randoms())
def test_reports_merge_to_one_state_in_any_order(reports, random) -> None:
    """Guards against instances that never agree on the held requests."""
    with fakes.Time().used():
        first, second = _quarantine(), _quarantine()
        for report in reports:
            first.learn(report)
        again = [*reports, *reports]
        random.shuffle(again)
        for report in again:
            second.learn(report)
        assert first.digest == second.digest
        for content in "abc":
            assert first.holds(content) == second.holds(content)


def test_changed_settings_release_a_held_request(time) -> None:
    """Guards against a mistaken hold that operators could only wait out."""
    quarantined = _quarantine()
    for server in ("i-1", "i-2", "i-3"):
        quarantined.crashed("poison", server)
    assert quarantined.holds("poison")
    quarantined.adopt(_settings(quarantine_crashes=100))
    assert not quarantined.holds("poison")
