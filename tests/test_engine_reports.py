"""Engine reports: late or missing cache events, and stale load reports."""

import asyncio

import policy_fakes as fakes
import pytest

from cassiaquay_daemon import exceptions
from cassiaquay_daemon.engines import engine_reports
from cassiaquay_daemon.keepers import keeper
from cassiaquay_schema import messages

PROMPT = "measure " * 800


class FakeReader:
    """Fake reader that returns the reports set by a test."""

    def __init__(self) -> None:
        self.requests = 0
        self.cache_events = engine_reports.CacheEvents(0, [])
        self.requested_sequences: list[int] = []
        self.is_silent = False

    async def read_load(self, server) -> engine_reports.LoadReport:
        if self.is_silent:
            raise exceptions.BackendError("silent")
        return engine_reports.LoadReport(200.0, self.requests, 0)

    async def read_events(self, server, after) -> engine_reports.CacheEvents:
        self.requested_sequences.append(after)
        return self.cache_events


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


def test_cache_events_show_a_new_keeper_where_a_prefix_is_cached(time) -> None:
    """A new keeper learns from events which engine caches a prefix.

    One event of three is lost. A later, lower sequence number means that the engine
    restarted with an empty cache, so its cached blocks are discarded.
    """

    async def check() -> None:
        kept, reports = _open_keeper()
        await asyncio.sleep(0)
        shard = kept.shards[fakes.SHARD]
        reader = FakeReader()
        demand = fakes.demand("one", prompt=PROMPT)
        events = [_event(1, "stored", demand.blocks), _event(3, "removed", [1])]
        reader.cache_events = engine_reports.CacheEvents(3, events)
        server = shard.servers["tutor-4"]
        await reports.read_engine(shard, reader, server)
        cached = {w.server: w.cached_tokens for w in _explained(kept, demand)}
        assert cached.pop("tutor-4") > 1500
        assert set(cached.values()) == {0}
        reader.cache_events = engine_reports.CacheEvents(1, [])
        await reports.read_engine(shard, reader, server)
        await reports.read_engine(shard, reader, server)
        assert reader.requested_sequences == [0, 3, 0]
        assert {w.cached_tokens for w in _explained(kept, demand)} == {0}

    asyncio.run(check())


def _explained(kept, demand):
    return kept.policy(fakes.SHARD).explain(demand)


def test_load_of_a_second_keeper_counts_and_decays_without_reports(time) -> None:
    """A second keeper behind a partition fills the same engine.

    The report shows 40 requests where this keeper has granted none, so the engine
    counts as full. Without a newer report the estimate decays.
    """

    async def check() -> None:
        kept, reports = _open_keeper()
        await asyncio.sleep(0)
        shard = kept.shards[fakes.SHARD]
        reader = FakeReader()
        reader.requests = 40
        await reports.read_engine(shard, reader, shard.servers["tutor-1"])
        load = shard.load("tutor-1")
        assert load.foreign(time.now) >= 32
        fits = {w.server: w.fits for w in _explained(kept, fakes.demand("one"))}
        assert not fits.pop("tutor-1")
        assert all(fits.values())
        reader.is_silent = True
        time.now += 3.0
        await reports.read_engine(shard, reader, shard.servers["tutor-1"])
        assert load.foreign(time.now) < 8

    asyncio.run(check())


def test_own_requests_do_not_count_as_foreign_load(time) -> None:
    shard = fakes.shard({"a": 8})
    load = shard.load("a")
    load.count = 6
    load.report(0, 0.2, time.now)
    time.now += 0.5
    load.count = 2
    load.report(6, 0.5, time.now)
    assert load.foreign(time.now) == 0
