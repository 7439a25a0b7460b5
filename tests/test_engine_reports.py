"""Late cache events with gaps, stale load reports."""

import asyncio

import policy_fakes as fakes
import pytest

from cassiaquay_daemon import exceptions
from cassiaquay_daemon.engines import engine_reports
from cassiaquay_daemon.keepers import keeper
from cassiaquay_schema import messages

PROMPT = "measure " * 800


class Reader:
    """An engine's reports as a test sets them."""

    def __init__(self) -> None:
        self.requests = 0
        self.answer = engine_reports.CacheEvents(0, [])
        self.asked: list[int] = []
        self.silent = False

    async def load(self, server) -> engine_reports.LoadReport:
        if self.silent:
            raise exceptions.BackendError("silent")
        return engine_reports.LoadReport(200.0, self.requests, 0)

    async def events(self, server, after) -> engine_reports.CacheEvents:
        self.asked.append(after)
        return self.answer


@pytest.fixture(name="time")
def _time():
    with fakes.Time().used() as time:
        yield time


def _open_keeper() -> tuple[keeper.Keeper, engine_reports.EngineReports]:
    members = fakes.Membership("cq-1", [])
    configured = fakes.Configured()
    kept = keeper.Keeper(fakes.settings(), fakes.Links(), members, configured)
    kept.renewal(fakes.Owner(), messages.Renewal(fakes.SHARD, []))
    return kept, engine_reports.EngineReports(None, kept, configured)


def _event(sequence, kind, blocks) -> engine_reports.CacheEvent:
    return engine_reports.CacheEvent(sequence, kind, blocks)


def test_events_tell_a_new_keeper_where_a_prefix_is(time) -> None:
    """The keeper is new and granted nothing yet; an engine has the session cached.

    One event of three was lost. Later the engine says that it begins anew, its
    sequence is lower: what was cached is forgotten.
    """

    async def work() -> None:
        kept, reports = _open_keeper()
        await asyncio.sleep(0)
        shard = kept.shards[fakes.SHARD]
        reader = Reader()
        demand = fakes.demand("one", prompt=PROMPT)
        events = [_event(1, "stored", demand.blocks), _event(3, "removed", [1])]
        reader.answer = engine_reports.CacheEvents(3, events)
        server = shard.servers["tutor-4"]
        await reports.read_one(shard, reader, server)
        cached = {w.server: w.cached_tokens for w in _explained(kept, demand)}
        assert cached.pop("tutor-4") > 1500
        assert set(cached.values()) == {0}
        reader.answer = engine_reports.CacheEvents(1, [])
        await reports.read_one(shard, reader, server)
        await reports.read_one(shard, reader, server)
        assert reader.asked == [0, 3, 0]
        assert {w.cached_tokens for w in _explained(kept, demand)} == {0}

    asyncio.run(work())


def _explained(kept, demand):
    return kept.policy(fakes.SHARD).explain(demand)


def test_work_of_a_second_keeper_is_seen_and_forgotten_with_age(time) -> None:
    """Behind a partition another keeper fills the same engine.

    Its report shows 30 requests where this keeper has none: the engine counts as
    full. Without a newer report that weighs less and less.
    """

    async def work() -> None:
        kept, reports = _open_keeper()
        await asyncio.sleep(0)
        shard = kept.shards[fakes.SHARD]
        reader = Reader()
        reader.requests = 40
        await reports.read_one(shard, reader, shard.servers["tutor-1"])
        load = shard.load("tutor-1")
        assert load.foreign(time.now) >= 32
        fits = {w.server: w.fits for w in _explained(kept, fakes.demand("one"))}
        assert not fits.pop("tutor-1")
        assert all(fits.values())
        reader.silent = True
        time.now += 3.0
        await reports.read_one(shard, reader, shard.servers["tutor-1"])
        assert load.foreign(time.now) < 8

    asyncio.run(work())


def test_own_requests_are_not_taken_for_those_of_others(time) -> None:
    shard = fakes.shard({"a": 8})
    load = shard.load("a")
    load.count = 6
    load.report(0, 0.2, time.now)
    time.now += 0.5
    load.count = 2
    load.report(6, 0.5, time.now)
    assert load.foreign(time.now) == 0
