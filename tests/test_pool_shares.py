"""Work of teams over a pool: what keepers count, exchange and order by."""

import msgpack
import objectives_fakes
import policy_fakes as fakes
import pytest
import spillover_fakes

from cassiaquay_daemon.decisions import pool_shares
from cassiaquay_daemon.links import frames
from cassiaquay_schema import messages

THERE = spillover_fakes.THERE
POOL = fakes.settings(team_shares="pool")


@pytest.fixture(name="time")
def _time():
    with fakes.Time().used() as time:
        yield time


def _shares(**grants: int) -> pool_shares.PoolShares:
    """Return shares with work granted in rank 0, by team."""
    found = pool_shares.PoolShares(POOL)
    for team, tokens in grants.items():
        found.grant(0, team, tokens)
    return found


def test_work_in_all_shards_counts(time) -> None:
    shares = _shares(a=100, b=300)
    shares.receive(THERE, _shares(a=900, c=300).report())
    assert [shares.work(0, team) for team in "abc"] == [1000, 300, 300]
    assert shares.share(0, "a", {}) == (1000 / 1600, 1 / 3, True)


def test_weights_count_in_fair_shares(time) -> None:
    assert _shares(a=100, b=300).share(0, "b", {"b": 2.0}).fair_share == 2 / 3


def test_report_replaces_the_previous_one_of_its_shard(time) -> None:
    shares = _shares()
    shares.receive(THERE, _shares(a=900, b=10).report())
    shares.receive(THERE, _shares(a=500).report())
    assert (shares.work(0, "a"), shares.work(0, "b")) == (500, 0)


def test_report_with_a_sum_of_nothing_is_replaced(time) -> None:
    """Guards against reports that are dropped once a team without work was dropped."""
    shares = _shares(a=100)
    shares.receive(THERE, [messages.TeamWork("", [0, 1], [900, 0])])
    for _ in range(2):
        time.now += pool_shares.DECAY_PERIOD_SECONDS / 2
        shares.receive(THERE, [])
        shares.refresh()
    shares.receive(THERE, _shares(a=500).report())
    assert shares.work(0, "a") == pytest.approx(600, abs=20)


def test_work_is_forgotten(time) -> None:
    """A burst of a minute ago does not count against its team."""
    shares = _shares(a=80_000)
    time.now += pool_shares.HALF_LIFE_SECONDS
    shares.refresh()
    assert shares.work(0, "a") == pytest.approx(40_000)
    time.now += 60.0
    assert not shares.report()


def test_work_is_forgotten_without_exchange(time) -> None:
    """Guards against counts by shard that grow with every team ever served."""
    shares = pool_shares.PoolShares(fakes.settings())
    shares.grant(0, "a", 80_000)
    time.now += 60.0
    shares.grant(0, "b", 100)
    assert not shares.work(0, "a")


def test_report_names_a_bounded_number_of_teams(time) -> None:
    """Guards against reports that grow with the number of teams."""
    shares = _shares(**{f"t{number}": 100 + number for number in range(1000)})
    time.now += pool_shares.DECAY_PERIOD_SECONDS
    report = shares.report()
    assert len(report) == pool_shares.MAX_REPORTED_TEAMS + 1
    assert {item.team for item in report} >= {"t999", "t984", ""}
    decay = 0.5 ** (pool_shares.DECAY_PERIOD_SECONDS / pool_shares.HALF_LIFE_SECONDS)
    reported = sum(item.tokens[0] for item in report)
    assert reported == pytest.approx(decay * sum(range(100, 1100)), rel=0.001)


def test_shares_by_shard_are_neither_sent_nor_used(time) -> None:
    shares = pool_shares.PoolShares(fakes.settings())
    shares.grant(0, "a", 100)
    shares.receive(THERE, _shares(a=900).report())
    assert (shares.report(), shares.work(0, "a")) == ([], 100)


