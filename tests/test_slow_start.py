"""Slow start: which servers are cold, and the limit on the grants to them."""

import collections

import hypothesis
import objectives_fakes
import policy_fakes as fakes
import pytest
from hypothesis import strategies

from cassiaquay_daemon.decisions import rate_budgets, shards, slow_start
from cassiaquay_schema import fleet, messages

COLD_SECONDS = 3.0
REQUESTS_PER_SECOND = 12.0
EXCESS = 1.5
SLACK = 5.0
BOUND = REQUESTS_PER_SECOND * EXCESS + SLACK
SERVERS = ("e1", "e2")


@pytest.fixture(name="time")
def _time():
    with fakes.Time().used() as time:
        yield time


def _fleet(evacuated: tuple[str, ...] = (), **servers: fleet.Server) -> fleet.Fleet:
    pool = fleet.Pool(
        servers=list(servers.values()),
        cold_seconds=COLD_SECONDS,
        cold_requests_per_second=REQUESTS_PER_SECOND,
    )
    return fleet.Fleet(
        tiers={"t": fleet.Tier(rank=0)},
        teams={"q": fleet.Team(credentials=["0"], tiers=["t"])},
        pools={"engines": pool},
        services={"s": fleet.Service(pool="engines")},
        evacuated=list(evacuated),
    )


def _server(name: str, **fields) -> fleet.Server:
    values = {"started_ms": 1, "domain": "derby", "slots": 8, **fields}
    return fleet.Server(name=name, address="h:1", **values)


def _slow_start() -> slow_start.SlowStart:
    settings = fakes.settings(cold_excess=EXCESS, cold_slack=SLACK)
    return slow_start.SlowStart(settings)


def test_servers_in_the_first_list_are_warm(time) -> None:
    """Guards against an instance's restart that limits a fleet of warm servers."""
    cold = _slow_start()
    cold.update(_fleet(e1=_server("e1")))
    assert not cold.is_cold("e1")


@pytest.mark.parametrize("fields", [{"started_ms": 2}, {"cold_ms": 3000}])
def test_server_is_cold_after_a_restart_or_its_own_report(time, fields) -> None:
    cold = _slow_start()
    cold.update(_fleet(e1=_server("e1"), e2=_server("e2")))
    cold.update(_fleet(e1=_server("e1", **fields), e2=_server("e2")))
    assert cold.cold_servers() == ["e1"]
    time.now += COLD_SECONDS - 0.01
    assert cold.is_cold("e1")
    time.now += 0.02
    assert not cold.is_cold("e1")


def test_server_that_is_added_to_the_list_is_cold(time) -> None:
    cold = _slow_start()
    cold.update(_fleet(e1=_server("e1")))
    cold.update(_fleet(e1=_server("e1"), e2=_server("e2")))
    assert cold.cold_servers() == ["e2"]


def test_unchanged_cold_report_does_not_extend_the_cold_time(time) -> None:
    """Guards against a stale list entry that keeps its server cold indefinitely."""
    cold = _slow_start()
    cold.update(_fleet(e1=_server("e1", cold_ms=2000)))
    time.now += 1.5
    cold.update(_fleet(e1=_server("e1", cold_ms=2000)))
    time.now += 0.6
    assert not cold.is_cold("e1")


def test_servers_are_cold_after_an_evacuation_ends(time) -> None:
    """Its servers were idle; their own reports of being cold arrive seconds later."""
    cold = _slow_start()
    cold.update(_fleet(e1=_server("e1"), e2=_server("e2", domain="leek")))
    cold.update(_fleet(("leek",), e1=_server("e1"), e2=_server("e2", domain="leek")))
    assert not cold.is_cold("e2")
    cold.update(_fleet(e1=_server("e1"), e2=_server("e2", domain="leek")))
    assert cold.cold_servers() == ["e2"]
    time.now += COLD_SECONDS + slow_start.MAX_REPORT_DELAY_SECONDS + 0.01
    assert not cold.is_cold("e2")


def test_refusing_server_stays_cold_after_its_first_answer(time) -> None:
    """A crashed server serves again seconds before the list shows its restart."""
    cold = _slow_start()
    cold.update(_fleet(e1=_server("e1")))
    cold.suspect_restart("e1")
    time.now += COLD_SECONDS
    assert cold.is_cold("e1")
    cold.confirm_alive("e1")
    time.now += COLD_SECONDS - 0.01
    assert cold.is_cold("e1")
    time.now += 0.02
    assert not cold.is_cold("e1")


