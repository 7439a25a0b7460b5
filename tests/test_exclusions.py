"""Servers that owners report as unreachable, and who gets no work on them."""

import random

import objectives_fakes
import policy_fakes as fakes
import pytest

from cassiaquay_daemon.decisions import exclusions

SERVERS = ("a", "b")
OWNERS = ("cq-1", "cq-2", "cq-3")
SCHEDULES = 200
STEPS = 60


@pytest.fixture(name="time")
def _time():
    with fakes.Time().used() as time:
        yield time


def _exclusions() -> exclusions.Exclusions:
    made = exclusions.Exclusions(fakes.SHARD)
    made.count_owners = lambda: len(OWNERS)
    return made


def _fleet_bench(time) -> objectives_fakes.Bench:
    bench = objectives_fakes.Bench(time, dict.fromkeys(SERVERS, 9))
    bench.shard.exclusions.count_owners = lambda: len(OWNERS)
    return bench


def test_report_of_one_owner_keeps_a_server_from_that_owner_only(time) -> None:
    """Guards against servers lost to all since one instance cannot connect to them."""
    bench = _fleet_bench(time)
    cut, other = fakes.Owner("cq-1"), fakes.Owner("cq-2")
    bench.owner = cut
    bench.demand(avoid=list(SERVERS))
    refused = bench.demand()
    bench.owner = other
    granted = bench.demand()
    bench.serve()
    assert granted in other.permits()
    assert refused not in cut.permits()


def test_reports_of_two_owners_keep_a_server_from_all(time) -> None:
    """Guards against a crashed server that each owner has to find out by itself."""
    bench = _fleet_bench(time)
    for name in OWNERS[:2]:
        bench.owner = fakes.Owner(name)
        bench.demand(avoid=["a"])
    bench.owner = third = fakes.Owner(OWNERS[2])
    names = [bench.demand() for _ in range(3)]
    bench.serve()
    assert {third.permits()[name] for name in names} == {"b"}
    time.now += exclusions.EXCLUSION_SECONDS
    later = [bench.demand() for _ in range(6)]
    bench.serve()
    assert "a" in {third.permits()[name] for name in later}


def test_answer_of_a_server_outweighs_earlier_reports(time) -> None:
    """Guards against the reports of two cut owners while a third one is served."""
    made = _exclusions()
    made.report("a", "cq-1", "d1")
    made.report("a", "cq-2", "d2")
    assert made.is_excluded("a")
    time.now += 0.1
    made.confirm_alive("a", "cq-3")
    assert not made.is_excluded("a")
    assert made.is_excluded_for("a", "cq-1")
    time.now += 0.1
    made.report("a", "cq-1", "d3")
    assert not made.is_excluded("a"), "the other report is older than the answer"


def test_single_instance_needs_no_second_report(time) -> None:
    made = exclusions.Exclusions(fakes.SHARD)
    made.report("a", "cq-1", "d1")
    assert made.is_excluded("a")


def test_one_cut_owner_never_excludes_a_server_in_any_schedule(time) -> None:
    """Guards against any order of one owner's reports and of the others' answers."""
    for seed in range(SCHEDULES):
        rng = random.Random(seed)
        made = _exclusions()
        for step in range(STEPS):
            time.now += rng.uniform(0.0, 0.4)
            server = rng.choice(SERVERS)
            if rng.random() < 0.6:
                made.report(server, "cq-1", f"d{step}")
            else:
                made.confirm_alive(server, rng.choice(OWNERS))
            if rng.random() < 0.1:
                made.expire()
            for name in SERVERS:
                assert not made.is_excluded(name), (seed, step)
                assert not made.is_excluded_for(name, "cq-2"), (seed, step)
