"""Retries of refused callers at a keeper.

Overload: callers are refused and retry once. Their objective counts from the first
attempt; when it has passed, their owners demand capacity with 1 ms left.
"""

import collections

import msgspec
import objectives_fakes
import policy_fakes as fakes
import pytest

from cassiaquay_dev.lab import days, instances, simulation, traffic, virtual_time

LATE_MS = 1


@pytest.fixture(name="bench")
def _bench():
    """Return a shard with one slot, which is taken for 50 ms more."""
    with fakes.Time().used() as time:
        bench = objectives_fakes.Bench(time, {"a": 1}, returns="recognized")
        bench.set_speed("a", 75_000.0, 0.018)
        bench.demand(name="runs", events=3)
        bench.serve()
        bench.start("runs")
        yield bench


def _free_slot(bench: objectives_fakes.Bench) -> None:
    bench.time.now += 0.05
    bench.end("runs")
    bench.serve()


def test_late_retry_yields_to_a_later_request_that_can_be_in_time(bench) -> None:
    """Guards against a retry of the same rank that makes a second request late."""
    bench.demand(name="retry", first_ms=LATE_MS)
    bench.serve()
    bench.demand(name="new")
    bench.serve()
    assert not bench.owner.sheds()
    _free_slot(bench)
    assert bench.owner.permits().keys() == {"runs", "new"}
    assert "retry" in bench.shard.queue


def test_late_retry_is_served_before_less_important_ranks(bench) -> None:
    """Guards against serving a lower rank with a slot that a retry could use."""
    bench.demand(name="retry", first_ms=LATE_MS, rank=1)
    bench.demand(name="lower", rank=2)
    bench.serve()
    _free_slot(bench)
    assert bench.owner.permits().keys() == {"runs", "retry"}


def test_lower_rank_behind_many_late_retries_is_refused_at_once(bench) -> None:
    """Guards against a lower rank that waits in vain for slots that retries get."""
    for _ in range(20):
        bench.demand(first_ms=LATE_MS)
    bench.demand(name="lower", rank=1)
    bench.serve()
    assert bench.owner.sheds().keys() == {"lower"}


def test_waiting_retries_do_not_lead_to_refusals_of_new_requests(bench) -> None:
    """Guards against counting late retries as ahead of a request of their rank."""
    for _ in range(20):
        bench.demand(first_ms=LATE_MS)
    bench.demand(name="new")
    bench.serve()
    assert "new" in bench.shard.queue
    assert bench.policy.waits()[0].wait_ms < 400.0


def test_late_retry_without_a_slot_is_refused_soon(bench) -> None:
    """Guards against retries that wait until their callers' time is over."""
    bench.demand(name="retry", first_ms=LATE_MS)
    bench.serve()
    assert not bench.owner.sheds()
    bench.time.now += 0.6
    bench.serve()
    assert "retry" in bench.owner.sheds()


def test_new_keeper_serves_new_requests_before_all_returning_ones() -> None:
    """The keeper ends: those whom it refused at one moment return to another one.

    The new keeper knows nothing of them. Taken for new requests, they would fill the
    queue, and new requests would be refused.
    """
    with fakes.Time().used() as time:
        bench = objectives_fakes.Bench(time, {"a": 4}, returns="recognized")
        for _ in range(30):
            bench.demand(first_ms=LATE_MS)
        names = [bench.demand() for _ in range(4)]
        bench.serve()
        assert set(names) == bench.owner.permits().keys()


def test_paused_keeper_forgets_the_retries_of_its_queue(bench) -> None:
    """The process is paused with retries in its queue, and drops the queue.

    Counted on, they would shorten the waits that it reports for other requests.
    """
    wait_ms = bench.policy.waits()[0].wait_ms
    bench.demand(name="retry", first_ms=LATE_MS)
    bench.shard.drop_queue()
    bench.demand(name="new")
    assert bench.policy.waits()[0].wait_ms == pytest.approx(2.0 * wait_ms)


def test_retries_of_an_overloaded_fleet_are_recognised() -> None:
    """A seventh of the day `tides` at twice its load, without a network.

    Guards against taking retries for new requests, and new requests for retries.
    """
    day = days.read("tides")
    engines = msgspec.structs.replace(day.engines, count=8)
    day = msgspec.structs.replace(
        day, instances=3, seconds=5.0, load=0.35, engines=engines
    )
    begun: collections.Counter[bool] = collections.Counter()
    call = instances.call

    def recorded(day: days.Day, request: traffic.Request, attempt: str, *rest):
        made = call(day, request, attempt, *rest)
        is_retry = attempt.endswith(".2")
        begun[is_retry] += 1
        begun[(is_retry, made.age_seconds > 0.0)] += 1
        return made

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(instances, "call", recorded)
        virtual_time.run(simulation.play(day, 1))
    assert begun[True] > 30
    assert begun[(True, True)] > 0.9 * begun[True]
    assert begun[(False, True)] <= 0.01 * begun[False]