def test_server_that_goes_on_with_old_requests_has_not_restarted(time) -> None:
    """Guards against a limit on a server that was only paused."""
    cold = _slow_start()
    cold.update(_fleet(e1=_server("e1")))
    heard_at = time.now
    time.now += 1.0
    cold.suspect_restart("e1", heard_at)
    cold.confirm_alive("e1", heard_at + 0.5)
    assert cold.is_cold("e1")
    cold.confirm_alive("e1", heard_at - 0.1)
    assert not cold.is_cold("e1")


def test_old_requests_do_not_rule_out_the_restart_of_a_refusing_server(time) -> None:
    """Guards against events from before a crash that are reported after it."""
    cold = _slow_start()
    cold.update(_fleet(e1=_server("e1")))
    heard_at = time.now
    cold.suspect_restart("e1", heard_at)
    cold.suspect_restart("e1")
    cold.suspect_restart("e1", heard_at)
    cold.confirm_alive("e1", heard_at - 0.1)
    assert cold.is_cold("e1")


def test_suspicion_of_a_refusing_server_expires(time) -> None:
    """Guards against a suspicion that never expires.

    A keeper that reaches few instances grants nothing to cold servers, so none of them
    could answer and clear itself, and the fleet would be left without a server.
    """
    cold = _slow_start()
    cold.update(_fleet(e1=_server("e1")))
    cold.suspect_restart("e1")
    time.now += COLD_SECONDS + slow_start.MAX_REPORT_DELAY_SECONDS + 0.01
    assert not cold.is_cold("e1")


@pytest.mark.parametrize("fields", [{"cold_seconds": 0}, {"cold_seconds": 3.0}])
def test_pool_without_slow_start_has_no_cold_servers(time, fields) -> None:
    """A cold time without a rate means that cold servers are slow, not fragile."""
    cold = _slow_start()
    pool = fleet.Pool(servers=[_server("e1")], **fields)
    text = _fleet()
    text.pools["engines"] = pool
    cold.update(text)
    cold.suspect_restart("e1")
    pool.servers[0] = _server("e1", started_ms=2, cold_ms=9)
    cold.update(text)
    assert not cold.cold_servers()


class Site(objectives_fakes.Bench):
    """A shard with one cold server and one warm one."""

    def __init__(self, time: fakes.Time, slots: tuple[int, int] = (8, 8)):
        super().__init__(time, dict(zip(SERVERS, slots, strict=True)))
        self.cold = _slow_start()
        self.cold.update(_fleet(e1=_server("e1"), e2=_server("e2")))
        self.cold.update(_fleet(e1=_server("e1", started_ms=2), e2=_server("e2")))
        self.shard.cold = self.cold
        self.shard.rate_budgets = rate_budgets.RateBudgets([self.cold])
        for name in SERVERS:
            self.set_speed(name, 100_000.0, 0.005)
        assert not self.shard.rate_budgets.allows("e1")

    def granted(self, server: str) -> list[str]:
        """Return the requests that were granted on a server."""
        permits = self.owner.permits()
        return [name for name, granted in permits.items() if granted == server]


def test_cold_server_with_free_slots_stays_within_its_rate(time) -> None:
    """Guards against sending the whole queue to a restarted server's free slots."""
    site = Site(time, slots=(50, 1))
    for _ in range(100):
        for _ in range(2):
            site.demand(events=1)
        site.serve()
        for name in list(site.owner.permits()):
            if name in site.shard.running:
                site.start(name)
                site.end(name)
        time.now += 0.01
    assert BOUND / 4 < len(site.granted("e1")) <= BOUND / 2
    assert len(site.granted("e2")) >= 90


def test_forecast_does_not_count_unusable_slots_of_cold_servers(time) -> None:
    """Guards against forecasts that count all free slots of a cold server as usable.

    Demands that cannot be in time must be shed at once, not when they are late.
    """
    site = Site(time)
    site.shard.closed_servers.add("e2")
    for _ in range(60):
        site.demand()
    site.serve()
    assert len(site.owner.sheds()) >= 40
    assert len(site.shard.queue) + len(site.granted("e1")) <= BOUND


def test_permit_for_a_cold_server_has_a_short_lifetime(time) -> None:
    """Guards against permits used a second late, together with those of that second."""
    site = Site(time)
    site.shard.closed_servers.add("e2")
    time.now += 0.2
    site.demand()
    site.serve()
    (permit,) = [item for item in site.owner.sent if isinstance(item, messages.Permit)]
    assert permit.server == "e1"
    assert permit.lifetime_ms == rate_budgets.PERMIT_MS


