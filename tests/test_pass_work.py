"""The work of a keeper's pass, counted in operations: passes follow each message."""

import collections
import functools

import objectives_fakes
import policy_fakes as fakes
import pytest

from cassiaquay_daemon.decisions import arrivals, candidates, weighing


@pytest.fixture(name="time")
def _time():
    with fakes.Time().used() as time:
        yield time


@pytest.fixture(name="calls")
def _calls(monkeypatch) -> collections.Counter[str]:
    """Count calls of the functions that weigh servers and look up slots."""
    calls: collections.Counter[str] = collections.Counter()
    counted = [
        (weighing.Weighing, "weigh"),
        (candidates.Candidate, "has_slot"),
        (arrivals.Arrivals, "rate_above"),
    ]
    for owner, name in counted:
        monkeypatch.setattr(owner, name, _count(calls, name, getattr(owner, name)))
    return calls


def _count(calls, name, function):
    @functools.wraps(function)
    def counting(*arguments):
        calls[name] += 1
        return function(*arguments)

    return counting


def _full_bench(time, waiting: int) -> objectives_fakes.Bench:
    """Return a bench whose slots are taken for seconds, with a queue behind them."""
    bench = objectives_fakes.Bench(time, {"a": 4, "b": 4})
    for _ in range(8):
        bench.demand(events=40)
    bench.serve()
    assert len(bench.owner.permits()) == 8
    for number in range(waiting):
        bench.demand(rank=number % 3, events=4, first_ms=6_000, remaining_ms=15_000)
    return bench


def test_pass_without_a_free_slot_weighs_no_server(time, calls) -> None:
    """Guards against weighing each waiting demand while all slots are taken."""
    bench = _full_bench(time, 40)
    calls.clear()
    bench.serve()
    assert bench.shard.queue
    assert calls["weigh"] == 0


def test_slots_and_arrivals_are_looked_up_once_in_a_pass(time, calls) -> None:
    """Guards against a pass whose look-ups grow with the length of the queue."""
    counts = []
    for waiting in (6, 36):
        bench = _full_bench(time, waiting)
        calls.clear()
        bench.serve()
        assert len(bench.shard.queue) == waiting
        counts.append((calls["has_slot"], calls["rate_above"]))
    assert counts[0] == counts[1]


def test_late_demand_is_weighed_once_on_each_server(time, calls) -> None:
    """Guards against weighing a late demand again although no slot was taken since."""
    bench = objectives_fakes.Bench(time, {"a": 4, "b": 4})
    late = bench.demand(prompt=60_000)
    bench.serve()
    assert late in bench.owner.permits()
    assert calls["weigh"] == 2


def test_late_demands_do_not_share_a_choice_that_a_grant_has_changed(time) -> None:
    """Guards against placing all late demands of a pass on the same server.

    Both servers are alike. The first late demand makes its server the more loaded one,
    so the second one must be weighed again and gets the other.
    """
    bench = objectives_fakes.Bench(time, {"a": 4, "b": 4})
    for _ in range(2):
        bench.demand(prompt=60_000)
    bench.serve()
    assert sorted(bench.owner.permits().values()) == ["a", "b"]


def test_late_demands_get_no_more_slots_than_are_free(time) -> None:
    """Guards against a choice that is used after its server's last slot was taken."""
    bench = objectives_fakes.Bench(time, {"a": 1, "b": 1})
    for _ in range(3):
        bench.demand(prompt=60_000)
    bench.serve()
    assert sorted(bench.owner.permits().values()) == ["a", "b"]