def test_silent_shard_is_ignored(time) -> None:
    """Failure: a keeper is paused or partitioned, and its last report stays for ever.

    The team that it names would be served last although it gets nothing any more.
    """
    shares = _shares(a=100)
    shares.receive(THERE, _shares(a=900).report())
    time.now += pool_shares.SILENCE_SECONDS + 0.01
    shares.refresh()
    assert shares.work(0, "a") == 100


def test_counts_stay_while_their_shard_reports(time) -> None:
    """Failure: a keeper is restarted in the previous version and sends no more counts.

    Between two reports with counts, those without keep them; not for ever.
    """
    shares = _shares()
    shares.receive(THERE, _shares(a=900).report())
    for expected in (900, 900, 0):
        time.now += pool_shares.SILENCE_SECONDS
        shares.receive(THERE, [])
        time.now += 0.11
        shares.refresh()
        assert shares.work(0, "a") == expected


def test_new_keeper_takes_over_the_counts_of_the_others(time) -> None:
    """Failure: a shard's keeper ends, and its successor begins without counts.

    Until then it would order the flooding team like one that got nothing.
    """
    pool = spillover_fakes.Pool(team_shares="pool")
    assert pool.shard.shares.work(0, "flood") == 0
    work = [messages.TeamWork("flood", [0], [900])]
    waits = messages.Waits(THERE, [], work)
    pool.links.handlers[messages.Waits](pool.other, waits)
    assert pool.shard.shares.work(0, "flood") == 900


def test_peer_of_the_previous_version_sends_no_counts(time) -> None:
    """Failure: during an upgrade, a keeper sends waits without the new field."""
    frame = msgpack.packb([56, THERE, [[0, 20.0, 5.0]]])
    [waits] = frames.Decoder().feed(frame)
    pool = spillover_fakes.Pool(team_shares="pool")
    pool.links.handlers[messages.Waits](pool.other, waits)
    assert pool.shard.shares.report() == []
    pool.fill()
    pool.demand("late")
    pool.policy.serve()
    assert pool.moved() == {"late": THERE}


def test_keeper_reports_the_work_that_it_granted(time) -> None:
    pool = spillover_fakes.Pool(team_shares="pool")
    pool.demand("first", prompt_tokens=600, output_tokens=20)
    pool.policy.serve()
    pool.spillover.report_waits()
    assert pool.other.sent[0].work == [messages.TeamWork("questions", [0], [621])]


def _served(bench: objectives_fakes.Bench, count: int) -> list[str]:
    """Free a slot ``count`` times; return the granted requests in order."""
    for _ in range(count):
        bench.end(list(bench.owner.permits())[-1])
        bench.serve()
    return list(bench.owner.permits())[-count:]


@pytest.mark.parametrize("mode", ["shard", "pool"])
def test_ranks_stay_strict(time, mode) -> None:
    """Guards against a higher rank that waits since its team got too much."""
    bench = objectives_fakes.Bench(time, {"a": 1}, team_shares=mode)
    bench.shard.shares.receive(THERE, _shares(flood=90_000).report())
    bench.demand(name="running")
    bench.serve()
    bench.demand(name="question", team="small", rank=1, first_ms=5000)
    bench.demand(name="report", team="flood", first_ms=5000)
    assert _served(bench, 2) == ["report", "question"]


def test_long_prompts_count_by_their_tokens(time) -> None:
    """A team whose prompts are ten times as long gets one for ten of another team."""
    bench = objectives_fakes.Bench(time, {"a": 1}, team_shares="pool")
    bench.demand(name="running")
    bench.serve()
    for number in range(2):
        bench.demand(name=f"long{number}", team="long", prompt=2000, first_ms=9000)
    for number in range(12):
        bench.demand(name=f"short{number}", team="short", prompt=180, first_ms=9000)
    served = _served(bench, 13)
    assert served[0] == "long0"
    assert served[-1] == "long1"