class Keeper:
    """One keeper's view of one cold server."""

    def __init__(self, cold: slow_start.SlowStart):
        self.reachable_share = 1.0
        self.rate_budgets = rate_budgets.RateBudgets([cold])
        self.rate_budgets.reachable_share = lambda: self.reachable_share


EVENTS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["grant", "wait", "move", "split", "heal", "restart"]),
        strategies.floats(0.0, 0.4),
        strategies.integers(0, 1),
    ),
    max_size=120,
)


@hypothesis.given(EVENTS)
@hypothesis.settings(deadline=None, max_examples=200)
def test_no_schedule_of_keepers_exceeds_the_limit_of_a_cold_server(events) -> None:
    """Two concurrent keepers, keepers in both parts of a partition, keeper restarts.

    Each keeper grants all it can, and permits are used at the worst time of their
    lifetime.
    """
    with fakes.Time().used() as time:
        cold = _slow_start()
        cold.update(_fleet(e1=_server("e1")))
        cold.update(_fleet(e1=_server("e1", started_ms=2)))
        keepers = [Keeper(cold), Keeper(cold)]
        granted: list[float] = []
        for kind, amount, number in events:
            keeper = keepers[number]
            if kind == "wait":
                time.now += amount
            elif kind == "split":
                keepers[0].reachable_share, keepers[1].reachable_share = (
                    amount * 2,
                    1.0 - amount * 2,
                )
            elif kind == "heal":
                keepers[0].reachable_share = keepers[1].reachable_share = 1.0
            elif kind in ("move", "restart"):
                keeper.rate_budgets.clear()
            while kind == "grant" and keeper.rate_budgets.allows("e1"):
                keeper.rate_budgets.granted("e1", 1500)
                granted.append(time.now)
            cold.suspect_restart("e1")
        # A permit may be used at any time of its lifetime, so the permits of a span
        # that is longer by one lifetime may all arrive within one second.
        span = 1.0 + rate_budgets.PERMIT_MS / 1000.0
        arrivals_by_start = collections.Counter()
        for first in granted:
            arrivals_by_start[first] = sum(
                first <= other <= first + span for other in granted
            )
        assert max(arrivals_by_start.values(), default=0) <= BOUND


def test_two_keepers_with_full_buckets_stay_within_the_limit(time) -> None:
    """Guards against two keepers that each grant the whole depth of their buckets."""
    cold = _slow_start()
    cold.update(_fleet(e1=_server("e1")))
    cold.update(_fleet(e1=_server("e1", started_ms=2)))
    keepers = [Keeper(cold), Keeper(cold)]
    for keeper in keepers:
        assert not keeper.rate_budgets.allows("e1")
    time.now += 1.0
    ends_at = time.now + 1.0 + rate_budgets.PERMIT_MS / 1000.0
    granted = 0
    while time.now <= ends_at:
        cold.suspect_restart("e1")
        for keeper in keepers:
            while keeper.rate_budgets.allows("e1"):
                keeper.rate_budgets.granted("e1", 1500)
                granted += 1
        time.now += 0.001
    assert BOUND / 2 < granted <= BOUND


def test_closed_shard_restarts_with_empty_rate_budgets(time) -> None:
    """A new keeper has no record of the grants of the previous one."""
    site = Site(time)
    time.now += 1.0
    assert site.shard.rate_budgets.allows("e1")
    site.shard.close()
    assert not site.shard.rate_budgets.allows("e1")


def test_refused_connection_makes_a_server_cold(time) -> None:
    site = Site(time)
    time.now += COLD_SECONDS + 1.0
    assert not site.cold.is_cold("e2")
    site.demand(avoid=["e2"])
    assert site.cold.is_cold("e2")


def test_shard_without_slow_start_allows_any_server() -> None:
    shard = shards.Shard(fakes.SHARD, fakes.settings())
    assert shard.rate_budgets.allows("anything")


def test_changed_settings_apply_from_the_next_server_list(time) -> None:
    cold = _slow_start()
    cold.update(_fleet(e1=_server("e1")))
    before = cold.flow("e1")
    cold.adopt(fakes.settings(cold_excess=EXCESS, cold_slack=0.0))
    cold.update(_fleet(e1=_server("e1")))
    assert cold.flow("e1").rate < before.rate
